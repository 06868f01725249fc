"""The protocol steps over the table: accept, take, commit, stop, finish.

Each step may be repeated with the same arguments until it answers. A lost
answer is settled by reading what the step would have written; only a
conflict whose row lacks it proves that the step had no effect. The model
check drives these very functions.

Notes
-----
`PlatformUnavailable` and `WriteOutcomeUnknown` pass through every step
that cannot be settled now. The caller then repeats the step unchanged: a
changed one could complete an item twice beside the late first copy.
"""

from dataclasses import replace

from dahliashunt.batch.chunk import ChunkRecord
from dahliashunt.batch.chunk import commit_writes
from dahliashunt.batch.job import ended
from dahliashunt.batch.job import JobRecord
from dahliashunt.batch.job import JobState
from dahliashunt.batch.job import stopping
from dahliashunt.batch.lease import Claim
from dahliashunt.batch.lease import released
from dahliashunt.batch.lease import taken
from dahliashunt.batch.lease import UNOWNED
from dahliashunt.batch.reads import count
from dahliashunt.batch.reads import read_all
from dahliashunt.batch.reads import read_chunks
from dahliashunt.batch.reads import read_job
from dahliashunt.batch.rows import claim_range
from dahliashunt.batch.rows import index_key
from dahliashunt.batch.rows import stop_key
from dahliashunt.errors import PlatformError
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ids import JobId
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import TableService
from dahliashunt.ports.table import Write

__all__ = [
    "Fenced",
    "accept",
    "commit",
    "count",
    "finish",
    "leave",
    "read_all",
    "read_chunks",
    "read_job",
    "release",
    "stop",
    "take",
]


class Fenced(PlatformError):
    """Another holder, or the end of the job, kept a step from happening."""


async def accept(
    table: TableService,
    job: JobRecord,
    owners: tuple[str, ...],
    besides: tuple[Write, ...] = (),
) -> JobRecord:
    """Accept a job by one transaction; return it, or the one accepted first.

    Parameters
    ----------
    owners : tuple of str
        Owner by group of the job's chunks; `UNOWNED` leaves it to others.
    besides : tuple of Write
        Conditions and writes of the same transaction, on the input file.

    Raises
    ------
    TransactionConflict
        A condition of `besides` did not hold.

    Notes
    -----
    A client that resends, also to another entry at the same time, derives
    the same job id. The row's absence lets one of the two through, and the
    other finds what that one wrote.
    """
    claims = [
        Claim(job.job_id, group, owner, 1)
        for group, owner in enumerate(owners)
    ]
    writes = (
        Write(job.key, job.to_value(), MustBe.ABSENT),
        Write(
            index_key(job.caller, job.created_ms, job.job_id),
            "{}",
            MustBe.ABSENT,
        ),
        *(
            Write(claim.key, claim.to_value(), MustBe.ABSENT)
            for claim in claims
        ),
        *besides,
    )
    try:
        versions = await table.transact(writes)
    except (TransactionConflict, WriteOutcomeUnknown) as error:
        found = await _settling(read_job(table, job.job_id), error)
        if found is None:
            raise
        return found
    return replace(job, version=versions[0])


async def take(
    table: TableService, claim: Claim, owner: str, beside: Write | None = None
) -> Claim:
    """Take a claim for `owner`; return it as held.

    Parameters
    ----------
    beside : Write, optional
        Check that the last holder's heartbeat row is still as it was when
        it was taken for lapsed.

    Raises
    ------
    Fenced
        The claim has changed hands, or is gone.
    """
    mine = taken(claim, owner)
    writes = (Write(mine.key, mine.to_value(), claim.version),)
    if beside is not None:
        writes = (*writes, beside)
    try:
        versions = await table.transact(writes)
    except (TransactionConflict, WriteOutcomeUnknown) as error:
        row = await table.read(mine.key)
        if row is not None and row.value == mine.to_value():
            return replace(mine, version=row.version)
        if isinstance(error, TransactionConflict):
            raise Fenced(claim.key) from None
        raise
    return replace(mine, version=versions[0])


async def release(
    table: TableService, claim: Claim, done: bool = False
) -> None:
    """Give up a claim, with all its items complete if `done`."""
    left = released(claim, done)
    try:
        await table.transact(
            (Write(left.key, left.to_value(), claim.version),)
        )
    except TransactionConflict:
        return
    except WriteOutcomeUnknown:
        row = await table.read(left.key)
        if row is not None and row.version == claim.version:
            raise


