"""What a batch owner's helper tasks do with the store.

Every call is repeated, unchanged and with backoff, while the store gives
no answer; each task ends by a message to the owner's main task.
"""

import asyncio
from collections.abc import Callable
import random

import structlog

from dahliashunt.batch.files import FileStore
from dahliashunt.batch.held import CommitBatch
from dahliashunt.batch.job import group_bounds
from dahliashunt.batch.job import JobRecord
from dahliashunt.batch.job import JobState
from dahliashunt.batch.lease import Claim
from dahliashunt.batch.messages import ChunkLoaded
from dahliashunt.batch.messages import ClaimHeld
from dahliashunt.batch.messages import ClaimLost
from dahliashunt.batch.messages import Committed
from dahliashunt.batch.messages import Finished
from dahliashunt.batch.messages import Key
from dahliashunt.batch.messages import StopsSeen
from dahliashunt.batch.reads import read_chunks
from dahliashunt.batch.reads import read_job
from dahliashunt.batch.rows import claim_key
from dahliashunt.batch.steps import commit
from dahliashunt.batch.steps import Fenced
from dahliashunt.batch.steps import leave
from dahliashunt.batch.steps import release
from dahliashunt.batch.steps import stop
from dahliashunt.batch.work import ClaimWork
from dahliashunt.errors import PlatformError
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.objects import ObjectStore
from dahliashunt.ports.table import TableService

__all__ = ["OwnerIO"]

_LOG = structlog.get_logger(__name__)
_BACKOFF_MS = 100
_BACKOFF_MAX_MS = 2_000


class OwnerIO:
    """The store as an owner's helper tasks use it.

    Parameters
    ----------
    table, objects, clock
        Ports.
    rng : random.Random
    owner : str
        Name of this run of the node.
    files : FileStore
    calls_at_once : int
        Most calls in flight.
    tell : callable
        Puts a message in the main task's inbox.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        rng: random.Random,
        owner: str,
        files: FileStore,
        calls_at_once: int,
        tell: Callable,
    ):
        self._table = table
        self._objects = objects
        self._clock = clock
        self._rng = rng
        self._name = owner
        self._files = files
        self._calls = asyncio.Semaphore(calls_at_once)
        self._tell = tell

    async def open_claim(self, key: Key) -> None:
        """Read a claim that should be this node's, and its work so far."""
        held = await self._until_answered(lambda: self._read_claim(key))
        self._tell(held if held is not None else ClaimLost(key))

    async def _read_claim(self, key):
        row = await self._table.read(claim_key(*key))
        job = await read_job(self._table, key[0])
        if row is None or job is None:
            return None
        claim = Claim.from_row(row)
        if claim.owner != self._name:
            return None
        chunks = await read_chunks(
            self._table, job, *group_bounds(job, claim.group)
        )
        return ClaimHeld(job, claim, chunks)

    async def load(self, work: ClaimWork, chunk: int) -> None:
        """Read an input chunk for its items' first tries."""

        async def read():
            return await self._files.chunk_lines(work.job.objects, chunk)

        try:
            lines = await self._until_answered(read)
        except LookupError:
            lines = None
        self._tell(ChunkLoaded(work.key, chunk, lines))

    async def commit(self, work: ClaimWork, batch: CommitBatch) -> None:
        """Store and commit results, repeating both unchanged."""

        async def put():
            await self._objects.put(batch.part.name, batch.data)

        async def transact():
            return await commit(
                self._table, batch.before, batch.after, work.claim, work.job
            )

        try:
            await self._until_answered(put)
            record = await self._until_answered(transact)
        except Fenced:
            await self._after_fenced(work, batch)
            return
        self._tell(Committed(work.key, record))

    async def _after_fenced(self, work, batch):
        """Find out why a commit was refused; drop its object.

        Either the job is being stopped, or the claim is another's. The
        refused results are not readable by anyone, and never billed.
        """
        job = await self._until_answered(
            lambda: read_job(self._table, work.job.job_id)
        )
        if job is not None and not job.live:
            self._tell(StopsSeen(frozenset({job.job_id})))
        else:
            self._tell(ClaimLost(work.key))
        try:
            await self._objects.delete(batch.part.name)
        except PlatformError:
            _LOG.info("object left behind", name=batch.part.name)

    async def finish(self, work: ClaimWork) -> None:
        """Bring the job to its end, or leave that to its last owner."""
        try:
            await self._until_answered(
                lambda: leave(
                    self._table,
                    work.job.job_id,
                    work.claim,
                    self._clock.wall_ms(),
                )
            )
        except Fenced:
            self._tell(ClaimLost(work.key))
            return
        self._tell(Finished(work.key))

    async def give_up(self, work: ClaimWork) -> None:
        """Release a claim whose group is not finished, for others."""
        try:
            await self._until_answered(
                lambda: release(self._table, work.claim)
            )
        finally:
            self._tell(Finished(work.key))

    async def expire(self, job: JobRecord) -> None:
        """End a job that is too long past its deadline."""
        wall_ms = self._clock.wall_ms()
        await self._until_answered(
            lambda: stop(self._table, job, JobState.EXPIRING, wall_ms)
        )
        self._tell(StopsSeen(frozenset({job.job_id})))

    async def _until_answered(self, call):
        """Repeat `call` with backoff while the store gives no answer."""
        delay_ms = _BACKOFF_MS
        while True:
            try:
                async with self._calls:
                    return await call()
            except Fenced:
                raise
            except PlatformError as error:
                if not isinstance(error, PlatformUnavailable):
                    _LOG.info("store answer lost", error=str(error))
            await self._clock.sleep_ms(self._rng.randint(1, delay_ms))
            delay_ms = min(delay_ms * 2, _BACKOFF_MAX_MS)
