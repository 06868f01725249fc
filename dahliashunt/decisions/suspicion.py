"""Passive health checks of replicas, from the outcomes of requests.

Load pattern
------------
A replica hangs, resets connections or fails a part of its requests, while
its health check and the list of replicas still report it as healthy.

What goes wrong without it
--------------------------
Routing by free slots favours the broken replica: it fails fast, always looks
idle, and attracts all traffic.

How
---
Each failure doubles the time for which the replica is asked last, up to a
bound. Then single requests probe it; one that is served ends the avoidance.
Suspected replicas are still used when no other is left.
"""

from dataclasses import dataclass

__all__ = ["Suspicion"]

INITIAL_AVOID_MS = 400
"""Milliseconds of avoidance after one failure."""

MAX_AVOID_MS = 3_000
"""Longest avoidance without a probe, in milliseconds."""

SUCCESS_DECAY = 0.5
"""Factor on the failure score per served request, and the score below which
a record is dropped. A replica that fails a third of its requests stays
suspected: two served ones do not outweigh a failure."""


@dataclass(slots=True)
class _Record:
    score: float = 0.0
    avoid_until_ms: int = 0
    probing_until_ms: int = 0


class Suspicion:
    """Failure records by replica.

    Examples
    --------
    >>> suspicion = Suspicion()
    >>> suspicion.failed("a", 0)
    >>> suspicion.is_avoided("a", 10), suspicion.is_avoided("b", 10)
    (True, False)
    >>> suspicion.served("a")
    >>> suspicion.is_avoided("a", 10)
    False
    """

    def __init__(self):
        self._record_by_id: dict[object, _Record] = {}

    def failed(self, replica_id, now_ms: int) -> None:
        """Record a request that the replica lost or failed."""
        record = self._record_by_id.setdefault(replica_id, _Record())
        record.score += 1
        avoid_ms = INITIAL_AVOID_MS * 2 ** (record.score - 1)
        record.avoid_until_ms = now_ms + int(min(avoid_ms, MAX_AVOID_MS))

    def served(self, replica_id) -> None:
        """Record a request that the replica served."""
        record = self._record_by_id.get(replica_id)
        if record is None:
            return
        record.score *= SUCCESS_DECAY
        record.avoid_until_ms = 0
        record.probing_until_ms = 0
        if record.score < SUCCESS_DECAY:
            del self._record_by_id[replica_id]

    def is_avoided(self, replica_id, now_ms: int) -> bool:
        """Tell whether other replicas should be asked first."""
        record = self._record_by_id.get(replica_id)
        if record is None or record.score < SUCCESS_DECAY:
            return False
        return now_ms < max(record.avoid_until_ms, record.probing_until_ms)

    def probe(self, replica_id, now_ms: int) -> None:
        """Record that a request probes a suspected replica.

        The replica is avoided until it serves a request, or for
        `INITIAL_AVOID_MS`.
        """
        record = self._record_by_id.get(replica_id)
        if record is not None:
            record.probing_until_ms = now_ms + INITIAL_AVOID_MS

    def keep_only(self, replica_ids) -> None:
        """Forget replicas that are not in `replica_ids`."""
        for replica_id in list(self._record_by_id):
            if replica_id not in replica_ids:
                del self._record_by_id[replica_id]
