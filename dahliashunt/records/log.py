"""Reading the past: changes, and records as they were.

Notes
-----
Each change keeps the records before and after it. A record's past is
found by following `before` from its newest revision, at a cost of one
read a change of that record; the past of all records by undoing the
changes since, newest first, at one range read a hundred changes.
"""

import asyncio
from collections.abc import AsyncIterator
import heapq

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.ids import Revision
from dahliashunt.ports.table import TableService
from dahliashunt.records.record import Change
from dahliashunt.records.record import change_from_json
from dahliashunt.records.record import NO_REVISION
from dahliashunt.records.record import Record
from dahliashunt.records.record import RecordKey
from dahliashunt.records.sequence import change_key
from dahliashunt.records.snapshot import Snapshot

__all__ = ["ChangeLog"]

PAGE = 100
"""Changes a range read: most changes are under 2 KB."""

MAX_BACK = 5_000
"""Changes read for one answer: seven hours at 17,000 a day, and 50 range
reads of the table's two thousand a second."""

RECORDS_A_STEP = 50
FIRST_KEY = RecordKey("", "")


class ChangeLog:
    """The changes in the table.

    Parameters
    ----------
    table : TableService
    """

    def __init__(self, table: TableService):
        self._table = table

    async def change(self, revision: Revision) -> Change:
        """Return the change that made `revision`."""
        row = await self._table.read(change_key(revision))
        if row is None:
            raise RequestError(
                ErrorKind.NOT_FOUND, f"there is no revision {revision}"
            )
        return change_from_json(row.value)

    async def changes(
        self, after: Revision, until: Revision
    ) -> tuple[Change, ...]:
        """Return the changes with ``after < revision <= until``."""
        found: list[Change] = []
        while after < until:
            rows = await self._table.read_range(
                change_key(after + 1), change_key(until + 1), PAGE
            )
            if not rows:
                break
            found.extend(change_from_json(row.value) for row in rows)
            after = found[-1].revision
        return tuple(found)

    async def back(
        self, until: Revision, after: Revision
    ) -> AsyncIterator[Change]:
        """Yield the changes with ``after < revision <= until``, newest first.

        One page is held at a time.
        """
        while until > after:
            start = Revision(max(after, until - PAGE))
            for change in reversed(await self.changes(start, until)):
                yield change
            until = start

    async def latest(
        self,
        until: Revision,
        limit: int,
        since_wall_ms: int = 0,
        after: Revision = NO_REVISION,
    ) -> tuple[Change, ...]:
        """Return changes up to `until`, newest first.

        Parameters
        ----------
        until : Revision
        limit : int
            Most changes returned.
        since_wall_ms : int
            Stop at the first change written before this.
        after : Revision
            Stop at this revision.
        """
        found: list[Change] = []
        async for change in self.back(until, after):
            if change.wall_ms < since_wall_ms or len(found) == limit:
                break
            found.append(change)
        return tuple(found)

    async def of_record(
        self, record: Record | None, until: Revision, limit: int
    ) -> tuple[Change, ...]:
        """Return the changes of one record up to `until`, newest first."""
        found: list[Change] = []
        while record is not None and len(found) < limit:
            change = await self.change(record.revision)
            if change.revision <= until:
                found.append(change)
            record = _before(change, record.key)
        return tuple(found)

    async def record_at(
        self, record: Record | None, at: Revision
    ) -> Record | None:
        """Return what `record` was at revision `at`."""
        while record is not None and record.revision > at:
            change = await self.change(record.revision)
            record = _before(change, record.key)
        return record

    async def states_at(
        self, at: Revision, head: Revision
    ) -> dict[RecordKey, Record | None]:
        """Return the records changed since `at` as they were then.

        Parameters
        ----------
        at, head : Revision
            Not more than `MAX_BACK` apart.
        """
        _check_span(at, head)
        state_by_key: dict[RecordKey, Record | None] = {}
        async for change in self.back(head, at):
            for item in change.items:
                state_by_key[item.key] = item.before
        return state_by_key

    async def records_at(
        self, snapshot: Snapshot, at: Revision, start: RecordKey = FIRST_KEY
    ) -> AsyncIterator[Record]:
        """Yield the live records at revision `at`, in order.

        Parameters
        ----------
        snapshot : Snapshot
            Of any revision; the changes between the two are read.
        at : Revision
        start : RecordKey, optional
            Where to begin.

        Notes
        -----
        Other tasks run between records: 44,000 of them take half a
        second, for which an entry must not stop answering callers.
        """
        other_by_key = await self._others(snapshot.revision, at)
        others = sorted(key for key in other_by_key if key >= start)
        mine = snapshot.starting_at(start)
        merged = heapq.merge(
            ((record.key, 1, record) for record in mine),
            ((key, 0, other_by_key[key]) for key in others),
            key=lambda one: one[:2],
        )
        last = None
        for count, (key, _, record) in enumerate(merged):
            if key != last and record is not None and record.spec is not None:
                yield record
            last = key
            if count % RECORDS_A_STEP == 0:
                await asyncio.sleep(0)

    async def _others(self, have, at):
        """Return the records that differ between two revisions."""
        if at < have:
            return await self.states_at(at, have)
        _check_span(have, at)
        changes = await self.changes(have, at)
        return {i.key: i.after for change in changes for i in change.items}


def _check_span(low, high):
    if high - low > MAX_BACK:
        raise RequestError(
            ErrorKind.TOO_LARGE,
            f"{high - low} changes lie between; at most {MAX_BACK} are "
            f"read at once: ask for single records",
        )


def _before(change, key):
    for item in change.items:
        if item.key == key:
            return item.before
    raise RequestError(
        ErrorKind.INTERNAL,
        f"revision {change.revision} does not hold {key}",
    )
