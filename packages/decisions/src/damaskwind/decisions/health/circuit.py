"""The circuit breaker of one target: closed, open for some time, then half-open for a trial.

The state chart is in `circuit.toml`; this module implements its actions.
"""

from collections import deque
from pathlib import Path
from random import Random
from typing import NamedTuple

from damaskwind.model.statechart import load_chart, start_machine

__all__ = ["Circuit", "HealthPolicy"]

_CHART = Path(__file__).with_name("circuit.toml")
_HALF_OPEN = "half_open"


class HealthPolicy(NamedTuple):
    """When a target is ejected and for how long.

    A target is an outlier after `consecutive_failures` in a row, or if failures make up
    `failure_share` of the last `sample_size` outcomes. The n-th ejection lasts
    `ejection_base_s` doubled n - 1 times, at most `ejection_limit_s`, lengthened by a
    random share up to `jitter_share`. After its circuit was closed for `reset_after_s`,
    a target starts again from the base.
    """

    ejection_share: float = 0.34
    ejection_base_s: float = 5.0
    ejection_limit_s: float = 120.0
    jitter_share: float = 0.5
    consecutive_failures: int = 5
    failure_share: float = 0.5
    sample_size: int = 20
    reset_after_s: float = 60.0
    trial_timeout_s: float = 30.0


class Circuit:
    """One target's recent outcomes and its circuit state."""

    def __init__(self, policy: HealthPolicy) -> None:
        self.policy = policy
        self.open_until_s = 0.0
        self._outcomes: deque[bool] = deque(maxlen=policy.sample_size)
        self._consecutive_failures = 0
        self._ejections = 0
        self._closed_since_s = 0.0
        self._trial_until_s = 0.0
        self._machine = start_machine(load_chart(_CHART), self)

    @property
    def state(self) -> str:
        """Return the circuit's state: `closed`, `open` or `half_open`."""
        return self._machine.state

    def is_outlier(self) -> bool:
        """Return whether the recent outcomes justify an ejection."""
        if self._consecutive_failures >= self.policy.consecutive_failures:
            return True
        failures = self._outcomes.count(False)
        full = len(self._outcomes) == self.policy.sample_size
        return full and failures >= self.policy.failure_share * self.policy.sample_size

    def observe(self, succeeded: bool, now_s: float, random: Random) -> None:
        """Record the outcome of a request."""
        self._outcomes.append(succeeded)
        self._consecutive_failures = 0 if succeeded else self._consecutive_failures + 1
        self._machine.feed("succeed" if succeeded else "fail", now_s, random)

    def eject(self, now_s: float, random: Random) -> None:
        """Open the circuit."""
        self._machine.feed("eject", now_s, random)

    def recall(self, now_s: float) -> None:
        """Close the circuit because too many targets of the pool are ejected."""
        self._machine.feed("recall", now_s, None)

    def tick(self, now_s: float, random: Random) -> None:
        """Make an open circuit half-open once its ejection is over."""
        if now_s >= self.open_until_s:
            self._machine.feed("time_over", now_s, random)

    def has_trial(self, now_s: float) -> bool:
        """Return whether a half-open circuit may get its one trial request now."""
        return self.state == _HALF_OPEN and now_s >= self._trial_until_s

    def start_trial(self, now_s: float) -> None:
        """Start the trial; if its outcome is not observed, another is allowed after a timeout."""
        self._trial_until_s = now_s + self.policy.trial_timeout_s

    def start_ejection(self, now_s: float, random: Random) -> None:
        """Chart action: set how long the circuit stays open."""
        if self._ejections and now_s - self._closed_since_s > self.policy.reset_after_s:
            self._ejections = 0
        length_s = min(
            self.policy.ejection_limit_s, self.policy.ejection_base_s * 2**self._ejections
        )
        self._ejections += 1
        self.open_until_s = now_s + length_s * random.uniform(1.0, 1.0 + self.policy.jitter_share)
        self._closed_since_s = self.open_until_s

    def allow_trial(self, now_s: float, random: Random) -> None:
        """Chart action: allow one trial request."""
        self._trial_until_s = 0.0

    def clear_failures(self, now_s: float, random: Random | None) -> None:
        """Chart action: clear the outcomes from before the ejection."""
        self._outcomes.clear()
        self._consecutive_failures = 0
        self._closed_since_s = now_s
