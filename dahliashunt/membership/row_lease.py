"""A lease in one row of the table service.

No two clocks are compared: the holder counts its term from before it sent
a renewal, an observer takes the lease for lapsed after it has seen the
same renewal counter for the whole term on its own clock.

References
----------
.. [1] C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant mechanism
   for distributed file cache consistency", SOSP 1989.
"""

from dataclasses import dataclass
import json

from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ids import FenceToken
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import TableService
from dahliashunt.ports.table import Write

__all__ = ["RowLease"]


@dataclass(frozen=True, slots=True)
class _Value:
    """What the lease's row says.

    `beat` counts renewals; a taker counts it on, so that every write of
    the row changes it.
    """

    holder: str
    token: FenceToken
    beat: int

    def to_text(self):
        return json.dumps(
            {"holder": self.holder, "token": self.token, "beat": self.beat}
        )


class RowLease:
    """One node's part in a lease.

    Parameters
    ----------
    table : TableService
    key : str
        Of the row.
    holder : str
        Name of this run of this node; a restart is another holder.
    term_ms : int
    clock : Clock
    """

    def __init__(
        self,
        table: TableService,
        key: str,
        holder: str,
        term_ms: int,
        clock: Clock,
    ):
        self._table = table
        self._key = key
        self._holder = holder
        self._term_ms = term_ms
        self._clock = clock
        self._token = None
        self._held_until_ms = 0
        self._seen = None
        self._seen_ms = 0

    @property
    def token(self) -> FenceToken | None:
        """The fencing token while the lease is held, else None.

        A holder that was paused longer than its term gets None here: it
        must not act on what it believed before.
        """
        if self._clock.now_ms() >= self._held_until_ms:
            return None
        return self._token

    async def step(self) -> None:
        """Renew the lease, or take it if it is free or has lapsed.

        Called every third of a term. An outage changes nothing: the term
        runs out, and afterwards the same holder renews the same token if
        nobody has taken the lease.
        """
        sent_ms = self._clock.now_ms()
        try:
            row = await self._table.read(self._key)
            value = None if row is None else _Value(**json.loads(row.value))
            wanted = self._wanted(value, sent_ms)
            if wanted is None:
                return
            expect = MustBe.ABSENT if row is None else row.version
            write = Write(self._key, wanted.to_text(), expect)
            await self._table.transact((write,))
        except (
            PlatformUnavailable,
            TransactionConflict,
            WriteOutcomeUnknown,
        ):
            # An unknown outcome is settled by the next step's read.
            return
        self._token = wanted.token
        self._held_until_ms = sent_ms + self._term_ms

    def _wanted(self, value, now):
        """Return what to write, or None to let the holder be."""
        if value is None:
            return _Value(self._holder, FenceToken(1), 0)
        if value.holder == self._holder:
            return _Value(self._holder, value.token, value.beat + 1)
        if value != self._seen:
            self._seen, self._seen_ms = value, now
        if now - self._seen_ms < self._term_ms:
            return None
        return _Value(
            self._holder, FenceToken(value.token + 1), value.beat + 1
        )
