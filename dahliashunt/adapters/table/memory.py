"""Table service in the process's memory, for unit tests."""

from dahliashunt.adapters.table.rows import TableRows
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import Write

__all__ = ["MemoryTableService"]


class MemoryTableService:
    """`TableService` in memory with fault hooks.

    Attributes
    ----------
    outage : bool
        Every call raises `PlatformUnavailable`.
    drop_answers : int
        So many transactions more take effect and then raise
        `WriteOutcomeUnknown`.
    lose_writes : int
        So many transactions more raise it without any effect.
    before_transact : callable or None
        Called with the writes before a transaction, to race it.
    reads, transactions, conflicts : int
        Calls so far.
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
            raise WriteOutcomeUnknown("the write was lost")
        try:
            versions = self.rows.transact(tuple(writes))
        except Exception:
            self.conflicts += 1
            raise
        if self.drop_answers > 0:
            self.drop_answers -= 1
            raise WriteOutcomeUnknown("the answer was lost")
        return versions

    def _count_read(self):
        self._check_outage()
        self.reads += 1

    def _check_outage(self):
        if self.outage:
            raise PlatformUnavailable("the table service is out")
