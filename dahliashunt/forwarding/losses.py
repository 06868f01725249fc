"""Share the counts of lost requests between entries.

A row a digest, written only at a loss and when one is cleared. An entry
that can't write counts on its own.
"""

import asyncio
import hashlib

from dahliashunt.decisions.loss_counts import LossCounts
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.forwarding.call import Call
from dahliashunt.ids import Fingerprint
from dahliashunt.ports import Clock
from dahliashunt.ports import TableService
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import Write

__all__ = ["LOSSES_PREFIX", "SharedLosses", "request_fingerprint"]

LOSSES_PREFIX = "losses//"

MAX_QUEUED_WRITES = 64
"""Writes that wait for the store; with more a store's outage is on, and
counts stay with this entry."""


def request_fingerprint(host: str, call: Call) -> Fingerprint:
    """Return what is equal for resends of one request."""
    digest = hashlib.blake2b(call.body, digest_size=12)
    digest.update(f"\0{host}\0{call.method}\0{call.target}".encode())
    return Fingerprint(digest.hexdigest())


class SharedLosses:
    """Counts of this entry and of all others.

    Also the listener of the feed of `LOSSES_PREFIX`.
    """

    def __init__(self, table: TableService, clock: Clock, log):
        self._table = table
        self._clock = clock
        self._log = log
        self._counts = LossCounts()
        self._queue: asyncio.Queue = asyncio.Queue(MAX_QUEUED_WRITES)

    def lost(
        self, digest: Fingerprint, request_id: str, began_ms: int
    ) -> None:
        """Note that the request was lost with its replica.

        Parameters
        ----------
        digest : Fingerprint
        request_id : str
        began_ms : int
            When it was sent there.
        """
        now_ms = self._clock.now_ms()
        before = self._counts.losses(digest, now_ms)
        losses = self._counts.lost(digest, began_ms, now_ms)
        self._log.info(
            "request_lost",
            request_id=request_id,
            digest=digest,
            losses=losses,
        )
        if losses > before:
            self._put(digest)

    def served(self, digest: Fingerprint) -> None:
        """Note that the request was served."""
        if self._counts.served(digest):
            self._put(digest)

    def is_convicted(self, digest: Fingerprint) -> bool:
        """Tell whether the request is not to be sent any more."""
        return self._counts.is_convicted(digest, self._clock.now_ms())

    def _put(self, digest):
        if not self._queue.full():
            self._queue.put_nowait(digest)

    # Listener of the feed.

    def replaced(self, rows) -> None:
        """Take over all counts."""
        for row in rows:
            self.changed(row)

    def changed(self, row: Row) -> None:
        """Take over one count."""
        if row.value.isdigit():
            digest = Fingerprint(row.key.removeprefix(LOSSES_PREFIX))
            self._counts.learn(digest, int(row.value), self._clock.now_ms())

    def removed(self, key: str) -> None:
        """Another entry has served the request."""
        self._counts.served(Fingerprint(key.removeprefix(LOSSES_PREFIX)))

    def outage_ended(self) -> None:
        """Nothing to do: the feed goes on where it stopped."""

    async def run(self) -> None:
        """Write counts, for ever."""
        while True:
            digest = await self._queue.get()
            try:
                await self._write(digest)
            except (
                PlatformUnavailable,
                TransactionConflict,
                WriteOutcomeUnknown,
            ) as error:
                # Counted here in any case; the next loss is written anew.
                self._log.warning(
                    "loss_not_shared", digest=digest, reason=str(error)
                )

    async def _write(self, digest):
        """Bring the row up to this entry's count, or drop it with that.

        The higher count stands: one replica that is lost with the same
        request of several entries is one loss.
        """
        key = f"{LOSSES_PREFIX}{digest}"
        row = await self._table.read(key)
        held = int(row.value) if row and row.value.isdigit() else 0
        expect = row.version if row else MustBe.ABSENT
        losses = self._counts.losses(digest, self._clock.now_ms())
        if losses == 0:
            if row is not None:
                await self._table.transact((Write(key, None, expect),))
        elif losses > held:
            await self._table.transact((Write(key, str(losses), expect),))
