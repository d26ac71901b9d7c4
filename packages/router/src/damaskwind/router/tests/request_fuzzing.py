"""Run random histories of requests from a seed, optionally with an injected bug."""

from damaskwind.router import dispatcher as dispatcher_module
from damaskwind.router.placing import Placing
from damaskwind.router.target_directory import TargetDirectory
from damaskwind.router.target_signals import TargetSignalTracker
from damaskwind.router.tests.request_histories import STEPS, RequestsAgainstCounts
from damaskwind.standins.history_runs import SeededBug, fuzz_histories, seeded_bug
from damaskwind.standins.history_runs import run_batch as run_machine

__all__ = ["SEEDED_BUGS", "fuzz_requests", "run_batch"]


def run_batch(seed, histories):
    """Run a number of histories; without a seed they are the same every time."""
    run_machine(RequestsAgainstCounts, STEPS, seed, histories)


def _resend(verdict, idempotent, *others):
    """Decide on a retry as if every request were idempotent."""
    return _DECIDE(verdict, True, *others)


_DECIDE = dispatcher_module.decide_retry

# Bugs to inject; the run must detect each of them.
SEEDED_BUGS = {
    "resend_what_may_have_run": SeededBug(dispatcher_module, "decide_retry", _resend),
    "last_verdict_counts": SeededBug(
        dispatcher_module, "worst_verdict", lambda verdicts: verdicts[-1]
    ),
    "keep_leavers": SeededBug(TargetDirectory, "_handle_gone", lambda directory, event: None),
    "forget_wishes": SeededBug(
        TargetSignalTracker, "observe", lambda signals, view, observed: None
    ),
    "count_no_end": SeededBug(Placing, "end", lambda placing, work, target, done: None),
}


def fuzz_requests(seed, seconds, histories, bug=None):
    """Run histories until the time or the count is exhausted, or until one fails."""
    with seeded_bug(SEEDED_BUGS, bug):
        return fuzz_histories(RequestsAgainstCounts, STEPS, seed, seconds, histories)
