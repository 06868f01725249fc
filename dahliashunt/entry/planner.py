"""The task that plans which replica loads which model.

Every entry runs it; the one that holds the lease plans and sends orders
over its links. The plan starts afresh from the endpoints' own reports each
time, so a new holder needs nothing from the old one. Agents refuse orders
that carry an older lease's token.
"""

from dahliashunt.adapters.wire.gen.link.ttypes import Frame
from dahliashunt.adapters.wire.gen.link.ttypes import Order
from dahliashunt.adapters.wire.gen.link.ttypes import OrderKind
from dahliashunt.decisions.placement import EndpointModels
from dahliashunt.decisions.placement import Placement
from dahliashunt.decisions.placement import PlacementKind
from dahliashunt.decisions.replica_targets import ModelDemand
from dahliashunt.errors import PlatformError
from dahliashunt.ports.engine import LoadedModel
from dahliashunt.records.placement import wanted_models

__all__ = ["Planner", "demands_of", "parse_model"]

PLAN_MS = 1_000
LEASE_KEY = "lease/placement"
LEASE_TERM_MS = 6_000
WEIGHTS_MS = 60_000
NO_STORE_RATE = 10**12

_KIND_BY_PLACEMENT = {
    PlacementKind.LOAD: OrderKind.LOAD,
    PlacementKind.DRAIN: OrderKind.DRAIN,
    PlacementKind.UNLOAD: OrderKind.UNLOAD,
}


def parse_model(text: str) -> LoadedModel:
    """Return the model that an agent's report names.

    Examples
    --------
    >>> parse_model("repair-notes@v2+bisque")
    LoadedModel(model='repair-notes', version='v2', adapters=('bisque',))
    """
    name, *adapters = text.split("+")
    model, _, version = name.partition("@")
    return LoadedModel(model, version, tuple(adapters))


def demands_of(catalog, endpoints) -> tuple[ModelDemand, ...]:
    """Return what the records in force want of each deployed model.

    Parameters
    ----------
    catalog : Catalog
    endpoints : tuple of EndpointModels
    """
    centre_by_endpoint = {e.endpoint_id: e.data_centre for e in endpoints}
    demands = []
    for deployment in catalog.deployments_by_name.values():
        if deployment.paused:
            continue
        placed = wanted_models(
            [deployment], centre_by_endpoint, catalog.drained
        )
        places = frozenset(e for e, models in placed.items() if models)
        model = catalog.models_by_id.get(deployment.model)
        floor = max(deployment.floor, 0 if model is None else model.floor)
        demands.append(
            ModelDemand(
                model=LoadedModel(
                    deployment.model, deployment.version, deployment.adapters
                ),
                floor=min(floor, len(places)),
                ceiling=len(places),
                demand_replicas=float(len(places)),
                fixed=places,
            )
        )
    return tuple(demands)


class Planner:
    """Plans while this entry holds the lease.

    Parameters
    ----------
    lease : RowLease
    book : EndpointBook
    catalog : Catalog
    weights : WeightStore or None
    placement : Placement
    clock : Clock
    log : structlog logger
    """

    def __init__(self, lease, book, catalog, weights, placement, clock, log):
        self._lease = lease
        self._book = book
        self._catalog = catalog
        self._weights = weights
        self._placement: Placement = placement
        self._clock = clock
        self._log = log
        self._sizes_by_model = {}
        # Without a weight store loads are bounded by their number alone;
        # with one that has not been read yet nothing is loaded.
        self._rate = NO_STORE_RATE if weights is None else 0
        self._weights_ms = None

    async def run(self) -> None:
        """Plan every `PLAN_MS` while holding the lease."""
        step_ms = 0
        while True:
            await self._clock.sleep_ms(PLAN_MS)
            if not self._catalog.deployments_by_name:
                # Nothing is deployed by records: engines stay as they
                # are, and no lease is written.
                continue
            now = self._clock.now_ms()
            if now >= step_ms:
                step_ms = now + LEASE_TERM_MS // 3
                await self._lease.step()
            await self._read_weights(now)
            self._plan()

    async def _read_weights(self, now):
        if self._weights is None:
            return
        fresh = self._weights_ms is not None
        if fresh and now - self._weights_ms < WEIGHTS_MS:
            return
        try:
            self._sizes_by_model = _by_name(await self._weights.sizes())
            self._rate = await self._weights.rate()
        except PlatformError:
            return
        self._weights_ms = now

    def _plan(self):
        token = self._lease.token
        if token is None:
            return
        endpoints = tuple(
            _endpoint_models(endpoint_id, endpoint)
            for endpoint_id, endpoint in self._book.by_id.items()
            if not endpoint.service_name
        )
        orders = self._placement.plan(
            self._clock.now_ms(),
            endpoints,
            demands_of(self._catalog, endpoints),
            self._rate,
            self._sizes_by_model,
        )
        for order in orders:
            self._send(token, order)

    def _send(self, token, order):
        link = self._book.link_of(order.endpoint_id)
        self._log.info(
            "order_sent",
            endpoint=order.endpoint_id,
            kind=order.kind.value,
            model=order.model.model,
            version=order.model.version,
        )
        link.send(
            Frame(
                order=Order(
                    plan_token=token,
                    kind=_KIND_BY_PLACEMENT[order.kind],
                    model=order.model.model,
                    version=order.model.version,
                    adapters=list(order.model.adapters),
                )
            )
        )


def _by_name(size_by_weights):
    """Return sizes by model, of the largest version of each."""
    size_by_model = {}
    for name, size in size_by_weights.items():
        model = name.partition("@")[0]
        size_by_model[model] = max(size, size_by_model.get(model, 0))
    return size_by_model


def _endpoint_models(endpoint_id, endpoint):
    load = endpoint.load
    return EndpointModels(
        endpoint_id=endpoint_id,
        data_centre=endpoint.info.data_centre,
        loaded=tuple(map(parse_model, load.versions or ())),
        loading=tuple(map(parse_model, load.loading or ())),
        draining=frozenset(load.draining or ()),
        busy=frozenset(load.busy or ()),
        capacity_bytes=endpoint.weight_bytes,
        leaving=not endpoint.is_usable,
    )
