"""Which replicas to avoid, from what became of requests sent there.

Load pattern
------------
A replica goes dark, resets or fails a part of its requests while its own
health answers, and the list of replicas, still call it good for seconds.

What goes wrong without it
--------------------------
Routing by free slots favours exactly the broken replica: it fails fast,
so it always looks idle, and draws the whole traffic.

How
---
Each failure doubles the time for which the replica is asked last, up to a
bound; then requests return to it as probes, one at a time, and one that is
served clears it. All suspects are still used when nothing else is left.
"""

from dataclasses import dataclass

__all__ = ["Suspicion"]

INITIAL_AVOID_MS = 400
"""Avoided after one failure: a restart or a lost connection is over by
then, and a served request meanwhile clears it."""

MAX_AVOID_MS = 3_000
"""Longest time without a probe: replicas are back after some seconds."""

SUCCESS_DECAY = 0.5
"""Share of the failure score that one served request takes away; a replica
that fails a third of its requests stays suspected, since two served
requests do not outweigh one failure."""


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
        """Note a request that the replica lost or failed."""
        record = self._record_by_id.setdefault(replica_id, _Record())
        record.score += 1
        avoid_ms = INITIAL_AVOID_MS * 2 ** (record.score - 1)
        record.avoid_until_ms = now_ms + int(min(avoid_ms, MAX_AVOID_MS))

    def served(self, replica_id) -> None:
        """Note a request that the replica served."""
        record = self._record_by_id.get(replica_id)
        if record is None:
            return
        record.score *= SUCCESS_DECAY
        record.avoid_until_ms = 0
        record.probing_until_ms = 0
        if record.score < SUCCESS_DECAY:
            del self._record_by_id[replica_id]

    def is_avoided(self, replica_id, now_ms: int) -> bool:
        """Tell whether others should be asked first."""
        record = self._record_by_id.get(replica_id)
        if record is None or record.score < SUCCESS_DECAY:
            return False
        return now_ms < max(record.avoid_until_ms, record.probing_until_ms)

    def probe(self, replica_id, now_ms: int) -> None:
        """Note that a request goes to a replica that was suspected.

        Until it is served or fails no other is sent there first.
        """
        record = self._record_by_id.get(replica_id)
        if record is not None:
            record.probing_until_ms = now_ms + INITIAL_AVOID_MS

    def keep_only(self, replica_ids) -> None:
        """Forget replicas that are not in `replica_ids`."""
        for replica_id in list(self._record_by_id):
            if replica_id not in replica_ids:
                del self._record_by_id[replica_id]
