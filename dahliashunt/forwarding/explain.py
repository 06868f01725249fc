"""Explain how a node would handle a request now.

Read-only; the cost does not grow with the size of the configuration.
"""

from collections import Counter
from dataclasses import dataclass

from dahliashunt.decisions.retry_delay import RETRY_DELAY_HOLDS
from dahliashunt.forwarding.catalog import BrokenRoute
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.replica_view import ReplicaState

__all__ = ["MAX_ROUTES", "Explainer"]

MAX_ROUTES = 1_000
"""Routes in one page."""

MAX_CHANGES = 200
"""Changed routes that are listed; others are only counted."""

MAX_REPLICAS = 100
"""Replicas that are listed, partners first."""

MAX_PASSED_OVER = 20


@dataclass(frozen=True, slots=True)
class _ExpectedOutcome:
    summary: str
    wait_ms: int | None = None
    retry_after_ms: tuple[int, int] | None = None


class Explainer:
    """Explains one node's routes to operators.

    Parameters
    ----------
    node : Node
    places : ReplicaSelector
    known : KnownReplicas
    """

    def __init__(self, node, places, known):
        self._node = node
        self._places = places
        self._known = known

    def explain(self, host: str, path: str) -> dict:
        """Return the expected handling of a request for `path` at `host`."""
        node = self._node
        found = {"node": node.metrics.node_id, **self._version()}
        if node.catalog is None:
            return {**found, "route": None, "why": "no configuration is known"}
        matches = list(node.catalog.candidates(host, path))
        if not matches:
            return {
                **found,
                "route": None,
                "why": self._no_match_reason(host, path),
            }
        route, *others = matches
        found["why"] = (
            f"{route.prefix} is the longest prefix of the path at {host}"
        )
        found["passed_over"] = [
            {"name": each.name, "prefix": each.prefix, "why": "shorter"}
            for each in others[:MAX_PASSED_OVER]
        ]
        if isinstance(route, BrokenRoute):
            found["route"] = {"name": route.name, "prefix": route.prefix}
            found["now"] = f"refused: it can't be read ({route.reason})"
            return found
        found["route"] = route_fields(route)
        found["services"] = [
            self._service(route, name, weight)
            for name, weight in route.weight_by_service.items()
        ]
        return found

    def _version(self):
        node = self._node
        now_ms = node.clock.now_ms()
        heard_ms = node.config_read_ms()
        return {
            "version": node.catalog and node.catalog.revision,
            "in_force_ms": _age(now_ms, node.adopted_ms),
            "heard_ms": _age(now_ms, heard_ms),
            "ready": node.ready,
        }

    def _no_match_reason(self, host, path):
        if not path.startswith("/"):
            return f"{path} is no path: it must begin with a slash"
        if host.lower() in self._node.catalog.hosts():
            return f"no prefix of {host} begins {path}"
        return f"no route has the host {host}"

    def _service(self, route, name, weight):
        service = self._node.catalog.service_by_name.get(name)
        with_agents = self._node.has_agents(name) if service else False
        replicas = self._known.views(name)
        outcome = self._outcome(route, name, replicas, with_agents)
        places = Counter(each.data_centre for each in replicas)
        usable = [r for r in replicas if r.state is ReplicaState.USABLE]
        return {
            "name": name,
            "weight": weight,
            "has_agents": with_agents,
            "replicas": len(replicas),
            "by_data_centre": dict(sorted(places.items())),
            "usable": len(usable),
            "asked": [each.fields() for each in replicas[:MAX_REPLICAS]],
            "now": outcome.summary,
            "wait_ms": outcome.wait_ms,
            "retry_after_ms": outcome.retry_after_ms,
        }

    def _outcome(self, route, service, replicas, with_agents):
        if not replicas:
            return _ExpectedOutcome("refused: the service has no replica")
        usable = [r for r in replicas if r.state is ReplicaState.USABLE]
        if not with_agents or not usable:
            return _ExpectedOutcome(
                "sent to a replica without asking an agent", 0
            )
        if any(each.free > 0 for each in usable):
            return _ExpectedOutcome("taken at once", 0)
        if any(each.batch > 0 for each in usable):
            return _ExpectedOutcome("taken at once, a batch item gives way", 0)
        wait_ms = min(each.wait_ms for each in usable)
        if wait_ms <= route.objective_ms:
            return _ExpectedOutcome(
                f"waits about {wait_ms} ms for a slot", wait_ms
            )
        hold_ms = self._places.hold_ms(service)
        least, most = (int(hold_ms * turn) for turn in RETRY_DELAY_HOLDS)
        return _ExpectedOutcome(
            f"refused, with a Retry-After of {least} to {most} ms",
            wait_ms,
            (least, most),
        )

    def routes(self, after: int) -> dict:
        """Return a page of routes that starts at index `after`."""
        node = self._node
        found = {"node": node.metrics.node_id, **self._version()}
        if node.catalog is None:
            return {**found, "total": 0, "routes": [], "broken": []}
        routes = node.catalog.routes
        page = routes[after : after + MAX_ROUTES]
        found["total"] = len(routes)
        found["next"] = after + len(page) if page else None
        found["routes"] = [route_fields(route) for route in page]
        if after == 0:
            found["broken"] = [
                {"name": b.name, "prefix": b.prefix, "reason": b.reason}
                for b in node.catalog.broken[:MAX_CHANGES]
            ]
            found["replicas_by_service"] = {
                service.name: len(self._known.listed(service.name))
                for service in node.catalog.services
            }
        return found

    def changes(self) -> dict:
        """Return the changes of the current version from the previous."""
        node = self._node
        found = {"node": node.metrics.node_id, **self._version()}
        previous_catalog = node.previous_catalog
        if node.catalog is None or previous_catalog is None:
            return {**found, "before": None, "counts": {}, "changes": []}
        now = {route.name: route for route in node.catalog.routes}
        before = {route.name: route for route in previous_catalog.routes}
        changes = [_change(before, now, name) for name in {**before, **now}]
        changes = [each for each in changes if each is not None]
        counts = Counter(each["change"] for each in changes)
        return {
            **found,
            "before": previous_catalog.revision,
            "counts": dict(counts),
            "changes": changes[:MAX_CHANGES],
        }


def _age(now_ms, since_ms):
    return None if since_ms is None else now_ms - since_ms


def _change(before, now, name):
    old, new = before.get(name), now.get(name)
    if old is None:
        return {"name": name, "change": "added", "prefix": new.prefix}
    if new is None:
        return {"name": name, "change": "removed", "prefix": old.prefix}
    if old == new:
        return None
    was, is_ = route_fields(old), route_fields(new)
    fields = {key: [was[key], is_[key]] for key in was if was[key] != is_[key]}
    return {
        "name": name,
        "change": "changed",
        "prefix": new.prefix,
        "fields": fields,
    }


def route_fields(route: Route) -> dict:
    """Return a route as a JSON object."""
    return {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "kind": route.kind.value,
        "services": dict(route.weight_by_service),
        "timeout_ms": route.timeout_ms,
        "objective_ms": route.objective_ms,
        "max_attempts": route.max_attempts,
        "resumable": route.resumable,
        "rank": route.rank,
    }
