"""Placement of models on endpoints.

Load pattern: demand that moves between models within hours; bursts that end
before weights are loaded; rollouts; the loss of a rack with its replicas.

Without it bursts cause useless loads, and the replicas of a lost rack
compete for the weight store, so that none serves until all are loaded.

Rules: the median of recent demand must cross a threshold, with hysteresis,
before the number of replicas changes. A token bucket in bytes keeps loads
under the weight store's rate, models below their floor first. Endpoints
drain before they unload, and an old version is unloaded only while the
other replicas meet the floor.

Notes
-----
The state is the recent demand, the last change of each model and the
bucket; a new lease holder may start without it and only waits longer.
O(endpoints * models) a plan, run every few seconds.

References
----------
A. Fikes et al., Borg (A. Verma et al., EuroSys 2015), on rollouts within
a disruption budget. C. Chow and others on hysteresis in autoscaling: see
K. Rzadca et al., Autopilot, EuroSys 2020.
"""

from dataclasses import dataclass
from dataclasses import field
import enum

from dahliashunt.decisions.load_bucket import LoadBucket
from dahliashunt.decisions.replica_targets import ModelDemand
from dahliashunt.decisions.replica_targets import PlacementPolicy
from dahliashunt.decisions.replica_targets import ReplicaTargets
from dahliashunt.ids import DataCentreId
from dahliashunt.ids import EndpointId
from dahliashunt.ports.engine import LoadedModel

__all__ = [
    "EndpointModels",
    "Placement",
    "PlacementKind",
    "PlacementOrder",
]


class PlacementKind(enum.Enum):
    """Kind of a placement order."""

    LOAD = "load"
    DRAIN = "drain"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EndpointModels:
    """Models and free memory that an endpoint reports.

    Attributes
    ----------
    loaded, loading : tuple of LoadedModel
        Models that the engine reports.
    draining : frozenset of str
        Models that get no new requests there.
    busy : frozenset of str
        Models with streams that still run there.
    capacity_bytes : int
        Memory for weights.
    """

    endpoint_id: EndpointId
    data_centre: DataCentreId
    loaded: tuple[LoadedModel, ...] = ()
    loading: tuple[LoadedModel, ...] = ()
    draining: frozenset[str] = field(default_factory=frozenset)
    busy: frozenset[str] = field(default_factory=frozenset)
    capacity_bytes: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class PlacementOrder:
    """A step of one endpoint towards the target placement."""

    endpoint_id: EndpointId
    kind: PlacementKind
    model: LoadedModel


class Placement:
    """Plan the next orders from reports, records and demand.

    Parameters
    ----------
    policy : PlacementPolicy
        Thresholds.
    """

    def __init__(self, policy: PlacementPolicy):
        self._targets = ReplicaTargets(policy)
        self._bucket = LoadBucket(policy)

    def plan(
        self,
        now: int,
        endpoints: tuple[EndpointModels, ...],
        wanted: tuple[ModelDemand, ...],
        weight_rate_bytes_s: float,
        sizes_by_model: dict[str, int],
    ) -> tuple[PlacementOrder, ...]:
        """Return the orders to give now.

        They are safe together; later ones follow from fresh reports.
        """
        plan = _Plan(endpoints, sizes_by_model)
        self._bucket.refill(now, weight_rate_bytes_s)
        gaps = []
        for demand in wanted:
            replicas = plan.replicas(demand.model)
            target = self._targets.target(now, demand, replicas)
            gaps.append((demand, target))
            self._remove(plan, demand, target)
        # Models below their floor first, since their callers get errors.
        gaps.sort(key=lambda gap: -plan.below_floor(gap[0]))
        for demand, target in gaps:
            self._add(plan, demand, target)
        plan.drop_unwanted({demand.model.model for demand in wanted})
        return tuple(plan.orders)

    def _add(self, plan: "_Plan", demand: ModelDemand, target: int) -> None:
        size = plan.sizes_by_model.get(demand.model.model, 0)
        while plan.current(demand.model) < target:
            endpoint = plan.best_for(demand)
            if endpoint is None or not self._bucket.admit(
                size, plan.loads_in_progress()
            ):
                return
            plan.load(endpoint, demand.model)

    def _remove(self, plan: "_Plan", demand: ModelDemand, target: int):
        """Retire replicas beyond the target, then old versions."""
        old = plan.serving_old(demand.model)
        current = plan.serving_current(demand.model)
        floor = max(1, demand.floor)
        serving = len(old) + len(current)
        spare = current[: max(0, len(current) - target)]
        for endpoint in spare:
            if serving - 1 < floor or endpoint.endpoint_id in demand.fixed:
                continue
            plan.retire(endpoint, demand.model)
            serving -= 1
        need_room = plan.current(demand.model) < target
        for endpoint in old:
            replaced = len(current) >= target
            # Keep the replica if the others would not meet the floor.
            if serving - 1 < floor or not (replaced or need_room):
                break
            plan.retire(endpoint, plan.version_on(endpoint, demand.model))
            serving -= 1
            if need_room:
                break
        plan.finish_drains(demand.model)


