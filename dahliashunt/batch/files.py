"""Uploaded input files: streamed in, cut into chunks, read a chunk a time."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from dataclasses import replace
import random

from dahliashunt.batch.cutter import Cutter
from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.batch.rows import encode
from dahliashunt.batch.rows import file_key
from dahliashunt.batch.rows import file_range
from dahliashunt.batch.rows import known_fields
from dahliashunt.batch.rows import newest_first
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ids import CallerId
from dahliashunt.ids import ModelId
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.objects import ObjectStore
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import TableService
from dahliashunt.ports.table import Write

__all__ = ["FileRecord", "FileStore", "chunk_name", "put_object"]

_PUT_TRIES = 4
_PUT_RETRY_MS = 100
RETRY_AFTER_MS = 5_000


@dataclass(frozen=True, slots=True)
class FileRecord:
    """An uploaded file.

    Attributes
    ----------
    size : int
        Bytes as stored.
    lines : tuple of int
        Lines by chunk.
    model : ModelId
        Of the first item, by which its jobs are placed.
    used : bool
        A job was accepted with it, so its chunks are kept.
    version : int
        Of the row.
    """

    file_id: str
    caller: CallerId
    name: str
    purpose: str
    size: int
    lines: tuple[int, ...]
    model: ModelId
    created_ms: int
    used: bool = False
    version: int = 0

    @property
    def objects(self) -> str:
        """Name prefix of the chunks."""
        return f"files/{self.file_id}"

    @property
    def key(self) -> str:
        """Key of the row."""
        return file_key(self.caller, self.file_id)

    def to_value(self) -> str:
        """Return the row's value."""
        return encode(
            {
                name: getattr(self, name)
                for name in self.__slots__
                if name != "version"
            }
        )

    @classmethod
    def from_row(cls, row: Row) -> "FileRecord":
        """Return the file of a row."""
        fields = known_fields(cls, row.value)
        fields["lines"] = tuple(fields["lines"])
        return cls(**fields, version=row.version)

    def use(self) -> Write:
        """Return the write by which a job's acceptance keeps the file.

        It fails if the file was deleted in between: the job would be
        accepted and its items gone.
        """
        if self.used:
            return Write(self.key, None, self.version, check_only=True)
        return Write(
            self.key, replace(self, used=True).to_value(), self.version
        )


def chunk_name(objects: str, chunk: int) -> str:
    """Return the name of an input chunk's object."""
    return f"{objects}/{chunk:05d}"


async def put_object(
    objects: ObjectStore, clock: Clock, name: str, data: bytes
) -> None:
    """Put an object of an unused name, repeating it while that may help.

    Raises
    ------
    PlatformUnavailable, WriteOutcomeUnknown
        Of the last try.
    """
    for tries_left in reversed(range(_PUT_TRIES)):
        try:
            return await objects.put(name, data)
        except (PlatformUnavailable, WriteOutcomeUnknown):
            if not tries_left:
                raise
        await clock.sleep_ms(_PUT_RETRY_MS)
    return None


class FileStore:
    """Files of all callers in the table and the object store."""

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        rng: random.Random,
        policy: BatchPolicy,
    ):
        self._table = table
        self._objects = objects
        self._clock = clock
        self._rng = rng
        self._policy = policy

    async def upload(
        self,
        caller: CallerId,
        name: str,
        purpose: str,
        pieces: AsyncIterator[bytes],
    ) -> FileRecord:
        """Store a JSONL file as it streams in, holding one chunk of it.

        Raises
        ------
        RequestError
            Too large, empty, or the store is out; nothing is listed.
        """
        created_ms = self._clock.wall_ms()
        file_id = (
            f"file-{newest_first(created_ms)}{self._rng.getrandbits(64):016x}"
        )
        cutter = Cutter(self._policy)
        record = FileRecord(
            file_id, caller, name, purpose, 0, (), ModelId(""), created_ms
        )
        try:
            async for piece in pieces:
                for chunk in cutter.feed(piece):
                    await self._put_last(record, cutter, chunk)
            for chunk in cutter.rest():
                await self._put_last(record, cutter, chunk)
            record = replace(
                record,
                size=cutter.size,
                lines=tuple(cutter.lines),
                model=cutter.model,
            )
            return await self._write(record)
        except BaseException as error:
            await self._drop_chunks(record.objects, len(cutter.lines))
            if isinstance(error, PlatformUnavailable | WriteOutcomeUnknown):
                raise _store_out() from error
            raise

    async def _put_last(self, record, cutter, chunk):
        """Store the chunk that the cutter has just taken."""
        name = chunk_name(record.objects, len(cutter.lines) - 1)
        await put_object(self._objects, self._clock, name, chunk)

    async def _write(self, record):
        """Write the file's row; its id is new, so its presence is proof."""
        write = Write(record.key, record.to_value(), MustBe.ABSENT)
        try:
            versions = await self._table.transact((write,))
        except WriteOutcomeUnknown:
            row = await self._table.read(record.key)
            if row is None:
                raise
            return FileRecord.from_row(row)
        return replace(record, version=versions[0])

    async def _drop_chunks(self, objects, chunks):
        """Delete what an upload that failed has stored, if that works."""
        for chunk in range(chunks):
            try:
                await self._objects.delete(chunk_name(objects, chunk))
            except (PlatformUnavailable, WriteOutcomeUnknown):
                return

    async def get(self, caller: CallerId, file_id: str) -> FileRecord:
        """Return a caller's file.

        Raises
        ------
        RequestError
            There is none of that id that is the caller's.
        """
        row = await self._table.read(file_key(caller, file_id))
        if row is None:
            raise RequestError(
                ErrorKind.NOT_FOUND, f"no file {file_id!r}", param="file_id"
            )
        return FileRecord.from_row(row)

    async def page(
        self, caller: CallerId, after: str | None, limit: int
    ) -> tuple[FileRecord, ...]:
        """Return a page of a caller's files, newest first."""
        start, end = file_range(caller)
        if after is not None:
            start = file_key(caller, after) + "\0"
        rows = await self._table.read_range(start, end, limit)
        return tuple(FileRecord.from_row(row) for row in rows)

    async def delete(self, caller: CallerId, file_id: str) -> None:
        """Forget a file; the chunks stay if a job was accepted with it."""
        record = await self.get(caller, file_id)
        write = Write(record.key, None, record.version)
        await self._table.transact((write,))
        if not record.used:
            await self._drop_chunks(record.objects, len(record.lines))

    async def chunk_lines(self, objects: str, chunk: int) -> list[bytes]:
        """Return the lines of one chunk.

        Raises
        ------
        PlatformUnavailable
            The store is out.
        LookupError
            It has no such object.
        """
        data = await self._objects.get(chunk_name(objects, chunk))
        if data is None:
            raise LookupError(chunk_name(objects, chunk))
        return data.split(b"\n")[:-1]

    async def content(self, record: FileRecord) -> AsyncIterator[bytes]:
        """Yield a file a chunk at a time."""
        for chunk in range(len(record.lines)):
            name = chunk_name(record.objects, chunk)
            data = await self._objects.get(name)
            if data is None:
                raise LookupError(name)
            yield data


def _store_out():
    return RequestError(
        ErrorKind.STORE_UNAVAILABLE,
        "the store is unavailable; nothing was accepted",
        Ran.NO,
        RETRY_AFTER_MS,
    )
