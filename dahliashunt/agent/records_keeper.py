"""The newest serving records that an agent has heard of.

Agents never read the table service for records; entries bring them over
links, and agents give them to entries that were started in an outage.
"""

from dahliashunt.adapters.wire.gen.link.ttypes import RecordsSnapshot
from dahliashunt.adapters.wire.gen.link.ttypes import RecordsWanted
from dahliashunt.ids import Revision
from dahliashunt.records.exchange import apply_parcel
from dahliashunt.records.exchange import Parcel
from dahliashunt.records.exchange import parcel_for
from dahliashunt.records.snapshot import BadSnapshot
from dahliashunt.records.snapshot import Snapshot

__all__ = ["RecordsKeeper"]

ASK_AGAIN_MS = 1_000
"""Between two requests for records, over all linked entries."""


class RecordsKeeper:
    """Holds the snapshot of the highest revision."""

    def __init__(self):
        self._snapshot: Snapshot | None = None
        self._asked_ms = None

    @property
    def revision(self) -> Revision:
        """The revision held; 0 before any came."""
        return (
            Revision(0)
            if self._snapshot is None
            else (self._snapshot.revision)
        )

    @property
    def snapshot(self) -> Snapshot | None:
        """The records held."""
        return self._snapshot

    def wanted(self, peer_revision: int, now: int) -> RecordsWanted | None:
        """Return what to ask of an entry, if it has newer records."""
        if peer_revision <= self.revision:
            return None
        if self._asked_ms is not None and now - self._asked_ms < ASK_AGAIN_MS:
            return None
        self._asked_ms = now
        return RecordsWanted(have_revision=self.revision)

    def offer(self, message: RecordsSnapshot) -> bool:
        """Take records if they are newer; return whether they were.

        A lagging entry may send older ones at any time; to adopt them
        would bring back what a later change had taken away.
        """
        self._asked_ms = None
        parcel = Parcel(message.revision, message.body, message.since)
        try:
            adopted = apply_parcel(self._snapshot, parcel)
        except BadSnapshot:
            return False
        if adopted is None:
            return False
        self._snapshot = adopted
        return True

    def snapshot_after(self, revision: int) -> RecordsSnapshot | None:
        """Return what an entry needs that has `revision`, or None."""
        if self._snapshot is None:
            return None
        parcel = parcel_for(self._snapshot, Revision(revision))
        if parcel is None:
            return None
        return RecordsSnapshot(
            revision=parcel.revision, body=parcel.body, since=parcel.since
        )
