"""Routes and services of one configuration revision."""

from dataclasses import dataclass
from dataclasses import field
import enum
import hashlib

from dahliashunt.forwarding.workspaces import Workspaces
from dahliashunt.ids import Revision

__all__ = [
    "BrokenRoute",
    "Catalog",
    "Engine",
    "IngressLimits",
    "Route",
    "RouteKind",
    "Service",
]


class RouteKind(enum.Enum):
    """Kind of a route's requests; decides which may be retried."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for requests to one host below one path.

    Attributes
    ----------
    name, host, prefix : str
    kind : RouteKind
    weight_by_service : dict
        Relative share of the route's requests by service name.
    timeout_ms : int
        Longest time a request may take.
    objective_ms : int
        Target time to the response, or to a stream's first event.
    pause_ms : int
        Target for the longest pause between events; 0 for none.
    rank : int
        0 is the most urgent.
    max_attempts : int
        Number of replicas that may run one request.
    resumable : bool
        Whether a stream may resume at another replica.
    completion_ms, abandon_ms : int
        Batch: time until all results are due, and until items may be
        abandoned.
    max_waiting_tokens : int
        Batch: quota of waiting tokens over all entries, per workspace where
        there are workspaces; 0 is no limit.
    public : bool
        Whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    weight_by_service: dict[str, float] = field(hash=False)
    timeout_ms: int
    objective_ms: int
    pause_ms: int = 0
    rank: int = 0
    max_attempts: int = 1
    resumable: bool = False
    completion_ms: int = 0
    abandon_ms: int = 0
    max_waiting_tokens: int = 0
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be retried."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.BATCH)

    def service_for(self, request_id: str) -> str:
        """Return the service of one request, selected by the weights.

        The selection depends on the id alone, so that every attempt of one
        request goes to the same service.
        """
        if len(self.weight_by_service) == 1:
            return next(iter(self.weight_by_service))
        total = sum(self.weight_by_service.values())
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest) / 2**64 * total
        for service, weight in self.weight_by_service.items():
            point -= weight
            if point < 0:
                return service
        return service


@dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of each replica of a model service."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """Service whose replicas are interchangeable.

    Attributes
    ----------
    name : str
    health_path : str
    max_connections : int
        Connections that a replica accepts in total; it resets others.
    engine : Engine or None
        None for a service without a model engine.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """Limits on the size and the pace of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: int = 3_000
    idle_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class BrokenRoute:
    """Route of the configuration that can't be decoded.

    Attributes
    ----------
    name, host, prefix : str
        Empty if undecodable too.
    reason : str
    """

    name: str
    host: str
    prefix: str
    reason: str


@dataclass(frozen=True)
class Catalog:
    """One revision of the configuration.

    Callers need a key if there are `workspaces`.

    A route that can't be decoded still matches: its requests are refused
    instead of matching a shorter prefix of another service.

    Examples
    --------
    >>> def route(prefix):
    ...     return Route(prefix, "h", prefix, RouteKind.IDEMPOTENT,
    ...                  {"s": 1}, 1000, 100)
    >>> catalog = Catalog(1, (route("/a/"), route("/a/b/")), (),
    ...                   IngressLimits())
    >>> catalog.match("h", "/a/b/c").prefix
    '/a/b/'
    >>> catalog.match("h", "/b/") is None
    True

    Notes
    -----
    A look-up is O(slashes in the path), independent of the number of
    routes: prefixes begin and end with a slash.
    """

    revision: Revision
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: IngressLimits
    broken: tuple[BrokenRoute, ...] = ()
    workspaces: Workspaces | None = None
    service_by_name: dict[str, Service] = field(init=False)
    _by_prefix_by_host: dict[str, dict] = field(init=False, repr=False)
    _batch_by_name: dict[str, Route] = field(init=False, repr=False)

    def __post_init__(self):
        by_name = {service.name: service for service in self.services}
        by_host = {}
        for route in (*self.routes, *self.broken):
            # The first of several routes with one prefix is used.
            by_prefix = by_host.setdefault(route.host.lower(), {})
            by_prefix.setdefault(route.prefix, route)
        batch = {
            route.name: route
            for route in reversed(self.routes)
            if route.kind is RouteKind.BATCH
        }
        object.__setattr__(self, "service_by_name", by_name)
        object.__setattr__(self, "_by_prefix_by_host", by_host)
        object.__setattr__(self, "_batch_by_name", batch)

    def match(self, host: str, path: str) -> Route | BrokenRoute | None:
        """Return the route with the longest prefix of `path`, or None."""
        return next(self.candidates(host, path), None)

    def candidates(self, host: str, path: str):
        """Yield the routes with a prefix of `path`, longest first."""
        by_prefix = self._by_prefix_by_host.get(host.lower(), {})
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                yield route
            end = path.rfind("/", 0, end)

    def service_names(self) -> frozenset[str]:
        """Return the names of all services, also of those only in routes."""
        routed = (each.weight_by_service for each in self.routes)
        return frozenset(self.service_by_name).union(*routed)

    def hosts(self) -> list[str]:
        """Return the hosts that have routes, sorted."""
        return sorted(self._by_prefix_by_host)

    def batch_route(self, name: str) -> Route | None:
        """Return the batch route called `name`, or None."""
        return self._batch_by_name.get(name)

    def may_hide(self, name: str) -> bool:
        """Return whether a route that can't be decoded may be `name`."""
        return any(each.name in ("", name) for each in self.broken)
