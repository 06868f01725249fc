"""In-memory rows of the table service with conditional transactions."""

import bisect

from dahliashunt.errors import TransactionConflict
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import Write

__all__ = ["TableRows"]


class TableRows:
    """Versioned rows in order of key."""

    def __init__(self):
        self._by_key: dict[str, Row] = {}
        self._keys: list[str] = []

    def read(self, key: str) -> Row | None:
        """Return the row named `key`, or None."""
        return self._by_key.get(key)

    def read_range(self, start: str, end: str, limit: int) -> tuple[Row, ...]:
        """Return up to `limit` rows with ``start <= key < end``."""
        first = bisect.bisect_left(self._keys, start)
        last = bisect.bisect_left(self._keys, end, lo=first)
        keys = self._keys[first : min(last, first + limit)]
        return tuple(self._by_key[key] for key in keys)

    def transact(self, writes: tuple[Write, ...]) -> tuple[int, ...]:
        """Apply all `writes` or none; return the rows' new versions.

        A deleted or absent row has version 0.

        Raises
        ------
        TransactionConflict
            The condition of at least one write does not hold.
        """
        failed = [
            each.key for each in writes if not self._condition_holds(each)
        ]
        if failed:
            raise TransactionConflict(failed)
        return tuple(self._apply(each) for each in writes)

    def all(self) -> tuple[Row, ...]:
        """Return every row in order of key."""
        return tuple(self._by_key[key] for key in self._keys)

    def _version(self, key):
        row = self._by_key.get(key)
        return row.version if row else 0

    def _condition_holds(self, write):
        if write.expect is MustBe.ANY:
            return True
        if write.expect is MustBe.ABSENT:
            return write.key not in self._by_key
        row = self._by_key.get(write.key)
        return row is not None and row.version == write.expect

    def _apply(self, write):
        version = self._version(write.key)
        if write.check_only:
            return version
        if write.value is None:
            self._delete(write.key)
            return 0
        if not version:
            bisect.insort(self._keys, write.key)
        row = Row(write.key, write.value, version + 1)
        self._by_key[write.key] = row
        return row.version

    def _delete(self, key):
        if self._by_key.pop(key, None) is not None:
            del self._keys[bisect.bisect_left(self._keys, key)]
