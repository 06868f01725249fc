"""Assemble the components that store and run batch jobs on an entry."""

import secrets

from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.forwarding.answer_room import AnswerRoom
from dahliashunt.forwarding.node import Node
from dahliashunt.forwarding.replica_selector import ReplicaSelector
from dahliashunt.ids import NodeId
from dahliashunt.jobs.beats import BeatReader
from dahliashunt.jobs.beats import BeatWriter
from dahliashunt.jobs.checkpoints import Checkpoints
from dahliashunt.jobs.expiry import Expiry
from dahliashunt.jobs.ledger import JobLedger
from dahliashunt.jobs.model import Owner
from dahliashunt.jobs.partials import PartialTexts
from dahliashunt.jobs.payload_room import PayloadRoom
from dahliashunt.jobs.takeover import Takeover
from dahliashunt.jobs.view import JobView
from dahliashunt.jobs.worker import JobWorker
from dahliashunt.platform.dialect import PlatformDialect
from dahliashunt.platform.job_bodies import PlatformPayloadReader
from dahliashunt.platform.store import PlatformStore

__all__ = ["JobParts"]

HANDOVER_RETRY_MS = 300
"""Delay between attempts to save checkpoints during shutdown."""


class JobParts:
    """View, ledger, worker, takeover and expiry of one entry's jobs.

    Parameters
    ----------
    node : Node
    store : PlatformStore
    places : ReplicaSelector
    pool : ConnectionPool
    keep_ms : int
        Retention of results after a job's acceptance.
    room : PayloadRoom
    text_room : AnswerRoom

    Attributes
    ----------
    view : JobView
    ledger : JobLedger
    partials : PartialTexts
    expiry : Expiry
    worker : JobWorker
    """

    def __init__(
        self,
        node: Node,
        store: PlatformStore,
        places: ReplicaSelector,
        pool: ConnectionPool,
        keep_ms: int,
        room: PayloadRoom,
        text_room: AnswerRoom,
    ):
        owner = Owner(NodeId(node.metrics.node_id), secrets.token_hex(6))
        self._node = node
        self.store = store
        self.view = JobView(node.log)
        self.ledger = JobLedger(store, store, self.view, owner, node.log)
        self.partials = PartialTexts(store, node.log)
        self.worker = self._make_worker(places, pool, room, text_room)
        self._checkpoints = Checkpoints(self.worker, self.partials, node.clock)
        self._reader = BeatReader(store, owner, node.clock, node.log)
        self._takeover = self._make_takeover(owner)
        self.expiry = self._make_expiry(keep_ms)

    def _make_worker(self, places, pool, room, text_room):
        return JobWorker(
            self._node,
            self.view,
            self.ledger,
            places,
            pool,
            PlatformDialect(),
            PlatformPayloadReader(),
            self.partials,
            self.store.now_ms,
            room,
            text_room,
        )

    @property
    def owners(self) -> int:
        """Number of entries known to renew their heartbeat rows."""
        return self._reader.owners

    def _make_takeover(self, owner):
        node, store = self._node, self.store
        return Takeover(
            self.view,
            self.ledger,
            self.worker,
            BeatWriter(store, owner, node.log),
            self._reader,
            node.clock,
            node.rng,
            node.log,
        )

    def _make_expiry(self, keep_ms):
        node = self._node
        return Expiry(
            self.view,
            self.ledger,
            keep_ms,
            self.store.now_ms,
            node.clock,
            node.rng,
            node.log,
        )

    @property
    def unfinished(self) -> list:
        """Pairs of job id and unfinished item, of this node's jobs."""
        return self.worker.unfinished()

    def loops(self) -> list:
        """Return the coroutines of the background loops."""
        return [
            self.worker.run(),
            self._takeover.renew(),
            self._takeover.watch(),
            self._checkpoints.run(),
            self.expiry.run(),
        ]

    async def hand_over(self, until_ms: int) -> None:
        """Save checkpoints of this node's items and release its jobs.

        Other entries then resume the items without waiting for a missed
        heartbeat. While the store is unavailable the items keep running
        here, until `until_ms` at most.
        """
        clock = self._node.clock
        while not await self._checkpoints.save():
            if clock.now_ms() + HANDOVER_RETRY_MS >= until_ms:
                break
            await clock.sleep_ms(HANDOVER_RETRY_MS)
        self.worker.leave()
        await self._takeover.leave()
