"""A chunk's completion row: which items have committed results, and where.

A commit writes the results to an object of a new name and then makes one
transaction. The row names the object and marks the items, so readers see
both or neither.
"""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from dahliashunt.batch.job import JobRecord
from dahliashunt.batch.lease import Claim
from dahliashunt.batch.rows import chunk_key
from dahliashunt.batch.rows import decode
from dahliashunt.batch.rows import encode
from dahliashunt.ids import JobId
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import Write

__all__ = ["ChunkRecord", "Part", "commit_writes", "with_part"]


@dataclass(frozen=True, slots=True)
class Part:
    """An object of committed lines.

    Attributes
    ----------
    name : str
        Never used before; it is also the commit's write id.
    output_bytes, error_bytes : int
        The object holds the output lines first, then the error lines.
    done, failed : int
        Bit sets of the items that it completes.
    """

    name: str
    output_bytes: int
    error_bytes: int
    done: int
    failed: int


@dataclass(frozen=True, slots=True)
class ChunkRecord:
    """Completion of one chunk.

    Attributes
    ----------
    done, failed : int
        Bit sets of items by line.
    parts : tuple of Part
        In order of commit; the item sets of a stored part are not kept.
    attempts : dict of int to int
        Tries by line of items that have none of the two bits yet, so that
        a new owner goes on counting where the last one committed.
    version : int
        Of the row; 0 while there is none, which means nothing committed.
    """

    job_id: JobId
    chunk: int
    done: int = 0
    failed: int = 0
    parts: tuple[Part, ...] = ()
    attempts: dict[int, int] = field(default_factory=dict, hash=False)
    version: int = 0

    @property
    def answered(self) -> int:
        """Bit set of the items that are complete."""
        return self.done | self.failed

    @property
    def key(self) -> str:
        """Key of the row."""
        return chunk_key(self.job_id, self.chunk)

    def has_part(self, name: str) -> bool:
        """Return whether the commit of that write id is in."""
        return any(part.name == name for part in self.parts)

    def to_value(self) -> str:
        """Return the row's value."""
        return encode(
            {
                "done": f"{self.done:x}",
                "failed": f"{self.failed:x}",
                "parts": [
                    [part.name, part.output_bytes, part.error_bytes]
                    for part in self.parts
                ],
                "attempts": {
                    str(index): tries for index, tries in self.attempts.items()
                },
            }
        )

    @classmethod
    def from_row(cls, job_id: JobId, chunk: int, row: Row | None):
        """Return the completion that a row, or its absence, stands for."""
        if row is None:
            return cls(job_id, chunk)
        fields = decode(row.value)
        return cls(
            job_id,
            chunk,
            int(fields["done"], 16),
            int(fields["failed"], 16),
            tuple(Part(*part, 0, 0) for part in fields["parts"]),
            {int(i): tries for i, tries in fields["attempts"].items()},
            row.version,
        )


def with_part(
    chunk: ChunkRecord, part: Part, attempts: dict[int, int]
) -> ChunkRecord:
    """Return `chunk` with the items of `part` complete.

    Raises
    ------
    ValueError
        An item would complete a second time.
    """
    items = part.done | part.failed
    if items & chunk.answered or part.done & part.failed:
        raise ValueError(f"{chunk.key}: an item would complete twice")
    return replace(
        chunk,
        done=chunk.done | part.done,
        failed=chunk.failed | part.failed,
        parts=(*chunk.parts, part),
        attempts=dict(attempts),
    )


def commit_writes(
    before: ChunkRecord, after: ChunkRecord, claim: Claim, job: JobRecord
) -> tuple[Write, ...]:
    """Return the transaction that turns `before` into `after`.

    Guards
    ------
    The claim's version stands for its fencing token: it keeps out an owner
    that was paused past its lease and does not know that another took the
    claim; without it items would complete twice. The job's version keeps
    commits out after a cancel. The chunk row's version keeps out a late
    copy of a commit whose answer was lost and that was sent again.
    """
    return (
        Write(after.key, after.to_value(), before.version or MustBe.ABSENT),
        Write(claim.key, None, claim.version, check_only=True),
        Write(job.key, None, job.version, check_only=True),
    )
