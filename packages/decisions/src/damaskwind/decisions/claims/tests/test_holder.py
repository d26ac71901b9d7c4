"""Tests of a claim holder and a proposer, message by message."""

from unittest import TestCase

from damaskwind.decisions.claims.holder import ClaimHolder, HolderPolicy
from damaskwind.decisions.claims.messages import (
    Accepted,
    Ballot,
    CatchUpRead,
    ClaimKind,
    ClaimValue,
    Order,
    Outcome,
    Promise,
    Record,
    Rejection,
    StoredAnswer,
    Write,
)
from damaskwind.decisions.claims.proposer import ClaimProposer, Phase
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Verdict

IDS = ("h0", "h1", "h2")
FIRST = Ballot(1, "r0")
VALUE = ClaimValue("r0", "digest")
POLICY = HolderPolicy(ttl_s=100.0, max_records=3, answer_limit_bytes=10, answers_limit_bytes=15)


def make(holder_id="h0", incarnation=1, first=True, now_s=0.0, ids=IDS, policy=POLICY):
    return ClaimHolder(holder_id, incarnation, ids, policy, now_s, is_first_start=first)


def answer(body):
    return StoredAnswer(200, "text/plain", body, "d")


def accept(holder, key="k", ballot=FIRST, value=VALUE, now_s=0.0):
    """Let a single holder promise and accept a value."""
    holder.order(Order(key, ballot), now_s)
    promises = (Promise(holder.holder_id, holder.incarnation),)
    return holder.write(Write(key, ballot, value, promises), now_s)


def claim(holders, value, key="k", now_s=0.0):
    """Run up to three rounds against holders that reply at once."""
    proposer = ClaimProposer(key, value, IDS)
    for _ in range(3):
        outcome = run_round(proposer, holders, now_s)
        if outcome is not None:
            return proposer, outcome
    return proposer, None


def run_round(proposer, holders, now_s):
    pending = list(proposer.start_round().messages)
    while pending:
        holder_id, message = pending.pop(0)
        holder = holders.get(holder_id)
        reply = None
        if holder is not None:
            handle = holder.order if isinstance(message, Order) else holder.write
            reply = handle(message, now_s)
        step = proposer.handle_reply(holder_id, message.ballot, reply)
        pending += step.messages
        if step.outcome:
            return step.outcome
    return None


