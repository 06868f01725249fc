"""Records, changes and the fleet as plain data for operators' answers."""

import dataclasses
from typing import Any

from dahliashunt.ids import Revision
from dahliashunt.records.merge import differences
from dahliashunt.records.record import Change
from dahliashunt.records.record import ChangeItem
from dahliashunt.records.record import Record
from dahliashunt.records.schemas import Schemas
from dahliashunt.records.schemas import SchemaUnknown
from dahliashunt.records.sequence import Conflict
from dahliashunt.records.status import laggards
from dahliashunt.records.status import lowest_in_force
from dahliashunt.records.status import NodeStatus
from dahliashunt.records.store import Outcome

__all__ = [
    "change_view",
    "conflict_view",
    "difference_view",
    "document_view",
    "item_view",
    "outcome_view",
    "status_view",
]

Plain = dict[str, Any]


def document_view(
    record: Record, schemas: Schemas, version: int | None = None
) -> Plain:
    """Return a record as the document that an operator edits.

    Parameters
    ----------
    record : Record
    schemas : Schemas
    version : int, optional
        Schema version to show it in; as it is stored by default.

    Raises
    ------
    SchemaUnknown
        It cannot be shown in that version here.
    """
    shown, spec = record.schema_version, record.spec
    if version is not None and version != shown and spec is not None:
        spec = _in_version(record, schemas, version)
        shown = version
    plain: Plain = {
        "schema_version": shown,
        "kind": record.key.kind,
        "name": record.key.name,
        "revision": record.revision,
    }
    if spec is None:
        return {**plain, "delete": True}
    return {**plain, "spec": spec}


def difference_view(before: Record | None, after: Record | None) -> list:
    """Return the fields in which two states of a record differ."""
    old = before.spec if before is not None else None
    new = after.spec if after is not None else None
    return [
        {"field": d.field, "before": d.before, "after": d.after}
        for d in differences(old, new)
    ]


def item_view(item: ChangeItem) -> Plain:
    """Return one record of a change."""
    existed = item.before is not None and item.before.spec is not None
    what = "changed" if existed else "created"
    if item.after.spec is None:
        what = "deleted"
    return {
        "kind": item.key.kind,
        "name": item.key.name,
        "what": what,
        "difference": difference_view(item.before, item.after),
    }


def change_view(change: Change) -> Plain:
    """Return a change for the history."""
    return {
        "revision": change.revision,
        "change_id": change.change_id,
        "who": change.who,
        "wall_ms": change.wall_ms,
        "action": change.action.value,
        "note": change.note,
        "records": [item_view(item) for item in change.items],
    }


def outcome_view(outcome: Outcome) -> Plain:
    """Return what became of a change."""
    change = outcome.change
    return {
        "revision": outcome.revision,
        "changed": change is not None,
        "replayed": outcome.replayed,
        "dry_run": outcome.dry_run,
        "change": None if change is None else change_view(change),
    }


def conflict_view(conflict: Conflict) -> Plain:
    """Return why a record was refused, for the writer to act on."""
    return {
        "kind": conflict.key.kind,
        "name": conflict.key.name,
        "base_revision": conflict.base,
        "current_revision": conflict.current,
        "who": conflict.who,
        "wall_ms": conflict.wall_ms,
        "fields": list(conflict.fields),
        "difference": [
            {"field": d.field, "before": d.before, "after": d.after}
            for d in conflict.difference
        ],
    }


def status_view(
    head: Revision, nodes: tuple[NodeStatus, ...], head_known: bool
) -> Plain:
    """Return head, lowest in force, and who lags.

    `head_known` is False while the table cannot be read: then `head` is
    the highest revision that was heard of.
    """
    return {
        "head": head,
        "head_known": head_known,
        "lowest_in_force": lowest_in_force(nodes),
        "nodes": len(nodes),
        "laggards": [dataclasses.asdict(n) for n in laggards(nodes, head)],
        "not_applied": {
            node.node_id: list(node.not_applied)
            for node in sorted(nodes, key=lambda node: node.node_id)
            if node.not_applied
        },
    }


def _in_version(record, schemas, version):
    kind = record.key.kind
    if schemas.knows(kind, record.schema_version):
        schemas.get(kind, version)
        return schemas.convert(
            kind, record.spec, record.schema_version, version
        )
    if version in record.older:
        return record.older[version]
    raise SchemaUnknown(f"{record.key} cannot be shown in version {version}")
