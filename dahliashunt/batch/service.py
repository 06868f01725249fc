"""The batch part of one node, as the entry uses it."""

from collections.abc import AsyncIterator
import random

from dahliashunt.batch.files import FileStore
from dahliashunt.batch.front import BatchFront
from dahliashunt.batch.front import JobView
from dahliashunt.batch.front import NewJob
from dahliashunt.batch.items import ItemRunner
from dahliashunt.batch.job import JobRecord
from dahliashunt.batch.lease import owner_name
from dahliashunt.batch.lease import UNOWNED
from dahliashunt.batch.messages import Accepted
from dahliashunt.batch.messages import StopsSeen
from dahliashunt.batch.order_port import JobOrder
from dahliashunt.batch.owner import Owner
from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.batch.results import result_size
from dahliashunt.batch.results import ResultKind
from dahliashunt.batch.results import results
from dahliashunt.ids import CallerId
from dahliashunt.ids import JobId
from dahliashunt.ids import NodeId
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.objects import ObjectStore
from dahliashunt.ports.table import TableService

__all__ = ["BatchService"]


class BatchService:
    """Accepts, runs and reads back batch jobs.

    Parameters
    ----------
    table, objects, clock
        Ports.
    rng : random.Random
    node_id : NodeId
        Of this process; each start of it is a new owner of claims.
    runner : ItemRunner
        Runs items on the fleet.
    order : JobOrder
        Decides whose items start when there is room.
    policy : BatchPolicy

    Notes
    -----
    Only `run` works on jobs; every other call reads and writes the store
    and answers for all jobs, whoever works on them.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        rng: random.Random,
        node_id: NodeId,
        runner: ItemRunner,
        order: JobOrder,
        policy: BatchPolicy | None = None,
    ):
        policy = policy or BatchPolicy()
        self.policy = policy
        self.owner = owner_name(node_id, f"{rng.getrandbits(64):016x}")
        self.files = FileStore(table, objects, clock, rng, policy)
        self._table = table
        self._objects = objects
        self._front = BatchFront(
            table, self.files, clock, policy, self._first_owner
        )
        self._owner = Owner(
            table,
            objects,
            clock,
            rng,
            self.owner,
            runner,
            order,
            self.files,
            policy,
        )

    def _first_owner(self):
        return self.owner if self._owner.takes_claims else UNOWNED

    @property
    def held_bytes(self) -> int:
        """Result bytes in memory that are not known to be committed."""
        return self._owner.held_bytes

    @property
    def running(self) -> int:
        """Tries in progress."""
        return self._owner.running

    async def run(self) -> None:
        """Work on jobs until cancelled or drained."""
        await self._owner.run()

    async def drain(self) -> None:
        """Leave gracefully: running items end, claims go to others."""
        await self._owner.drain()

    async def find(self, new: NewJob) -> JobRecord | None:
        """Return the job that was accepted for such a request, or None.

        Raises
        ------
        RequestError
            Its key names another job.
        """
        return await self._front.find(new)

    async def submit(self, new: NewJob) -> JobRecord:
        """Accept a job, or find the one that its key already named."""
        job = await self._front.submit(new)
        if job.live:
            self._owner.tell(Accepted(job))
        return job

    async def get(self, caller: CallerId, job_id: JobId) -> JobView:
        """Return a caller's job with its counts."""
        return await self._front.get(caller, job_id)

    async def list(
        self, caller: CallerId, after: JobId | None = None, limit: int = 20
    ) -> list[JobView]:
        """Return a page of a caller's jobs, newest first."""
        return await self._front.list(caller, after, limit)

    async def cancel(self, caller: CallerId, job_id: JobId) -> JobView:
        """Cancel a job; nothing is committed after this returns."""
        view = await self._front.cancel(caller, job_id)
        self._owner.tell(StopsSeen(frozenset({job_id})))
        return view

    def results(
        self, job: JobRecord, kind: ResultKind = ResultKind.OUTPUT
    ) -> AsyncIterator[bytes]:
        """Yield a job's committed lines, as far as it is."""
        return results(self._table, self._objects, job, kind)

    async def result_size(self, job: JobRecord, kind: ResultKind) -> int:
        """Return the bytes of a job's committed lines."""
        return await result_size(self._table, job, kind)
