"""Read jobs and their chunks, a bounded page at a time."""

from collections.abc import AsyncIterator

from dahliashunt.batch.chunk import ChunkRecord
from dahliashunt.batch.job import JobCounts
from dahliashunt.batch.job import JobRecord
from dahliashunt.batch.rows import chunk_range
from dahliashunt.batch.rows import job_key
from dahliashunt.ids import JobId
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import TableService

__all__ = ["count", "read_all", "read_chunks", "read_job"]

PAGE = 200


async def read_all(
    table: TableService, start: str, end: str, page: int = PAGE
) -> AsyncIterator[Row]:
    """Yield all rows of a key range, a bounded page at a time."""
    while True:
        rows = await table.read_range(start, end, page)
        for row in rows:
            yield row
        if len(rows) < page:
            return
        start = rows[-1].key + "\0"


async def read_job(table: TableService, job_id: JobId) -> JobRecord | None:
    """Return the job, or None."""
    row = await table.read(job_key(job_id))
    return None if row is None else JobRecord.from_row(row)


async def read_chunks(
    table: TableService, job: JobRecord, first: int = 0, end: int | None = None
) -> dict[int, ChunkRecord]:
    """Return by number the chunks that have anything committed."""
    by_number = {}
    start_key, end_key = chunk_range(job.job_id, first, end)
    async for row in read_all(table, start_key, end_key):
        number = int(row.key.rsplit("/", 1)[1])
        by_number[number] = ChunkRecord.from_row(job.job_id, number, row)
    return by_number


async def count(table: TableService, job: JobRecord) -> JobCounts:
    """Return how a job's items stand, from its committed chunks."""
    if job.terminal:
        return JobCounts(job.total, job.completed, job.failed)
    chunks = (await read_chunks(table, job)).values()
    return JobCounts(
        job.total,
        sum(chunk.done.bit_count() for chunk in chunks),
        sum(chunk.failed.bit_count() for chunk in chunks),
    )
