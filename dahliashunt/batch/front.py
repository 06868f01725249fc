"""The callers' side of batch: accept, look up, list, cancel, read back.

It keeps no state, so every entry answers for every job.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import hashlib

from dahliashunt.batch.files import FileRecord
from dahliashunt.batch.files import FileStore
from dahliashunt.batch.files import RETRY_AFTER_MS
from dahliashunt.batch.job import derive_job_id
from dahliashunt.batch.job import groups
from dahliashunt.batch.job import JobCounts
from dahliashunt.batch.job import JobRecord
from dahliashunt.batch.job import JobState
from dahliashunt.batch.lease import UNOWNED
from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.batch.reads import count
from dahliashunt.batch.reads import read_job
from dahliashunt.batch.rows import encode
from dahliashunt.batch.rows import index_key
from dahliashunt.batch.rows import index_range
from dahliashunt.batch.steps import accept
from dahliashunt.batch.steps import finish
from dahliashunt.batch.steps import stop
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import PlatformError
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ids import CallerId
from dahliashunt.ids import JobId
from dahliashunt.ids import Revision
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.table import TableService

__all__ = ["BatchFront", "JobView", "NewJob", "window_ms"]

_TRIES = 3
_RETRY_MS = 50
_MS_BY_UNIT = {"h": 3_600_000, "m": 60_000, "d": 86_400_000}


@dataclass(frozen=True, slots=True)
class NewJob:
    """A job as its caller asks for it.

    Attributes
    ----------
    key : str or None
        The client's job key; without one the key is derived from the rest,
        so that a plain resend finds the first job too.
    """

    caller: CallerId
    file_id: str
    endpoint: str
    window: str = "24h"
    metadata: dict[str, str] = field(default_factory=dict)
    key: str | None = None
    revision: Revision = Revision(0)

    def digest(self) -> str:
        """Return a digest of all that is asked."""
        text = encode(
            {
                "file": self.file_id,
                "endpoint": self.endpoint,
                "window": self.window,
                "metadata": self.metadata,
            }
        )
        return hashlib.sha256(text.encode()).hexdigest()

    def job_id(self) -> JobId:
        """Return the id that this job and its resends get."""
        key = f"key:{self.key}" if self.key else f"all:{self.digest()}"
        return derive_job_id(self.caller, key)


@dataclass(frozen=True, slots=True)
class JobView:
    """A job with its counts."""

    job: JobRecord
    counts: JobCounts


def window_ms(window: str) -> int:
    """Return the length of a completion window such as ``24h``.

    Raises
    ------
    RequestError
        It is none.

    Examples
    --------
    >>> window_ms("90m")
    5400000
    """
    number, unit = window[:-1], window[-1:]
    if not number.isdecimal() or unit not in _MS_BY_UNIT or not int(number):
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            "completion_window must be like 24h, 90m or 2d",
            param="completion_window",
        )
    return int(number) * _MS_BY_UNIT[unit]


class BatchFront:
    """What callers may do with jobs.

    Parameters
    ----------
    table, clock
        Ports.
    files : FileStore
    policy : BatchPolicy
    first_owner : callable
        Returns who takes a new job's first group: this run of the node,
        or `UNOWNED` where it holds claims enough or is leaving.
    """

    def __init__(
        self,
        table: TableService,
        files: FileStore,
        clock: Clock,
        policy: BatchPolicy,
        first_owner: Callable[[], str],
    ):
        self._table = table
        self._files = files
        self._clock = clock
        self._policy = policy
        self._first_owner = first_owner

    async def find(self, new: NewJob) -> JobRecord | None:
        """Return the job that such a request already has, or None."""
        job = await read_job(self._table, new.job_id())
        return None if job is None else _same(new, job)

    async def submit(self, new: NewJob) -> JobRecord:
        """Accept a job, or find the one that its key already named.

        Raises
        ------
        RequestError
            Not accepted (`ran` is NO), or not known (UNKNOWN): then a
            resend with the same key finds what became of it.
        """
        length_ms = window_ms(new.window)
        job_id = new.job_id()
        unsure = False
        for tries_left in reversed(range(_TRIES)):
            try:
                return _same(new, await self._submit(new, job_id, length_ms))
            except TransactionConflict:
                # The file was deleted or marked as used in between.
                if not tries_left:
                    raise _store_out(unsure) from None
            except WriteOutcomeUnknown:
                unsure = True
                if not tries_left:
                    raise _store_out(unsure) from None
            except PlatformUnavailable:
                raise _store_out(unsure) from None
            await self._clock.sleep_ms(_RETRY_MS)
        raise AssertionError("the last try returns or raises")

    async def _submit(self, new, job_id, length_ms):
        found = await read_job(self._table, job_id)
        if found is not None:
            return found
        file = await self._files.get(new.caller, new.file_id)
        job = self._record(new, job_id, file, length_ms)
        owners = [UNOWNED] * groups(job)
        owners[0] = self._first_owner()
        return await accept(self._table, job, tuple(owners), (file.use(),))

    def _record(self, new, job_id, file: FileRecord, length_ms):
        now_ms = self._clock.wall_ms()
        return JobRecord(
            job_id=job_id,
            caller=new.caller,
            digest=new.digest(),
            file_id=file.file_id,
            objects=file.objects,
            endpoint=new.endpoint,
            model=file.model,
            window=new.window,
            metadata=dict(new.metadata),
            lines=file.lines,
            group_chunks=self._policy.group_chunks,
            created_ms=now_ms,
            deadline_ms=now_ms + length_ms,
            revision=new.revision,
        )

    async def get(self, caller: CallerId, job_id: JobId) -> JobView:
        """Return a caller's job.

        Raises
        ------
        RequestError
            There is none of that id that is the caller's.
        """
        job = await self._own(caller, job_id)
        return JobView(job, await count(self._table, job))

    async def list(
        self, caller: CallerId, after: JobId | None, limit: int
    ) -> list[JobView]:
        """Return a page of a caller's jobs, newest first."""
        start, end = index_range(caller)
        if after is not None:
            last = await self._own(caller, after)
            start = index_key(caller, last.created_ms, last.job_id) + "\0"
        views = []
        for row in await self._table.read_range(start, end, limit):
            job_id = JobId(row.key.rsplit("-", 1)[1])
            views.append(await self.get(caller, job_id))
        return views

    async def cancel(self, caller: CallerId, job_id: JobId) -> JobView:
        """Cancel a job; nothing is committed after this returns.

        Raises
        ------
        RequestError
            No such job, or the store is out: then `ran` says whether the
            cancel may have taken effect.
        """
        job = None
        unsure = False
        for tries_left in reversed(range(_TRIES)):
            try:
                job = job or await self._own(caller, job_id)
                job = await stop(
                    self._table,
                    job,
                    JobState.CANCELLING,
                    self._clock.wall_ms(),
                )
                break
            except PlatformError as error:
                unsure = unsure or isinstance(error, WriteOutcomeUnknown)
                if not tries_left:
                    raise _store_out(unsure) from None
            await self._clock.sleep_ms(_RETRY_MS)
        job = await self._try_finish(job)
        return JobView(job, await count(self._table, job))

    async def _try_finish(self, job):
        """End a job that nobody works on; else its owners end it."""
        try:
            return await finish(self._table, job, self._clock.wall_ms())
        except PlatformError:
            return job

    async def _own(self, caller, job_id):
        job = await read_job(self._table, job_id)
        if job is None or job.caller != caller:
            raise RequestError(
                ErrorKind.NOT_FOUND, f"no batch {job_id!r}", param="batch_id"
            )
        return job


def _same(new, job):
    """Return `job` if it is what `new` asks for."""
    if job.digest != new.digest():
        raise RequestError(
            ErrorKind.KEY_REUSED,
            f"the job key already names another job, {job.job_id}",
        )
    return job


def _store_out(unsure):
    if unsure:
        return RequestError(
            ErrorKind.STORE_UNAVAILABLE,
            "the store gave no answer: send the same request again to learn"
            " whether it took effect",
            Ran.UNKNOWN,
            RETRY_AFTER_MS,
        )
    return RequestError(
        ErrorKind.STORE_UNAVAILABLE,
        "the store is unavailable; nothing was changed",
        Ran.NO,
        RETRY_AFTER_MS,
    )
