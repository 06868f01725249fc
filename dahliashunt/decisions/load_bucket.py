"""Token bucket that limits loads of model weights to the weight store's rate.

Load pattern
------------
A lost rack or a rollout requests the weights of many replicas at once.

What goes wrong without it
--------------------------
The store's rate is shared, so that n concurrent loads take n times as long,
and the first replica is ready as late as the last.

How
---
A load is admitted when the bytes of the earlier ones could have arrived, and
while fewer than `PlacementPolicy.most_loads` are in progress. More than one
at a time is useful, since a single endpoint seldom uses the whole rate.
"""

from dahliashunt.decisions.replica_targets import PlacementPolicy

__all__ = ["LoadBucket"]


class LoadBucket:
    """Token bucket in bytes; a load may overdraw it."""

    def __init__(self, policy: PlacementPolicy):
        self._policy = policy
        self._bytes = 0.0
        self._refilled_ms: int | None = None

    def refill(self, now: int, rate_bytes_s: float) -> None:
        """Add the bytes that the store can have sent since the last call."""
        usable = rate_bytes_s * self._policy.weight_rate_share
        burst = usable * self._policy.load_burst_s
        if self._refilled_ms is None:
            self._bytes = burst
        else:
            elapsed_s = (now - self._refilled_ms) / 1000
            self._bytes = min(burst, self._bytes + usable * elapsed_s)
        self._refilled_ms = now

    def admit(self, size: int, in_progress: int) -> bool:
        """Return whether a load of `size` may start, and charge it.

        The bucket may go below zero by one load, since a model can be larger
        than the burst.
        """
        if in_progress >= self._policy.most_loads or self._bytes <= 0:
            return False
        self._bytes -= size
        return True
