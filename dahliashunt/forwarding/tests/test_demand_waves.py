"""Forecasts at an entry: which replicas items and online requests get."""

import asyncio
from dataclasses import replace
import random

import pytest

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.slots.client import KnownState
from dahliashunt.decisions.slot_messages import AllocatorState
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.suspicion import Suspicion
from dahliashunt.forwarding.demand_waves import DemandWaves
from dahliashunt.forwarding.known_replicas import KnownReplicas
from dahliashunt.forwarding.partners import Partners
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.forwarding.reservation import SlotRequirements

SLOTS = 8
COUNT = 10
PERIOD_MS = 5_800
ITEM = SlotRequirements(
    "s", Use.BATCH, "", 0, 18_000, frozenset(), lambda: None, run_ms=4_500
)
ONLINE = replace(ITEM, use=Use.ONLINE, run_ms=0)


class States:
    """Slot client of which only the known states are used."""

    def __init__(self):
        self.known_by_address = {}

    def is_silent(self, address):
        return False


class Fleet:
    """An entry's knowledge of ten replicas with a wave of online demand."""

    def __init__(self):
        self.clock = VirtualClock()
        self.states = States()
        registry = ReplicaRegistry()
        for number in range(COUNT):
            name = f"r{number}"
            registry.put(
                Replica(name, 0, "s", name, 1, "d", SLOTS, False), 1, 0
            )
        self.known = KnownReplicas(
            registry,
            Partners(registry, "entry-1"),
            self.states,
            Suspicion(),
            self.clock,
            random.Random(1),
            "d",
            7000,
        )
        self.changes = []
        self.waves = DemandWaves(
            self.known, self.clock, lambda *change: self.changes.append(change)
        )

    def run(self, length_ms, batch=0):
        """Sample a wave with `batch` items at each replica."""
        end_ms = self.clock.now_ms() + length_ms
        while self.clock.now_ms() < end_ms:
            asyncio.run(self.clock.advance(100))
            now_ms = self.clock.now_ms()
            online = 4 if now_ms % PERIOD_MS >= 3_400 else 1
            state = AllocatorState(SLOTS, online, batch, 0, 0, False)
            for replica in self.known.listed("s"):
                address = self.known.agent(replica)
                self.states.known_by_address[address] = KnownState(
                    state, now_ms
                )
            self.waves.sample()

    def names(self, requirements):
        found = self.waves.replicas_for(requirements, self.known.listed("s"))
        return found and [replica.replica_id for replica in found]


@pytest.fixture
def fleet():
    return Fleet()


def test_items_go_to_a_few_replicas_and_online_requests_to_others(fleet):
    # Guards against items at replicas where the next peak revokes them.
    fleet.run(30_000, batch=1)
    kept = fleet.names(ITEM)
    assert 3 <= len(kept) <= 5
    reserved = fleet.waves.reserved(ONLINE)
    assert reserved
    assert reserved <= set(kept)
    replicas = fleet.known.listed("s")
    ordered = fleet.known.ordered_for(replicas, ONLINE, reserved)
    assert {each.replica_id for each in ordered[-len(reserved) :]} == reserved


def test_an_item_waits_only_while_it_has_laxity(fleet):
    # Guards against an item that is late since it waited for room.
    fleet.run(30_000, batch=SLOTS)
    assert fleet.names(ITEM) == []
    assert fleet.waves.held_back == 1
    assert fleet.names(replace(ITEM, slack_ms=6_000)) is None


def test_a_forecast_comes_into_effect_and_ends_with_the_wave(fleet):
    fleet.run(30_000)
    assert [(name, now) for name, _, now in fleet.changes] == [("s", True)]
    assert fleet.waves.states()["s"].period_ms == PERIOD_MS
    asyncio.run(fleet.clock.advance(3_000))
    fleet.waves.sample()
    assert fleet.names(ITEM) is None


@pytest.mark.parametrize(
    "requirements",
    [ONLINE, replace(ITEM, run_ms=0), replace(ITEM, version="2")],
    ids=["online", "unknown-run", "pinned-version"],
)
def test_other_requests_are_placed_as_without_a_forecast(fleet, requirements):
    fleet.run(30_000, batch=1)
    assert fleet.names(requirements) is None


def test_nothing_changes_without_items_or_without_agents(fleet):
    # Guards against a changed order in fleets that have no batch items.
    assert fleet.names(ITEM) is None
    fleet.waves.sample()
    assert fleet.waves.states() == {}
    fleet.run(30_000, batch=0)
    assert fleet.waves.reserved(ONLINE) == frozenset()
