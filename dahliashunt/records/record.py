"""Serving records, changes, and their canonical JSON."""

from dataclasses import dataclass
from dataclasses import field
import enum
import json

from dahliashunt.ids import Revision

__all__ = [
    "NO_REVISION",
    "Action",
    "Change",
    "ChangeItem",
    "Head",
    "Kind",
    "Record",
    "RecordKey",
    "canonical_json",
    "change_from_json",
    "change_to_json",
    "record_from_plain",
    "record_to_plain",
]

NO_REVISION = Revision(0)
"""What a writer names that expects a record not to exist."""


class Kind(enum.Enum):
    """Kinds of records that this program knows."""

    MODEL = "Model"
    ADAPTER = "Adapter"
    DEPLOYMENT = "Deployment"
    CALLER = "Caller"
    BATCH_POLICY = "BatchPolicy"
    SERVICE = "Service"
    ENDPOINT_DRAIN = "EndpointDrain"
    OPERATOR = "Operator"


class Action(enum.Enum):
    """How a change came about."""

    APPLY = "apply"
    RESTORE = "restore"


@dataclass(frozen=True, slots=True, order=True)
class RecordKey:
    """Kind and name of a record; `kind` may be one of a newer program."""

    kind: str
    name: str

    def __str__(self):
        return f"{self.kind}/{self.name}"


@dataclass(frozen=True, slots=True)
class Record:
    """One serving record as stored.

    Attributes
    ----------
    key : RecordKey
    schema_version : int
        Version in which `spec` is written.
    revision : Revision
        Revision of the change that wrote it.
    spec : dict or None
        None marks a deleted record: the row stays, so that a writer who
        read the record before its deletion is told of it.
    older : dict of int to dict
        `spec` in older schema versions, for programs that do not know
        `schema_version`.
    """

    key: RecordKey
    schema_version: int
    revision: Revision
    spec: dict | None
    older: dict[int, dict] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Head:
    """The end of the sequence.

    `row_version` is the table row's own version, 0 if there is no row.
    """

    revision: Revision
    change_id: str
    row_version: int


@dataclass(frozen=True, slots=True)
class ChangeItem:
    """One record of a change, before and after it."""

    key: RecordKey
    before: Record | None
    after: Record


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the sequence: who, when, what.

    `digest` identifies what was asked for, so that a change id that is
    used again for something else is noticed.
    """

    revision: Revision
    change_id: str
    who: str
    wall_ms: int
    action: Action
    note: str
    digest: str
    items: tuple[ChangeItem, ...]


def canonical_json(value) -> str:
    """Return the one JSON text of `value`.

    Examples
    --------
    >>> canonical_json({"b": 1, "a": [2]})
    '{"a":[2],"b":1}'
    """
    return json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )


def record_to_plain(record: Record | None) -> dict | None:
    """Return `record` as plain data for JSON."""
    if record is None:
        return None
    plain = {
        "kind": record.key.kind,
        "name": record.key.name,
        "schema_version": record.schema_version,
        "revision": record.revision,
        "spec": record.spec,
    }
    if record.older:
        plain["older"] = {str(v): spec for v, spec in record.older.items()}
    return plain


def record_from_plain(plain: dict | None) -> Record | None:
    """Return the record that `record_to_plain` made plain."""
    if plain is None:
        return None
    older = plain.get("older", {})
    return Record(
        key=RecordKey(plain["kind"], plain["name"]),
        schema_version=plain["schema_version"],
        revision=Revision(plain["revision"]),
        spec=plain["spec"],
        older={int(v): spec for v, spec in older.items()},
    )


def change_to_json(change: Change) -> str:
    """Return the text of a change's row."""
    return canonical_json(
        {
            "revision": change.revision,
            "change_id": change.change_id,
            "who": change.who,
            "wall_ms": change.wall_ms,
            "action": change.action.value,
            "note": change.note,
            "digest": change.digest,
            "items": [
                {
                    "before": record_to_plain(item.before),
                    "after": record_to_plain(item.after),
                }
                for item in change.items
            ],
        }
    )


def change_from_json(text: str) -> Change:
    """Return the change that `change_to_json` wrote."""
    plain = json.loads(text)
    return Change(
        revision=Revision(plain["revision"]),
        change_id=plain["change_id"],
        who=plain["who"],
        wall_ms=plain["wall_ms"],
        action=Action(plain["action"]),
        note=plain["note"],
        digest=plain["digest"],
        items=tuple(_item(item) for item in plain["items"]),
    )


def _item(plain):
    after = record_from_plain(plain["after"])
    return ChangeItem(after.key, record_from_plain(plain["before"]), after)
