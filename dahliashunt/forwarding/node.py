"""State and decisions of one entry node, independent of protocols."""

import asyncio
import contextlib
import random

from dahliashunt.decisions.retry_delay import outage_retry_delay_ms
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.catalog import BrokenRoute
from dahliashunt.forwarding.catalog import Catalog
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.forwarder import Forwarder
from dahliashunt.forwarding.forwarder import ResponseTruncated
from dahliashunt.forwarding.ports import ResponseSink
from dahliashunt.forwarding.rate_limiter import RateLimiter
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.forwarding.workspaces import BrokenWorkspace
from dahliashunt.forwarding.workspaces import Workspace
from dahliashunt.metrics import Metrics
from dahliashunt.ports import Clock

__all__ = ["STALE_MS", "Node"]

STALE_MS = 2_000
"""Age of the last configuration read from which a node counts as cut off
from the store; above the longest duration of one feed call, 1.7 s."""

MAX_LOGGED_ERRORS = 10
"""Broken routes or workspaces logged per revision; `route list` shows all
routes."""

RETRY_MS = 300
"""Retry-After if only this node may be outdated; another may take the
retry."""

LEAVING_RETRY_MS = 10
"""Retry-After if this node leaves; a new connection goes to another one."""

LOSSES_WAIT_MS = 3_000
"""Longest time after the first configuration for which requests are refused
until the lost runs are known: they may be unreadable when it is not."""

FIRST_READ_MS = 200
"""Longest wait of a request for the first configuration after a start;
below an objective, and shorter than a refused caller's retry."""


