"""Differences between two configurations, by name."""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import fields as dataclass_fields
import enum

from dahliashunt.config_check.config_file import Decoded
from dahliashunt.forwarding.catalog import BrokenRoute
from dahliashunt.forwarding.workspaces import BrokenWorkspace
from dahliashunt.platform.catalog_records import LIMIT_RULES
from dahliashunt.platform.catalog_records import ROUTE_RULES
from dahliashunt.platform.catalog_records import SERVICE_RULES
from dahliashunt.platform.catalog_records import WORKSPACE_RULES

__all__ = ["Change", "Difference", "FieldChange", "differences"]


class Change(enum.Enum):
    """What happened to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class FieldChange:
    """Changed field of an entry.

    Attributes
    ----------
    field : str
        Its key in the file.
    effect : str
        In a word.
    before, after : int, float or None
        Numbers only: a text may be a key in the wrong place.
    """

    field: str
    effect: str
    before: float | None = None
    after: float | None = None


@dataclass(frozen=True, slots=True)
class Difference:
    """An entry that two configurations do not have in common.

    Attributes
    ----------
    change : Change
    entry : str
        "route", "service", "workspace", "limits" or "keys".
    name : str
    effect : str
        In a word; empty if only fields changed.
    fields : tuple of FieldChange
    """

    change: Change
    entry: str
    name: str
    effect: str = ""
    fields: tuple[FieldChange, ...] = ()


def differences(old: Decoded, new: Decoded) -> Iterator[Difference]:
    """Yield what `new` changes of `old`, in the order of the files."""
    limits = _changed_fields(_LIMITS, old.records.limits, new.records.limits)
    if limits:
        yield Difference(Change.CHANGED, "limits", "", fields=limits)
    for entry, records_of in _RECORDS_BY_ENTRY.items():
        yield from _entries(
            entry, records_of(old.records), records_of(new.records)
        )
    had_keys = old.records.workspaces is not None
    has_keys = new.records.workspaces is not None
    if had_keys != has_keys:
        effect = "required" if has_keys else "unneeded"
        yield Difference(Change.CHANGED, "keys", "", effect)


def _entries(entry, old, new):
    for name in {**old, **new}:
        before, after = old.get(name), new.get(name)
        if before == after:
            continue
        shown = name[0]
        if after is None:
            yield Difference(Change.REMOVED, entry, shown, "refused")
        elif before is None:
            is_broken = isinstance(after, _BROKEN)
            effect = "refused" if is_broken else "served"
            yield Difference(Change.ADDED, entry, shown, effect)
        elif isinstance(after, _BROKEN):
            if not isinstance(before, _BROKEN):
                yield Difference(Change.CHANGED, entry, shown, "refused")
        elif isinstance(before, _BROKEN):
            yield Difference(Change.CHANGED, entry, shown, "served")
        else:
            fields = _changed_fields(_FIELDS_BY_ENTRY[entry], before, after)
            if fields:
                yield Difference(Change.CHANGED, entry, shown, "", fields)


def _changed_fields(described, before, after):
    """Return the changes of the fields of two records of one type."""
    found = []
    for each in dataclass_fields(before):
        was, is_ = getattr(before, each.name), getattr(after, each.name)
        if was != is_:
            key, effect = described[each.name]
            numbers = was, is_
            if not all(type(value) in (int, float) for value in numbers):
                numbers = None, None
            found.append(FieldChange(key, effect(was, is_), *numbers))
    return tuple(found)


def _by_name(records, name_of):
    """Return records by name and number among those of the same name."""
    found = {}
    for each in records:
        name, number = name_of(each), 0
        while (name, number) in found:
            number += 1
        found[name, number] = each
    return found


def _latest_by_name(records, name_of):
    """Return the records that nodes use: the last one of each name."""
    return {(name_of(each), 0): each for each in records}


def _workspace_name(each):
    if isinstance(each, BrokenWorkspace):
        return each.name
    return each.workspace_id


_BROKEN = (BrokenRoute, BrokenWorkspace)

_RECORDS_BY_ENTRY = {
    "service": lambda records: _latest_by_name(
        records.services, lambda each: each.name
    ),
    "route": lambda records: _by_name(records.routes, lambda each: each.name),
    "workspace": lambda records: _latest_by_name(
        records.workspaces or (), _workspace_name
    ),
}

_Effect = Callable[[object, object], str]


def _word(word: str) -> _Effect:
    return lambda before, after: word


def _grows(more: str, less: str) -> _Effect:
    return lambda before, after: more if after > before else less


def _limit_grows(more: str, less: str) -> _Effect:
    """Return the effect of a limit of which 0 means none."""

    def effect(before, after):
        if not before or not after:
            return "unlimited" if before else "limited"
        return more if after > before else less

    return effect


def _rank_effect(before, after):
    # Without a rank of its own a workspace has that of the route.
    if before is None or after is None:
        return "reordered"
    return "sooner" if after < before else "later"


def _keys_effect(before, after):
    added, removed = set(after) - set(before), set(before) - set(after)
    if added and removed:
        return "replaced"
    if added:
        return "added"
    return "withdrawn" if removed else "reordered"


def _engine_effect(before, after):
    if before is None or after is None:
        return "agents" if before is None else "direct"
    if before.slots != after.slots:
        return "wider" if after.slots > before.slots else "narrower"
    return "resized"


_LONGER = _grows("longer", "shorter")
_LARGER = _grows("larger", "smaller")


def _described(rules, effect_by_field):
    return {
        name: (rules[name].key if name in rules else "api-keys", effect)
        for name, effect in effect_by_field.items()
    }


_LIMITS = _described(
    LIMIT_RULES,
    {
        "header_bytes": _LARGER,
        "body_bytes": _LARGER,
        "header_ms": _LONGER,
        "idle_ms": _LONGER,
    },
)

_FIELDS_BY_ENTRY = {
    "route": _described(
        ROUTE_RULES,
        {
            "name": _word("renamed"),
            "host": _word("moved"),
            "prefix": _word("moved"),
            "kind": _word("retyped"),
            "weight_by_service": _word("redirected"),
            "timeout_ms": _LONGER,
            "objective_ms": _grows("looser", "tighter"),
            "pause_ms": _grows("looser", "tighter"),
            "rank": _rank_effect,
            "max_attempts": _grows("more", "fewer"),
            "resumable": _grows("resumable", "final"),
            "completion_ms": _LONGER,
            "abandon_ms": _LONGER,
            "max_waiting_tokens": _limit_grows("raised", "lowered"),
            "public": _grows("opened", "closed"),
        },
    ),
    "service": _described(
        SERVICE_RULES,
        {
            "name": _word("renamed"),
            "health_path": _word("moved"),
            "max_connections": _limit_grows("raised", "lowered"),
            "engine": _engine_effect,
        },
    ),
    "workspace": _described(
        WORKSPACE_RULES,
        {
            "workspace_id": _word("renamed"),
            "digests": _keys_effect,
            "rank": _rank_effect,
            "rate": _limit_grows("raised", "lowered"),
            "burst": _grows("raised", "lowered"),
        },
    ),
}
