"""Staggers loads of weights under the weight store's rate.

Load pattern: a lost rack or a rollout asks for many replicas' weights at
once. The store's rate is shared, so that n loads at a time take n times as
long and the first replica serves as late as the last. The bucket admits a
load when the bytes of the earlier ones could have come, and no more than
two at a time: one endpoint alone seldom takes the store's whole rate, and
with four the mean of ten loads was 134 s against 121 s.
"""

from dahliashunt.decisions.replica_targets import PlacementPolicy

__all__ = ["LoadBucket"]


class LoadBucket:
    """Token bucket in bytes; a load may overdraw it once."""

    def __init__(self, policy: PlacementPolicy):
        self._policy = policy
        self._bytes = 0.0
        self._refilled_ms: int | None = None

    def refill(self, now: int, rate_bytes_s: float) -> None:
        """Add what the store gives since the last call."""
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

        The bucket may go below zero by one load: one model can be larger
        than any burst, and would never load otherwise.
        """
        if in_progress >= self._policy.most_loads or self._bytes <= 0:
            return False
        self._bytes -= size
        return True
