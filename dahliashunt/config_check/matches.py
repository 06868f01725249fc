"""Entries of a configuration that can never match or are never selected."""

from collections.abc import Iterator
import itertools

from dahliashunt.config_check.config_file import Decoded
from dahliashunt.config_check.findings import Finding
from dahliashunt.config_check.findings import warn
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.workspaces import Workspace
from dahliashunt.platform.caller_key import is_sendable

__all__ = ["unmatched_entries"]

SELECTION_STEPS = 2**64
"""Values of the number by which `Route.service_for` selects a service."""


def unmatched_entries(config: Decoded) -> Iterator[Finding]:
    """Yield a warning for each entry without effect."""
    records = config.records
    # Records are compared by identity: equal ones stand at several places.
    path_by_id = {id(each): ("routes", at) for at, each in _routes(records)}
    for at, route in _routes(records):
        yield from _route(config, at, route, path_by_id)
    yield from _duplicate_route_names(records)
    yield from _services(config)
    workspaces = [
        (at, each)
        for at, each in enumerate(records.workspaces or ())
        if isinstance(each, Workspace)
    ]
    path_by_id = {id(each): ("tenants", at) for at, each in workspaces}
    for at, workspace in workspaces:
        yield from _workspace(config, at, workspace, path_by_id)


def _routes(records):
    return [
        (at, each)
        for at, each in enumerate(records.routes)
        if isinstance(each, Route)
    ]


def _route(config, at, route, path_by_id):
    path = ("routes", at)
    yield from _match(config.catalog, path, route, path_by_id)
    services = config.catalog.service_by_name
    for name in route.weight_by_service:
        if name not in services:
            yield warn(
                "unknown-service",
                path,
                "a service that is not declared",
                "the name of an entry of services",
            )
    yield from _shares(config.fields["routes"][at], path, route)


def _match(catalog, path, route, path_by_id):
    found = catalog.match(route.host, route.prefix)
    if found is not route and found and found.prefix == route.prefix:
        yield warn(
            "hidden-route",
            path,
            "the host and the prefix of another route",
            "a host and prefix of its own",
            path_by_id[id(found)],
        )
        return
    is_path = route.prefix.startswith("/") and found is route
    if not is_path or not _is_sent(route.prefix, "?#"):
        yield warn(
            "unmatchable-prefix",
            (*path, "prefix"),
            "a prefix that no path begins with",
            "a path that begins and ends with a slash",
        )
    if not _is_sent(route.host, "/?#"):
        yield warn(
            "unmatchable-host",
            (*path, "host"),
            "characters that no Host field has",
            "a host name",
        )


def _is_sent(text, excluded):
    return not any(
        each in excluded or each.isspace() or not each.isprintable()
        for each in text
    )


def _shares(fields, path, route):
    """Yield the parts of a route's split that receive no request."""
    shares = fields.get("traffic-split") or ()
    weights = route.weight_by_service
    total = sum(weights.values())
    last_by_service = {
        share["service"]: at
        for at, share in enumerate(shares)
        if share["weight"] > 0
    }
    for at, share in enumerate(shares):
        share_path = (*path, "traffic-split", at)
        if not share["weight"] > 0:
            found = "a weight that selects nothing"
        elif last_by_service[share["service"]] != at:
            found = "a service that a later share names again"
        elif weights[share["service"]] * SELECTION_STEPS < total:
            found = "a weight too small to select anything"
        else:
            continue
        yield warn("unselected-share", share_path, found, "a weight above 0")
    if last_by_service and fields.get("service") not in (None, *weights):
        yield warn(
            "unselected-service",
            (*path, "service"),
            "a service beside a traffic-split without it",
            "a share of the traffic-split",
        )


def _duplicate_route_names(records):
    first_by_name = {}
    for at, route in _routes(records):
        first = first_by_name.setdefault(route.name, at)
        if first != at:
            yield warn(
                "duplicate-name",
                ("routes", at, "name"),
                "the name of another route",
                "a name of its own: jobs and quotas are kept by it",
                ("routes", first),
            )


def _services(config):
    declared = config.catalog.service_by_name
    used = set(config.catalog.service_names() - set(declared))
    for route in config.catalog.routes:
        used.update(route.weight_by_service)
    if config.catalog.broken:
        used.update(_named_services(config))
    for at, service in enumerate(config.records.services):
        if declared[service.name] is not service:
            yield warn(
                "duplicate-name",
                ("services", at, "name"),
                "the name of a later service, which is used",
                "a name of its own",
            )
        elif service.name not in used:
            yield warn(
                "unused-service",
                ("services", at),
                "a service that no route names",
                "a route to it",
            )


def _named_services(config):
    """Return what all routes name, also those that can't be decoded."""
    routes = [
        each for each in config.fields["routes"] if isinstance(each, dict)
    ]
    splits = (each.get("traffic-split") for each in routes)
    shares = itertools.chain.from_iterable(
        each for each in splits if isinstance(each, list)
    )
    named = [
        each.get("service")
        for each in (*routes, *shares)
        if isinstance(each, dict)
    ]
    return {name for name in named if isinstance(name, str)}


def _workspace(config, at, workspace, path_by_id):
    workspaces = config.catalog.workspaces
    path = ("tenants", at)
    named = workspaces.by_id[workspace.workspace_id]
    if named is not workspace:
        yield warn(
            "duplicate-name",
            (*path, "name"),
            "the name of a later workspace: no node knows these keys",
            "a name of its own",
            path_by_id[id(named)],
        )
        return
    usable = 0
    keys = config.fields["tenants"][at]["api-keys"]
    for number, digest in enumerate(workspace.digests):
        owner = workspaces.find_by_digest(digest)
        key_path = (*path, "api-keys", number)
        if not is_sendable(keys[number]):
            yield warn(
                "unusable-key",
                key_path,
                "a key that no Authorization field carries",
                "printable characters without spaces around them",
            )
        elif owner is workspace:
            usable += 1
        else:
            yield warn(
                "shared-key",
                key_path,
                "a key of another workspace, for which its callers count",
                "each key in one workspace",
                path_by_id[id(owner)],
            )
    if not usable:
        yield warn(
            "no-usable-key",
            path,
            "a workspace that no caller can use",
            "a key of its own",
        )