class Node:
    """One entry.

    Attributes
    ----------
    catalog : Catalog or None
        The configuration in force; its revision never decreases.
    adopted_ms : int or None
        Time at which it came into force here.
    previous_catalog : Catalog or None
        The configuration before it.
    registry : ReplicaRegistry
    leaving : asyncio.Event
        Set when this node is told to stop.
    is_configuration_unreadable : bool
        Whether the newest configuration can't be decoded.
    ends_ms : int or None
        Time at which it stops; None until it is told to.
    losses_known : asyncio.Event
        Set once the lost runs of all entries were read.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        log,
        registry: ReplicaRegistry,
    ):
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.log = log
        self.registry = registry
        self.catalog: Catalog | None = None
        self.adopted_ms: int | None = None
        self.previous_catalog: Catalog | None = None
        self.forwarder: Forwarder | None = None
        self.caps: RateLimiter | None = None
        self.leaving = asyncio.Event()
        self.is_configuration_unreadable = False
        self.ends_ms: int | None = None
        self._accepts_until_ms = 0
        self.config_read_ms = lambda: None
        self.config_as_of_ms = lambda: None
        self.follows_tables = lambda: True
        self.losses_known = asyncio.Event()
        self.losses_known.set()
        self._in_flight = 0
        self._started_ms = clock.now_ms()
        self._configured = asyncio.Event()
        self._first_adopted_ms = self._started_ms

    @contextlib.contextmanager
    def in_flight(self):
        """Count a request while it is served."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1

    @property
    def busy(self) -> int:
        """Number of requests in progress."""
        return self._in_flight

    @property
    def ready(self) -> bool:
        """Whether the node should get new connections.

        A node that is cut off from the store still serves the routes it
        knows, but takes no jobs and misses changes; so does one that can't
        apply the rows of a table.
        """
        return (
            self.catalog is not None
            and not self._waits_for_losses()
            and not self.leaving.is_set()
            and not self.is_stale()
            and self.follows_tables()
        )

    def _waits_for_losses(self):
        """Return whether a request could be sent that is in quarantine."""
        if self.losses_known.is_set():
            return False
        waited_ms = self.clock.now_ms() - self._first_adopted_ms
        return waited_ms < LOSSES_WAIT_MS

    def adopt(self, catalog: Catalog) -> None:
        """Put a configuration in force if it is newer than the current one.

        A late or duplicate read must not bring back a deleted route.
        """
        current = self.catalog
        if current is not None and catalog.revision <= current.revision:
            return
        self.catalog, self.previous_catalog = catalog, current
        if current is None:
            self._first_adopted_ms = self.clock.now_ms()
        self._configured.set()
        self.adopted_ms = self.clock.now_ms()
        if self.registry is not None:
            self.registry.know_services(catalog.service_names())
        if self.forwarder is not None:
            names = {route.name for route in catalog.routes}
            self.forwarder.waits.keep_only(names)
        self.log.info(
            "configuration_adopted",
            revision=catalog.revision,
            before=current.revision if current else None,
            routes=len(catalog.routes),
            broken=len(catalog.broken),
            workspaces=_count_workspaces(catalog),
        )
        for route in catalog.broken[:MAX_LOGGED_ERRORS]:
            self.log.error(
                "route_unreadable", route=route.name, reason=route.reason
            )
        unreadable = catalog.workspaces.broken if catalog.workspaces else ()
        for workspace in unreadable[:MAX_LOGGED_ERRORS]:
            self.log.error(
                "workspace_unreadable",
                workspace=workspace.name,
                reason=workspace.reason,
            )

    def leave(self, accepts_until_ms: int, ends_ms: int) -> None:
        """Stop at `ends_ms`; new connections come until `accepts_until_ms`."""
        self._accepts_until_ms = accepts_until_ms
        self.ends_ms = ends_ms
        self.leaving.set()

    def _check_time_left(self, call, route):
        """Raise `RequestError` if this node may end before the call does.

        One that may be repeated is taken while callers can't know that this
        node leaves.
        """
        if self.ends_ms is None:
            return
        budget_ms = route.timeout_ms
        if call.budget_ms is not None:
            budget_ms = min(budget_ms, call.budget_ms)
        if call.arrived_ms + budget_ms <= self.ends_ms:
            return
        if route.repeatable and self.clock.now_ms() < self._accepts_until_ms:
            return
        raise RequestError(
            ErrorKind.LEAVING,
            "this node stops before the request's time is over",
            retry_after_ms=LEAVING_RETRY_MS,
        )

    async def wait_until_configured(self) -> None:
        """Wait for the first configuration and the lost runs after a start.

        After a restart of the whole fleet requests arrive before the first
        read has completed; they would be refused.
        """
        left_ms = self._started_ms + FIRST_READ_MS - self.clock.now_ms()
        if left_ms <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left_ms / 1000):
                await self._configured.wait()
                await self.losses_known.wait()

    def route(self, host: str, path: str) -> Route:
        """Return the route of a request.

        Raises
        ------
        RequestError
            No route matches, or this node may be outdated.
        """
        self._require_configuration()
        route = self.catalog.match(host, path)
        if route is None:
            if self.is_stale():
                raise _retry_elsewhere(
                    "the route may be newer than this node's configuration"
                )
            raise RequestError(ErrorKind.NOT_FOUND, "no route matches")
        if isinstance(route, BrokenRoute):
            raise _retry_elsewhere(
                f"the route {route.name} can't be read: {route.reason}"
            )
        return route

    def _require_configuration(self):
        if self.catalog is not None and self._waits_for_losses():
            raise _retry_elsewhere("the lost runs were not read yet")
        if self.catalog is None:
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE,
                "no configuration was read yet",
                retry_after_ms=outage_retry_delay_ms(
                    self.clock.now_ms() - self._started_ms, self.rng
                ),
            )

    @property
    def requires_keys(self) -> bool:
        """Whether the configuration in force has workspaces."""
        return self.catalog is not None and self.catalog.workspaces is not None

    def caller_for_route(
        self, route: Route, key: str | None
    ) -> Workspace | None:
        """Return the workspace of a request on `route`, or None.

        Raises
        ------
        RequestError
            The route requires a key and the caller has no known one.
        """
        if route.public and self.requires_keys:
            found = self.catalog.workspaces.find_by_key(key or "")
            return found if isinstance(found, Workspace) else None
        workspace = self.caller(key)
        self.require_key(workspace)
        return workspace

    def caller(self, key: str | None) -> Workspace | None:
        """Return the workspace of `key`; None without a key or workspaces.

        Raises
        ------
        RequestError
            The key is unknown, or this node may be outdated.
        """
        self._require_configuration()
        workspaces = self.catalog.workspaces
        if workspaces is None or key is None:
            return None
        found = workspaces.find_by_key(key)
        if isinstance(found, Workspace):
            return found
        if isinstance(found, BrokenWorkspace):
            raise _retry_elsewhere("the key's workspace can't be read")
        if self.is_stale():
            raise _retry_elsewhere(
                "the key may be newer than this node's revision"
            )
        if not workspaces.knows_all_keys:
            raise _retry_elsewhere("some workspace's keys can't be read")
        raise RequestError(ErrorKind.UNAUTHENTICATED, "nobody has this key")

    def require_key(self, workspace: Workspace | None) -> None:
        """Raise `RequestError` if a key is required and there is none."""
        if workspace is None and self.requires_keys:
            raise RequestError(ErrorKind.UNAUTHENTICATED, "a key is wanted")

    def is_stale(self) -> bool:
        """Return whether the last read is older than `STALE_MS`."""
        heard_ms = self.config_read_ms()
        now_ms = self.clock.now_ms()
        return heard_ms is None or now_ms - heard_ms > STALE_MS

    def is_configured_as_of(self, time_ms: int) -> bool:
        """Return whether all configurations written by `time_ms` are known.

        Only then a route that is missing here was removed. Otherwise it may
        be newer than what this node has read.
        """
        if self.is_configuration_unreadable:
            return False
        as_of_ms = self.config_as_of_ms()
        return as_of_ms is not None and as_of_ms >= time_ms

    def has_agents(self, service: str) -> bool:
        """Return whether the replicas of `service` have agents."""
        found = self.catalog.service_by_name.get(service)
        return found is not None and found.engine is not None

    def kv_tokens(self, service: str) -> int:
        """Return the memory of each replica of `service`; 0 if unknown."""
        found = self.catalog.service_by_name.get(service)
        engine = found.engine if found is not None else None
        return engine.kv_tokens if engine is not None else 0

    async def forward(
        self,
        call: Call,
        route: Route,
        sink: ResponseSink,
        workspace: Workspace | None = None,
    ) -> None:
        """Forward `call` within its workspace's rate limit.

        See `Forwarder.serve`. A request that does not run is not counted.
        """
        self._check_time_left(call, route)
        revision = self.catalog.revision
        if workspace is not None and self.caps is not None:
            await self.caps.admit(workspace, revision, call.request_id)
        try:
            origin = await self.forwarder.origins.find(call, route)
            with_agents = self.has_agents(origin.service)
            await self.forwarder.serve(call, route, origin, with_agents, sink)
        except ResponseTruncated:
            raise
        except RequestError as error:
            if error.ran is Ran.NO and workspace and self.caps is not None:
                self.caps.give_back(workspace, revision)
            raise


def _retry_elsewhere(message):
    """Return the error for a request that another node may accept."""
    return RequestError(
        ErrorKind.STORE_UNAVAILABLE, message, retry_after_ms=RETRY_MS
    )


def _count_workspaces(catalog):
    return len(catalog.workspaces.by_id) if catalog.workspaces else 0
