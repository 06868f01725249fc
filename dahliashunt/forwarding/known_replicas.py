"""State of the replicas known to an entry, and their order of preference."""

import random

from dahliashunt.adapters.slots.client import SlotClient
from dahliashunt.decisions.replica_choice import Candidate
from dahliashunt.decisions.replica_choice import MAX_LOAD_AGE_MS
from dahliashunt.decisions.replica_choice import order_replicas
from dahliashunt.decisions.slot_messages import AllocatorState
from dahliashunt.decisions.suspicion import Suspicion
from dahliashunt.forwarding.partners import Partners
from dahliashunt.forwarding.replica_estimates import ReplicaEstimates
from dahliashunt.forwarding.replica_view import ReplicaState
from dahliashunt.forwarding.replica_view import ReplicaView
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.forwarding.reservation import SlotRequirements
from dahliashunt.metrics import Metrics
from dahliashunt.ports import Clock

__all__ = ["KnownReplicas"]

FREE_TOKENS_TTL_MS = 2_500
"""Age at which an agent's count of free memory becomes unknown: states are
renewed every second, so that two renewals may be lost."""

UNHEARD_AGE_MS = 3_600_000
"""Assumed age of the load of a replica whose agent was never heard of."""


class KnownReplicas:
    """Combines the list, agents' loads, suspicion and own requests.

    Parameters
    ----------
    registry : ReplicaRegistry
    partners : Partners
        Select the replicas of a service that are asked first.
    slots : SlotClient
    suspicion : Suspicion
    clock : Clock
    rng : random.Random
    data_centre : str
    agent_port : int
        Port of the agents on their replicas' hosts.
    is_connected : callable
        Given an address, returns whether an idle connection to it exists.
    metrics : Metrics or None
        Count the placements by their order.
    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        partners: Partners,
        slots: SlotClient,
        suspicion: Suspicion,
        clock: Clock,
        rng: random.Random,
        data_centre: str,
        agent_port: int,
        is_connected=lambda address: False,
        metrics: Metrics | None = None,
    ):
        self._registry = registry
        self._partners = partners
        self._slots = slots
        self._suspicion = suspicion
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._agent_port = agent_port
        self._is_connected = is_connected
        self._metrics = metrics
        self._own_by_incarnation: dict[tuple, int] = {}
        self._estimates = ReplicaEstimates(registry, rng, data_centre)

    def services(self):
        """Return the services that have replicas."""
        return self._registry.services()

    def listed(self, service: str) -> tuple[Replica, ...]:
        """Return every usable replica of `service`."""
        return self._registry.of_service(service)

    def partners(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas that are asked first."""
        return self._partners.of_service(service)

    def incarnations(self) -> set:
        """Return the incarnations of all listed replicas."""
        return {replica.incarnation for replica in self._registry.all()}

    def agent(self, replica: Replica) -> tuple[str, int]:
        """Return the address of the replica's agent."""
        return (replica.host, self._agent_port)

    def load(self, replica: Replica):
        """Return the last load its agent reported, with time, or None.

        A load of another incarnation than the listed one is not its load.
        """
        return self._load(replica, (replica.host, self._agent_port))

    def _load(self, replica, agent):
        known = self._slots.known_by_address.get(agent)
        if known is None:
            return None
        born_ms = known.state.born_ms
        if born_ms and replica.born_ms and born_ms != replica.born_ms:
            return None
        return known

    def is_heard(self, replica: Replica) -> bool:
        """Return whether a load of the replica's agent is known."""
        return self.agent(replica) in self._slots.known_by_address

    def is_announced(self, replica: Replica) -> bool:
        """Return whether its agent does not announce a later incarnation.

        An agent that announces an earlier one has not noticed the restart
        that the list shows.
        """
        known = self._slots.known_by_address.get(self.agent(replica))
        born_ms = known.state.born_ms if known is not None else 0
        return not replica.born_ms or born_ms <= replica.born_ms

    def usable_state(self, replica: Replica) -> AllocatorState | None:
        """Return its agent's recent state; None if unknown or not usable."""
        return self._usable_state(replica, self._clock.now_ms())

    def usable_states(self, replicas) -> dict[str, AllocatorState]:
        """Return the recent states of those that can be used, by id."""
        now_ms = self._clock.now_ms()
        states = {
            replica.replica_id: self._usable_state(replica, now_ms)
            for replica in replicas
        }
        return {
            replica_id: state
            for replica_id, state in states.items()
            if state is not None
        }

    def _usable_state(self, replica, now_ms):
        known = self._load(replica, (replica.host, self._agent_port))
        if known is None or known.state.away:
            return None
        if now_ms - known.at_ms > MAX_LOAD_AGE_MS:
            return None
        if self._suspicion.is_avoided(replica.incarnation, now_ms):
            return None
        if self._registry.is_cold(replica, now_ms):
            return None
        return known.state

    def free_tokens(self, replica: Replica) -> int:
        """Return the memory that no request holds there; -1 if unknown."""
        return self._free_tokens(replica, self._clock.now_ms())

    def _free_tokens(self, replica, now_ms):
        known = self.load(replica)
        if known is None or now_ms - known.at_ms > FREE_TOKENS_TTL_MS:
            return -1
        return known.state.free_tokens

    def able_to_hold(self, replicas, tokens: int) -> list[Replica]:
        """Return the replicas with memory for `tokens`, or all if none has.

        Without one, an agent decides whether to make room.
        """
        now_ms = self._clock.now_ms()
        able = [
            replica
            for replica in replicas
            if not 0 <= self._free_tokens(replica, now_ms) < tokens
        ]
        return able or list(replicas)

    def own(self, replica: Replica) -> int:
        """Return the number of this entry's requests at the replica."""
        return self._own_by_incarnation.get(replica.incarnation, 0)

    def count(self, replica: Replica, by: int) -> None:
        """Add `by` to the number of this entry's requests there."""
        count = self.own(replica) + by
        if count > 0:
            self._own_by_incarnation[replica.incarnation] = count
        else:
            self._own_by_incarnation.pop(replica.incarnation, None)

    def ordered(self, replicas, affinity: str) -> list[Replica]:
        """Return `replicas`, best first."""
        now_ms = self._clock.now_ms()
        candidates = [
            self._candidate(each, self.load(each), now_ms) for each in replicas
        ]
        by_id = {replica.replica_id: replica for replica in replicas}
        ordered = order_replicas(candidates, affinity, self._rng)
        return [by_id[candidate.replica_id] for candidate in ordered]

    def ordered_for(
        self,
        replicas,
        requirements: SlotRequirements,
        reserved=frozenset(),
    ) -> list[Replica]:
        """Return `replicas`, best first for a request to an engine.

        Expected times decide where they can differ; otherwise the order is
        that of `ordered`.

        Parameters
        ----------
        replicas : iterable of Replica
        requirements : SlotRequirements
        reserved : container of str
            Ids of the replicas that are kept for batch items.
        """
        now_ms = self._clock.now_ms()
        known = [(each, self.load(each)) for each in replicas]
        may_differ = self._estimates.may_differ(known, requirements)
        inputs = [None] * len(known)
        if may_differ:
            inputs = self._estimates.inputs(known, requirements, now_ms)
        candidates = [
            self._candidate(
                each, load, now_ms, of_each, each.replica_id in reserved
            )
            for (each, load), of_each in zip(known, inputs, strict=True)
        ]
        ordered = None
        if may_differ:
            ordered = self._estimates.order(candidates, requirements)
        order = "free_slots" if ordered is None else "expected_time"
        if self._metrics is not None:
            self._metrics.count("replica_orders", order=order)
        if ordered is None:
            ordered = order_replicas(
                candidates, requirements.affinity, self._rng
            )
        by_id = {replica.replica_id: replica for replica in replicas}
        return [by_id[candidate.replica_id] for candidate in ordered]

    def placed(self, replica: Replica, requirements: SlotRequirements) -> None:
        """Record that a request was placed at `replica`."""
        now_ms = self._clock.now_ms()
        self._estimates.placed(replica, requirements, now_ms)

    def keep_only_listed(self) -> None:
        """Drop estimates of incarnations that are no longer listed."""
        self._estimates.keep_only(self.incarnations())

    def _candidate(self, replica, known, now_ms, inputs=None, reserved=False):
        host = replica.host
        incarnation = replica.incarnation
        taken = self._own_by_incarnation.get(incarnation, 0)
        avoided = self._suspicion.is_avoided(incarnation, now_ms)
        batch, age_ms = 0, UNHEARD_AGE_MS
        if known is not None:
            state = known.state
            taken = max(taken, state.online + state.waiting)
            batch = state.batch
            age_ms = now_ms - known.at_ms
            avoided = avoided or state.away
        # Positional: keyword arguments more than double the time of creating
        # one.
        return Candidate(
            replica.replica_id,
            replica.slots,
            taken,
            age_ms,
            avoided,
            replica.data_centre == self._data_centre,
            self._registry.is_cold(replica, now_ms)
            if inputs is None
            else inputs.warm_in_ms > 0,
            batch,
            self._slots.is_silent((host, self._agent_port)),
            self._is_connected((host, replica.port)),
            inputs,
            reserved,
        )

    def views(self, service: str) -> list[ReplicaView]:
        """Return views of a service's replicas, partners first."""
        partners = self.partners(service)
        ids = {replica.replica_id for replica in partners}
        others = [
            one for one in self.listed(service) if one.replica_id not in ids
        ]
        ordered = self.ordered(partners, "")
        return [
            *(self._view(replica, True) for replica in ordered),
            *(self._view(replica, False) for replica in others),
        ]

    def _view(self, replica, is_partner):
        now_ms = self._clock.now_ms()
        known = self.load(replica)
        load = known.state if known is not None else None
        return ReplicaView(
            replica=replica.replica_id,
            data_centre=replica.data_centre,
            partner=is_partner,
            state=self._state(replica, load, now_ms),
            slots=replica.slots,
            own=self.own(replica),
            age_ms=now_ms - known.at_ms if known is not None else None,
            free=_free(load),
            batch=load.batch if load is not None else 0,
            wait_ms=load.wait_ms if load is not None else 0,
        )

    def _state(self, replica, load, now_ms):
        if load is not None and load.away:
            return ReplicaState.ABSENT
        if self._suspicion.is_avoided(replica.incarnation, now_ms):
            return ReplicaState.SUSPECTED
        if self._slots.is_silent(self.agent(replica)):
            return ReplicaState.AGENT_SILENT
        if self._registry.is_cold(replica, now_ms):
            return ReplicaState.COLD
        if load is None:
            return ReplicaState.UNHEARD
        return ReplicaState.USABLE


def _free(load):
    if load is None:
        return 0
    return max(0, load.slots - load.online - load.batch - load.waiting)
