"""In-memory table service for unit tests."""

from dahliashunt.adapters.table.rows import TableRows
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import Write

__all__ = ["MemoryTableService"]


class MemoryTableService:
    """In-memory `TableService` with fault injection.

    Attributes
    ----------
    outage : bool
        Whether every call raises `PlatformUnavailable`.
    drop_answers : int
        Number of transactions that take effect and then raise
        `WriteOutcomeUnknown`.
    lose_writes : int
        Number of transactions that raise it without taking effect.
    before_transact : callable or None
        Called with the writes before a transaction, to simulate a race.
    reads, transactions, conflicts : int
        Numbers of calls.
    """

    def __init__(self):
        self.rows = TableRows()
        self.outage = False
        self.drop_answers = 0
        self.lose_writes = 0
        self.before_transact = None
        self.reads = 0
        self.transactions = 0
        self.conflicts = 0

    async def read(self, key: str) -> Row | None:
        """Return the row named `key`, or None."""
        self._count_read()
        return self.rows.read(key)

    async def read_range(
        self, start: str, end: str, limit: int
    ) -> tuple[Row, ...]:
        """Return rows with ``start <= key < end`` in order of key."""
        self._count_read()
        return self.rows.read_range(start, end, limit)

    async def transact(self, writes: tuple[Write, ...]) -> tuple[int, ...]:
        """Apply all `writes` or none; return the rows' new versions."""
        self._check_outage()
        self.transactions += 1
        if self.before_transact is not None:
            self.before_transact(writes)
        if self.lose_writes > 0:
            self.lose_writes -= 1
            raise WriteOutcomeUnknown("injected loss of the write")
        try:
            versions = self.rows.transact(tuple(writes))
        except Exception:
            self.conflicts += 1
            raise
        if self.drop_answers > 0:
            self.drop_answers -= 1
            raise WriteOutcomeUnknown("injected loss of the response")
        return versions

    def _count_read(self):
        self._check_outage()
        self.reads += 1

    def _check_outage(self):
        if self.outage:
            raise PlatformUnavailable("injected outage of the table service")