async def commit(
    table: TableService,
    before: ChunkRecord,
    after: ChunkRecord,
    claim: Claim,
    job: JobRecord,
) -> ChunkRecord:
    """Commit the last part of `after`; return the chunk with its version.

    Raises
    ------
    Fenced
        The commit has not taken effect and never will.
    """
    part = after.parts[-1]
    try:
        versions = await table.transact(
            commit_writes(before, after, claim, job)
        )
    except (TransactionConflict, WriteOutcomeUnknown) as error:
        row = await table.read(after.key)
        found = ChunkRecord.from_row(job.job_id, after.chunk, row)
        if found.has_part(part.name):
            return found
        if isinstance(error, TransactionConflict):
            raise Fenced(claim.key) from None
        raise
    return replace(after, version=versions[0])


async def stop(
    table: TableService, job: JobRecord, state: JobState, wall_ms: int
) -> JobRecord:
    """Cancel or expire a job; return it as it then is.

    The transaction changes the job's version, which every commit checks:
    of a stop and a commit that race, one wins and the other sees it. The
    marker beside it tells all owners by one range read.
    """
    while job.live:
        wanted = stopping(job, state, wall_ms)
        writes = (
            Write(job.key, wanted.to_value(), job.version),
            Write(stop_key(job.job_id), "{}"),
        )
        try:
            versions = await table.transact(writes)
        except TransactionConflict:
            job = await _reread(table, job)
        except WriteOutcomeUnknown as error:
            found = await _settling(_reread(table, job), error)
            if found.live:
                raise
            return found
        else:
            return replace(wanted, version=versions[0])
    return job


async def finish(
    table: TableService, job: JobRecord, wall_ms: int, own: Claim | None = None
) -> JobRecord:
    """Bring a job to its terminal state if nothing more can be committed.

    Parameters
    ----------
    own : Claim, optional
        A claim of the caller's on a group with nothing left to do.

    Returns
    -------
    job : JobRecord
        Terminal, or as it was if other groups are still at work.

    Notes
    -----
    The claims are deleted on condition of the versions that were read
    before the counting, so no commit can come between count and end.
    """
    if job.terminal:
        return job
    claims = await _claims(table, job)
    if not all(_at_rest(claim, job, own) for claim in claims):
        return job
    counts = await count(table, job)
    if job.live and counts.answered != counts.total:
        return job
    final = ended(job, counts, wall_ms)
    writes = (
        Write(job.key, final.to_value(), job.version),
        *(Write(claim.key, None, claim.version) for claim in claims),
    )
    if not job.live:
        writes = (*writes, Write(stop_key(job.job_id), None))
    try:
        versions = await table.transact(writes)
    except TransactionConflict:
        return await _reread(table, job)
    except WriteOutcomeUnknown as error:
        found = await _settling(_reread(table, job), error)
        if found.version == job.version:
            raise
        return found
    return replace(final, version=versions[0])


async def _settling(reading, error):
    """Await the read that is to settle `error`.

    If it fails too, a lost answer stays lost: the read's own "no effect"
    must not be told of the write.
    """
    try:
        return await reading
    except PlatformUnavailable:
        if isinstance(error, WriteOutcomeUnknown):
            raise error from None
        raise


async def leave(
    table: TableService, job_id: JobId, claim: Claim, wall_ms: int
) -> None:
    """Leave a group with nothing left to do; end the job if it was the last.

    Notes
    -----
    Of two owners that finish their groups at once, each may see the other
    still at work. Both mark their group as done before looking again, so
    the later one sees that all are.
    """
    job = await _finish_from(table, job_id, claim, wall_ms)
    if job is None or job.terminal:
        return
    await release(table, claim, done=True)
    await _finish_from(table, job_id, None, wall_ms)


async def _finish_from(table, job_id, own, wall_ms):
    """Repeat `finish` while the job changes under it."""
    job = await read_job(table, job_id)
    while job is not None and not job.terminal:
        after = await finish(table, job, wall_ms, own)
        if after.version == job.version:
            break
        job = after
    return job


def _at_rest(claim, job, own):
    """Return whether nothing more can be committed under `claim`."""
    if own is not None and claim.group == own.group:
        return claim.version == own.version
    return claim.done or (not job.live and claim.owner == UNOWNED)


async def _claims(table, job):
    start, end = claim_range(job.job_id)
    return [Claim.from_row(row) async for row in read_all(table, start, end)]


async def _reread(table, job):
    """Return a job that is known to exist, as it is now."""
    found = await read_job(table, job.job_id)
    if found is None:
        raise Fenced(job.key)
    return found
