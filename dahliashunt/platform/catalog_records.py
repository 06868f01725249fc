"""Decode the records of the operator's configuration.

Nodes stop at the first invalid field of a record and leave the record out, or
refuse the whole configuration. The check of a file reports all such fields
by the same rules.
"""

from collections.abc import Iterator
from dataclasses import dataclass
import math

from dahliashunt.field_rules import decode_fields
from dahliashunt.field_rules import FieldProblem
from dahliashunt.field_rules import FieldRule
from dahliashunt.field_rules import invalid_fields
from dahliashunt.field_rules import MISSING
from dahliashunt.field_rules import Path
from dahliashunt.forwarding.catalog import BrokenRoute
from dahliashunt.forwarding.catalog import Catalog
from dahliashunt.forwarding.catalog import Engine
from dahliashunt.forwarding.catalog import IngressLimits
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.catalog import RouteKind
from dahliashunt.forwarding.catalog import Service
from dahliashunt.forwarding.workspaces import BrokenWorkspace
from dahliashunt.forwarding.workspaces import Workspace
from dahliashunt.forwarding.workspaces import Workspaces
from dahliashunt.ids import Revision
from dahliashunt.ids import WorkspaceId
from dahliashunt.key_digest import key_digest
from dahliashunt.row_fields import FIELD_ERRORS
from dahliashunt.row_fields import header_field
from dahliashunt.row_fields import list_field
from dahliashunt.row_fields import MAX_WHOLE
from dahliashunt.row_fields import text_field
from dahliashunt.row_fields import text_or_empty
from dahliashunt.row_fields import whole_field

__all__ = [
    "ENGINE_RULES",
    "KEYS_RULE",
    "LIMIT_RULES",
    "MAX_I32",
    "ROUTE_KIND_BY_NAME",
    "ROUTE_RULES",
    "SERVICE_RULES",
    "WORKSPACE_RULES",
    "CatalogRecords",
    "decode_records",
    "make_catalog",
    "refused_fields",
    "route_problems",
    "workspace_problems",
]

ROUTE_KIND_BY_NAME = {
    "stream": RouteKind.STREAM,
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "batch": RouteKind.BATCH,
}

MAX_I32 = 2**31 - 1
"""Largest number of slots, or rank, that fits into a datagram of nodes."""


@dataclass(frozen=True, slots=True)
class CatalogRecords:
    """Records of a configuration in the order of the text."""

    revision: Revision
    limits: IngressLimits
    routes: tuple[Route | BrokenRoute, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace | BrokenWorkspace, ...] | None


def decode_records(fields) -> CatalogRecords:
    """Return the records of a parsed configuration.

    Raises
    ------
    ArithmeticError, AttributeError, LookupError, TypeError, ValueError
        If nodes refuse the configuration.
    """
    limits = fields.get("limits") or {}
    routes = tuple(map(_route_or_broken, list_field(fields["routes"])))
    services = list_field(fields["services"])
    tenants = fields.get("tenants")
    return CatalogRecords(
        revision=Revision(whole_field(fields["version"])),
        services=tuple(map(_service, services)),
        routes=routes,
        limits=IngressLimits(**decode_fields(LIMIT_RULES, limits)),
        # Callers need no key without this list.
        workspaces=(
            None
            if tenants is None
            else tuple(map(_workspace_or_broken, list_field(tenants)))
        ),
    )


def make_catalog(records: CatalogRecords) -> Catalog:
    """Return the configuration of `records`."""
    routes = records.routes
    return Catalog(
        revision=records.revision,
        routes=tuple(r for r in routes if isinstance(r, Route)),
        services=records.services,
        limits=records.limits,
        broken=tuple(r for r in routes if isinstance(r, BrokenRoute)),
        workspaces=_workspaces(records.workspaces),
    )


def _workspaces(found):
    if found is None:
        return None
    return Workspaces(
        (each for each in found if isinstance(each, Workspace)),
        (each for each in found if isinstance(each, BrokenWorkspace)),
    )


def refused_fields(fields) -> Iterator[FieldProblem]:
    """Yield each problem for which nodes refuse the whole configuration.

    Yields nothing if and only if `decode_records` raises nothing.
    """
    if not isinstance(fields, dict):
        yield FieldProblem((), "an object", fields)
        return
    yield from invalid_fields(_CATALOG_RULES, fields, ())
    services = fields.get("services")
    for at, each in enumerate(services if type(services) is list else ()):
        yield from invalid_fields(SERVICE_RULES, each, ("services", at))
    limits = fields.get("limits") or {}
    yield from invalid_fields(LIMIT_RULES, limits, ("limits",))


def route_problems(fields, path: Path) -> Iterator[FieldProblem]:
    """Yield each problem for which a route at `path` is left out."""
    return invalid_fields(ROUTE_RULES, fields, path)


