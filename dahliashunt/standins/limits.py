"""A limit on calls a second."""

from dahliashunt.ports.clock import Clock

__all__ = ["RateLimit"]


class RateLimit:
    """Token bucket that holds the calls of one second, at least one.

    Parameters
    ----------
    per_s : float
        Calls a second; 0 sets no limit.
    clock : Clock
    """

    def __init__(self, per_s: float, clock: Clock):
        self._per_s = per_s
        self._clock = clock
        self._most = max(1, per_s)
        self._left = self._most
        self._at_ms = clock.now_ms()

    def take(self) -> bool:
        """Return whether one more call is within the limit."""
        if not self._per_s:
            return True
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._at_ms) * self._per_s / 1000
        self._left = min(self._most, self._left + gained)
        self._at_ms = now_ms
        if self._left < 1:
            return False
        self._left -= 1
        return True
