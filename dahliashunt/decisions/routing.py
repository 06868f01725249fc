"""Routing of requests to endpoints.

Load pattern: shared prefixes compete with load; endpoints are slow, reports
late or missing, data centres distant.

Without it (round robin) a slow endpoint delays its part of all answers, and
conversations miss their cached prefixes.

How: `affinity` compares the predicted cost, in milliseconds, of the holders
of the longest prefix, two home endpoints by rendezvous hashing [1]_ within
a load bound [2]_, and random local and remote endpoints [3]_; in a small
fleet, of all endpoints. The cost is the sum of

* the prefill of uncached and of pending tokens at the endpoint's speed;
* its load over the larger of its own limit and the fleet's mean, since the
  own limit says little until it is reached;
* its mean time to first token, which decays, so that an endpoint that has
  recovered is tried again;
* a constant for another data centre.

Under saturation a free place goes to one of the first waiting requests with
half its prompt cached there, else to the first; without this look-ahead
affinity would be lost. Endpoints on probe after an ejection get one
idempotent request at a time.

Complexity: O(candidates); O(endpoints) if all candidates are full. Rankings
are cached by first prefix key.

References
----------
.. [1] D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
   Hit Rates", IEEE/ACM Transactions on Networking 6, 1998.
.. [2] V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing with
   Bounded Loads", SODA 2018.
.. [3] M. Mitzenmacher, "The Power of Two Choices in Randomized Load
   Balancing", IEEE TPDS 12, 2001.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
import random

from dahliashunt.decisions.endpoint import Endpoint
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.events import OnlineRequest
from dahliashunt.decisions.fleet import Fleet
from dahliashunt.decisions.prefix import PrefixIndex
from dahliashunt.decisions.registry import Registry
from dahliashunt.ids import EndpointId

__all__ = ["ROUTING", "Router", "RoutingQuery"]

ROUTING = Registry("routing policy")

_MAX_HOLDERS = 2


@dataclass(slots=True)
class RoutingQuery:
    """A request with the state that its routing depends on.

    Attributes
    ----------
    avoid : frozenset of EndpointId
        Endpoints on which the request failed before.
    over_share : bool
        Whether its caller has more than its share in flight.
    """

    now: int
    request: OnlineRequest
    avoid: frozenset[EndpointId] = frozenset()
    over_share: bool = False

    def can_use(self, endpoint: Endpoint) -> bool:
        """Return whether the request may go to `endpoint` now."""
        return (
            endpoint.can_take(self.now, self.over_share)
            and endpoint.endpoint_id not in self.avoid
        )


class Router:
    """Choose endpoints by the configured routing policy."""

    def __init__(
        self,
        policy: EntryPolicy,
        fleet: Fleet,
        prefixes: PrefixIndex,
        rng: random.Random,
    ):
        self.policy = policy
        self.fleet = fleet
        self.prefixes = prefixes
        self.rng = rng
        self.next_index = 0
        self._choose: Callable = ROUTING.get(policy.routing)

    def choose(self, query: RoutingQuery) -> Endpoint | None:
        """Return the endpoint for the request, or None if it has to wait.

        Endpoints on which it failed before are used only if no other
        endpoint serves the model.
        """
        endpoint = self._probe(query)
        if endpoint is None:
            endpoint = self._choose(self, query)
        if endpoint is not None or not query.avoid:
            return endpoint
        if any(
            e.endpoint_id not in query.avoid
            for e in self.fleet.serving(query.request.model)
        ):
            return None
        return self._choose(self, replace(query, avoid=frozenset()))

    def _probe(self, query: RoutingQuery) -> Endpoint | None:
        """Return an endpoint on probe for an idempotent request."""
        if not query.request.may_repeat:
            return None
        for endpoint in self.fleet.probing_by_id.values():
            if query.request.model in endpoint.models and query.can_use(
                endpoint
            ):
                return endpoint
        return None

    def open_endpoints(self, query: RoutingQuery) -> list[Endpoint]:
        """Return all endpoints that can take the request now."""
        serving = self.fleet.serving(query.request.model)
        return [e for e in serving if query.can_use(e)]

    def holds(self, query: RoutingQuery, endpoint: Endpoint) -> bool:
        """Return whether the endpoint has half of the prompt cached.

        Always true without affinity routing or without prefix keys, so
        that the first waiting request is taken.
        """
        keys = query.request.prefix_keys
        if not keys or self.policy.routing != "affinity":
            return True
        held = self.prefixes.cached_fraction(
            query.now, endpoint.endpoint_id, keys
        )
        return held >= 0.5

    def cost(self, now: int, endpoint: Endpoint) -> float:
        """Return the cost of load, latency and distance in ms.

        Load is relative to the endpoint's limit, which is low for a slow
        endpoint. What was learned of its speed fades, so that it is tried
        again.
        """
        policy = self.policy
        load = self.fleet.load(now, endpoint) + 1
        limit = max(endpoint.limit.value, self.fleet.limit_mean)
        age = now - endpoint.sampled_ms
        half_life = policy.slow_half_life_ms
        cost = endpoint.first_token_ms * half_life / (half_life + age)
        if age > 2 * half_life:
            # An unused endpoint has no recent samples, and its old limit
            # would keep it unused.
            limit = max(limit, policy.limit_initial)
            cost = 0.0
        cost += policy.full_cost_ms * load / limit
        cost += endpoint.pending_ms
        if endpoint.data_centre != self.fleet.data_centre:
            cost += policy.remote_ms
        return cost


@ROUTING.register("round_robin")
def round_robin(router: Router, query: RoutingQuery) -> Endpoint | None:
    """Choose open endpoints in turn (baseline)."""
    endpoints = router.open_endpoints(query)
    if not endpoints:
        return None
    router.next_index += 1
    return endpoints[router.next_index % len(endpoints)]


@ROUTING.register("least_in_flight")
def least_in_flight(router: Router, query: RoutingQuery) -> Endpoint | None:
    """Choose the endpoint with the fewest own requests (baseline)."""
    endpoints = router.open_endpoints(query)
    if not endpoints:
        return None
    least = min(e.in_flight for e in endpoints)
    return router.rng.choice([e for e in endpoints if e.in_flight == least])


@ROUTING.register("two_choices")
def two_choices(router: Router, query: RoutingQuery) -> Endpoint | None:
    """Choose the cheapest of a few random endpoints."""
    pool = [
        e
        for e in _random_candidates(router, query.request)
        if query.can_use(e)
    ]
    if not pool:
        pool = router.open_endpoints(query)
    return min(pool, key=lambda e: router.cost(query.now, e), default=None)


@ROUTING.register("affinity")
def affinity(router: Router, query: RoutingQuery) -> Endpoint | None:
    """Choose the candidate with the lowest predicted time to first token.

    Candidates are the holders of the longest prefixes, the home endpoints
    of the prefix within the load bound, and some random ones.
    """
    request = query.request
    keys = request.prefix_keys
    depth_by_id = (
        router.prefixes.cached_depths(query.now, keys) if keys else {}
    )
    pool = _random_candidates(router, request)
    pool += _holders(router, request, depth_by_id)
    if keys:
        pool += _home_endpoints(router, request)
    pool = [e for e in dict.fromkeys(pool) if query.can_use(e)]
    if not pool:
        pool = router.open_endpoints(query)
    if not pool:
        return None
    blocks = max(1, len(keys))

    def cost(endpoint: Endpoint) -> float:
        held = depth_by_id.get(endpoint.endpoint_id, 0)
        prefill = request.prompt_tokens * (1 - held / blocks)
        prefill *= endpoint.ms_per_token
        return router.cost(query.now, endpoint) + prefill

    return min(pool, key=cost)


def _random_candidates(
    router: Router, request: OnlineRequest
) -> list[Endpoint]:
    """Return two local endpoints and a remote one, or all of a few."""
    fleet = router.fleet
    serving = fleet.serving(request.model)
    if len(serving) <= router.policy.few_endpoints:
        return list(serving)
    candidates = []
    for group, count in (
        (fleet.local(request.model), 2),
        (fleet.remote(request.model), 1),
    ):
        if len(group) <= count:
            candidates += group
        else:
            for _ in range(count):
                candidates.append(group[int(router.rng.random() * len(group))])
    return candidates


def _holders(
    router: Router,
    request: OnlineRequest,
    depth_by_id: dict[EndpointId, int],
) -> list[Endpoint]:
    holders = []
    for endpoint_id in depth_by_id:
        endpoint = router.fleet.by_id.get(endpoint_id)
        if endpoint is not None and request.model in endpoint.models:
            holders.append(endpoint)
            if len(holders) == _MAX_HOLDERS:
                break
    return holders


def _home_endpoints(router: Router, request: OnlineRequest) -> list[Endpoint]:
    """Return the home endpoints of the prefix within the load bound."""
    fleet = router.fleet
    ranked = fleet.ranked(request.model, request.prefix_keys[0])
    serving = len(fleet.serving(request.model))
    bound = router.policy.load_bound * (fleet.in_flight + 1) / serving
    return [e for e in ranked if len(e.sent_ms_by_request) <= bound]
