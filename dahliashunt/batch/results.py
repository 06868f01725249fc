"""Read a job's output and error lines by reference, in order of chunk."""

from collections.abc import AsyncIterator
import enum

from dahliashunt.batch.chunk import ChunkRecord
from dahliashunt.batch.files import chunk_name
from dahliashunt.batch.items import custom_id_of
from dahliashunt.batch.items import error_line
from dahliashunt.batch.items import ItemRef
from dahliashunt.batch.job import JobRecord
from dahliashunt.batch.job import JobState
from dahliashunt.batch.reads import read_all
from dahliashunt.batch.reads import read_chunks
from dahliashunt.batch.rows import chunk_range
from dahliashunt.errors import ErrorKind
from dahliashunt.ports.objects import ObjectStore
from dahliashunt.ports.table import TableService

__all__ = ["ResultKind", "result_size", "results"]

_PAGE = 20
_EXPIRED = "the job expired before the item was done"


class ResultKind(enum.Enum):
    """The two files that a job leaves."""

    OUTPUT = "output"
    ERROR = "error"


async def results(
    table: TableService, objects: ObjectStore, job: JobRecord, kind: ResultKind
) -> AsyncIterator[bytes]:
    """Yield committed lines, one part at a time; also while the job runs.

    Within a chunk, parts come in order of commit and lines in order of
    item. An expired job's error file goes on with a line for every item
    that has none.
    """
    fill = kind is ResultKind.ERROR and job.state is JobState.EXPIRED
    expected = 0
    start, end = chunk_range(job.job_id, 0, None)
    async for row in read_all(table, start, end, _PAGE):
        number = int(row.key.rsplit("/", 1)[1])
        for missing in range(expected, number) if fill else ():
            yield await _expired_lines(
                objects, job, ChunkRecord(job.job_id, missing)
            )
        expected = number + 1
        record = ChunkRecord.from_row(job.job_id, number, row)
        async for lines in _committed(objects, record, kind):
            yield lines
        if fill:
            yield await _expired_lines(objects, job, record)
    for missing in range(expected, len(job.lines)) if fill else ():
        yield await _expired_lines(
            objects, job, ChunkRecord(job.job_id, missing)
        )


async def result_size(
    table: TableService, job: JobRecord, kind: ResultKind
) -> int:
    """Return the bytes of committed lines of one kind."""
    chunks = (await read_chunks(table, job)).values()
    parts = [part for chunk in chunks for part in chunk.parts]
    if kind is ResultKind.OUTPUT:
        return sum(part.output_bytes for part in parts)
    return sum(part.error_bytes for part in parts)


async def _committed(objects, record, kind):
    for part in record.parts:
        if kind is ResultKind.OUTPUT:
            first, size = 0, part.output_bytes
        else:
            first, size = part.output_bytes, part.error_bytes
        if not size:
            continue
        data = await objects.get(part.name)
        if data is None:
            raise LookupError(part.name)
        yield data[first : first + size]


async def _expired_lines(objects, job, record):
    """Return error lines for the items of a chunk that were not done."""
    lines = job.lines[record.chunk]
    if record.answered.bit_count() == lines:
        return b""
    data = await objects.get(chunk_name(job.objects, record.chunk))
    inputs = (data or b"\n" * lines).split(b"\n")[:-1]
    return b"".join(
        error_line(
            job.job_id,
            ItemRef(record.chunk, index),
            custom_id_of(line),
            ErrorKind.TIMED_OUT,
            _EXPIRED,
        )
        for index, line in enumerate(inputs)
        if not record.answered >> index & 1
    )
