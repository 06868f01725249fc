"""The row of an agent's own replica, and restarts of that replica.

A replica may start again under its id, with another ``born``, or under a new
id at its address. Its agent runs on, and must not announce or count what the
earlier incarnation held.

The replica's own report states its start, and decides. An agent that starts
together with its replica often reads the list before the replica has written
its row, and finds the row of the incarnation before.

An agent does not follow the list: at 7,000 replicas that would be 7,000 more
readers of every heartbeat. It reads its replica's row some times after a sign
of a restart, which is a report that states another start, comes after a
missing one or needed a new connection, and rarely without a sign. It reads the
whole list if the row is gone or names another address, and once after each
sign: the row of an earlier id stays for some seconds.
"""

import asyncio
from dataclasses import replace
import random

from dahliashunt.errors import PlatformError
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.platform.operator import decode_replica
from dahliashunt.platform.operator import DecodeError
from dahliashunt.platform.operator import REPLICAS_PREFIX
from dahliashunt.ports import Clock
from dahliashunt.ports import TableFeed
from dahliashunt.ports import TableService

__all__ = ["OwnReplica"]

LOOKUP_RETRY_MS = 300
"""Interval between reads of the list until the replica is found."""

NOT_LISTED_FIRST_MS = 5_000
NOT_LISTED_MS = 30_000
"""Time until the first log line that no row has the replica's address, and
between two of them."""

CHECKS_AFTER_SIGN_MS = (300, 600, 1_200, 2_400)
"""Times between reads of the row after a sign of a restart: a replica that
starts again may write its row only once it has loaded."""

CHECK_INTERVAL_MS = 30_000
"""Mean time between reads of the row without a sign: some 230 reads a second
by 7,000 agents."""

LATE_ROW_INTERVAL_MS = 5_000
"""Mean time between reads while no row states the start that the replica
reports."""

MAX_LOGGED_ROWS = 10
"""Rows of the list logged as unreadable by one read."""


