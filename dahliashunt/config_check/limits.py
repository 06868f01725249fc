"""Limits of a configuration that contradict each other."""

from collections.abc import Iterator

from dahliashunt.config_check.config_file import Decoded
from dahliashunt.config_check.findings import Finding
from dahliashunt.config_check.findings import number_text
from dahliashunt.config_check.findings import warn
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.catalog import RouteKind
from dahliashunt.forwarding.workspaces import Workspace

__all__ = ["contradicting_limits"]

REQUEST_COST = 1.0
"""What a request takes from the burst of its workspace."""

MIN_ITEM_TOKENS = 2
"""Tokens of the smallest item: one of the prompt and one of the output."""


def contradicting_limits(config: Decoded) -> Iterator[Finding]:
    """Yield a warning for each limit that another one makes pointless."""
    if config.records.limits.header_bytes == 0:
        yield warn(
            "no-request-fits",
            ("limits", "max-header-bytes"),
            "0, which no request fits into",
            "the size of a request's head",
        )
    for at, service in enumerate(config.records.services):
        yield from _service(("services", at), service)
    for at, route in enumerate(config.records.routes):
        if isinstance(route, Route):
            fields = config.fields["routes"][at]
            yield from _times(("routes", at), route)
            yield from _attempts(("routes", at), route, fields)
            yield from _cap(("routes", at), route, config.catalog)
    for at, workspace in enumerate(config.records.workspaces or ()):
        if isinstance(workspace, Workspace):
            fields = config.fields["tenants"][at]
            yield from _rate(("tenants", at), workspace, fields)


def _service(path, service):
    if service.engine is None:
        return
    slots = service.engine.slots
    if slots < 1:
        yield warn(
            "no-slots",
            (*path, "engine", "slots"),
            f"{slots} slots",
            "at least 1, the requests that a replica runs at once",
        )
    if 0 < service.max_connections < slots:
        yield warn(
            "connections-below-slots",
            (*path, "max-conns"),
            f"{service.max_connections} connections for {slots} slots",
            f"at least {slots}",
        )


def _times(path, route):
    """Yield the time limits that are below those that they contain."""
    if route.timeout_ms < 1:
        yield warn(
            "no-time",
            (*path, "timeout-ms"),
            f"{route.timeout_ms} ms, in which no request ends",
            "at least 1 ms",
        )
        return
    limits = [
        ("goal-ms", route.objective_ms, "timeout-ms", route.timeout_ms),
        ("gap-aim-ms", route.pause_ms, "timeout-ms", route.timeout_ms),
    ]
    if route.kind is RouteKind.BATCH:
        # 1 ms stands for no time at all.
        limits += [
            ("timeout-ms", route.timeout_ms, "max-wait-s", route.abandon_ms),
            (
                "completion-target-ms",
                max(1, route.completion_ms),
                "max-wait-s",
                route.abandon_ms,
            ),
            (
                "goal-ms",
                route.objective_ms,
                "completion-target-ms",
                route.completion_ms,
            ),
        ]
    for inner, inner_ms, outer, outer_ms in limits:
        if inner_ms > outer_ms:
            yield warn(
                "time-too-short",
                (*path, outer),
                f"{outer_ms} ms, below {inner} of {inner_ms} ms",
                f"at least {inner_ms} ms",
            )


def _attempts(path, route, fields):
    if route.max_attempts < 2:
        return
    if not route.repeatable:
        yield warn(
            "attempts-unused",
            (*path, "max-attempts"),
            f"{route.max_attempts} attempts of requests that are never"
            " repeated",
            "1, or a kind that may be repeated",
        )
        return
    # A replica that is silent for the objective is left for the next one.
    # Without a stated objective only a broken connection leads to another.
    silent_ms = (route.max_attempts - 1) * route.objective_ms
    if fields.get("goal-ms") and silent_ms >= route.timeout_ms > 0:
        yield warn(
            "attempts-too-many",
            (*path, "max-attempts"),
            f"{route.max_attempts} attempts of {route.objective_ms} ms in"
            f" {route.timeout_ms} ms",
            "attempts that fit into timeout-ms",
        )


def _cap(path, route, catalog):
    if route.kind is not RouteKind.BATCH or not route.max_waiting_tokens:
        return
    least = max(
        (_slot_tokens(catalog, name) for name in route.weight_by_service),
        default=MIN_ITEM_TOKENS,
    )
    if route.max_waiting_tokens < least:
        yield warn(
            "cap-below-item",
            (*path, "cap"),
            f"{route.max_waiting_tokens} tokens, below one item",
            f"at least {least} tokens, what one slot may hold",
        )


def _slot_tokens(catalog, name):
    """Return the tokens of an item that fills its share of a replica."""
    service = catalog.service_by_name.get(name)
    engine = service.engine if service is not None else None
    if engine is None or engine.slots < 1:
        return MIN_ITEM_TOKENS
    return max(MIN_ITEM_TOKENS, engine.kv_tokens // engine.slots)


def _rate(path, workspace, fields):
    if not workspace.rate and workspace.burst:
        yield warn(
            "burst-without-rate",
            (*path, "burst"),
            f"a burst of {number_text(workspace.burst)} beside no rate: the"
            " workspace has no limit",
            "a rate-per-s above 0, or no burst",
        )
    is_stated = fields.get("burst") is not None
    if workspace.rate and is_stated and workspace.burst < REQUEST_COST:
        yield warn(
            "burst-below-request",
            (*path, "burst"),
            f"{number_text(workspace.burst)}, below the cost of one request",
            f"at least {number_text(REQUEST_COST)}",
        )
