"""What the tasks of a batch owner tell its main task."""

from dataclasses import dataclass

from dahliashunt.batch.chunk import ChunkRecord
from dahliashunt.batch.items import BatchItem
from dahliashunt.batch.items import ItemOutcome
from dahliashunt.batch.job import JobRecord
from dahliashunt.batch.lease import Claim
from dahliashunt.ids import JobId

__all__ = [
    "Accepted",
    "ChunkLoaded",
    "ClaimHeld",
    "ClaimLost",
    "Committed",
    "Drain",
    "Ended",
    "Finished",
    "Key",
    "Renewed",
    "Scanned",
    "StopsSeen",
    "TaskFailed",
    "Tick",
]

Key = tuple[str, int]
"""Job id and group of a claim."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """A job was accepted here, and this node holds its first claim."""

    job: JobRecord


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """A claim is this node's, with what is committed under it."""

    job: JobRecord
    claim: Claim
    chunks: dict[int, ChunkRecord]


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """A claim is not, or no longer, this node's to work on."""

    key: Key


@dataclass(frozen=True, slots=True)
class ChunkLoaded:
    """Lines of an input chunk; None if it is missing for good."""

    key: Key
    chunk: int
    lines: list[bytes] | None


@dataclass(frozen=True, slots=True)
class Ended:
    """One try of an item ended."""

    key: Key
    item: BatchItem
    outcome: ItemOutcome


@dataclass(frozen=True, slots=True)
class Committed:
    """A commit took effect."""

    key: Key
    record: ChunkRecord


@dataclass(frozen=True, slots=True)
class Finished:
    """Nothing is left to do under a claim; it is given up."""

    key: Key


@dataclass(frozen=True, slots=True)
class Renewed:
    """The heartbeat was sent; `effect` tells if it took effect."""

    effect: bool


@dataclass(frozen=True, slots=True)
class Scanned:
    """All claims and what the scan made of them.

    Attributes
    ----------
    started_ms : int
        When the scan began to read.
    mine : tuple of Claim
        Held by this run of the node.
    """

    started_ms: int
    mine: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class StopsSeen:
    """Jobs that are being cancelled or expired."""

    job_ids: frozenset[JobId]


@dataclass(frozen=True, slots=True)
class TaskFailed:
    """A task ended in an error that nothing foresaw.

    Attributes
    ----------
    key : Key or None
        Claim that it worked for; None for the periodic tasks.
    """

    key: Key | None
    error: BaseException


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Drain:
    """Start nothing more, commit what is held, give up the claims."""
