"""Transactions on jobs, and resolution of unknown write outcomes."""

import asyncio
from dataclasses import dataclass
from dataclasses import replace
import json

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ids import JobId
from dahliashunt.jobs.keys import job_key
from dahliashunt.jobs.keys import partial_key
from dahliashunt.jobs.keys import partials_range
from dahliashunt.jobs.keys import progress_key
from dahliashunt.jobs.keys import quota_key
from dahliashunt.jobs.keys import result_key
from dahliashunt.jobs.keys import results_range
from dahliashunt.jobs.model import decode_job
from dahliashunt.jobs.model import decode_progress
from dahliashunt.jobs.model import encode_job
from dahliashunt.jobs.model import encode_progress
from dahliashunt.jobs.model import Job
from dahliashunt.jobs.model import JobState
from dahliashunt.jobs.model import ListedResult
from dahliashunt.jobs.model import Outcome
from dahliashunt.jobs.model import Owner
from dahliashunt.jobs.model import Progress
from dahliashunt.jobs.model import UnreadableRow
from dahliashunt.jobs.view import JobView
from dahliashunt.ports import ObjectStore
from dahliashunt.ports import TableService
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Write
from dahliashunt.row_fields import FIELD_ERRORS
from dahliashunt.row_fields import parse_json
from dahliashunt.row_fields import text_field
from dahliashunt.row_fields import whole_field

__all__ = ["Finished", "JobLedger", "OwnershipLost", "Result"]

CONFLICT_TRIES = 8
"""Most tries of a transaction that conflicts with another node's."""

PIECE_CHARACTERS = 10_000
"""Characters per row of a result: below the store's 64 KB a row, also if
each takes the six bytes of a JSON escape."""

PAGE_CHARACTERS = 600_000
"""Characters per read of results."""

LISTING_BYTES = 600_000
"""Size of the results that are listed together: in base64 below the store's
1 MB per transaction."""

MAX_LISTING_ROWS = 90
"""Rows that are written together; the store's limit is a hundred."""

MAX_FOREIGN_ROWS = 250
"""Rows between a page's rows that do not hide it: those of other writers, and
pieces of a long result whose owner ended before it was listed."""

MAX_DELETES = 90
"""Rows removed per transaction; the store's limit is a hundred."""

MAX_PAYLOAD_READS = 2
"""Payloads read at the same time for this node's jobs, and for callers; each
may have the size of an object."""

QUOTA_RETRY_MS = 1_000
"""Retry-After of a job that exceeds the quota."""


class OwnershipLost(Exception):
    """Another node has taken over the job."""


@dataclass(frozen=True, slots=True)
class Finished:
    """A finished item whose result is to be listed.

    Attributes
    ----------
    index : int
    outcome : Outcome
    text : str
    saved : bool
        Whether the store may hold its partial text, to be deleted then.
    by_replica : bool
        Whether answers of replicas decided it, so that it holds whoever
        owns the job.
    """

    index: int
    outcome: Outcome
    text: str
    saved: bool = False
    by_replica: bool = True


@dataclass(frozen=True, slots=True)
class Result:
    """A listed result as returned to callers."""

    item_id: str
    outcome: Outcome
    text: str


