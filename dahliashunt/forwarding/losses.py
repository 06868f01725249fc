"""Share the counts of lost requests between entries.

There is one row per digest, written at a loss and deleted when the request
is served. An entry that can't write keeps counting locally.
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
"""Writes that may wait for the store; further counts stay local."""


def request_fingerprint(host: str, call: Call) -> Fingerprint:
    """Return a fingerprint that is equal for resends of one request."""
    digest = hashlib.blake2b(call.body, digest_size=12)
    digest.update(f"\0{host}\0{call.method}\0{call.target}".encode())
    return Fingerprint(digest.hexdigest())


class SharedLosses:
    """Loss counts of this entry and of all others.

    Listens to the feed of `LOSSES_PREFIX`.
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
        """Count a request that was lost with its replica.

        Parameters
        ----------
        digest : Fingerprint
        request_id : str
        began_ms : int
            Time at which the request was sent to the replica.
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
        """Clear the losses of a request that was served."""
        if self._counts.served(digest):
            self._log.info("losses_cleared", digest=digest)
            self._put(digest)

    def is_quarantined(self, digest: Fingerprint) -> bool:
        """Return whether the request must not be sent again."""
        return self._counts.is_quarantined(digest, self._clock.now_ms())

    def _put(self, digest):
        if self._queue.full():
            self._log.warning("loss_write_dropped", digest=digest)
            return
        self._queue.put_nowait(digest)

    def replaced(self, rows) -> None:
        """Learn the counts of a whole table."""
        for row in rows:
            self.changed(row)

    def changed(self, row: Row) -> None:
        """Learn one count."""
        if row.value.isdigit():
            digest = Fingerprint(row.key.removeprefix(LOSSES_PREFIX))
            now_ms = self._clock.now_ms()
            before = self._counts.losses(digest, now_ms)
            losses = self._counts.learn(digest, int(row.value), now_ms)
            if losses > before:
                self._log.info(
                    "losses_learned",
                    digest=digest,
                    losses=losses,
                    before=before,
                )

    def removed(self, key: str) -> None:
        """Clear the losses of a request that another entry has served."""
        self._counts.served(Fingerprint(key.removeprefix(LOSSES_PREFIX)))

    def outage_ended(self) -> None:
        """Do nothing: the feed continues where it stopped."""

    async def run(self) -> None:
        """Write queued counts until cancelled."""
        while True:
            digest = await self._queue.get()
            try:
                await self._write(digest)
            except (
                PlatformUnavailable,
                TransactionConflict,
                WriteOutcomeUnknown,
            ) as error:
                # The local count stays and is written with the next loss.
                self._log.warning(
                    "loss_write_failed", digest=digest, reason=str(error)
                )

    async def _write(self, digest):
        """Raise the row to this entry's count, or delete it if that is 0.

        Counts are merged by maximum: a replica that is lost with the same
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
