"""The recent demand for one account at one router."""

from collections import deque
from math import exp

__all__ = ["Demand"]

UNMET_S = 1.0
UNMET_LIMIT = 256
TOKENS_WINDOW_S = 30.0
HEADROOM_FACTOR = 4.0
NEEDED_FACTOR = 1.5


class Demand:
    """Track the requests in progress, those not admitted at once, and the token rate.

    The demand decreases only after `idle_s`, so that a share is not returned between
    two requests.
    """

    def __init__(self, idle_s: float) -> None:
        self.idle_s = idle_s
        self.in_use = 0
        self._unmet: deque[float] = deque(maxlen=UNMET_LIMIT)
        self._peaks: deque[tuple[float, int]] = deque()
        self._tokens = 0.0
        self._decayed_s = 0.0
        self._last_arrival_s = float("-inf")

    def record_arrival(self, tokens: int, now_s: float) -> None:
        """Record a request and its expected cost."""
        self._decay(now_s)
        self._tokens += tokens
        self._last_arrival_s = now_s

    def record_unmet(self, now_s: float) -> None:
        """Record a request that could not be admitted at once."""
        self._unmet.append(now_s)

    def change_in_use(self, change: int, now_s: float) -> None:
        """Record a request that was admitted or ended."""
        self._record_peak(now_s)
        self.in_use = max(0, self.in_use + change)
        self._record_peak(now_s)

    def reset_peaks(self, now_s: float) -> None:
        """Reduce the demand to current use and unmet requests, since other routers need units."""
        self._peaks.clear()
        self._record_peak(now_s)

    def unmet(self, now_s: float) -> int:
        """Return how many recent requests were not admitted at once."""
        while self._unmet and self._unmet[0] <= now_s - UNMET_S:
            self._unmet.popleft()
        return len(self._unmet)

    def wanted(self, now_s: float) -> int:
        """Return the number of concurrent requests to ask for."""
        self._record_peak(now_s)
        return max(self._peaks[0][1], self.in_use + self.unmet(now_s))

    def wanted_tokens_per_s(self, now_s: float) -> int:
        """Return the token rate to ask for; 0 if there are no recent or running requests."""
        if not self.in_use and now_s - self._last_arrival_s >= self.idle_s:
            return 0
        self._decay(now_s)
        return int(HEADROOM_FACTOR * self._tokens / TOKENS_WINDOW_S + 0.5)

    def needed_tokens_per_s(self, now_s: float) -> int:
        """Return the token rate that suffices, which is lower than the one asked for."""
        self._decay(now_s)
        return int(NEEDED_FACTOR * self._tokens / TOKENS_WINDOW_S + 0.5)

    def _decay(self, now_s: float) -> None:
        """Decay the tokens of past arrivals exponentially."""
        if now_s > self._decayed_s:
            self._tokens *= exp((self._decayed_s - now_s) / TOKENS_WINDOW_S)
            self._decayed_s = now_s

    def _record_peak(self, now_s: float) -> None:
        """Update the decreasing sequence of peaks of the last `idle_s` seconds."""
        while self._peaks and self._peaks[-1][1] <= self.in_use:
            self._peaks.pop()
        self._peaks.append((now_s, self.in_use))
        while len(self._peaks) > 1 and self._peaks[0][0] <= now_s - self.idle_s:
            self._peaks.popleft()
