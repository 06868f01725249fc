"""Results of one chunk that are held until their commit."""

from dataclasses import dataclass
from dataclasses import field

from dahliashunt.batch.chunk import ChunkRecord
from dahliashunt.batch.chunk import Part
from dahliashunt.batch.chunk import with_part

__all__ = ["CommitBatch", "Held"]


@dataclass(frozen=True, slots=True)
class CommitBatch:
    """Results that go in by one commit; it is only ever sent unchanged."""

    before: ChunkRecord
    after: ChunkRecord
    data: bytes

    @property
    def part(self) -> Part:
        """The part that the commit adds."""
        return self.after.parts[-1]


@dataclass(slots=True)
class Held:
    """Lines of a chunk that are not committed yet.

    Attributes
    ----------
    since_ms : int
        When the first of them came.
    size : int
        Bytes of all of them.
    """

    since_ms: int
    output_by_index: dict[int, bytes] = field(default_factory=dict)
    error_by_index: dict[int, bytes] = field(default_factory=dict)
    size: int = 0

    def __len__(self) -> int:
        return len(self.output_by_index) + len(self.error_by_index)

    def add(self, index: int, line: bytes, is_output: bool) -> None:
        """Hold an item's line."""
        lines = self.output_by_index if is_output else self.error_by_index
        lines[index] = line
        self.size += len(line)

    def batch(
        self, before: ChunkRecord, name: str, tries_by_index: dict[int, int]
    ) -> CommitBatch:
        """Return the commit of all lines, as a part of that name.

        Parameters
        ----------
        tries_by_index : dict of int to int
            Tries of items that had any; those now complete are left out.
        """
        output = b"".join(line for _, line in _sorted(self.output_by_index))
        errors = b"".join(line for _, line in _sorted(self.error_by_index))
        done, failed = _bits(self.output_by_index), _bits(self.error_by_index)
        part = Part(name, len(output), len(errors), done, failed)
        complete = before.answered | done | failed
        attempts = {
            index: tries
            for index, tries in tries_by_index.items()
            if not complete >> index & 1
        }
        after = with_part(before, part, attempts)
        return CommitBatch(before, after, output + errors)


def _sorted(line_by_index):
    return sorted(line_by_index.items())


def _bits(indexes):
    return sum(1 << index for index in indexes)