class OwnReplica:
    """Finds the row of the replica at an address and notices its restarts.

    Parameters
    ----------
    store : TableService and TableFeed
    address : (str, int)
        Address of the replica.
    clock : Clock
    rng : random.Random
    log : structlog logger

    Attributes
    ----------
    current : Replica or None
        The incarnation known last; the start that the replica reports,
        with the id and slots of the row known last.
    """

    def __init__(
        self,
        store: TableService | TableFeed,
        address: tuple[str, int],
        clock: Clock,
        rng: random.Random,
        log,
    ):
        self._store = store
        self._address = address
        self._clock = clock
        self._rng = rng
        self._log = log
        self._sign_ms: int | None = None
        self._signed = asyncio.Event()
        self._row_is_late = False
        self._stated_ms: int | None = None
        self._stated_at_ms = 0
        self._stated_since_ms = 0
        self.current: Replica | None = None

    async def find(self) -> Replica:
        """Return the replica listed with the address, once there is one."""
        told_ms = self._clock.now_ms() - NOT_LISTED_MS + NOT_LISTED_FIRST_MS
        while True:
            try:
                self.current = await self._look_up()
            except PlatformError as error:
                self._log.warning("table_unavailable", reason=str(error))
            if self.current is not None:
                return self.current
            now_ms = self._clock.now_ms()
            if now_ms - told_ms >= NOT_LISTED_MS:
                told_ms = now_ms
                host, port = self._address
                self._log.warning(
                    "replica_not_listed", replica=f"{host}:{port}"
                )
            await self._clock.sleep_ms(LOOKUP_RETRY_MS)

    def note_sign(self) -> None:
        """Note that the replica may have started again by now."""
        self._sign_ms = self._clock.now_ms()
        self._signed.set()

    def note_born(self, born_ms: int) -> int | None:
        """Note the start that the replica states in a report.

        Parameters
        ----------
        born_ms : int
            0 if the report states none.

        Returns
        -------
        int or None
            The time from which a grant is for this incarnation, if it is
            another than the one known before.
        """
        earlier_ms, self._stated_ms = self._stated_ms, born_ms
        since_ms, self._stated_at_ms = self._stated_at_ms, self._clock.now_ms()
        if born_ms == earlier_ms:
            return None
        if born_ms in (0, self.current.born_ms):
            if earlier_ms is None and not born_ms:
                self.note_sign()
            return None
        self._log.info(
            "replica_start_reported",
            replica=self.current.replica_id,
            born_ms=born_ms,
            listed_born_ms=self.current.born_ms,
        )
        self.current = replace(self.current, born_ms=born_ms)
        self._row_is_late = True
        self._stated_since_ms = since_ms
        self.note_sign()
        return since_ms

    async def watch(self, on_restart) -> None:
        """Call `on_restart` at each restart, until cancelled.

        Its arguments are the new incarnation and the time from which a grant
        is for it.
        """
        while True:
            if not await self._wait_for_sign():
                await self._check(on_restart, reads_list=self._row_is_late)
                continue
            for pause_ms in CHECKS_AFTER_SIGN_MS:
                if await self._check(on_restart):
                    break
                most_ms = pause_ms + pause_ms // 2
                delay_ms = self._rng.randint(pause_ms, most_ms)
                await self._clock.sleep_ms(delay_ms)
            else:
                await self._check(on_restart, reads_list=True)

    async def _wait_for_sign(self):
        """Return True at a sign, False at the time of the next check."""
        interval_ms = CHECK_INTERVAL_MS
        if self._row_is_late:
            interval_ms = LATE_ROW_INTERVAL_MS
        least_ms = interval_ms // 2
        limit_ms = self._rng.randint(least_ms, 3 * least_ms)
        signed = asyncio.ensure_future(self._signed.wait())
        limit = asyncio.ensure_future(self._clock.sleep_ms(limit_ms))
        try:
            await asyncio.wait(
                {signed, limit}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            signed.cancel()
            limit.cancel()
        is_signed = self._signed.is_set()
        self._signed.clear()
        return is_signed

    async def _check(self, on_restart, reads_list=False):
        """Read the row; return whether the incarnation has changed."""
        earlier = self.current
        try:
            found = None if reads_list else await self._read_row()
            found = found or await self._look_up()
        except PlatformError as error:
            self._log.warning("table_unavailable", reason=str(error))
            return False
        if found is None:
            return False
        stated_ms = self._stated_ms
        if stated_ms and found.born_ms not in (0, stated_ms):
            return False
        found = replace(found, born_ms=stated_ms or found.born_ms)
        is_late, self._row_is_late = self._row_is_late, False
        if found.incarnation == earlier.incarnation and not is_late:
            return False
        self._log.info(
            "replica_restarted",
            replica=found.replica_id,
            born_ms=found.born_ms,
            before=earlier.replica_id,
            before_born_ms=earlier.born_ms,
        )
        self.current = found
        since_ms, self._sign_ms = self._sign_ms, None
        if stated_ms:
            since_ms = self._stated_since_ms
        elif since_ms is None:
            since_ms = self._clock.now_ms()
        on_restart(found, since_ms)
        return True

    async def _read_row(self):
        """Return the replica by its id, None if it is not at the address."""
        row = await self._store.read(
            f"{REPLICAS_PREFIX}{self.current.replica_id}"
        )
        found = self._decode(row) if row is not None else None
        return found if found and found.address == self._address else None

    async def _look_up(self):
        """Return the replica whose row at the address was written last."""
        listed = await self._store.snapshot(REPLICAS_PREFIX)
        newest, version, unreadable = None, -1, 0
        for row in listed.rows:
            found = self._decode(row, unreadable < MAX_LOGGED_ROWS)
            unreadable += found is None
            if found is None or found.address != self._address:
                continue
            if row.version > version:
                newest, version = found, row.version
        return newest

    def _decode(self, row, is_logged=True):
        replica_id = row.key.removeprefix(REPLICAS_PREFIX)
        try:
            return decode_replica(replica_id, row.value)
        except DecodeError as error:
            if is_logged:
                self._log.warning("replica_unreadable", reason=str(error))
            return None
