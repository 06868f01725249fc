"""Target number of replicas of a model.

Load pattern
------------
Demand shifts over hours, which must change the number of replicas, and
bursts for minutes, which must not: loading takes minutes, and the model
unloaded for it is missed afterwards.

How
---
Demand is a running median over the last half hour. A burst shorter than half
of that window does not change it, however high it is, unlike an exponential
average.

References
----------
J. W. Tukey, Exploratory Data Analysis, 1977 (running medians).
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from statistics import median

from dahliashunt.ids import EndpointId
from dahliashunt.ports.engine import LoadedModel

__all__ = ["ModelDemand", "PlacementPolicy", "ReplicaTargets"]


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """Settings of the placement.

    Attributes
    ----------
    sample_ms, samples : int
        Length of a sample and number of samples of the running median.
        Demand must last for half of the window to change the target.
    up_load, down_load : float
        A replica is added when the load per replica exceeds `up_load`, and
        removed when with one fewer it would be below `down_load`. The gap
        prevents oscillation.
    dwell_ms : int
        Least time between two changes of one model's target.
    most_loads : int
        Most concurrent loads; see `dahliashunt.decisions.load_bucket`.
    weight_rate_share : float
        Share of the weight store's rate that loads may use.
    load_burst_s : float
        Size of the token bucket, in seconds of that rate.
    """

    sample_ms: int = 60_000
    samples: int = 30
    up_load: float = 0.8
    down_load: float = 0.55
    dwell_ms: int = 600_000
    most_loads: int = 2
    weight_rate_share: float = 0.8
    load_burst_s: float = 60.0


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand for one model, from its configuration and its load.

    Attributes
    ----------
    model : LoadedModel
        Name, wanted version and adapters.
    floor, ceiling : int
        Bounds of the count of replicas.
    demand_replicas : float
        Present load, in units of one replica's capacity.
    fixed : frozenset of EndpointId
        Endpoints on which it must run; empty for no constraint.
    """

    model: LoadedModel
    floor: int
    ceiling: int
    demand_replicas: float = 0.0
    fixed: frozenset[EndpointId] = frozenset()


@dataclass(slots=True)
class _State:
    target: int
    changed_ms: int
    sample_end_ms: int
    samples: deque
    interval_demands: list = field(default_factory=list)


class ReplicaTargets:
    """Target number of replicas by model, from recent demand."""

    def __init__(self, policy: PlacementPolicy):
        self._policy = policy
        self._by_model: dict[str, _State] = {}

    def target(self, now: int, demand: ModelDemand, have: int) -> int:
        """Return the target number of replicas.

        Parameters
        ----------
        now : int
            Current time in milliseconds.
        demand : ModelDemand
        have : int
            Present number of replicas. A new lease holder keeps it until it
            has sampled half a window.
        """
        policy = self._policy
        floor = max(demand.floor, len(demand.fixed))
        ceiling = max(floor, demand.ceiling)
        name = demand.model.model
        state = self._by_model.get(name)
        if state is None:
            state = _State(
                target=have,
                changed_ms=now - policy.dwell_ms,
                sample_end_ms=now + policy.sample_ms,
                samples=deque(maxlen=policy.samples),
            )
            self._by_model[name] = state
        self._sample(now, state, demand.demand_replicas)
        if now - state.changed_ms >= policy.dwell_ms:
            self._adjust(now, state)
        state.target = max(floor, min(ceiling, state.target))
        return state.target

    def _sample(self, now: int, state: _State, demand: float) -> None:
        state.interval_demands.append(demand)
        if now < state.sample_end_ms:
            return
        mean = sum(state.interval_demands) / len(state.interval_demands)
        state.samples.append(mean)
        state.interval_demands = []
        state.sample_end_ms = now + self._policy.sample_ms

    def _adjust(self, now: int, state: _State) -> None:
        if 2 * len(state.samples) < self._policy.samples:
            return
        count = state.target
        demand = median(state.samples)
        if demand > count * self._policy.up_load:
            state.target = count + 1
            state.changed_ms = now
        elif demand < (count - 1) * self._policy.down_load:
            state.target = count - 1
            state.changed_ms = now
