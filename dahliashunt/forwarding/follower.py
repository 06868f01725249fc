"""Follow a table: read it whole, then apply its changes."""

import asyncio
import random

from dahliashunt.decisions.feed_pace import FeedUse
from dahliashunt.decisions.feed_pace import pause_ms
from dahliashunt.decisions.lapse_grace import ReadGap
from dahliashunt.errors import HistoryLost
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.metrics import Metrics
from dahliashunt.ports import Clock
from dahliashunt.ports import TableFeed

__all__ = ["TableFollower"]

LONG_POLL_MS = 1_000
"""Time that a call waits for a change. A dead connection is found by the end
of its call: with the client's own margin a change is some 1.5 s late then."""

CALL_MARGIN_MS = 300
"""Time by which a call and the pause after it may exceed the wait."""

RETRY_MIN_MS = 50
RETRY_MAX_MS = 400
"""Bounds of the jittered exponential backoff while the table is unavailable.
With the upper one 64 nodes make under 400 calls a second."""


RESTART_BOUNDS_MS = (500, 10_000)
"""Bounds of the doubling pause after an error of the listener. The whole
table is read then, and many entries may fail on one row."""


class TableFollower:
    """Reads a table and its changes and passes the rows to `listener`.

    A listener catches what a row causes at that row. Any other error is a
    fault of the program: the rows known so far stay in use, the follower
    counts as failed, and after a pause it reads the whole table again.

    Parameters
    ----------
    feed : TableFeed
    prefixes : tuple of str
        Table, partition and optionally the start of keys; all of one table.
    use : FeedUse
        Purpose of the feed; decides how changes are batched.
    listener : object
        Has ``replaced(rows)``, ``changed(row)``, ``removed(key)`` and
        ``gap_ended(gap)``, which gets a `ReadGap` before the rows of the
        first answer after it.
    clock : Clock
    rng : random.Random
    log : structlog logger
    metrics : Metrics or None
        Counts errors of the listener as ``follower_failures``.

    Attributes
    ----------
    failed : bool
        Whether the last rows could not be applied.
    heard_ms : int or None
        Time of the table's last response.
    current_as_of_ms : int or None
        Start of the last read whose rows were applied: every change that was
        committed before is known.
    known : asyncio.Event
        Set once the whole table has been read.
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
        metrics: Metrics | None = None,
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
        self._began_ms = 0
        self._failed_ms = 0
        self._metrics = metrics
        self._restart_ms, _ = RESTART_BOUNDS_MS
        self.failed = False
        self.heard_ms: int | None = None
        self.current_as_of_ms: int | None = None
        self.known = asyncio.Event()

    def is_current(self) -> bool:
        """Return whether a change would have been heard of by now.

        It is not while a call takes longer than its wait, as on a half-open
        connection, nor after a standstill of this process: an answer that
        was received meanwhile is as old as its call.
        """
        if self.current_as_of_ms is None:
            return False
        now_ms = self._clock.now_ms()
        call_ms = LONG_POLL_MS + CALL_MARGIN_MS
        return (
            now_ms - self._began_ms <= call_ms
            and now_ms - self.current_as_of_ms <= call_ms + LONG_POLL_MS
        )

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryLost:
                # Changes were missed: the known rows stay in use until the
                # whole table has been read again.
                self._log.info("history_lost", table=self._table)
                self._after = None
            except PlatformUnavailable as error:
                await self._back_off(error)
            except Exception as error:  # A fault of the listener, of any type.
                await self._restart(error)
            else:
                self._note_success()

    async def _restart(self, error):
        """Report the error of a listener and read the whole table later."""
        self.failed = True
        self._after = None
        if self._metrics is not None:
            self._metrics.count("follower_failures", table=self._table)
        self._log.error(
            "follower_failed",
            table=self._table,
            reason=repr(error),
            exc_info=error,
        )
        most_ms = self._restart_ms
        self._restart_ms = min(2 * most_ms, RESTART_BOUNDS_MS[1])
        await self._clock.sleep_ms(self._rng.randint(most_ms // 2, most_ms))

    def _note_success(self):
        if self.failed:
            self.failed = False
            self._restart_ms, _ = RESTART_BOUNDS_MS
            self._log.info("follower_recovered", table=self._table)

    async def _step(self):
        self._began_ms = began_ms = self._clock.now_ms()
        if self._after is None:
            await self._read_whole()
            self.current_as_of_ms = began_ms
            return
        # Short calls find out sooner that the table is back.
        wait_ms = 0 if self._failures else LONG_POLL_MS
        found = await self._feed.changes(self._table, self._after, wait_ms)
        self._note_answer()
        self._apply(found)
        self._after = found.version
        self.current_as_of_ms = began_ms
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
        # Changes made while reading are delivered again.
        self._after = after

    def _apply(self, found):
        for row in found.rows:
            if row.key.startswith(self._prefixes):
                self._listener.changed(row)
        for key in found.removed:
            if key.startswith(self._prefixes):
                self._listener.removed(key)

    def _note_answer(self):
        heard_ms, self.heard_ms = self.heard_ms, self._clock.now_ms()
        if self._failures:
            self._log.info(
                "table_recovered", table=self._table, failures=self._failures
            )
            self._failures = 0
            self._listener.gap_ended(
                ReadGap(heard_ms, self._failed_ms, self.heard_ms)
            )

    async def _back_off(self, error):
        if self._failures == 0:
            self._log.warning(
                "table_unavailable", table=self._table, reason=str(error)
            )
        self._failures += 1
        self._failed_ms = self._began_ms
        most_ms = min(RETRY_MAX_MS, RETRY_MIN_MS * 2**self._failures)
        await self._clock.sleep_ms(self._rng.randint(RETRY_MIN_MS, most_ms))
