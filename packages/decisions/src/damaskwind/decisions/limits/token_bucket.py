"""A token bucket that lends some seconds of its rate, and one request beyond."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Save up tokens at a rate that may change, for at most `burst_s` seconds.

    A request is let in while the debt is at most `credit_s` seconds of the rate and
    then takes its whole cost, so that one larger than all this gets through and is
    paid off before the next. Over time the rate holds.

    >>> bucket = TokenBucket(burst_s=2.0)
    >>> bucket.take(500, 0.0)
    >>> bucket.wait_s(100.0, 0.0)
    5.0
    >>> bucket = TokenBucket(burst_s=2.0, credit_s=2.0)
    >>> bucket.take(500, 0.0)
    >>> bucket.wait_s(100.0, 0.0)
    3.0
    """

    def __init__(self, burst_s: float, credit_s: float = 0.0) -> None:
        self.burst_s = burst_s
        self.credit_s = credit_s
        self._level = 0.0
        self._filled_s = 0.0

    def fill(self, rate_per_s: float, now_s: float) -> None:
        """Add what the rate gave since the last call."""
        gained = rate_per_s * max(0.0, now_s - self._filled_s)
        self._filled_s = max(now_s, self._filled_s)
        self._level = min(self._level + gained, max(rate_per_s * self.burst_s, 0.0))

    def take(self, tokens: float, now_s: float) -> None:
        """Take tokens, into debt if need be; a negative number gives some back."""
        self._filled_s = max(now_s, self._filled_s)
        self._level -= tokens

    def debt(self) -> float:
        """Return the tokens still to be paid off."""
        return max(0.0, -self._level)

    def wait_s(self, rate_per_s: float, now_s: float) -> float | None:
        """Return how long until a request may come in; `None` without any rate."""
        self.fill(rate_per_s, now_s)
        if rate_per_s <= 0:
            return None
        return max(0.0, self.debt() / rate_per_s - self.credit_s)
