"""Immutable snapshots of all records at one revision.

Notes
-----
Records are kept in order of kind and name, in blocks of JSON lines that
are compressed apart. A change replaces only its blocks, so snapshots of
following revisions share nearly all memory, and a lookup decompresses one
block. Each block knows its highest revision, so that what changed since a
revision is found without reading the rest.

The encoded form is a header and the blocks as they are, each a zlib
stream of canonical JSON lines: encoding costs no compression, and
decoding checks lengths and checksums without parsing a record.
"""

from bisect import bisect_left
from bisect import bisect_right
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
import itertools
import json
import zlib

from dahliashunt.errors import DahliashuntError
from dahliashunt.ids import Revision
from dahliashunt.records.record import canonical_json
from dahliashunt.records.record import Record
from dahliashunt.records.record import record_from_plain
from dahliashunt.records.record import record_to_plain
from dahliashunt.records.record import RecordKey

__all__ = ["BadSnapshot", "Snapshot"]

BLOCK_RECORDS = 128
"""Records a block; one of 300-byte records decompresses in under 1 ms."""

MAX_BLOCK_BYTES = 64_000_000
"""Bound of a decompressed block, so that a broken or hostile body cannot
fill the memory of a node."""

_LEVEL = 6


class BadSnapshot(DahliashuntError):
    """An encoded snapshot is cut, damaged or of another form."""


@dataclass(frozen=True, slots=True)
class _Block:
    """Consecutive records, compressed."""

    first: RecordKey
    count: int
    revision: Revision
    data: bytes


class Snapshot:
    """All records, deleted ones included, at one revision.

    Parameters
    ----------
    revision : Revision
    records : iterable of Record
        In any order.

    Examples
    --------
    >>> key = RecordKey("Caller", "bench")
    >>> one = Snapshot(1, [Record(key, 2, 1, {})])
    >>> two = one.advanced(2, [Record(key, 2, 2, None)])
    >>> one.get(key).spec, two.get(key).spec
    ({}, None)
    >>> Snapshot.decode(two.encode()) == two
    True
    """

    __slots__ = ("_blocks", "_firsts", "revision")

    def __init__(self, revision: Revision, records: Iterable[Record] = ()):
        ordered = sorted(records, key=lambda record: record.key)
        self._set(revision, tuple(_blocks(ordered)))

    def __len__(self):
        return sum(block.count for block in self._blocks)

    def __eq__(self, other):
        if not isinstance(other, Snapshot):
            return NotImplemented
        return self.revision == other.revision and list(self) == list(other)

    __hash__ = None

    def __iter__(self) -> Iterator[Record]:
        for block in self._blocks:
            yield from _records(block)

    @property
    def nbytes(self) -> int:
        """Return the bytes of compressed records held."""
        return sum(len(block.data) for block in self._blocks)

    def get(self, key: RecordKey) -> Record | None:
        """Return one record, a deleted one too, or None."""
        place = bisect_right(self._firsts, key) - 1
        if place < 0:
            return None
        lines = _lines(self._blocks[place])
        found = bisect_left(lines, key, key=_key)
        if found == len(lines) or _key(lines[found]) != key:
            return None
        return _record(lines[found])

    def starting_at(self, key: RecordKey) -> Iterator[Record]:
        """Yield the records from `key` on, deleted ones too, in order."""
        start = max(0, bisect_right(self._firsts, key) - 1)
        for block in self._blocks[start:]:
            for record in _records(block):
                if record.key >= key:
                    yield record

    def of_kind(self, kind: str) -> Iterator[Record]:
        """Yield the live records of a kind in order of name."""
        for record in self.starting_at(RecordKey(kind, "")):
            if record.key.kind != kind:
                return
            if record.spec is not None:
                yield record

    def not_of_kinds(self, kinds: set[str]) -> Iterator[Record]:
        """Yield the live records of any other kind.

        Blocks that begin and end with one known kind are not read.
        """
        for place, block in enumerate(self._blocks):
            kind = block.first.kind
            following = self._firsts[place + 1 : place + 2]
            if kind in kinds and following and following[0].kind == kind:
                continue
            for record in _records(block):
                if record.key.kind not in kinds and record.spec is not None:
                    yield record

    def since(self, revision: Revision) -> Iterator[Record]:
        """Yield the records changed after `revision`, deleted ones too.

        One block is decompressed at a time: all records at once take 70
        times the memory of the snapshot.
        """
        for block in self._blocks:
            if block.revision > revision:
                for record in _records(block):
                    if record.revision > revision:
                        yield record

    def advanced(
        self, revision: Revision, changed: Iterable[Record]
    ) -> "Snapshot":
        """Return the snapshot at a later revision.

        Parameters
        ----------
        revision : Revision
        changed : iterable of Record
            The records changed up to it; one that is not newer than what
            is held is passed over.
        """
        by_place: dict[int, list[Record]] = {}
        for record in changed:
            place = max(0, bisect_right(self._firsts, record.key) - 1)
            by_place.setdefault(place, []).append(record)
        blocks: list[_Block] = []
        for place, block in enumerate(self._blocks):
            if place in by_place:
                blocks.extend(_replaced(block, by_place[place]))
            else:
                blocks.append(block)
        if not self._blocks:
            blocks.extend(_replaced(None, by_place.get(0, [])))
        return Snapshot._of(revision, tuple(blocks))

    def encode(self) -> bytes:
        """Return the body for other nodes."""
        header = {
            "revision": self.revision,
            "blocks": [
                [b.first.kind, b.first.name, b.count, b.revision, len(b.data)]
                for b in self._blocks
            ],
        }
        data = [block.data for block in self._blocks]
        return b"".join(
            [zlib.compress(canonical_json(header).encode()), *data]
        )

    @classmethod
    def decode(cls, body: bytes) -> "Snapshot":
        """Return what `encode` encoded, or raise `BadSnapshot`."""
        try:
            text, rest = _decompressed(body)
            header = json.loads(text)
            blocks, start = [], 0
            for kind, name, count, revision, size in header["blocks"]:
                data = rest[start : start + size]
                start += size
                first = RecordKey(kind, name)
                block = _Block(first, count, Revision(revision), data)
                _check(block)
                blocks.append(block)
            revision = Revision(header["revision"])
        except (ValueError, KeyError, TypeError) as error:
            raise BadSnapshot(f"not a snapshot: {error}") from None
        if start != len(rest):
            raise BadSnapshot(f"{len(rest) - start} bytes too many")
        return cls._of(revision, tuple(blocks))

    @classmethod
    def _of(cls, revision, blocks):
        snapshot = cls.__new__(cls)
        snapshot._set(revision, blocks)
        return snapshot

    def _set(self, revision, blocks):
        self.revision = revision
        self._blocks = blocks
        self._firsts = [block.first for block in blocks]


