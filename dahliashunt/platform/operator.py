"""Decode the operator's configuration and the list of replicas.

Both have other writers. Whatever a row holds, only `DecodeError` is raised.
"""

import math
import re

from dahliashunt.forwarding.catalog import BrokenRoute
from dahliashunt.forwarding.catalog import Catalog
from dahliashunt.forwarding.catalog import Engine
from dahliashunt.forwarding.catalog import IngressLimits
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.catalog import RouteKind
from dahliashunt.forwarding.catalog import Service
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.workspaces import BrokenWorkspace
from dahliashunt.forwarding.workspaces import Workspace
from dahliashunt.forwarding.workspaces import Workspaces
from dahliashunt.ids import DataCentreId
from dahliashunt.ids import Revision
from dahliashunt.ids import SoftwareVersion
from dahliashunt.ids import WorkspaceId
from dahliashunt.key_digest import key_digest
from dahliashunt.row_fields import FIELD_ERRORS
from dahliashunt.row_fields import header_field
from dahliashunt.row_fields import list_field
from dahliashunt.row_fields import MAX_WHOLE
from dahliashunt.row_fields import parse_json
from dahliashunt.row_fields import text_field
from dahliashunt.row_fields import whole_field

__all__ = ["DecodeError", "decode_catalog", "decode_replica"]

_ROUTE_KIND_BY_NAME = {
    "stream": RouteKind.STREAM,
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "batch": RouteKind.BATCH,
}

MAX_PORT = 65_535

MAX_I32 = 2**31 - 1
"""Largest number of slots, or rank, that fits into a datagram of nodes."""

_HOST = re.compile(r"[0-9A-Za-z_:\[\]%-]{1,63}(\.[0-9A-Za-z_-]{1,63})*\.?")
"""Names and addresses that the resolver can encode. Sending a datagram to
another one closes the socket, and with it every agent's replies."""

MAX_HOST_CHARACTERS = 253


class DecodeError(ValueError):
    """A row's value is invalid."""


def decode_catalog(text: str) -> Catalog:
    """Return the configuration in `text`.

    Raises
    ------
    DecodeError
        If the text is not a valid configuration.
    """
    try:
        fields = parse_json(text)
        limits = fields.get("limits") or {}
        listed = list_field(fields["routes"])
        found = [_route_or_broken(each) for each in listed]
        services = list_field(fields["services"])
        return Catalog(
            revision=Revision(whole_field(fields["version"])),
            routes=tuple(r for r in found if isinstance(r, Route)),
            services=tuple(_service(each) for each in services),
            limits=_limits(limits),
            broken=tuple(r for r in found if isinstance(r, BrokenRoute)),
            workspaces=_workspaces(fields.get("tenants")),
        )
    except FIELD_ERRORS as error:
        raise DecodeError(f"invalid configuration: {error!r}") from None


def _limits(fields):
    default = IngressLimits()
    return IngressLimits(
        header_bytes=_number(fields, "max-header-bytes", default.header_bytes),
        body_bytes=_number(fields, "max-body-bytes", default.body_bytes),
        header_ms=_number(fields, "header-timeout-ms", default.header_ms),
        idle_ms=_number(fields, "idle-timeout-ms", default.idle_ms),
    )


def _number(fields, name, default):
    value = fields.get(name)
    return default if value is None else whole_field(value)


def _route_or_broken(fields):
    try:
        return _route(fields)
    except FIELD_ERRORS as error:
        known = fields if isinstance(fields, dict) else {}
        name, host, prefix = (
            _text_or_empty(known.get(key))
            for key in ("name", "host", "prefix")
        )
        return BrokenRoute(name, host, prefix, repr(error))


def _route(fields):
    weights = {
        text_field(share["service"]): _weight(share["weight"])
        for share in fields.get("traffic-split") or ()
        if share["weight"] > 0
    }
    if not weights:
        weights = {text_field(fields["service"]): 1}
    return Route(
        name=text_field(fields["name"]),
        host=text_field(fields["host"]),
        prefix=text_field(fields["prefix"]),
        # Requests of an unknown kind are not safe to repeat.
        kind=_ROUTE_KIND_BY_NAME.get(fields["kind"], RouteKind.AT_MOST_ONCE),
        weight_by_service=weights,
        timeout_ms=_int(fields["timeout-ms"]),
        # Objective for the response, or for a stream's first event.
        objective_ms=_int(fields.get("goal-ms") or fields["timeout-ms"]),
        # Objective for the pause between two events.
        pause_ms=_int(fields.get("gap-aim-ms") or 0),
        rank=_int(fields.get("priority") or 0, MAX_I32),
        max_attempts=_int(fields.get("max-attempts") or 1),
        resumable=bool(fields.get("resumable")),
        # From submission of the job until all results are due.
        completion_ms=_int(fields.get("completion-target-ms") or 0),
        # From submission of the job until items may be abandoned.
        abandon_ms=_int(1000 * float(fields.get("max-wait-s") or 0)),
        max_waiting_tokens=_int(fields.get("cap") or 0),
        public=bool(fields.get("public")),
    )


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