class HolderTest(TestCase):
    def test_restarted_holder_votes_after_enough_reads(self):
        others = [make("h1"), make("h2")]
        accept(others[0])
        restarted = make("h0", 2, first=False)
        self.assertEqual(restarted.order(Order("k", Ballot(9, "x")), 0.0).rejection, "not_voting")
        read = CatchUpRead("h0", 2)
        self.assertFalse(restarted.merge_catch_up(others[0].read_all(read, 0.0), 0.0))
        self.assertFalse(restarted.merge_catch_up(others[0].read_all(read, 0.0), 0.0))
        self.assertTrue(restarted.merge_catch_up(others[1].read_all(read, 0.0), 0.0))
        self.assertEqual(restarted.order(Order("k", Ballot(9, "x")), 0.0).accepted.value, VALUE)

    def test_number_of_reads_required(self):
        for count, needed in ((1, 1), (3, 2), (5, 3)):
            ids = tuple(f"h{number}" for number in range(count))
            self.assertEqual(make(ids=ids).catch_up_quorum(), needed)

    def test_two_holders_without_state_wait_until_all_claims_have_expired(self):
        one, two = make("h0", 2, False, 50.0), make("h1", 2, False, 50.0)
        reply = two.read_all(CatchUpRead("h0", 2), 60.0)
        self.assertEqual(reply.rejection, Rejection.NOT_VOTING)
        self.assertFalse(one.merge_catch_up(reply, 60.0))
        self.assertFalse(one.is_voting(149.9))
        self.assertTrue(one.is_voting(150.0))

    def test_catch_up_carries_promises(self):
        other, restarted = make("h1"), make("h0", 2, first=False)
        other.order(Order("k", Ballot(5, "p")), 0.0)
        for holder in (other, make("h2")):
            restarted.merge_catch_up(holder.read_all(CatchUpRead("h0", 2), 0.0), 0.0)
        self.assertEqual(restarted.order(Order("k", Ballot(4, "q")), 0.0).rejection, "stale_ballot")

    def test_adopted_value_is_binding_like_a_promise(self):
        holder = make()
        accepted = Accepted(Ballot(5, "a"), ClaimValue("a", "digest"))
        holder.record(Record("k", accepted, Outcome(Verdict.MAY_HAVE_RUN)), 0.0)
        self.assertEqual(holder.order(Order("k", Ballot(4, "q")), 0.0).rejection, "stale_ballot")

    def test_write_that_depends_on_a_lost_promise_is_rejected(self):
        holder = make("h1")
        ballot = Ballot(1, "r0")
        holder.order(Order("k", ballot), 0.0)
        holder.read_all(CatchUpRead("h0", 2), 0.0)
        old = Write("k", ballot, VALUE, (Promise("h0", 1), Promise("h1", 1)))
        self.assertEqual(holder.write(old, 0.0).rejection, Rejection.STALE_INCARNATION)
        new = old._replace(promises=(Promise("h0", 2), Promise("h1", 1)))
        self.assertEqual(holder.write(new, 0.0).rejection, Rejection.NONE)

    def test_full_holder_rejects_new_keys_and_evicts_only_expired_ones(self):
        holder = make()
        for number in range(3):
            accept(holder, f"k{number}", now_s=float(number))
        self.assertEqual(holder.order(Order("new", Ballot(1, "x")), 50.0).rejection, "full")
        self.assertEqual(holder.order(Order("k0", Ballot(2, "x")), 50.0).accepted.value, VALUE)
        self.assertEqual(holder.order(Order("new", Ballot(1, "x")), 100.5).rejection, "")
        self.assertEqual(len(holder), 3)

    def test_answers_are_limited_individually_and_in_total(self):
        holder = make()
        is_complete = {}
        for number, body in enumerate((b"12345678901", b"1234567890", b"123456")):
            key = f"k{number}"
            accept(holder, key)
            done = Outcome(Verdict.RAN, answer(body))
            holder.record(Record(key, Accepted(Ballot(1, "r0"), VALUE), done), 0.0)
            reply = holder.order(Order(key, Ballot(2, "x")), 0.0)
            is_complete[number] = reply.outcome.answer.complete
        self.assertEqual(is_complete, {0: False, 1: True, 2: False})

    def test_late_write_of_an_abandoned_request_is_rejected(self):
        holder = make()
        ballot = Ballot(1, "r0")
        holder.order(Order("k", ballot), 0.0)
        not_run = Record("k", Accepted(ballot, VALUE), Outcome(Verdict.NOT_RUN))
        self.assertEqual(holder.record(not_run, 0.0).rejection, Rejection.UNKNOWN)
        reply = holder.write(Write("k", ballot, VALUE, (Promise("h0", 1),)), 0.0)
        self.assertEqual(reply.rejection, Rejection.STALE_BALLOT)


