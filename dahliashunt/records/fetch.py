"""Performing a follower's reads through the table port."""

import asyncio
from collections.abc import Callable
import contextlib

from dahliashunt.errors import PlatformError
from dahliashunt.ids import Revision
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.table import TableService
from dahliashunt.records.follower import Follower
from dahliashunt.records.follower import Pause
from dahliashunt.records.follower import ReadChanges
from dahliashunt.records.follower import ReadHead
from dahliashunt.records.log import ChangeLog
from dahliashunt.records.record import Record
from dahliashunt.records.sequence import head_from_row
from dahliashunt.records.sequence import HEAD_KEY
from dahliashunt.records.sequence import RECORD_PREFIX
from dahliashunt.records.sequence import stored_from_row
from dahliashunt.records.snapshot import Snapshot

__all__ = ["follow", "perform", "read_snapshot"]

PAGE = 1_000
"""Rows a range read, half a megabyte: 44 reads for 44,000 callers."""

_END = RECORD_PREFIX[:-1] + chr(ord(RECORD_PREFIX[-1]) + 1)


async def follow(
    table: TableService,
    follower: Follower,
    clock: Clock,
    adopted: Callable[[Snapshot], None],
    nudge: asyncio.Event,
) -> None:
    """Keep `follower` up to date until cancelled.

    Parameters
    ----------
    table : TableService
    follower : Follower
    clock : Clock
    adopted : callable
        Called with each snapshot that the table brought in force.
    nudge : asyncio.Event
        Set by whoever lets the follower hear of a revision.
    """
    while True:
        wanted = follower.next_read(clock.now_ms())
        if isinstance(wanted, Pause):
            nudge.clear()
            await _sleep_until(wanted.until_ms, clock, nudge)
        elif await perform(wanted, table, follower, clock):
            adopted(follower.snapshot)


async def perform(
    wanted, table: TableService, follower: Follower, clock: Clock
) -> bool:
    """Do one read and tell the follower; return whether it adopted."""
    log = ChangeLog(table)
    try:
        if isinstance(wanted, ReadHead):
            head = head_from_row(await table.read(HEAD_KEY))
            follower.read_head(head.revision, clock.now_ms())
            return False
        if isinstance(wanted, ReadChanges):
            changes = await log.changes(wanted.after, wanted.until)
            return follower.read_changes(changes, clock.now_ms())
        snapshot = await read_snapshot(table)
    except PlatformError:
        follower.read_failed(clock.now_ms())
        return False
    return follower.read_snapshot(snapshot, clock.now_ms())


async def read_snapshot(table: TableService) -> Snapshot:
    """Read all records at one revision.

    Notes
    -----
    Failure: the head moves while the rows are read page by page, and the
    pages show records of different revisions; a deployment could be seen
    without the model that came with it. Every row is read between two
    reads of the head, so each is at least as new as the first head and
    none is newer than the second; applying the changes between the two,
    newer records winning, gives exactly the second.
    """
    log = ChangeLog(table)
    before = head_from_row(await table.read(HEAD_KEY))
    snapshot = Snapshot(before.revision)
    start = RECORD_PREFIX
    while True:
        rows = await table.read_range(start, _END, PAGE)
        snapshot = snapshot.advanced(before.revision, map(_record, rows))
        if len(rows) < PAGE:
            break
        start = rows[-1].key + "\0"
    after = head_from_row(await table.read(HEAD_KEY))
    if after.revision == before.revision:
        return snapshot
    changes = await log.changes(before.revision, after.revision)
    expected = after.revision - before.revision
    if len(changes) != expected:
        raise PlatformError(f"{len(changes)} of {expected} changes read")
    changed: dict = {}
    for change in changes:
        changed.update((item.key, item.after) for item in change.items)
    return snapshot.advanced(Revision(after.revision), changed.values())


def _record(row) -> Record:
    return stored_from_row(row).record


async def _sleep_until(until_ms, clock, nudge):
    delay_ms = max(1, until_ms - clock.now_ms())
    sleep = asyncio.ensure_future(clock.sleep_ms(delay_ms))
    heard = asyncio.ensure_future(nudge.wait())
    try:
        await asyncio.wait({sleep, heard}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in (sleep, heard):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
