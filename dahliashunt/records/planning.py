"""What a document or a restore makes of a record; pure."""

from dahliashunt.ids import Revision
from dahliashunt.records.documents import Document
from dahliashunt.records.merge import differences
from dahliashunt.records.merge import merge
from dahliashunt.records.record import Record
from dahliashunt.records.schemas import EntryTooOld
from dahliashunt.records.schemas import Schemas
from dahliashunt.records.sequence import Conflict

__all__ = ["conflict_of", "plan_document", "plan_restore"]


def plan_document(
    document: Document,
    current: Record | None,
    base: Record | None,
    schemas: Schemas,
) -> tuple[Record | None, tuple[str, ...]]:
    """Return the record that a document asks for.

    Parameters
    ----------
    document : Document
    current : Record or None
        The record as it is.
    base : Record or None
        The record as the writer read it; `current` unless merging.
    schemas : Schemas

    Returns
    -------
    Record or None
        Of revision 0 until it gets one; None if nothing would change.
    tuple of str
        Fields that a merge could not settle.

    Raises
    ------
    EntryTooOld
        The stored record is of a schema version that this program does
        not know, so it cannot tell what it would write away.

    Notes
    -----
    A writer speaks only for the fields that its schema version has. So
    what it wants is taken as a change against its own view of the record
    that it read, and that change is applied to the record as stored.
    """
    if document.spec is None:
        return _plan_deletion(document, current)
    _refuse_unknown(document, current, schemas)
    version = document.schema_version
    if current is not None and current.spec is not None:
        version = max(version, current.schema_version)
    kind = document.key.kind
    ours = schemas.convert(
        kind, document.spec, document.schema_version, version
    )
    theirs = _raised(current, version, schemas)
    view = _view(base, document.schema_version, version, schemas)
    merged = merge(view, ours, theirs, schemas.get(kind, version).whole)
    clashes = ()
    if base is not current:
        clashes = tuple(".".join(path) for path in merged.clashes)
    if _unchanged(current, version, merged.spec):
        return None, ()
    older = schemas.older(kind, version, merged.spec)
    planned = Record(document.key, version, Revision(0), merged.spec, older)
    return planned, clashes


def plan_restore(wanted: Record | None, current: Record) -> Record | None:
    """Return the record that puts `current` back to `wanted`.

    None stands for nothing to do. The old record is taken as it was
    stored, whatever its schema version.
    """
    if wanted is None or wanted.spec is None:
        if current.spec is None:
            return None
        return Record(current.key, current.schema_version, Revision(0), None)
    same = (wanted.schema_version, wanted.spec) == (
        current.schema_version,
        current.spec,
    )
    if same:
        return None
    return Record(
        wanted.key,
        wanted.schema_version,
        Revision(0),
        wanted.spec,
        wanted.older,
    )


def conflict_of(
    document: Document,
    current: Record | None,
    schemas: Schemas,
    fields: tuple[str, ...] = (),
) -> Conflict:
    """Return a conflict, whose author is still to be read."""
    view = _view(
        current, document.schema_version, document.schema_version, schemas
    )
    found = differences(view, document.spec)
    revision = current.revision if current is not None else Revision(0)
    return Conflict(
        document.key, document.base, revision, "", 0, tuple(found), fields
    )


def _plan_deletion(document, current):
    if current is None or current.spec is None:
        return None, ()
    version = current.schema_version
    return Record(document.key, version, Revision(0), None), ()


def _refuse_unknown(document, current, schemas):
    if current is None or current.spec is None:
        return
    if schemas.knows(document.key.kind, current.schema_version):
        return
    # Failure: an older program replaces what a newer one set, because it
    # cannot see it. It would show as a limit that vanishes when a shift
    # with old tooling edits the record. The program refuses instead, and
    # the writer repeats the change at an entry that knows the version.
    raise EntryTooOld(
        f"{document.key} is stored in schema_version "
        f"{current.schema_version}, which this entry does not know; "
        f"apply it through a newer entry"
    )


def _raised(record, version, schemas):
    """Return a record's spec in `version`, unknown fields included."""
    if record is None or record.spec is None:
        return {}
    if record.schema_version >= version:
        return record.spec
    kind = record.key.kind
    known = schemas.known(kind, record.schema_version, record.spec)
    raised = schemas.convert(kind, known, record.schema_version, version)
    unknown = merge(known, record.spec, {}).spec
    extra = {n: v for n, v in unknown.items() if n not in known}
    return {**extra, **raised}


def _view(record, writer_version, version, schemas):
    """Return what a writer of `writer_version` saw, in `version`."""
    if record is None or record.spec is None:
        return {}
    kind = record.key.kind
    if not schemas.knows(kind, record.schema_version):
        return record.older.get(writer_version, {})
    seen = schemas.convert(
        kind, record.spec, record.schema_version, writer_version
    )
    return schemas.convert(kind, seen, writer_version, version)


def _unchanged(current, version, spec):
    return (
        current is not None
        and current.schema_version == version
        and current.spec == spec
    )