class ProposerTest(TestCase):
    def setUp(self):
        self.holders = {name: make(name) for name in IDS}

    def record(self, outcome, value=VALUE):
        message = Record("k", Accepted(Ballot(1, value.request_id), value), outcome)
        return [holder.record(message, 0.0).rejection for holder in self.holders.values()]

    def test_first_is_granted_and_a_resend_gets_its_outcome(self):
        _, first = claim(self.holders, VALUE)
        self.assertEqual(first.kind, ClaimKind.GRANTED)
        _, racing = claim(self.holders, ClaimValue("r1", "digest"))
        self.assertEqual(racing.refusal.reason, Reason.KEY_IN_USE)
        self.assertEqual(racing.refusal.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(set(self.record(Outcome(Verdict.RAN, answer(b"done")))), {Rejection.NONE})
        del self.holders["h0"]
        _, resent = claim(self.holders, ClaimValue("r1", "digest"))
        self.assertEqual((resent.kind, resent.answer.body), (ClaimKind.DONE, b"done"))

    def test_answer_too_large_to_store_is_reported_as_ran(self):
        claim(self.holders, VALUE)
        self.record(Outcome(Verdict.RAN, answer(b"x" * 11)))
        _, resent = claim(self.holders, ClaimValue("r1", "digest"))
        self.assertEqual((resent.kind, resent.refusal.verdict), (ClaimKind.IN_USE, Verdict.RAN))

    def test_other_body_is_a_mismatch(self):
        claim(self.holders, VALUE)
        _, other = claim(self.holders, ClaimValue("r1", "other"))
        self.assertEqual(other.kind, ClaimKind.MISMATCH)
        self.assertEqual(other.refusal.verdict, Verdict.NOT_RUN)

    def test_key_of_a_request_that_never_ran_can_be_claimed_again(self):
        claim(self.holders, VALUE)
        self.record(Outcome(Verdict.NOT_RUN))
        _, second = claim(self.holders, ClaimValue("r1", "digest"))
        self.assertEqual(second.kind, ClaimKind.GRANTED)
        _, third = claim(self.holders, ClaimValue("r2", "digest"))
        self.assertEqual(third.kind, ClaimKind.IN_USE)

    def test_no_majority_fails_the_round(self):
        proposer, outcome = claim({"h0": self.holders["h0"]}, VALUE)
        self.assertIsNone(outcome)
        self.assertEqual(proposer.phase, Phase.FAILED)

    def test_promise_that_another_holder_reports_as_outdated_is_dropped(self):
        proposer = ClaimProposer("k", VALUE, IDS)
        order = proposer.start_round().messages[0][1]
        first = self.holders["h0"].order(order, 0.0)
        self.holders["h1"].read_all(CatchUpRead("h0", 2), 0.0)
        proposer.handle_reply("h0", order.ballot, first)
        step = proposer.handle_reply("h1", order.ballot, self.holders["h1"].order(order, 0.0))
        self.assertEqual(step.messages, ())
        step = proposer.handle_reply("h2", order.ballot, self.holders["h2"].order(order, 0.0))
        self.assertEqual({name for name, _ in step.messages}, {"h1", "h2"})


class CleanStopTest(TestCase):
    def test_holder_restores_the_stored_state(self):
        stopped = make()
        accept(stopped)
        stopped.record(Record("k", Accepted(FIRST, VALUE), Outcome(Verdict.RAN, answer(b"b"))), 1.0)
        later = Ballot(5, "r1")
        stopped.order(Order("other", later), 1.0)
        memory = stopped.stop(2.0)
        resumed = make(incarnation=2, first=False, now_s=50.0)
        self.assertFalse(resumed.is_voting(50.0))
        self.assertTrue(resumed.resume(memory, 50.0))
        reply = resumed.order(Order("k", later), 51.0)
        self.assertEqual(reply.accepted, Accepted(FIRST, VALUE))
        self.assertEqual(reply.outcome, Outcome(Verdict.RAN, answer(b"b")))
        low = resumed.order(Order("other", Ballot(4, "r9")), 51.0)
        self.assertEqual((low.rejection, low.promised), (Rejection.STALE_BALLOT, later))

    def test_holder_that_restores_state_outnumbers_its_earlier_run(self):
        """Its incarnation was raised by what others knew, which is not on its disk."""
        before = make(incarnation=1000)
        accept(before)
        after = make(incarnation=501, first=False)
        self.assertTrue(after.resume(before.stop(0.0), 0.0))
        self.assertEqual(accept(after, "other").rejection, Rejection.NONE)
        self.assertGreater(after.incarnation, before.incarnation)

    def test_reply_to_an_earlier_read_is_not_merged(self):
        """It may have been sent before its holder learned of the present incarnation."""
        others = {name: make(name) for name in ("h1", "h2")}
        others["h1"].read_all(CatchUpRead("h0", 1000), 0.0)
        returned = make(incarnation=500, first=False)
        replies = [item.read_all(CatchUpRead("h0", 500), 0.0) for item in others.values()]
        for reply in replies + replies:
            self.assertFalse(returned.merge_catch_up(reply, 0.0))
        self.assertEqual(returned.incarnation, 1001)
        for item in others.values():
            returned.merge_catch_up(item.read_all(CatchUpRead("h0", 1001), 0.0), 0.0)
        self.assertTrue(returned.is_voting(0.0))

    def test_stopped_holder_does_not_vote_and_one_without_state_stores_nothing(self):
        holder = make()
        holder.stop(1.0)
        late_s = 2.0 + POLICY.ttl_s
        reply = holder.order(Order("k", FIRST), late_s)
        self.assertEqual(reply.rejection, Rejection.NOT_VOTING)
        self.assertIsNone(make(first=False).stop(1.0))

    def test_state_of_another_set_of_holders_is_not_restored(self):
        memory = make().stop(1.0)
        other = make(incarnation=2, first=False, ids=("h0", "h1", "h9"))
        self.assertFalse(other.resume(memory, 2.0))
