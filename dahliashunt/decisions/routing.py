"""Where a request goes.

Load pattern: shared prefixes against load; slow endpoints; reports that
are late or missing; data centres at a distance.

Without it (round robin) one slow endpoint of five makes each fifth answer
late, and conversations find their prefixes at another endpoint.

`affinity` compares a small pool by predicted cost in milliseconds: the
holders of the longest prefix, the two homes of the opening by rendezvous
hashing [1]_ as far as they are within 1.25 times the mean load [2]_, and
two near endpoints and a far one at random [3]_. With six endpoints or
fewer all are compared: two choices among five often leave out the only fast
ones. Cost is

* the prefill of what isn't cached there, at the endpoint's own speed, and
  of what is pending before it;
* load over the larger of its own limit and the fleet's mean. The own limit
  alone is noise while it isn't reached, and load would follow it;
* the mean first-token time there, fading with a half life of 5 s. After
  10 s without use an endpoint counts as unknown, so that one that healed
  is tried again;
* 60 ms for another data centre, about an eighth of a full endpoint: near
  ones first, far ones once those are clearly busier.

Load is what this entry has in flight there plus what the last report
counted beyond that; own requests that were sent before the report are
taken out of it. A report older than 3 s is replaced by the mean of the
fleet, so that a silent endpoint doesn't look idle.

Under saturation one endpoint at a time comes free; of the first eight
waiting one with half its prompt cached there is taken, and none is passed
more than four times. Without this look ahead affinity is lost just when
prefills are the scarcest.

Endpoints on probe after an ejection get one idempotent request at a time.

Complexity: O(pool); O(endpoints) when the pool is full. A ranking is
computed once for an opening and kept.

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
    """What is asked of the router.

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
        """Tell whether the request may go to `endpoint` now."""
        return (
            endpoint.can_take(self.now, self.over_share)
            and endpoint.endpoint_id not in self.avoid
        )


class Router:
    """Choose endpoints by the routing policy of the settings."""

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
        """Return where to send the request now, or None to let it wait.

        Endpoints on which it failed before are used only where no other
        endpoint holds the model.
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
        """Return an endpoint on probe; only idempotent requests probe."""
        if not query.request.may_repeat:
            return None
        for endpoint in self.fleet.probing_by_id.values():
            if query.request.model in endpoint.models and query.can_use(
                endpoint
            ):
                return endpoint
        return None

    def open_endpoints(self, query: RoutingQuery) -> list[Endpoint]:
        """Return every endpoint that can take the request now."""
        serving = self.fleet.serving(query.request.model)
        return [e for e in serving if query.can_use(e)]

    def holds(self, query: RoutingQuery, endpoint: Endpoint) -> bool:
        """Tell whether the endpoint has half of the prompt cached.

        Under saturation one endpoint at a time has room, and prefixes
        would be lost if it took whoever is first. Routing without
        affinity takes the first, and so does a prompt without keys.
        """
        keys = query.request.prefix_keys
        if not keys or self.policy.routing != "affinity":
            return True
        held = self.prefixes.cached_fraction(
            query.now, endpoint.endpoint_id, keys
        )
        return held >= 0.5

    def cost(self, now: int, endpoint: Endpoint) -> float:
        """Return the cost of load, slowness and distance in ms.

        Load is counted in units of the endpoint's own limit, so that a
        slow endpoint, whose limit is low, is full sooner. What was
        learned of its speed fades, so that it is tried again.
        """
        policy = self.policy
        load = self.fleet.load(now, endpoint) + 1
        limit = max(endpoint.limit.value, self.fleet.limit_mean)
        age = now - endpoint.sampled_ms
        half_life = policy.slow_half_life_ms
        cost = endpoint.first_token_ms * half_life / (half_life + age)
        if age > 2 * half_life:
            # What is not used is not measured: a limit that once went
            # down would keep a healthy endpoint out for good.
            limit = max(limit, policy.limit_initial)
            cost = 0.0
        cost += policy.full_cost_ms * load / limit
        cost += endpoint.pending_ms
        if endpoint.data_centre != self.fleet.data_centre:
            cost += policy.remote_ms
        return cost


@ROUTING.register("round_robin")
def round_robin(router: Router, query: RoutingQuery) -> Endpoint | None:
    """Take each in turn: a baseline."""
    endpoints = router.open_endpoints(query)
    if not endpoints:
        return None
    router.next_index += 1
    return endpoints[router.next_index % len(endpoints)]


@ROUTING.register("least_in_flight")
def least_in_flight(router: Router, query: RoutingQuery) -> Endpoint | None:
    """Take the one with the fewest own requests: a baseline."""
    endpoints = router.open_endpoints(query)
    if not endpoints:
        return None
    least = min(e.in_flight for e in endpoints)
    return router.rng.choice([e for e in endpoints if e.in_flight == least])


@ROUTING.register("two_choices")
def two_choices(router: Router, query: RoutingQuery) -> Endpoint | None:
    """Take the cheaper of two at random, near ones first."""
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
    """Weigh the cached part of the prompt against load.

    The pool is the holders of the longest prefixes, the homes of the
    prefix by rendezvous within the load bound, and some at random; the
    cheapest of the pool by predicted time to first token wins.
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
    """Return two near endpoints and a far one, or all of a few."""
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
    """Return the homes of the prefix that are within the load bound."""
    fleet = router.fleet
    ranked = fleet.ranked(request.model, request.prefix_keys[0])
    serving = len(fleet.serving(request.model))
    bound = router.policy.load_bound * (fleet.in_flight + 1) / serving
    return [e for e in ranked if len(e.sent_ms_by_request) <= bound]