def _workspaces(found):
    """Return the workspaces, or None if callers need no key."""
    if found is None:
        return None
    decoded = [_workspace_or_broken(each) for each in list_field(found)]
    return Workspaces(
        (each for each in decoded if isinstance(each, Workspace)),
        (each for each in decoded if isinstance(each, BrokenWorkspace)),
    )


def _workspace_or_broken(fields):
    """Return the workspace, or one marked as broken.

    The reason is the error's type alone: its message may quote a key.
    """
    name, digests = "", None
    try:
        name = _text_or_empty(fields.get("name"))
        keys = list_field(fields["api-keys"])
        digests = tuple(key_digest(text_field(key)) for key in keys)
        return _workspace(fields, digests)
    except FIELD_ERRORS as error:
        return BrokenWorkspace(name, digests, type(error).__name__)


def _workspace(fields, digests):
    rank = fields.get("priority")
    name = header_field(fields["name"])
    if not name:
        raise ValueError("expected a non-empty workspace name")
    return Workspace(
        workspace_id=WorkspaceId(name),
        digests=digests,
        rank=None if rank is None else _int(rank, MAX_I32),
        rate=_limit(fields.get("rate-per-s")),
        burst=_limit(fields.get("burst")),
    )


def _limit(value):
    """Return a finite number of requests >= 0; 0 if missing."""
    number = float(value or 0)
    if not 0 <= number < math.inf:
        raise ValueError("expected a finite limit >= 0")
    return number


def _text_or_empty(value):
    try:
        return text_field(value)
    except (TypeError, ValueError):
        return ""


def _service(fields):
    engine = fields.get("engine")
    return Service(
        name=text_field(fields["name"]),
        health_path=text_field(fields["health-path"]),
        max_connections=_int(fields.get("max-conns") or 0),
        engine=None if engine in (None, False) else _engine(engine),
    )


def _engine(fields):
    return Engine(
        slots=_int(fields["slots"]),
        kv_tokens=_int(fields.get("kv-capacity") or 0),
    )


def decode_replica(replica_id: str, text: str) -> Replica:
    """Return the replica in `text`, a row of the list.

    Raises
    ------
    DecodeError
        If a field is missing or has an invalid value; the list has other
        writers.
    """
    try:
        return _replica(replica_id, parse_json(text))
    except FIELD_ERRORS as error:
        raise DecodeError(f"replica {replica_id!r}: {error!r}") from None


def _replica(replica_id, fields):
    host, port = _address(fields["address"])
    state = fields["state"]
    if state not in ("ready", "draining"):
        raise ValueError("expected the state ready or draining")
    warm_in_ms = fields.get("cold-left-ms", 0)
    zone = fields.get("zone")
    return Replica(
        replica_id=header_field(replica_id),
        born_ms=whole_field(fields.get("born", 0)),
        service=text_field(fields["service"]),
        host=host,
        port=port,
        data_centre=DataCentreId("" if zone is None else text_field(zone)),
        slots=whole_field(fields.get("slots", 1), 1, MAX_I32),
        leaving=state == "draining",
        # Remaining warm-up time of a started replica.
        warm_in_ms=whole_field(warm_in_ms, -MAX_WHOLE),
        version=SoftwareVersion(_text_or_empty(fields.get("version"))),
    )


def _address(value):
    """Return the host and the port of HOST:PORT."""
    host, _, port = text_field(value).rpartition(":")
    if len(host) > MAX_HOST_CHARACTERS or not _HOST.fullmatch(host):
        raise ValueError("expected a host that can be resolved")
    # Digits of other scripts are digits for `str.isdigit`.
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError("expected a port number")
    return host, whole_field(int(port), 1, MAX_PORT)