def _blocks(ordered) -> Iterator[_Block]:
    left = iter(ordered)
    while records := list(itertools.islice(left, BLOCK_RECORDS)):
        revision = max(record.revision for record in records)
        yield _block([_line(record) for record in records], revision)


def _block(lines, revision):
    data = zlib.compress(b"\n".join(lines), _LEVEL)
    return _Block(_key(lines[0]), len(lines), revision, data)


def _line(record):
    return canonical_json(record_to_plain(record)).encode()


def _record(line):
    return record_from_plain(json.loads(line))


def _key(line):
    return _record(line).key


def _lines(block):
    return zlib.decompress(block.data).split(b"\n")


def _records(block):
    return map(_record, _lines(block))


def _replaced(block, changed):
    """Return blocks with the records of `changed` that are newer.

    The highest revision of a block may come out too high if its record
    was replaced; that costs a needless read of the block, no more.
    """
    lines = [] if block is None else _lines(block)
    revision = Revision(0) if block is None else block.revision
    for record in changed:
        place = bisect_left(lines, record.key, key=_key)
        held = _record(lines[place]) if place < len(lines) else None
        if held is None or held.key != record.key:
            lines.insert(place, _line(record))
        elif record.revision > held.revision:
            lines[place] = _line(record)
        revision = max(revision, record.revision)
    if len(lines) <= 2 * BLOCK_RECORDS:
        return [_block(lines, revision)] if lines else []
    return [
        _block(lines[start : start + BLOCK_RECORDS], revision)
        for start in range(0, len(lines), BLOCK_RECORDS)
    ]


def _check(block):
    """Raise `BadSnapshot` unless a block is whole and of its length."""
    text, rest = _decompressed(block.data)
    count = text.count(b"\n") + 1
    if rest or count != block.count:
        raise BadSnapshot(f"a block of {count} records, not {block.count}")


def _decompressed(body):
    """Return the first zlib stream of `body`, and what follows it."""
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(body, MAX_BLOCK_BYTES)
    except zlib.error as error:
        raise BadSnapshot(f"damaged: {error}") from None
    if not stream.eof:
        raise BadSnapshot("cut, or a block is too large")
    return text, stream.unused_data
