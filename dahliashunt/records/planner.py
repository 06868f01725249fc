"""Reading what a change needs, and planning it."""

import asyncio

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.ids import Revision
from dahliashunt.ports.table import TableService
from dahliashunt.records.log import ChangeLog
from dahliashunt.records.planning import conflict_of
from dahliashunt.records.planning import plan_document
from dahliashunt.records.planning import plan_restore
from dahliashunt.records.record import Head
from dahliashunt.records.record import Record
from dahliashunt.records.record import RecordKey
from dahliashunt.records.schemas import Schemas
from dahliashunt.records.sequence import Proposal
from dahliashunt.records.sequence import record_key
from dahliashunt.records.sequence import RecordConflict
from dahliashunt.records.sequence import stored_from_row
from dahliashunt.records.sequence import StoredRecord

__all__ = ["Planned", "Planner"]

MAX_RECORDS = 500
READS_AT_ONCE = 16
"""Reads of one change that are on their way together: a file of 500 takes
32 round trips and not 500, in which other changes could come first."""

_NO_BASE = object()

Planned = tuple[
    list[tuple[Record | None, Record]], dict[RecordKey, StoredRecord]
]
"""Each record before and after, and all records as they were read."""


class Planner:
    """Plans changes from the records as they are.

    Parameters
    ----------
    table : TableService
    log : ChangeLog
    schemas : Schemas
    """

    def __init__(self, table: TableService, log: ChangeLog, schemas: Schemas):
        self._table = table
        self._log = log
        self._schemas = schemas

    async def stored(self, key: RecordKey) -> StoredRecord:
        """Return a record and its row's version."""
        return stored_from_row(await self._table.read(record_key(key)))

    async def _stored_by_key(self, keys):
        stored_by_key = {}
        for start in range(0, len(keys), READS_AT_ONCE):
            group = keys[start : start + READS_AT_ONCE]
            if len(group) == 1:
                found = [await self.stored(group[0])]
            else:
                found = await asyncio.gather(*map(self.stored, group))
            stored_by_key.update(zip(group, found, strict=True))
        return stored_by_key

    async def apply(self, proposal: Proposal) -> Planned:
        """Return what a proposal changes.

        Raises
        ------
        RecordConflict
            A record is not at the revision that the writer read.
        """
        planned, conflicts = [], []
        keys = tuple(document.key for document in proposal.documents)
        stored_by_key = await self._stored_by_key(keys)
        for document in proposal.documents:
            stored = stored_by_key[document.key]
            after, conflict = await self._plan_one(
                document, stored.record, proposal.merge
            )
            if conflict is not None:
                conflicts.append(conflict)
            elif after is not None:
                planned.append((stored.record, after))
        if conflicts:
            raise RecordConflict(tuple(conflicts))
        return planned, stored_by_key

    async def _plan_one(self, document, current, may_merge):
        base = current
        if document.base != _revision(current):
            after, _ = plan_document(document, current, current, self._schemas)
            if after is None:
                return None, None
            base = await self._merge_base(document, current, may_merge)
            if base is _NO_BASE:
                return None, conflict_of(document, current, self._schemas)
        after, clashes = plan_document(document, current, base, self._schemas)
        if clashes:
            return None, conflict_of(document, current, self._schemas, clashes)
        return self._checked(document, after), None

    async def _merge_base(self, document, current, may_merge):
        """Return the record that the writer read, if a merge may use it.

        Notes
        -----
        Failure: one shift deletes a record and another's merge brings
        half of it back, or a merged deletion takes away what was changed
        meanwhile. A deletion is no field, so neither is merged. Nor is a
        change from a revision that the record never had.
        """
        if not may_merge or document.spec is None:
            return _NO_BASE
        if current is None or current.spec is None:
            return _NO_BASE
        base = await self._log.record_at(current, document.base)
        return base if _revision(base) == document.base else _NO_BASE

    def _checked(self, document, after):
        """Refuse a record whose parts do not fit together once merged."""
        if after is None or after.spec is None:
            return after
        kind, version = after.key.kind, after.schema_version
        known = self._schemas.known(kind, version, after.spec)
        problems = self._schemas.problems(kind, version, known)
        if problems:
            field = ".".join(str(part) for part in problems[0].path)
            raise RequestError(
                ErrorKind.BAD_REQUEST,
                f"{after.key}, as it would be in force: {field} "
                f"{problems[0].reason}",
                param=field,
            )
        return after

    async def restore(
        self, revision: Revision, head: Head, keys: tuple[RecordKey, ...]
    ) -> Planned:
        """Return what brings back the records of a revision."""
        if not 0 <= revision <= head.revision:
            raise RequestError(
                ErrorKind.NOT_FOUND, f"there is no revision {revision}"
            )
        if keys:
            wanted_by_key = {}
            for key in keys:
                record = (await self.stored(key)).record
                if record is None:
                    raise RequestError(
                        ErrorKind.NOT_FOUND, f"there never was a {key}"
                    )
                wanted_by_key[key] = await self._log.record_at(
                    record, revision
                )
        else:
            wanted_by_key = await self._log.states_at(revision, head.revision)
        planned = []
        stored_by_key = await self._stored_by_key(tuple(wanted_by_key))
        for key, wanted in sorted(wanted_by_key.items()):
            stored = stored_by_key[key]
            after = plan_restore(wanted, stored.record)
            if after is not None:
                planned.append((stored.record, after))
        if len(planned) > MAX_RECORDS:
            raise RequestError(
                ErrorKind.TOO_LARGE,
                f"{len(planned)} records would change; one change has at "
                f"most {MAX_RECORDS}: restore them by kind and name",
            )
        return planned, stored_by_key


def _revision(record):
    return record.revision if record is not None else Revision(0)
