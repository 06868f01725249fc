"""How many replicas of a model there should be.

Load pattern: a wave of hours must shift replicas, a burst of minutes must
not: loading takes minutes, and what was unloaded for it is missed after.

Demand is the median of the last half hour's minutes. A burst shorter than
half of that leaves it where it was, however high it is; an exponential
average moves in proportion, so that a high enough burst passes any mark.

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
        The median is over so many samples of so long. A burst must last
        for half of them, 15 minutes, to be taken for a wave.
    up_load, down_load : float
        A replica is added when the load of each is above the first,
        removed when that of one fewer would be below the second; they are
        apart by more than one replica of a few changes the load.
    dwell_ms : int
        Least time between two changes of one model's count.
    most_loads : int
        Loads in progress at a time; see `dahliashunt.decisions.load_bucket`.
    weight_rate_share : float
        Part of the weight store's rate that loads may take.
    load_burst_s : float
        Seconds of that rate that may be asked for at once.
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
    """What records and load want of one model.

    Attributes
    ----------
    model : LoadedModel
        Name, wanted version and adapters.
    floor, ceiling : int
        Bounds of the count of replicas.
    demand_replicas : float
        Present load in replicas' worth of work.
    fixed : frozenset of EndpointId
        Where it must run; empty for anywhere.
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
    """Recent demand and the last change, by model."""

    def __init__(self, policy: PlacementPolicy):
        self._policy = policy
        self._by_model: dict[str, _State] = {}

    def target(self, now: int, demand: ModelDemand, have: int) -> int:
        """Return how many replicas there should be now.

        A new lease holder takes what is there for right until it has seen
        half a window of demand.
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