class JobLedger:
    """Reads and writes jobs, and updates `view` with each row.

    Parameters
    ----------
    table : TableService
    objects : ObjectStore
    view : JobView
    owner : Owner
        This node.
    log : structlog logger
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        view: JobView,
        owner: Owner,
        log,
    ):
        self._table = table
        self._objects = objects
        self._view = view
        self.owner = owner
        self._log = log
        self._owner_reads = asyncio.Semaphore(MAX_PAYLOAD_READS)
        self._caller_reads = asyncio.Semaphore(MAX_PAYLOAD_READS)

    # Acceptance.

    async def accept(self, job: Job, payload: bytes, max_tokens: int) -> bool:
        """Accept `job` durably; idempotent.

        Parameters
        ----------
        job : Job
        payload : bytes
        max_tokens : int
            Quota of waiting tokens; 0 for none.

        Returns
        -------
        bool
            False if it was accepted before.

        Raises
        ------
        RequestError
            The job exceeds the quota, or the store is unavailable. `ran`
            is `Ran.NO` only if the job was certainly not accepted.
        """
        if await self.find(job.job_id) is not None:
            return False
        try:
            await self._objects.put(job.payload, payload)
        except (PlatformUnavailable, WriteOutcomeUnknown) as error:
            # An object without a job row is never read.
            raise _store_unavailable(error, Ran.NO) from None
        for _ in range(CONFLICT_TRIES):
            if await self._try_accept(job, max_tokens):
                return True
        raise RequestError(ErrorKind.OVERLOADED, "too many jobs come at once")

    async def _try_accept(self, job, max_tokens):
        quota = await self._read(_quota_key(job), Ran.NO)
        held = self._held_tokens(quota)
        waiting = held - self._view.finished_tokens(job.route, job.workspace)
        if max_tokens and max(0, waiting) + job.tokens > max_tokens:
            self._log.info(
                "job_over_quota",
                job_id=job.job_id,
                workspace=job.workspace,
                tokens=job.tokens,
                waiting=waiting,
                most=max_tokens,
            )
            raise RequestError(
                ErrorKind.OVER_LIMIT,
                "as many tokens wait as may wait on the route",
                retry_after_ms=QUOTA_RETRY_MS,
            )
        writes = (
            Write(job_key(job.job_id), encode_job(job), MustBe.ABSENT),
            _quota_write(job, quota, held + job.tokens),
        )
        try:
            versions = await self._table.transact(writes)
        except TransactionConflict as error:
            return await self._was_accepted(job, error)
        except PlatformUnavailable as error:
            raise _store_unavailable(error, Ran.NO) from None
        except WriteOutcomeUnknown as error:
            return await self._resolve_accept(job, error)
        self._view.update_job(job, versions[0])
        return True

    async def _resolve_accept(self, job, error):
        """Resolve an acceptance whose outcome is unknown by a read.

        A write that isn't visible yet may still be applied, so that a
        missing row doesn't prove that the job was not accepted.
        """
        if await self._was_accepted(job, error):
            return True
        raise _store_unavailable(error, Ran.UNKNOWN)

    async def _was_accepted(self, job, error):
        """Return whether the job's row exists after a failed acceptance.

        If that cannot be read, the job may have been accepted, by another
        copy of the request too.
        """
        try:
            return await self.find(job.job_id) is not None
        except RequestError:
            raise _store_unavailable(error, Ran.UNKNOWN) from None

    # Reads.

    async def find(self, job_id: JobId, fresh: bool = False) -> Job | None:
        """Return the job, or None if there certainly is none.

        Parameters
        ----------
        job_id : JobId
        fresh : bool
            Read the store even if the view has the job.

        Raises
        ------
        RequestError
            The store is unavailable.
        """
        job = self._view.job(job_id)
        if job is not None and not fresh:
            return job
        row = await self._read(job_key(job_id), Ran.NO)
        if row is None:
            return None
        job = self._decoded(decode_job, row, Ran.NO)
        self._view.update_job(job, row.version)
        return self._view.job(job_id)

    async def refresh_progress(self, job: Job) -> Progress:
        """Read the job's progress from the store and return it."""
        row = await self._read(progress_key(job.job_id), Ran.NO)
        if row is not None:
            progress = self._decoded(decode_progress, row, Ran.NO)
            self._view.update_progress(job.job_id, progress, row.version)
        return self._view.progress(job)

    async def results(self, job: Job, first: int) -> list[Result]:
        """Return one page of listed results from position `first`."""
        listed = self._view.progress(job).listed
        last, _ = _page_end(listed, first)
        if last <= first:
            return []
        return await self._read_results(job, listed, first, last)

    def page_characters(self, job: Job, first: int) -> int:
        """Return the length of the page of results from `first` on."""
        return _page_end(self._view.progress(job).listed, first)[1]

    async def _read_results(self, job, listed, first, last):
        start, end = results_range(job.job_id, first, last)
        wanted = sum(each.pieces for each in listed[first:last])
        try:
            rows = await self._table.read_range(
                start, end, wanted + MAX_FOREIGN_ROWS
            )
        except PlatformUnavailable as error:
            raise _store_unavailable(error, Ran.NO) from None
        text_by_key = {row.key: row.value for row in rows}
        try:
            return [
                self._result(job, position, listed[position], text_by_key)
                for position in range(first, last)
            ]
        except FIELD_ERRORS as error:
            # Another node is removing the job, or has written other rows.
            raise _store_unavailable(
                f"results are missing: {error!r}", Ran.NO
            ) from None

    def _result(self, job, position, listed, text_by_key):
        pieces = []
        for piece in range(listed.pieces):
            key = result_key(job.job_id, position, piece)
            pieces.append(text_field(parse_json(text_by_key[key])))
        item = job.items[listed.index]
        return Result(item.item_id, listed.outcome, "".join(pieces))

    async def payload(self, job: Job, for_caller: bool = False) -> bytes:
        """Return the items' requests as submitted.

        Reads for callers take turns of their own, so that many of them hold
        up no job.
        """
        turns = self._caller_reads if for_caller else self._owner_reads
        try:
            async with turns:
                data = await self._objects.get(job.payload)
        except PlatformUnavailable as error:
            raise _store_unavailable(error, Ran.NO) from None
        if data is None:
            raise RequestError(
                ErrorKind.INTERNAL, f"object {job.payload} is missing"
            )
        return data

    async def _read(self, key, ran):
        try:
            return await self._table.read(key)
        except PlatformUnavailable as error:
            raise _store_unavailable(error, ran) from None

    def _decoded(self, decode, row, ran):
        """Decode a row; raise `RequestError` if it can't be decoded."""
        try:
            return decode(row.value)
        except UnreadableRow as error:
            self._note_unreadable(row, error)
            raise _store_unavailable(error, ran) from None

    def _note_unreadable(self, row, error):
        self._log.error("row_unreadable", key=row.key, reason=str(error))

    def _held_tokens(self, quota):
        """Return the tokens in a row; 0 if it can't be decoded.

        The next write replaces such a row. Until the jobs of now have ended
        the route accepts more, but it does not refuse all jobs.
        """
        if quota is None:
            return 0
        try:
            return whole_field(parse_json(quota.value)["tokens"])
        except FIELD_ERRORS as error:
            self._note_unreadable(quota, repr(error))
            return 0

    # Changes of state.

    async def set_state(self, job_id: JobId, state: JobState) -> bool:
        """End or close an open job and free its tokens.

        Returns
        -------
        bool
            Whether the job exists; one that is not open isn't changed.
        """
        for _ in range(CONFLICT_TRIES):
            row = await self._read(job_key(job_id), Ran.NO)
            if row is None:
                return False
            job = self._decoded(decode_job, row, Ran.NO)
            self._view.update_job(job, row.version)
            if job.state is not JobState.OPEN:
                return True
            if await self._try_state(job, row.version, state):
                return True
        raise RequestError(ErrorKind.OVERLOADED, "the job changes too fast")

    async def _try_state(self, job, version, state):
        quota = await self._read(_quota_key(job), Ran.NO)
        held = self._held_tokens(quota)
        changed = replace(job, state=state)
        writes = (
            Write(job_key(job.job_id), encode_job(changed), version),
            _quota_write(job, quota, max(0, held - job.tokens)),
        )
        try:
            versions = await self._table.transact(writes)
        except (TransactionConflict, WriteOutcomeUnknown):
            return False
        except PlatformUnavailable as error:
            raise _store_unavailable(error, Ran.NO) from None
        self._view.update_job(changed, versions[0])
        return True

    async def remove(self, job: Job) -> None:
        """Remove all rows and the payload of a job that is not open.

        The job's row is removed last, so that an interrupted removal can be
        found and repeated.

        Raises
        ------
        PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict
            The removal is incomplete.
        """
        await self._objects.delete(job.payload)
        await self._remove_range(*partials_range(job.job_id))
        await self._remove_range(*results_range(job.job_id, 0, len(job.items)))
        await self._delete_row(progress_key(job.job_id))
        await self._delete_row(job_key(job.job_id))

    async def _remove_range(self, start, end):
        while True:
            rows = await self._table.read_range(start, end, MAX_DELETES)
            if not rows:
                return
            await self._table.transact(
                tuple(Write(row.key, None) for row in rows)
            )

    async def _delete_row(self, key):
        row = await self._table.read(key)
        if row is not None:
            await self._table.transact((Write(key, None, row.version),))
        self._view.removed(key)

    # Ownership and listing.

    async def take_over(self, job: Job) -> bool:
        """Become the job's owner; return False on a conflicting write."""
        known = self._view.progress_by_id.get(job.job_id)
        progress = replace(self._view.progress(job), owner=self.owner)
        return await self._write_progress(job, known, progress, ())

    async def list_results(self, job: Job, finished: list[Finished]) -> int:
        """List `finished` at the next positions; return how many.

        Items that are listed already are skipped.

        Raises
        ------
        OwnershipLost
            Another node owns the job.
        PlatformUnavailable
            Nothing was listed or the outcome is unknown; retry.
        """
        if self._view.progress(job).owner != self.owner:
            raise OwnershipLost
        return await self._list(job, finished)

    async def list_as_former_owner(
        self, job: Job, finished: list[Finished]
    ) -> int:
        """List items that this node finished before it lost the job.

        The write is conditional on the version of the progress row, so
        that an item is listed once whichever node lists it. The new owner
        then stops its own attempt.

        Raises
        ------
        PlatformUnavailable
            Nothing was listed or the outcome is unknown; retry.
        """
        return await self._list(job, finished)

    async def _list(self, job, finished):
        progress = self._view.progress(job)
        todo = [f for f in finished if f.index not in progress.indices]
        todo = _page(todo)
        if not todo:
            return len(finished)
        todo = await self._write_ahead(job, todo)
        known = self._view.progress_by_id.get(job.job_id)
        progress = self._view.progress(job)
        entries, writes = [], []
        start = len(progress.listed)
        for position, (each, values, ahead) in enumerate(todo, start):
            entries.append(
                ListedResult(
                    each.index, each.outcome, len(values), len(each.text)
                )
            )
            writes += _result_writes(job, position, values, ahead)
            if each.saved:
                writes.append(Write(partial_key(job.job_id, each.index), None))
        progress = replace(progress, listed=(*progress.listed, *entries))
        if not await self._write_progress(job, known, progress, writes):
            raise PlatformUnavailable(
                "another node has changed the progress row"
            )
        return len(todo)

    async def _write_ahead(self, job, page):
        """Write the first pieces of a result that exceeds a transaction.

        Each transaction depends on the progress row, so that no other node
        lists a result at this position meanwhile. Return the page, with the
        number of pieces that are written.
        """
        (each, values), *others = page
        ahead, listed = 0, self._view.progress(job).listed
        while (count := _fitting(values[ahead:])) < len(values) - ahead:
            progress = self._view.progress(job)
            known = self._view.progress_by_id.get(job.job_id)
            pieces = values[: ahead + count]
            writes = _result_writes(job, len(listed), pieces, ahead)
            is_written = await self._write_progress(
                job, known, progress, writes
            )
            if not is_written or progress.listed != listed:
                raise PlatformUnavailable(
                    "another node has changed the progress row"
                )
            ahead += count
        return [(each, values, ahead), *((*other, 0) for other in others)]

    async def _write_progress(self, job, known, progress, writes):
        key = progress_key(job.job_id)
        expect = known.version if known else MustBe.ABSENT
        row = Write(key, encode_progress(progress), expect)
        try:
            versions = await self._table.transact((row, *writes))
        except TransactionConflict:
            await self._reread_progress(job)
            return False
        except WriteOutcomeUnknown as error:
            # If the write was applied, the retry skips the listed items. If
            # it is still pending, its version condition prevents a second
            # listing.
            await self._reread_progress(job)
            raise PlatformUnavailable(str(error)) from None
        self._view.update_progress(job.job_id, progress, versions[0])
        return True

    async def _reread_progress(self, job):
        row = await self._table.read(progress_key(job.job_id))
        if row is not None:
            try:
                progress = decode_progress(row.value)
            except UnreadableRow as error:
                self._note_unreadable(row, error)
                raise PlatformUnavailable(str(error)) from None
            self._view.update_progress(job.job_id, progress, row.version)


