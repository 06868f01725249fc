"""What one entry node knows and does, apart from protocols."""

import asyncio
import contextlib
import random

from dahliashunt.decisions.return_time import return_after_outage_ms
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.caps import Caps
from dahliashunt.forwarding.catalog import BrokenRoute
from dahliashunt.forwarding.catalog import Catalog
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.forwarder import AnswerCut
from dahliashunt.forwarding.forwarder import Forwarder
from dahliashunt.forwarding.ports import AnswerSink
from dahliashunt.forwarding.replicas import ReplicaBook
from dahliashunt.forwarding.workspaces import BrokenWorkspace
from dahliashunt.forwarding.workspaces import Workspace
from dahliashunt.metrics import Metrics
from dahliashunt.ports import Clock

__all__ = ["Node"]

STALE_MS = 2_000
"""A node that did not hear of its configuration for so long is cut off
from the store, or the store is away: a feed's call ends after 1.7 s at
the latest, and the next one is answered at once. What it does not know is
then refused as not run, jobs are refused at once, and new connections are
better made elsewhere."""

MAX_LOGGED_ERRORS = 10
"""Broken routes that are named in the log; `route list` shows all."""

RETRY_MS = 300
"""Retry-After where this node alone may be behind: another one takes the
retry."""

FIRST_READ_MS = 200
"""A request that comes while the first configuration is being read waits
for it up to so long: two reads of a slow store, and less than an objective.
Refused, its caller would come back later than that."""


class Node:
    """One entry.

    Attributes
    ----------
    catalog : Catalog or None
        The newest configuration seen; it never goes back.
    adopted_ms : int or None
        When it came into force here.
    former : Catalog or None
        The one before it.
    book : ReplicaBook
    leaving : asyncio.Event
        Set when this node was told to stop.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        log,
        book: ReplicaBook,
    ):
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.log = log
        self.book = book
        self.catalog: Catalog | None = None
        self.adopted_ms: int | None = None
        self.previous_catalog: Catalog | None = None
        self.forwarder: Forwarder | None = None
        self.caps: Caps | None = None
        self.leaving = asyncio.Event()
        self.config_heard = lambda: None
        self._in_flight = 0
        self._started_ms = clock.now_ms()
        self._configured = asyncio.Event()

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
        """Requests in progress."""
        return self._in_flight

    @property
    def ready(self) -> bool:
        """Whether new connections should come here.

        Without a configuration nothing can be served. A node without the
        store still serves what it knows, but takes no jobs and misses
        changes; if all nodes lose it none is preferred to another.
        """
        return (
            self.catalog is not None
            and not self.leaving.is_set()
            and not self.is_stale()
        )

    def adopt(self, catalog: Catalog) -> None:
        """Take over a configuration unless it is older than the one held.

        A late or doubled read must not bring back a route that was
        dropped: revisions only grow within a process's life.
        """
        current = self.catalog
        if current is not None and catalog.revision <= current.revision:
            return
        self.catalog, self.previous_catalog = catalog, current
        self._configured.set()
        self.adopted_ms = self.clock.now_ms()
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

    async def first_read(self) -> None:
        """Wait for the first configuration if this node has just started.

        The failure it guards against: after a restart of everything
        callers come back while each entry listens and still reads; they
        would be refused for a few milliseconds' sake.
        """
        left_ms = self._started_ms + FIRST_READ_MS - self.clock.now_ms()
        if self.catalog is not None or left_ms <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left_ms / 1000):
                await self._configured.wait()

    def route(self, host: str, path: str) -> Route:
        """Return the route of a request.

        Raises
        ------
        RequestError
            There is none, or this node cannot tell.
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
        if self.catalog is None:
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE,
                "no configuration was read yet",
                retry_after_ms=return_after_outage_ms(
                    self.clock.now_ms() - self._started_ms, self.rng
                ),
            )

    @property
    def asks_for_keys(self) -> bool:
        """Whether the configuration in force has workspaces."""
        return self.catalog is not None and self.catalog.workspaces is not None

    def caller_on(self, route: Route, key: str | None) -> Workspace | None:
        """Return in whose name a request on `route` runs; None for nobody.

        Raises
        ------
        RequestError
            The route wants a key and the caller has none that is known.
        """
        if route.public and self.asks_for_keys:
            found = self.catalog.workspaces.of_key(key or "")
            return found if isinstance(found, Workspace) else None
        workspace = self.caller(key)
        self.demand_key(workspace)
        return workspace

    def caller(self, key: str | None) -> Workspace | None:
        """Return whose key this is; None without a key or workspaces.

        Raises
        ------
        RequestError
            Nobody has the key, or this node cannot tell.
        """
        self._require_configuration()
        workspaces = self.catalog.workspaces
        if workspaces is None or key is None:
            return None
        found = workspaces.of_key(key)
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

    def demand_key(self, workspace: Workspace | None) -> None:
        """Raise unless a caller is known or none has to be."""
        if workspace is None and self.asks_for_keys:
            raise RequestError(ErrorKind.UNAUTHENTICATED, "a key is wanted")

    def is_stale(self) -> bool:
        """Tell whether the store was not heard of for `STALE_MS`."""
        heard_ms = self.config_heard()
        now_ms = self.clock.now_ms()
        return heard_ms is None or now_ms - heard_ms > STALE_MS

    def keeps_slots(self, service: str) -> bool:
        """Tell whether replicas of `service` have agents beside them."""
        found = self.catalog.service_by_name.get(service)
        return found is not None and found.engine is not None

    async def forward(
        self,
        call: Call,
        route: Route,
        sink: AnswerSink,
        workspace: Workspace | None = None,
    ) -> None:
        """Answer `call` within its workspace's limit.

        See `Forwarder.serve`. What does not run is not counted.
        """
        revision = self.catalog.revision
        if workspace is not None and self.caps is not None:
            await self.caps.admit(workspace, revision, call.request_id)
        service = route.service_for(call.request_id)
        keeps = self.keeps_slots(service)
        try:
            await self.forwarder.serve(call, route, keeps, sink)
        except AnswerCut:
            raise
        except RequestError as error:
            if error.ran is Ran.NO and workspace and self.caps is not None:
                self.caps.give_back(workspace, revision)
            raise


def _retry_elsewhere(message):
    """Return the refusal of a caller whom another node may know."""
    return RequestError(
        ErrorKind.STORE_UNAVAILABLE, message, retry_after_ms=RETRY_MS
    )


def _count_workspaces(catalog):
    return len(catalog.workspaces.by_id) if catalog.workspaces else 0