class _Plan:
    """The reports together with the orders of this plan."""

    def __init__(self, endpoints, sizes_by_model):
        self._endpoints = [e for e in endpoints if not e.leaving]
        self.sizes_by_model = sizes_by_model
        self.orders: list[PlacementOrder] = []
        self._added: dict[EndpointId, list[LoadedModel]] = {}
        self._retired: set[tuple[EndpointId, str]] = set()

    def replicas(self, model: LoadedModel) -> int:
        """Count endpoints that serve or load any version of the model."""
        name = model.model
        return sum(1 for e in self._endpoints if self._holds(e, name))

    def below_floor(self, demand: ModelDemand) -> int:
        """Return how many replicas are missing from the floor."""
        name = demand.model.model
        serving = sum(1 for e in self._endpoints if self._serves(e, name))
        return max(0, demand.floor - serving)

    def current(self, model: LoadedModel) -> int:
        """Count endpoints that serve or load the wanted version."""
        return sum(
            1
            for e in self._endpoints
            if (model in e.loaded and self._serves(e, model.model))
            or model in e.loading
            or model in self._added.get(e.endpoint_id, ())
        )

    def serving_current(self, model: LoadedModel) -> list[EndpointModels]:
        """Return endpoints serving the wanted version, densest first."""
        serving = [
            e
            for e in self._endpoints
            if model in e.loaded and self._serves(e, model.model)
        ]
        return sorted(serving, key=lambda e: -self._density(e, model.model))

    def serving_old(self, model: LoadedModel) -> list[EndpointModels]:
        """Return endpoints that serve another version of the model."""
        return [
            e
            for e in self._endpoints
            if model not in e.loaded and self._serves(e, model.model)
        ]

    def version_on(self, endpoint, model: LoadedModel) -> LoadedModel:
        """Return the version of the model loaded on the endpoint."""
        return next(m for m in endpoint.loaded if m.model == model.model)

    def loads_in_progress(self) -> int:
        """Count loads in progress and ordered."""
        loading = sum(len(e.loading) for e in self._endpoints)
        return loading + sum(len(added) for added in self._added.values())

    def best_for(self, demand: ModelDemand) -> EndpointModels | None:
        """Return the endpoint for the next replica, spread over centres."""
        model = demand.model
        size = self.sizes_by_model.get(model.model, 0)
        free = [
            e
            for e in self._endpoints
            if not self._holds(e, model.model) and self._free(e) >= size
        ]
        if demand.fixed:
            free = [e for e in free if e.endpoint_id in demand.fixed]
        return min(
            free,
            key=lambda e: (
                self._density(e, model.model),
                -self._free(e),
                e.endpoint_id,
            ),
            default=None,
        )

    def load(self, endpoint: EndpointModels, model: LoadedModel) -> None:
        """Order a load."""
        self._added.setdefault(endpoint.endpoint_id, []).append(model)
        self._order(endpoint, PlacementKind.LOAD, model)

    def retire(self, endpoint: EndpointModels, model: LoadedModel) -> None:
        """Order a drain; the unload follows when no stream runs there."""
        self._retired.add((endpoint.endpoint_id, model.model))
        self._order(endpoint, PlacementKind.DRAIN, model)

    def finish_drains(self, model: LoadedModel) -> None:
        """Order the unload of drained replicas without streams."""
        name = model.model
        for endpoint in self._endpoints:
            if name not in endpoint.draining or name in endpoint.busy:
                continue
            for loaded in endpoint.loaded:
                if loaded.model == name:
                    self._order(endpoint, PlacementKind.UNLOAD, loaded)

    def drop_unwanted(self, wanted: set[str]) -> None:
        """Drain and unload models that no record names."""
        for endpoint in self._endpoints:
            for loaded in endpoint.loaded:
                name = loaded.model
                if name in wanted:
                    continue
                if name not in endpoint.draining:
                    self._order(endpoint, PlacementKind.DRAIN, loaded)
                elif name not in endpoint.busy:
                    self._order(endpoint, PlacementKind.UNLOAD, loaded)

    def _order(self, endpoint, kind, model) -> None:
        order = PlacementOrder(endpoint.endpoint_id, kind, model)
        self.orders.append(order)

    def _serves(self, endpoint: EndpointModels, name: str) -> bool:
        if name in endpoint.draining:
            return False
        if (endpoint.endpoint_id, name) in self._retired:
            return False
        return any(m.model == name for m in endpoint.loaded)

    def _holds(self, endpoint: EndpointModels, name: str) -> bool:
        added = self._added.get(endpoint.endpoint_id, ())
        models = (*endpoint.loaded, *endpoint.loading, *added)
        return any(m.model == name for m in models)

    def _free(self, endpoint: EndpointModels) -> int:
        added = self._added.get(endpoint.endpoint_id, ())
        used = (*endpoint.loaded, *endpoint.loading, *added)
        sizes = self.sizes_by_model
        held = sum(sizes.get(m.model, 0) for m in used)
        return endpoint.capacity_bytes - held

    def _density(self, endpoint: EndpointModels, name: str) -> int:
        """Count replicas of the model in the endpoint's data centre."""
        return sum(
            1
            for e in self._endpoints
            if e.data_centre == endpoint.data_centre and self._holds(e, name)
        )