def _page_end(listed, first):
    """Return the position after a page of results, and its characters."""
    last, characters = first, 0
    while last < len(listed):
        size = listed[last].size
        if last > first and characters + size > PAGE_CHARACTERS:
            break
        characters += size
        last += 1
    return last, characters


def _store_unavailable(error, ran):
    return RequestError(
        ErrorKind.STORE_UNAVAILABLE,
        f"the store does not answer: {error}",
        ran=ran,
        retry_after_ms=500,
    )


def _quota_key(job):
    return quota_key(job.route, job.workspace)


def _quota_write(job, row, tokens):
    expect = row.version if row else MustBe.ABSENT
    value = json.dumps({"tokens": tokens})
    return Write(_quota_key(job), value, expect)


def _values(text):
    """Return the values of the rows of a result."""
    return [
        json.dumps(text[at : at + PIECE_CHARACTERS], ensure_ascii=False)
        for at in range(0, max(1, len(text)), PIECE_CHARACTERS)
    ]


def _result_writes(job, position, values, first):
    """Return the writes of a result's pieces from number `first` on."""
    return [
        Write(result_key(job.job_id, position, number), values[number])
        for number in range(first, len(values))
    ]


def _fitting(values):
    """Return how many of a result's pieces fit into one transaction."""
    size = 0
    for count, value in enumerate(values):
        size += len(value.encode())
        if size > LISTING_BYTES or count + 2 >= MAX_LISTING_ROWS:
            return max(1, count)
    return len(values)


def _page(finished):
    """Return the first of `finished` that fit into one transaction.

    Each is paired with the values of its rows. A result that exceeds a
    transaction by itself comes last, on a page of its own, so that it holds
    up no other one.
    """
    page, size, rows = [], 0, 1
    valued = [(each, _values(each.text)) for each in finished]
    valued.sort(key=lambda pair: _fitting(pair[1]) < len(pair[1]))
    for each, values in valued:
        size += sum(len(value.encode()) for value in values)
        rows += len(values) + each.saved
        if page and (size > LISTING_BYTES or rows > MAX_LISTING_ROWS):
            break
        page.append((each, values))
    return page
