"""Decide for which requests two targets are probed before one of them is chosen.

The power of two choices with probes: Wydrowski, Kleinberg, Rumble and Archer, "Load is not what
you should balance: Introducing Prequal", NSDI 2024. Probes are billed. They are sent for few
requests, those that a slow target would make late, and each router keeps to a share of its own
sends, so that all routers together keep to it.

>>> budget = ProbeBudget()
>>> for _ in range(40): budget.count_send()
>>> [budget.take(start_share) for start_share in (0.4, 0.6, 0.6)]
[False, True, False]
"""

__all__ = ["MAX_PROBE_SHARE", "PROBES_PER_CHOICE", "ProbeBudget"]

PROBES_PER_CHOICE = 2
# Probes per send: with two for each choice, one request in forty is probed for. Requests that
# are refused don't count: at 1.3 of the capacity, they would allow 6.5 in 100 sends.
MAX_PROBE_SHARE = 0.05
# The probes that a router may save up: requests at risk come together.
MAX_SAVED_PROBES = 4.0
# A request is at risk if its target is expected to start it after this share of its objective:
# at half the usual speed it is late. From 0.35 on, four times as many probes (138 routers) saved
# too few more requests to be worth their price.
RISKY_START_SHARE = 0.5


class ProbeBudget:
    """The probes that one router may send."""

    def __init__(self) -> None:
        self._saved = 0.0

    def count_send(self) -> None:
        """Count a request that was sent to a target that reports its speed."""
        self._saved = min(self._saved + MAX_PROBE_SHARE, MAX_SAVED_PROBES)

    def take(self, start_share: float) -> bool:
        """Take the probes of one choice; return whether they may be sent.

        `start_share` is the expected start of the request, divided by its objective.
        """
        if start_share < RISKY_START_SHARE or self._saved < PROBES_PER_CHOICE:
            return False
        self._saved -= PROBES_PER_CHOICE
        return True
