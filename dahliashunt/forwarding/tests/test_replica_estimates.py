"""Order of the replicas of an entry by what agents report and what it sent."""

import random

import pytest

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.slots.client import KnownState
from dahliashunt.decisions.slot_messages import AllocatorState
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.suspicion import Suspicion
from dahliashunt.forwarding.known_replicas import KnownReplicas
from dahliashunt.forwarding.partners import Partners
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.forwarding.reservation import SlotRequirements
from dahliashunt.metrics import Metrics

NAMES = "abcdefgh"
MANUAL = (("manual", 32_000),)


class Slots:
    """Slot client that only holds states."""

    def __init__(self):
        self.known_by_address = {}

    def is_silent(self, address):
        return False


class Fleet:
    """Eight replicas of one service, as one entry knows them."""

    def __init__(self):
        self.slots = Slots()
        self.registry = ReplicaRegistry()
        self.metrics = Metrics("e")
        for name in NAMES:
            self.put(name, born_ms=1)
        self.known = KnownReplicas(
            self.registry,
            Partners(self.registry, "entry-1"),
            self.slots,
            Suspicion(),
            VirtualClock(),
            random.Random(1),
            "d",
            7000,
            metrics=self.metrics,
        )

    def put(self, name, born_ms):
        replica = Replica(name, born_ms, "s", name, 1, "d", 8, False)
        self.registry.put(replica, born_ms, 0)
        return replica

    def state(self, name, token_us=2_000, online=0):
        state = AllocatorState(8, online, 0, 0, 0, False, token_us)
        self.slots.known_by_address[name, 7000] = KnownState(state, 0)

    def order(self, parts=(("system", 150),), seed=1):
        self.known._rng.seed(seed)
        wanted = requirements(parts)
        found = self.known.ordered_for(self.known.listed("s"), wanted)
        return [replica.replica_id for replica in found]


def requirements(parts):
    return SlotRequirements(
        "s",
        Use.ONLINE,
        parts[-1][0],
        0,
        0,
        frozenset(),
        lambda: None,
        prompt_tokens=400,
        output_tokens=300,
        shared_parts=parts,
    )


@pytest.fixture
def fleet():
    fleet = Fleet()
    for load, name in enumerate(NAMES):
        fleet.state(name, online=load % 5)
    return fleet


def test_equal_speeds_and_short_prompts_are_ordered_as_before(fleet):
    # Guards against a change for deployments that have no use for it.
    for seed in range(10):
        now = fleet.order(seed=seed)
        fleet.known._rng.seed(seed)
        before = fleet.known.ordered(fleet.known.listed("s"), "system")
        assert now == [replica.replica_id for replica in before]
    assert 'replica_orders_total{node="e",order="free_slots"} 10' in (
        fleet.metrics.text()
    )


def test_a_slow_replica_with_more_room_goes_after_fast_ones(fleet):
    # Guards against free slots of a slow replica that count as much as those
    # of a fast one.
    fleet.state("a", token_us=5_000)
    assert fleet.order()[-1] == "a"
    assert 'order="expected_time"} 1' in fleet.metrics.text()


def test_a_replica_without_a_state_counts_as_an_average_one(fleet):
    fleet.state("a", token_us=5_000)
    del fleet.slots.known_by_address["b", 7000]
    assert fleet.order()[-1] == "a"


def test_a_part_sent_before_draws_its_prompts_until_a_restart(fleet):
    # Guards against a cache that is trusted after a restart under the same
    # id.
    (*_, last) = fleet.order(MANUAL)
    (replica,) = [
        one for one in fleet.known.listed("s") if one.replica_id == last
    ]
    fleet.known.placed(replica, requirements(MANUAL))
    assert fleet.order(MANUAL)[0] == last
    fleet.put(last, born_ms=2)
    fleet.known.keep_only_listed()
    assert fleet.order(MANUAL)[-1] == last


def test_entries_agree_on_the_first_replica_of_a_long_part(fleet):
    assert len({fleet.order(MANUAL, seed)[0] for seed in range(20)}) == 1
