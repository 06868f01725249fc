"""Limits of callers, and token buckets for hard limits.

A hard limit counts tokens, of prompt and answer alike.

Load pattern: a caller sends more than its limit, whether others are idle or
not. `TokenBuckets` returns the time until a refused request would be
admitted, so that its retry is not refused again.
"""

from dataclasses import dataclass
from dataclasses import replace

from dahliashunt.decisions.events import CallerLimits
from dahliashunt.ids import CallerId

__all__ = ["LimitsTable", "TokenBuckets"]

_BLOCKED_RETRY_MS = 60_000
"""Retry delay of a caller whose limit is 0."""

_MIN_WEIGHT = 0.001

_SWEEP_CHECKS = 2
"""Buckets checked for eviction per new one; above 1 the table shrinks."""


class LimitsTable:
    """Limits by caller; equal limits share one object.

    Examples
    --------
    >>> table = LimitsTable()
    >>> table.put("a", CallerLimits(weight=2.0))
    >>> table.get("a").weight, table.get("b").weight
    (2.0, 1.0)
    """

    def __init__(self):
        self._default = CallerLimits()
        self._by_caller: dict[CallerId, CallerLimits] = {}
        self._shared: dict[CallerLimits, CallerLimits] = {}

    def put(self, caller: CallerId, limits: CallerLimits | None) -> None:
        """Set the limits of `caller`; None restores the default.

        The weight is raised to a positive minimum, since it is a divisor.
        """
        if limits is None or limits == self._default:
            self._by_caller.pop(caller, None)
            return
        if limits.weight < _MIN_WEIGHT:
            limits = replace(limits, weight=_MIN_WEIGHT)
        self._by_caller[caller] = self._shared.setdefault(limits, limits)

    def get(self, caller: CallerId) -> CallerLimits:
        """Return the limits of `caller`."""
        return self._by_caller.get(caller, self._default)


@dataclass(slots=True)
class _Bucket:
    tokens: float
    at_ms: int
    burst: float
    rate: float

    def refill(self, now: int) -> None:
        tokens = self.tokens + (now - self.at_ms) * self.rate
        self.tokens = min(self.burst, tokens)
        self.at_ms = now


class TokenBuckets:
    """Token buckets of callers with a hard limit.

    Examples
    --------
    >>> buckets = TokenBuckets()
    >>> limits = CallerLimits(tokens_a_second=100, burst_s=1.0)
    >>> buckets.take(0, "a", 60, limits)
    0
    >>> buckets.take(0, "a", 60, limits)
    200
    >>> buckets.take(200, "a", 60, limits)
    0
    """

    def __init__(self):
        self._by_caller: dict[CallerId, _Bucket] = {}

    def take(
        self, now: int, caller: CallerId, cost: float, limits: CallerLimits
    ) -> int:
        """Take `cost` tokens; return 0, or the milliseconds to wait for them.

        A request larger than the burst is admitted when the bucket is
        full, and leaves it in debt; otherwise it could never run.
        """
        if limits.tokens_a_second is None:
            return 0
        if limits.tokens_a_second <= 0:
            return _BLOCKED_RETRY_MS
        rate = limits.tokens_a_second / 1000
        burst = limits.tokens_a_second * limits.burst_s
        bucket = self._refilled(now, caller, rate, burst)
        missing = min(cost, burst) - bucket.tokens
        if missing > 1e-6:
            return max(1, -int(-missing // rate))
        bucket.tokens -= cost
        return 0

    def give_back(self, caller: CallerId, cost: float) -> None:
        """Refund `cost` tokens; a negative cost takes more."""
        bucket = self._by_caller.get(caller)
        if bucket is not None:
            bucket.tokens += cost

    def __len__(self) -> int:
        return len(self._by_caller)

    def _refilled(
        self, now: int, caller: CallerId, rate: float, burst: float
    ) -> _Bucket:
        bucket = self._by_caller.get(caller)
        if bucket is None:
            self._sweep(now)
            bucket = self._by_caller[caller] = _Bucket(burst, now, burst, rate)
        bucket.burst = burst
        bucket.rate = rate
        bucket.refill(now)
        return bucket

    def _sweep(self, now: int) -> None:
        # A full bucket equals a new one and can be evicted.
        for _ in range(min(_SWEEP_CHECKS, len(self._by_caller))):
            caller = next(iter(self._by_caller))
            bucket = self._by_caller.pop(caller)
            bucket.refill(now)
            if bucket.tokens < bucket.burst:
                self._by_caller[caller] = bucket
