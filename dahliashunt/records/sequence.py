"""The one sequence of changes: rows, plans and refusals, without I/O.

Notes
-----
Rows of the table:

- ``records/head``: revision and change id of the last change;
- ``records/r/<kind>/<name>``: one record as it is now;
- ``records/c/<revision>``: one change, zero-padded so that a range read
  gives them in order;
- ``records/id/<change id>``: the revision that a change got.

A change is one transaction over all of these, conditional on the version
of the head that the plan was made from. So changes are totally ordered,
two plans made from one head cannot both land, and whoever sees a
record's new revision also sees the row of the change's id.
"""

from dataclasses import dataclass
import hashlib
import json

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.ids import Revision
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import Write
from dahliashunt.records.documents import Document
from dahliashunt.records.merge import Difference
from dahliashunt.records.record import Action
from dahliashunt.records.record import canonical_json
from dahliashunt.records.record import Change
from dahliashunt.records.record import change_to_json
from dahliashunt.records.record import ChangeItem
from dahliashunt.records.record import Head
from dahliashunt.records.record import Record
from dahliashunt.records.record import record_from_plain
from dahliashunt.records.record import record_to_plain
from dahliashunt.records.record import RecordKey

__all__ = [
    "HEAD_KEY",
    "RECORD_PREFIX",
    "Conflict",
    "Proposal",
    "RecordConflict",
    "StoredRecord",
    "change_key",
    "change_of",
    "documents_digest",
    "head_from_row",
    "id_key",
    "record_key",
    "stored_from_row",
    "transaction",
]

HEAD_KEY = "records/head"
RECORD_PREFIX = "records/r/"
CHANGE_PREFIX = "records/c/"
_REVISION_DIGITS = 12


@dataclass(frozen=True, slots=True)
class Proposal:
    """A file of records that a writer wants in force.

    Attributes
    ----------
    change_id : str
        Made by the writer; the same over all its repeats.
    who : str
        The authenticated operator.
    merge : bool
        Whether a record that changed meanwhile is merged field by field.
    digest : str
        What identifies the wish; by default the digest of the documents.
        A wish whose documents are made from what is there when it
        arrives, as a drain is, names its own, so that its repeat is
        known as one.
    """

    change_id: str
    who: str
    documents: tuple[Document, ...]
    merge: bool = False
    note: str = ""
    digest: str = ""


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with its table row's version, 0 if there is no row."""

    record: Record | None
    row_version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Why one record of a proposal is refused.

    Attributes
    ----------
    base, current : Revision
        What the writer read, and what is there now.
    who, wall_ms
        Who wrote the current one, and when.
    difference : tuple of Difference
        From the record as it is to what the writer wants.
    fields : tuple of str
        Of a refused merge: the fields that both changed.
    """

    key: RecordKey
    base: Revision
    current: Revision
    who: str
    wall_ms: int
    difference: tuple[Difference, ...]
    fields: tuple[str, ...] = ()


class RecordConflict(RequestError):
    """Records changed since the writer read them; nothing was applied."""

    def __init__(self, conflicts: tuple[Conflict, ...]):
        shown = "; ".join(_describe(conflict) for conflict in conflicts[:5])
        if len(conflicts) > 5:
            shown += f"; and {len(conflicts) - 5} more"
        super().__init__(ErrorKind.CONFLICT, shown)
        self.conflicts = conflicts


def change_key(revision: int) -> str:
    """Return the key of a change's row."""
    return f"{CHANGE_PREFIX}{revision:0{_REVISION_DIGITS}d}"


def record_key(key: RecordKey) -> str:
    """Return the key of a record's row."""
    return f"{RECORD_PREFIX}{key.kind}/{key.name}"


def id_key(change_id: str) -> str:
    """Return the key of the row that tells a change id's revision."""
    return f"records/id/{change_id}"


def head_from_row(row: Row | None) -> Head:
    """Return the head; revision 0 before the first change."""
    if row is None:
        return Head(Revision(0), "", 0)
    plain = json.loads(row.value)
    return Head(Revision(plain["revision"]), plain["change_id"], row.version)


def stored_from_row(row: Row | None) -> StoredRecord:
    """Return the record of a row, or none of version 0."""
    if row is None:
        return StoredRecord(None, 0)
    return StoredRecord(record_from_plain(json.loads(row.value)), row.version)


def documents_digest(proposal: Proposal) -> str:
    """Return the digest of what a proposal asks for."""
    if proposal.digest:
        return proposal.digest
    wanted = [
        [d.key.kind, d.key.name, d.schema_version, d.base, d.spec]
        for d in proposal.documents
    ]
    text = canonical_json([proposal.merge, wanted])
    return hashlib.sha256(text.encode()).hexdigest()


def transaction(
    change: Change, head: Head, stored_by_key: dict[RecordKey, StoredRecord]
) -> tuple[Write, ...]:
    """Return the writes of `change`, all conditional.

    Notes
    -----
    The condition on the head alone orders the changes. Those on the
    records guard against a program that writes a record without the
    head, and the one on the change id against a repeat that was sent
    when the first one's answer was late.
    """
    head_text = canonical_json(
        {"revision": change.revision, "change_id": change.change_id}
    )
    id_text = canonical_json(
        {"revision": change.revision, "digest": change.digest}
    )
    writes = [
        Write(HEAD_KEY, head_text, _expect(head.row_version)),
        Write(id_key(change.change_id), id_text, MustBe.ABSENT),
        Write(
            change_key(change.revision), change_to_json(change), MustBe.ABSENT
        ),
    ]
    for item in change.items:
        text = canonical_json(record_to_plain(item.after))
        expect = _expect(stored_by_key[item.key].row_version)
        writes.append(Write(record_key(item.key), text, expect))
    return tuple(writes)


def change_of(
    proposal_id: str,
    head: Head,
    planned: list[tuple[Record | None, Record]],
    who: str,
    wall_ms: int,
    action: Action,
    note: str,
    digest: str,
) -> Change:
    """Return the change that follows `head`, records stamped with it."""
    revision = Revision(head.revision + 1)
    items = tuple(
        ChangeItem(
            after.key,
            before,
            Record(
                after.key,
                after.schema_version,
                revision,
                after.spec,
                after.older,
            ),
        )
        for before, after in planned
    )
    return Change(
        revision, proposal_id, who, wall_ms, action, note, digest, items
    )


def _expect(row_version):
    return row_version if row_version else MustBe.ABSENT


def _describe(conflict):
    if not conflict.who:
        return f"{conflict.key} does not exist at revision {conflict.base}"
    what = (
        f"{conflict.key} is at revision {conflict.current}, written by "
        f"{conflict.who} at {conflict.wall_ms}; the change was made from "
        f"revision {conflict.base}"
    )
    if conflict.fields:
        what += f" and both changed {', '.join(conflict.fields)}"
    return what
