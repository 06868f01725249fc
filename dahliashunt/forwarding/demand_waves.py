"""Forecasts of online demand that an entry learns from the agents' states."""

from dataclasses import dataclass
from dataclasses import field

from dahliashunt.decisions.batch_room import allot
from dahliashunt.decisions.batch_room import batch_room
from dahliashunt.decisions.batch_room import clear_run_ms
from dahliashunt.decisions.batch_room import reserved_slots
from dahliashunt.decisions.demand_wave import CHECK_HORIZON_MS
from dahliashunt.decisions.demand_wave import DemandWave
from dahliashunt.decisions.demand_wave import WaveState
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.forwarding.known_replicas import KnownReplicas
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.reservation import SlotRequirements
from dahliashunt.ports import Clock

__all__ = ["DemandWaves"]


@dataclass(slots=True)
class _Service:
    wave: DemandWave = field(default_factory=DemandWave)
    slots_by_id: dict[str, int] = field(default_factory=dict)
    reserved: frozenset = frozenset()
    is_forecast: bool = False


class DemandWaves:
    """Learns the demand wave of each service whose agents send states.

    Parameters
    ----------
    known : KnownReplicas
    clock : Clock
    on_change : callable
        Called with a service, its `WaveState` and whether its forecast is in
        effect, when this changes.

    Attributes
    ----------
    held_back : int
        Slot requests of items that were not sent for want of room.
    """

    def __init__(
        self, known: KnownReplicas, clock: Clock, on_change=lambda *_: None
    ):
        self._known = known
        self._clock = clock
        self.on_change = on_change
        self.held_back = 0
        self._service_by_name: dict[str, _Service] = {}

    def sample(self) -> None:
        """Record the present demand of each service."""
        now_ms = self._clock.now_ms()
        names = set(self._known.services())
        for name in self._service_by_name.keys() - names:
            del self._service_by_name[name]
        for name in names:
            states = self._states(name)
            if states:
                self._sample(name, states, now_ms)
            else:
                self._service_by_name.pop(name, None)

    def _states(self, name):
        """Return the states of the partners that can be used, by id."""
        states = self._known.usable_states(self._known.partners(name))
        return {
            replica_id: state
            for replica_id, state in states.items()
            if state.slots > 0
        }

    def _sample(self, name, states, now_ms):
        service = self._service_by_name.setdefault(name, _Service())
        service.slots_by_id = {
            replica_id: state.slots for replica_id, state in states.items()
        }
        slots = sum(service.slots_by_id.values())
        need = batch = 0
        for state in states.values():
            need += state.online + state.waiting
            batch += state.batch
        service.wave.observe(now_ms, need / slots)
        room = batch_room(slots, service.wave.peak(CHECK_HORIZON_MS))
        kept = reserved_slots(slots, batch, room or 0)
        service.reserved = frozenset(allot(service.slots_by_id, kept))
        if service.is_forecast != (room is not None):
            service.is_forecast = room is not None
            self.on_change(name, service.wave.state(), service.is_forecast)

    def states(self) -> dict[str, WaveState]:
        """Return what is known of each service's wave."""
        return {
            name: service.wave.state()
            for name, service in self._service_by_name.items()
        }

    def reserved(self, requirements: SlotRequirements) -> frozenset:
        """Return the ids of the replicas that an online request avoids."""
        service = self._service_by_name.get(requirements.service)
        if service is None or requirements.use is not Use.ONLINE:
            return frozenset()
        return service.reserved

    def replicas_for(
        self, requirements: SlotRequirements, replicas: list[Replica]
    ) -> list[Replica] | None:
        """Return the `replicas` with room for an item, first the one to ask.

        The list is empty while the item should wait. It is None if the
        forecast does not decide: for online requests, items that must start
        or continue on one software version, and without a forecast.
        """
        service = self._service_by_name.get(requirements.service)
        if (
            service is None
            or requirements.use is not Use.BATCH
            or requirements.version is not None
            or not requirements.run_ms
        ):
            return None
        clear_ms = clear_run_ms(
            requirements.slack_ms, requirements.run_ms, service.wave.period_ms
        )
        slots = sum(service.slots_by_id.values())
        room = batch_room(slots, service.wave.peak(clear_ms))
        if room is None or not clear_ms:
            return None
        by_id = {replica.replica_id: replica for replica in replicas}
        found = [
            by_id[replica_id]
            for replica_id, most in allot(service.slots_by_id, room).items()
            if replica_id in by_id and self._holds(by_id[replica_id]) < most
        ]
        self.held_back += not found
        return found

    def _holds(self, replica):
        """Return the items at `replica`; more than fit if it is unknown."""
        state = self._known.usable_state(replica)
        return replica.slots if state is None else state.batch
