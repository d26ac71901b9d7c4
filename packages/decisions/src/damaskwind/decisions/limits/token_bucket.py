"""A token bucket with a credit of some seconds of its rate, plus one request."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Accumulate tokens at a variable rate, up to `burst_s` seconds of it.

    A request may enter while the debt is at most `credit_s` seconds of the rate, and
    then takes its whole cost. A request larger than burst and credit is thus
    admitted too, and its debt is repaid before the next one enters. The long-term
    average stays within the rate.

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
        """Add the tokens gained since the last call."""
        gained = rate_per_s * max(0.0, now_s - self._filled_s)
        self._filled_s = max(now_s, self._filled_s)
        self._level = min(self._level + gained, max(rate_per_s * self.burst_s, 0.0))

    def take(self, tokens: float, now_s: float) -> None:
        """Take tokens, going into debt if necessary; a negative number returns tokens."""
        self._filled_s = max(now_s, self._filled_s)
        self._level -= tokens

    def debt(self) -> float:
        """Return the number of tokens still to be repaid."""
        return max(0.0, -self._level)

    def wait_s(self, rate_per_s: float, now_s: float) -> float | None:
        """Return the seconds until a request may enter, or `None` if the rate is 0."""
        self.fill(rate_per_s, now_s)
        if rate_per_s <= 0:
            return None
        return max(0.0, self.debt() / rate_per_s - self.credit_s)