def workspace_problems(fields, path: Path) -> Iterator[FieldProblem]:
    """Yield each problem for which a workspace at `path` is left out."""
    rules = {"digests": KEYS_RULE, **WORKSPACE_RULES}
    return invalid_fields(rules, fields, path)


def _text_rule(key):
    return FieldRule(key, "a string", lambda fields: text_field(fields[key]))


def _number_rule(key, most=MAX_WHOLE):
    """Return the rule of a number that is 0 if it is absent."""
    return FieldRule(
        key,
        f"a number up to {most}",
        lambda fields: _int(fields.get(key) or 0, most),
        is_number=True,
    )


def _limit_rule(key, default):
    def read(fields):
        value = fields.get(key)
        return default if value is None else whole_field(value)

    expected = f"a whole number from 0 to {MAX_WHOLE}"
    return FieldRule(key, expected, read, is_number=True)


LIMIT_RULES = {
    "header_bytes": _limit_rule(
        "max-header-bytes", IngressLimits().header_bytes
    ),
    "body_bytes": _limit_rule("max-body-bytes", IngressLimits().body_bytes),
    "header_ms": _limit_rule("header-timeout-ms", IngressLimits().header_ms),
    "idle_ms": _limit_rule("idle-timeout-ms", IngressLimits().idle_ms),
}


def _tenants(fields):
    found = fields.get("tenants")
    return None if found is None else list_field(found)


_CATALOG_RULES = {
    "revision": FieldRule(
        "version",
        f"a whole number from 0 to {MAX_WHOLE}",
        lambda fields: whole_field(fields["version"]),
        is_number=True,
    ),
    "routes": FieldRule(
        "routes", "a list", lambda fields: list_field(fields["routes"])
    ),
    "services": FieldRule(
        "services", "a list", lambda fields: list_field(fields["services"])
    ),
    "workspaces": FieldRule("tenants", "a list", _tenants),
}


def _route_or_broken(fields):
    try:
        return Route(**decode_fields(ROUTE_RULES, fields))
    except FIELD_ERRORS as error:
        known = fields if isinstance(fields, dict) else {}
        name, host, prefix = (
            text_or_empty(known.get(key)) for key in ("name", "host", "prefix")
        )
        return BrokenRoute(name, host, prefix, repr(error))


def _weights(fields):
    weights = {
        text_field(share["service"]): _weight(share["weight"])
        for share in fields.get("traffic-split") or ()
        if share["weight"] > 0
    }
    return weights or {text_field(fields["service"]): 1}


def _weight_problems(fields, path):
    """Yield the problems of a route whose weights are invalid."""
    shares = fields.get("traffic-split") or ()
    if not isinstance(shares, list | tuple):
        yield FieldProblem((*path, "traffic-split"), "a list", shares)
        return
    is_split = False
    for at, share in enumerate(shares):
        found = list(
            invalid_fields(_SHARE_RULES, share, (*path, "traffic-split", at))
        )
        yield from found
        is_split = is_split or bool(found) or share["weight"] > 0
    if not is_split:
        yield FieldProblem(
            (*path, "service"),
            "a string, or a traffic-split with a weight above 0",
            fields.get("service", MISSING),
        )


def _share_service(share):
    try:
        is_unused = not share["weight"] > 0
    except FIELD_ERRORS:
        is_unused = False
    return "" if is_unused else text_field(share["service"])


def _share_weight(share):
    weight = share["weight"]
    return _weight(weight) if weight > 0 else 0


def _int(value, most=MAX_WHOLE):
    """Return a number without its fraction; digits in a string count."""
    number = int(value)
    if abs(number) > most:
        raise ValueError("the number is too large")
    return number


def _weight(value):
    if not 0 < value <= MAX_WHOLE:
        raise ValueError("expected a finite weight")
    return value


def _kind(fields):
    # Requests of an unknown kind are not safe to repeat.
    return ROUTE_KIND_BY_NAME.get(fields["kind"], RouteKind.AT_MOST_ONCE)


_SHARE_RULES = {
    "weight": FieldRule(
        "weight", f"a number up to {MAX_WHOLE}", _share_weight, is_number=True
    ),
    "service": FieldRule("service", "a string", _share_service),
}

