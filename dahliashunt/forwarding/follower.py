"""Follow one table: whole first, then change by change."""

import asyncio
import random

from dahliashunt.decisions.feed_pace import FeedUse
from dahliashunt.decisions.feed_pace import pause_ms
from dahliashunt.errors import HistoryLost
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.ports import Clock
from dahliashunt.ports import TableFeed

__all__ = ["TableFollower"]

LONG_POLL_MS = 1_000
"""How long one call waits for a change. Short, since a connection that
went silent is found only by the call's end: with it and the client's own
margin a change is at most some 1.5 s late on such a connection."""

RETRY_MIN_MS = 50
RETRY_MAX_MS = 400
"""Bounds of the jittered backoff while the table does not answer. The
upper one bounds how late its return is seen; 64 nodes make under 400
calls a second with it, a fifth of the reads granted."""


class TableFollower:
    """Runs until cancelled; hands rows to `listener`.

    Parameters
    ----------
    feed : TableFeed
    prefixes : tuple of str
        Each with table, part and perhaps the start of keys; all of one
        table.
    use : FeedUse
        What the table is followed for; decides how changes are gathered.
    listener : object
        Has ``replaced(rows)``, ``changed(row)``, ``removed(key)`` and
        ``outage_ended()``.
    clock : Clock
    rng : random.Random
    log : structlog logger

    Attributes
    ----------
    heard_ms : int or None
        When the table last answered.
    known : asyncio.Event
        Set once the table was read whole.
    """

    def __init__(
        self,
        feed: TableFeed,
        prefixes: tuple[str, ...],
        use: FeedUse,
        listener,
        clock: Clock,
        rng: random.Random,
        log,
    ):
        self._feed = feed
        self._prefixes = prefixes
        self._table = prefixes[0].split("/", 1)[0]
        self._use = use
        self._listener = listener
        self._clock = clock
        self._rng = rng
        self._log = log
        self._after: int | None = None
        self._failures = 0
        self.heard_ms: int | None = None
        self.known = asyncio.Event()

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                await self._step()
            except HistoryLost:
                # Changes were missed: what is known stays in use until
                # the whole table was read again.
                self._log.info("history_lost", table=self._table)
                self._after = None
            except PlatformUnavailable as error:
                await self._back_off(error)

    async def _step(self):
        if self._after is None:
            await self._read_whole()
            return
        found = await self._feed.changes(
            self._table, self._after, LONG_POLL_MS
        )
        self._note_answer()
        self._apply(found)
        self._after = found.version
        gather_ms = pause_ms(self._use, bool(found.rows or found.removed))
        if gather_ms:
            await self._clock.sleep_ms(gather_ms)

    async def _read_whole(self):
        rows = []
        after = None
        for prefix in self._prefixes:
            found = await self._feed.snapshot(prefix)
            rows += found.rows
            after = found.version if after is None else after
        self._note_answer()
        self._listener.replaced(tuple(rows))
        self.known.set()
        # What changed between the first page and the last comes again.
        self._after = after

    def _apply(self, found):
        for row in found.rows:
            if row.key.startswith(self._prefixes):
                self._listener.changed(row)
        for key in found.removed:
            if key.startswith(self._prefixes):
                self._listener.removed(key)

    def _note_answer(self):
        self.heard_ms = self._clock.now_ms()
        if self._failures:
            self._log.info(
                "table_regained", table=self._table, failures=self._failures
            )
            self._failures = 0
            self._listener.outage_ended()

    async def _back_off(self, error):
        if self._failures == 0:
            self._log.warning(
                "table_lost", table=self._table, reason=str(error)
            )
        self._failures += 1
        most_ms = min(RETRY_MAX_MS, RETRY_MIN_MS * 2**self._failures)
        await self._clock.sleep_ms(self._rng.randint(RETRY_MIN_MS, most_ms))
