"""The records in force on this entry, from the table and from peers.

The follower and the catalog belong to one task. Links tell it what agents
hold; it tells agents and is told by them through the same frames, so that
an entry started while the table service is out gets its records from the
agents that it links to.
"""

import asyncio
from dataclasses import dataclass

from dahliashunt.adapters.wire.gen.link.ttypes import Frame
from dahliashunt.adapters.wire.gen.link.ttypes import RecordsSnapshot
from dahliashunt.adapters.wire.gen.link.ttypes import RecordsWanted
from dahliashunt.ids import NodeId
from dahliashunt.ids import Revision
from dahliashunt.mailbox import Mailbox
from dahliashunt.records.catalog import Catalog
from dahliashunt.records.delta import decode_changed
from dahliashunt.records.exchange import parcel_for
from dahliashunt.records.fetch import follow
from dahliashunt.records.follower import Follower
from dahliashunt.records.snapshot import BadSnapshot
from dahliashunt.records.snapshot import Snapshot

__all__ = ["RecordsNode"]

LOOK_MS = 250
HERE = NodeId("this entry")


@dataclass(frozen=True, slots=True)
class _PeerRevision:
    link: object
    revision: Revision


@dataclass(frozen=True, slots=True)
class _PeerWants:
    link: object
    have: Revision


@dataclass(frozen=True, slots=True)
class _PeerSnapshot:
    link: object
    snapshot: RecordsSnapshot


@dataclass(frozen=True, slots=True)
class _Adopted:
    snapshot: Snapshot


class RecordsNode:
    """Holds the follower and the catalog of one entry.

    Parameters
    ----------
    table : TableService or None
        None leaves only peers to learn from.
    follower : Follower
    catalog : Catalog
    clock : Clock
    log : structlog logger
    adopted : callable, optional
        Called with the catalog after each adoption.
    """

    def __init__(self, table, follower, catalog, clock, log, adopted=None):
        self.catalog: Catalog = catalog
        self.revision_by_endpoint: dict[str, Revision] = {}
        self.lagging_by_endpoint: dict[str, tuple] = {}
        self._table = table
        self._follower: Follower = follower
        self._clock = clock
        self._log = log
        self._adopted = adopted or (lambda catalog: None)
        self._mailbox = Mailbox()
        self._nudge = asyncio.Event()
        self._link_by_endpoint = {}
        self._handler_by_type = {
            _PeerRevision: self._on_peer_revision,
            _PeerWants: self._on_peer_wants,
            _PeerSnapshot: self._on_peer_snapshot,
        }

    @property
    def revision(self) -> Revision:
        """The revision in force here; 0 if none is yet."""
        return self.catalog.revision

    @property
    def revision_by_entry(self) -> dict[str, Revision]:
        """Other entries that some agent has seen lag, and how far."""
        return {
            node.node_id: Revision(node.revision)
            for lagging in self.lagging_by_endpoint.values()
            for node in lagging
        }

    @property
    def known_head(self) -> Revision:
        """The highest revision heard of from anywhere."""
        return self._follower.known_head

    @property
    def snapshot(self) -> Snapshot:
        """The records in force."""
        return self.catalog.snapshot

    async def run(self) -> None:
        """Follow the records until cancelled."""
        async with asyncio.TaskGroup() as group:
            if self._table is not None:
                group.create_task(
                    follow(
                        self._table,
                        self._follower,
                        self._clock,
                        lambda snapshot: self._mailbox.put(_Adopted(snapshot)),
                        self._nudge,
                    )
                )
            group.create_task(self._handle())

    # From the dispatcher.

    def peer_revision(self, link, revision: int, lagging=()) -> None:
        """Take note of what an agent holds, and of entries that lag."""
        self.lagging_by_endpoint[link.endpoint_id] = tuple(lagging)
        self._mailbox.put(_PeerRevision(link, Revision(revision)))

    def peer_wants(self, link, wanted) -> None:
        """Send an agent what it has not got."""
        self._mailbox.put(_PeerWants(link, Revision(wanted.have_revision)))

    def peer_snapshot(self, link, snapshot: RecordsSnapshot) -> None:
        """Take an agent's records."""
        self._mailbox.put(_PeerSnapshot(link, snapshot))

    def peer_gone(self, endpoint_id) -> None:
        """Forget an agent whose link is down."""
        self._link_by_endpoint.pop(endpoint_id, None)
        self.revision_by_endpoint.pop(endpoint_id, None)
        self.lagging_by_endpoint.pop(endpoint_id, None)
        self._follower.peer_gone(endpoint_id)

    async def _handle(self):
        while True:
            for message in await self._mailbox.take(LOOK_MS):
                if isinstance(message, _Adopted):
                    await self._adopt(message.snapshot)
                else:
                    handled = self._handler_by_type[type(message)](message)
                    if handled is not None:
                        await self._adopt(handled)
            self._ask_peer()

    async def _adopt(self, snapshot):
        before = self.catalog.revision
        for _ in self.catalog.advance_in_steps(snapshot):
            await asyncio.sleep(0)
        if self.catalog.revision == before:
            return
        self._log.info("records_in_force", revision=self.revision)
        for noted in self.catalog.not_applied:
            self._log.warning(
                "record_not_applied",
                record=f"{noted.key.kind}/{noted.key.name}",
                reason=noted.reason,
            )
        self._adopted(self.catalog)

    def _on_peer_revision(self, message):
        endpoint_id = message.link.endpoint_id
        self._link_by_endpoint[endpoint_id] = message.link
        self.revision_by_endpoint[endpoint_id] = message.revision
        now = self._clock.now_ms()
        before = self._follower.known_head
        self._follower.heard(endpoint_id, message.revision, now)
        if self._follower.known_head > before:
            self._nudge.set()

    def _on_peer_wants(self, message):
        parcel = parcel_for(self.snapshot, message.have)
        if parcel is None:
            return
        snapshot = RecordsSnapshot(
            revision=parcel.revision, body=parcel.body, since=parcel.since
        )
        message.link.send(Frame(records_snapshot=snapshot))

    def _on_peer_snapshot(self, message):
        """Return the snapshot that came into force, if one did."""
        told = message.snapshot
        endpoint_id = message.link.endpoint_id
        now = self._clock.now_ms()
        try:
            if told.since is None:
                adopted = self._follower.peer_answered(
                    endpoint_id, Snapshot.decode(told.body), now
                )
            else:
                adopted = self._follower.peer_told(
                    endpoint_id,
                    Revision(told.since),
                    Revision(told.revision),
                    decode_changed(told.body),
                    now,
                )
        except BadSnapshot as error:
            self._log.warning("bad_snapshot", why=str(error))
            return None
        return self._follower.snapshot if adopted else None

    def accepted_here(self, revision: Revision) -> None:
        """Read a change at once that this entry has just written."""
        self._follower.heard(HERE, revision, self._clock.now_ms())
        # The read is due now; as a peer to be asked it does not exist.
        self._follower.peer_gone(HERE)
        self._nudge.set()

    def _ask_peer(self):
        asked = self._follower.next_peer(self._clock.now_ms())
        if asked is None:
            return
        link = self._link_by_endpoint.get(asked.node_id)
        if link is not None:
            wanted = RecordsWanted(have_revision=asked.have)
            link.send(Frame(records_wanted=wanted))