ROUTE_RULES = {
    "weight_by_service": FieldRule(
        "traffic-split", "a list", _weights, problems=_weight_problems
    ),
    "name": _text_rule("name"),
    "host": _text_rule("host"),
    "prefix": _text_rule("prefix"),
    "kind": FieldRule(
        "kind", "one of " + ", ".join(ROUTE_KIND_BY_NAME), _kind
    ),
    "timeout_ms": FieldRule(
        "timeout-ms",
        f"a number up to {MAX_WHOLE}",
        lambda fields: _int(fields["timeout-ms"]),
        is_number=True,
    ),
    # Objective for the response, or for a stream's first event.
    "objective_ms": FieldRule(
        "goal-ms",
        f"a number up to {MAX_WHOLE}",
        lambda fields: _int(fields.get("goal-ms") or fields["timeout-ms"]),
        is_number=True,
        stand_in="timeout-ms",
    ),
    # Objective for the pause between two events.
    "pause_ms": _number_rule("gap-aim-ms"),
    "rank": _number_rule("priority", MAX_I32),
    "max_attempts": FieldRule(
        "max-attempts",
        f"a number up to {MAX_WHOLE}",
        lambda fields: _int(fields.get("max-attempts") or 1),
        is_number=True,
    ),
    "resumable": FieldRule(
        "resumable",
        "true or false",
        lambda fields: bool(fields.get("resumable")),
    ),
    # From submission of the job until all results are due.
    "completion_ms": _number_rule("completion-target-ms"),
    # From submission of the job until items may be abandoned.
    "abandon_ms": FieldRule(
        "max-wait-s",
        f"a number of seconds up to {MAX_WHOLE // 1000}",
        lambda fields: _int(1000 * float(fields.get("max-wait-s") or 0)),
        is_number=True,
    ),
    "max_waiting_tokens": _number_rule("cap"),
    "public": FieldRule(
        "public", "true or false", lambda fields: bool(fields.get("public"))
    ),
}


def _workspace_or_broken(fields):
    """Return the workspace, or one marked as broken.

    The reason is the error's type alone: its message may quote a key.
    """
    name, digests = "", None
    try:
        name = text_or_empty(fields.get("name"))
        digests = _digests(fields)
        decoded = decode_fields(WORKSPACE_RULES, fields)
        return Workspace(digests=digests, **decoded)
    except FIELD_ERRORS as error:
        return BrokenWorkspace(name, digests, type(error).__name__)


def _digests(fields):
    keys = list_field(fields["api-keys"])
    return tuple([key_digest(text_field(key)) for key in keys])


def _key_problems(fields, path):
    """Yield the problems of a workspace whose keys are invalid."""
    path = (*path, "api-keys")
    keys = fields.get("api-keys", MISSING)
    if type(keys) is not list:
        yield FieldProblem(path, "a list of strings", keys)
        return
    for at, key in enumerate(keys):
        try:
            text_field(key)
        except FIELD_ERRORS:
            yield FieldProblem((*path, at), "a string", key)


def _workspace_name(fields):
    name = header_field(fields["name"])
    if not name:
        raise ValueError("expected a non-empty workspace name")
    return WorkspaceId(name)


def _rank_or_none(fields):
    rank = fields.get("priority")
    return None if rank is None else _int(rank, MAX_I32)


def _limit(value):
    """Return a finite number of requests >= 0; 0 if missing."""
    number = float(value or 0)
    if not 0 <= number < math.inf:
        raise ValueError("expected a finite limit >= 0")
    return number


KEYS_RULE = FieldRule(
    "api-keys", "a list of strings", _digests, problems=_key_problems
)

WORKSPACE_RULES = {
    "workspace_id": FieldRule(
        "name",
        "a non-empty string that a header can hold",
        _workspace_name,
    ),
    "rank": FieldRule(
        "priority", f"a number up to {MAX_I32}", _rank_or_none, is_number=True
    ),
    "rate": FieldRule(
        "rate-per-s",
        "a finite number from 0",
        lambda fields: _limit(fields.get("rate-per-s")),
        is_number=True,
    ),
    "burst": FieldRule(
        "burst",
        "a finite number from 0",
        lambda fields: _limit(fields.get("burst")),
        is_number=True,
    ),
}


def _service(fields):
    return Service(**decode_fields(SERVICE_RULES, fields))


def _engine(fields):
    engine = fields.get("engine")
    if engine in (None, False):
        return None
    return Engine(**decode_fields(ENGINE_RULES, engine))


def _engine_problems(fields, path):
    return invalid_fields(ENGINE_RULES, fields["engine"], (*path, "engine"))


ENGINE_RULES = {
    "slots": FieldRule(
        "slots",
        f"a number up to {MAX_WHOLE}",
        lambda fields: _int(fields["slots"]),
        is_number=True,
    ),
    "kv_tokens": _number_rule("kv-capacity"),
}

SERVICE_RULES = {
    "name": _text_rule("name"),
    "health_path": _text_rule("health-path"),
    "max_connections": _number_rule("max-conns"),
    "engine": FieldRule(
        "engine", "an object", _engine, problems=_engine_problems
    ),
}
