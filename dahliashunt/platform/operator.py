"""Decode the operator's configuration and the list of replicas."""

import json
import math

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

__all__ = ["DecodeError", "decode_catalog", "decode_replica"]

_ROUTE_KIND_BY_NAME = {
    "stream": RouteKind.STREAM,
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "batch": RouteKind.BATCH,
}


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
        fields = json.loads(text)
        limits = fields.get("limits") or {}
        found = [_route_or_broken(each) for each in fields["routes"]]
        return Catalog(
            revision=Revision(fields["version"]),
            routes=tuple(r for r in found if isinstance(r, Route)),
            services=tuple(_service(each) for each in fields["services"]),
            limits=_limits(limits),
            broken=tuple(r for r in found if isinstance(r, BrokenRoute)),
            workspaces=_workspaces(fields.get("tenants")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DecodeError(f"invalid configuration: {error!r}") from None


def _limits(fields):
    default = IngressLimits()
    return IngressLimits(
        header_bytes=fields.get("max-header-bytes", default.header_bytes),
        body_bytes=fields.get("max-body-bytes", default.body_bytes),
        header_ms=fields.get("header-timeout-ms", default.header_ms),
        idle_ms=fields.get("idle-timeout-ms", default.idle_ms),
    )


def _route_or_broken(fields):
    try:
        return _route(fields)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        known = fields if isinstance(fields, dict) else {}
        name, host, prefix = (
            str(known.get(key, "")) for key in ("name", "host", "prefix")
        )
        return BrokenRoute(name, host, prefix, repr(error))


def _route(fields):
    weights = {
        share["service"]: share["weight"]
        for share in fields.get("traffic-split") or ()
        if share["weight"] > 0
    }
    if not weights:
        weights = {fields["service"]: 1}
    return Route(
        name=fields["name"],
        host=_text(fields["host"]),
        prefix=_text(fields["prefix"]),
        # Requests of an unknown kind are not safe to repeat.
        kind=_ROUTE_KIND_BY_NAME.get(fields["kind"], RouteKind.AT_MOST_ONCE),
        weight_by_service=weights,
        timeout_ms=int(fields["timeout-ms"]),
        # Objective for the response, or for a stream's first event.
        objective_ms=int(fields.get("goal-ms") or fields["timeout-ms"]),
        # Objective for the pause between two events.
        pause_ms=int(fields.get("gap-aim-ms") or 0),
        rank=int(fields.get("priority") or 0),
        max_attempts=int(fields.get("max-attempts") or 1),
        resumable=bool(fields.get("resumable")),
        # From submission of the job until all results are due.
        completion_ms=int(fields.get("completion-target-ms") or 0),
        # From submission of the job until items may be abandoned.
        abandon_ms=int(1000 * (fields.get("max-wait-s") or 0)),
        max_waiting_tokens=int(fields.get("cap") or 0),
        public=bool(fields.get("public")),
    )


def _workspaces(found):
    """Return the workspaces, or None if callers need no key."""
    if found is None:
        return None
    decoded = [_workspace_or_broken(each) for each in found]
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
        name = str(fields.get("name", ""))
        digests = tuple(key_digest(_text(k)) for k in fields["api-keys"])
        return _workspace(fields, digests)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return BrokenWorkspace(name, digests, type(error).__name__)


def _workspace(fields, digests):
    rank = fields.get("priority")
    name = _text(fields["name"])
    if not name:
        raise ValueError("expected a non-empty workspace name")
    return Workspace(
        workspace_id=WorkspaceId(name),
        digests=digests,
        rank=None if rank is None else int(rank),
        rate=_limit(fields.get("rate-per-s")),
        burst=_limit(fields.get("burst")),
    )


def _limit(value):
    """Return a finite number of requests >= 0; 0 if missing."""
    number = float(value or 0)
    if not 0 <= number < math.inf:
        raise ValueError("expected a finite limit >= 0")
    return number


def _text(value):
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {value!r}")
    return value


def _service(fields):
    engine = fields.get("engine")
    return Service(
        name=fields["name"],
        health_path=fields["health-path"],
        max_connections=int(fields.get("max-conns") or 0),
        engine=engine
        and Engine(
            slots=int(engine["slots"]),
            kv_tokens=int(engine.get("kv-capacity") or 0),
        ),
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
        fields = json.loads(text)
        host, _, port = fields["address"].rpartition(":")
        state = fields["state"]
        service = fields["service"]
        slots = fields.get("slots", 1)
        born_ms = fields.get("born", 0)
        # Remaining warm-up time of a started replica.
        warm_in_ms = fields.get("cold-left-ms", 0)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DecodeError(f"replica {replica_id}: {error!r}") from None
    numbers = (slots, born_ms, warm_in_ms)
    if (
        state not in ("ready", "draining")
        or not isinstance(service, str)
        or not host
        or not port.isdigit()
        or any(type(number) not in (int, float) for number in numbers)
        or slots < 1
    ):
        raise DecodeError(f"replica {replica_id}: invalid field value")
    return Replica(
        replica_id=replica_id,
        born_ms=int(born_ms),
        service=service,
        host=host,
        port=int(port),
        data_centre=DataCentreId(str(fields.get("zone", ""))),
        slots=int(slots),
        leaving=state == "draining",
        warm_in_ms=int(warm_in_ms),
        version=_software_version(fields.get("version")),
    )


def _software_version(value):
    return SoftwareVersion(value if isinstance(value, str) else "")
