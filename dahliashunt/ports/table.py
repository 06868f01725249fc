"""The platform's transactional table service, as the brief grants it.

A row is a key and a value, both text, with a version that the service
counts up on every write of that row. There are three calls: read, ordered
range read, and one transaction of conditional writes.
"""

from dataclasses import dataclass
import enum
from typing import Protocol

__all__ = [
    "Changes",
    "MustBe",
    "Row",
    "TableFeed",
    "TableService",
    "Write",
]


class MustBe(enum.Enum):
    """Condition of a write that names no version."""

    ANY = "any"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class Row:
    """One row as read.

    Attributes
    ----------
    key : str
    value : str
        JSON text by this package's custom; the service does not care.
    version : int
        Counts the writes of this row, from 1.
    """

    key: str
    value: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write in a transaction.

    Attributes
    ----------
    key : str
    value : str or None
        The new value; None deletes the row. A write with ``check_only``
        leaves the row as it is and only tests its condition.
    expect : int or MustBe
        The version that the row must have, or `MustBe`.
    """

    key: str
    value: str | None
    expect: int | MustBe = MustBe.ANY
    check_only: bool = False


class TableService(Protocol):
    """The table service's three calls.

    Every call raises `PlatformUnavailable` if it certainly had no effect.
    """

    async def read(self, key: str) -> Row | None:
        """Return the row named `key`, or None."""

    async def read_range(
        self, start: str, end: str, limit: int
    ) -> tuple[Row, ...]:
        """Return rows with ``start <= key < end`` in order of key."""

    async def transact(self, writes: tuple[Write, ...]) -> tuple[int, ...]:
        """Apply all `writes` or none; return the rows' new versions.

        Raises
        ------
        TransactionConflict
            A condition did not hold; nothing was written.
        WriteOutcomeUnknown
            The answer was lost. Settle it by reading: every transaction
            of this package writes an id of its own into a row.
        """


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows of a table, and the version up to which they are known.

    Attributes
    ----------
    rows : tuple of Row
        As they are now, in order of change.
    removed : tuple of str
        Keys of rows that no longer exist.
    version : int
        Where to go on.
    """

    rows: tuple[Row, ...]
    removed: tuple[str, ...]
    version: int


class TableFeed(Protocol):
    """Reads of a whole table, and of what changes in it.

    Keys start with the table's name and a slash. Calls raise
    `PlatformUnavailable`.
    """

    async def snapshot(self, prefix: str) -> Changes:
        """Return every row whose key starts with `prefix`."""

    async def changes(self, table: str, after: int, wait_ms: int) -> Changes:
        """Return what changed after version `after`.

        Waits up to `wait_ms` for a first change; none is no error.

        Raises
        ------
        HistoryLost
            The changes after `after` are no longer kept.
        """
