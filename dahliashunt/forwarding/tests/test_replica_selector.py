"""Tests of replica selection with silent, slow and missing agents."""

import asyncio
import random

import pytest

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.decisions.partners import MAX_PARTNERS
from dahliashunt.decisions.partners import NON_PARTNER_SAMPLES
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.suspicion import Suspicion
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.known_replicas import KnownReplicas
from dahliashunt.forwarding.partners import Partners
from dahliashunt.forwarding.replica_selector import DIRECT_SLOT_DIVISOR
from dahliashunt.forwarding.replica_selector import MAX_ASKED
from dahliashunt.forwarding.replica_selector import NO_AGENTS_MS
from dahliashunt.forwarding.replica_selector import ReplicaSelector
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.forwarding.reservation import SlotRequirements

SLOTS = 8


class FakeSlots:
    """Slot client with preset verdicts; None for hosts without one.

    Attributes
    ----------
    hanging : set of str
        Hosts whose agents never reply.
    """

    def __init__(self):
        self.verdict_by_host = {}
        self.wait_ms_by_host = {}
        self.known_by_address = {}
        self.asked = []
        self.released = []
        self.hanging = set()

    def is_silent(self, address):
        return False

    def probe(self):
        pass

    async def ask(self, attempt, address, wait_ms):
        self.asked.append((address[0], wait_ms))
        if address[0] in self.hanging:
            await asyncio.Event().wait()
        if address[0] in self.wait_ms_by_host:
            attempt.on_refusal(self.wait_ms_by_host[address[0]])
        return self.verdict_by_host.get(address[0])

    def release(self, attempt_id):
        self.released.append(attempt_id)


@pytest.fixture
def slots():
    return FakeSlots()


@pytest.fixture
def clock():
    return VirtualClock()


@pytest.fixture
def places(slots, clock):
    registry = ReplicaRegistry()
    for name in "ab":
        replica = Replica(name, 0, "s", name, 1, "d", SLOTS, False)
        registry.put(replica, 1, 0)
    return make_places(registry, slots, clock)


def make_places(registry, slots, clock):
    partners = Partners(registry, "entry-1")
    suspicion, rng = Suspicion(), random.Random(1)
    known = KnownReplicas(
        registry, partners, slots, suspicion, clock, rng, "d", 7000
    )
    return ReplicaSelector(known, slots, suspicion, clock, rng)


def find(places, use=Use.ONLINE, wait_ms=0, avoid=(), with_agents=True):
    requirements = SlotRequirements(
        "s", use, "", wait_ms, 0, frozenset(avoid), lambda: None
    )
    return asyncio.run(places.find(requirements, "r", with_agents))


def count_places(places, **options):
    """Return the number of places given before a refusal."""
    given = 0
    while True:
        try:
            find(places, **options)
        except RequestError as error:
            assert error.kind is ErrorKind.OVERLOADED
            return given
        given += 1


def test_direct_requests_are_limited_before_agents_start(places):
    # Guards against entries that fill the replicas' queues after a restart.
    assert count_places(places) == 2 * SLOTS // DIRECT_SLOT_DIVISOR


def test_a_service_without_agents_is_used_whole(places, clock, slots):
    asyncio.run(clock.advance(NO_AGENTS_MS + 1))
    assert count_places(places) == 2 * SLOTS
    assert slots.asked == []


def test_batch_without_agents_leaves_room(places, clock):
    asyncio.run(clock.advance(NO_AGENTS_MS + 1))
    assert count_places(places, use=Use.BATCH) == SLOTS


def test_a_full_fleet_is_waited_for_once_and_only_in_time(places, slots):
    slots.verdict_by_host = {"a": SlotDecision.FULL, "b": SlotDecision.FULL}
    with pytest.raises(RequestError):
        find(places, wait_ms=200)
    assert [wait_ms for _, wait_ms in slots.asked] == [0, 0, 200]


def test_a_replica_that_was_tried_is_not_asked(places, slots):
    slots.verdict_by_host = {
        "a": SlotDecision.GRANTED,
        "b": SlotDecision.GRANTED,
    }
    reservation = find(places, avoid=[("a", 0)])
    assert reservation.replica.replica_id == "b"
    reservation.release()
    reservation.release()
    assert slots.released == [reservation.attempt_id]


def test_batch_is_not_sent_directly_while_an_agent_is_full(places, slots):
    slots.verdict_by_host = {"a": SlotDecision.FULL}
    with pytest.raises(RequestError):
        find(places, use=Use.BATCH)


def test_unresponsive_agents_do_not_use_up_the_objective(places, slots):
    # Guards against sequential timeouts at the agents of crashed hosts.
    slots.hanging = {"a"}
    slots.verdict_by_host = {"b": SlotDecision.GRANTED}
    for _ in range(4):
        reservation = find(places)
        assert reservation.replica.replica_id == "b"
    # A slot that a hanging agent may grant later is released.
    asked_a = sum(host == "a" for host, _ in slots.asked)
    assert len(slots.released) == asked_a


def test_only_one_of_two_grants_is_kept(places, slots):
    # Guards against a leaked slot when two agents grant at the same time.
    slots.verdict_by_host = {
        "a": SlotDecision.GRANTED,
        "b": SlotDecision.GRANTED,
    }
    places_found = [find(places) for _ in range(10)]
    assert len(slots.asked) == len(places_found) + len(slots.released)


def test_a_plain_service_needs_no_agent(places, slots):
    for _ in range(4 * SLOTS):
        find(places, with_agents=False)
    assert slots.asked == []


REPLICA_IDS = [f"r{n}" for n in range(5 * MAX_PARTNERS)]


@pytest.fixture
def large_places(slots, clock):
    """Return places for a service larger than the number of partners."""
    registry = ReplicaRegistry()
    for name in REPLICA_IDS:
        registry.put(Replica(name, 0, "s", name, 1, "d", SLOTS, False), 1, 0)
    return make_places(registry, slots, clock)


def test_a_full_large_service_is_asked_beyond_the_partners(
    large_places, slots
):
    # Guards against refusals while replicas beyond the partners are free.
    slots.verdict_by_host = dict.fromkeys(REPLICA_IDS, SlotDecision.FULL)
    for _ in range(60):
        with pytest.raises(RequestError):
            find(large_places)
    assert len({host for host, _ in slots.asked}) > 3 * MAX_PARTNERS
    assert len(slots.asked) <= 60 * (MAX_ASKED + NON_PARTNER_SAMPLES)


def test_only_partners_are_asked_while_they_have_room(large_places, slots):
    slots.verdict_by_host = dict.fromkeys(REPLICA_IDS, SlotDecision.GRANTED)
    for _ in range(200):
        find(large_places).release()
    assert len({host for host, _ in slots.asked}) <= MAX_PARTNERS


def test_others_are_used_when_every_partner_was_tried(
    large_places, slots, clock
):
    slots.verdict_by_host = dict.fromkeys(REPLICA_IDS, SlotDecision.GRANTED)
    registry = ReplicaRegistry()
    for name in REPLICA_IDS:
        registry.put(Replica(name, 0, "s", name, 1, "d", SLOTS, False), 1, 0)
    partners = Partners(registry, "entry-1").of_service("s")
    reservation = find(
        large_places, avoid=[replica.incarnation for replica in partners]
    )
    assert reservation.replica not in partners


def test_renewals_are_bounded_by_the_partners(large_places, slots):
    renewed = []
    slots.renew = renewed.append
    slots.forget_but = lambda addresses: None

    async def renew_once():
        loop = asyncio.create_task(large_places.refresh_states(1))
        await asyncio.sleep(0)
        loop.cancel()

    asyncio.run(renew_once())
    assert len(renewed[0]) == MAX_PARTNERS


def test_a_workspace_waits_where_its_own_place_is_best(places, slots):
    """Guards against a place and a Retry-After by the requests of others."""
    slots.verdict_by_host = dict.fromkeys("ab", SlotDecision.FULL)
    slots.wait_ms_by_host = {"a": 9_000, "b": 8_000}
    with pytest.raises(RequestError) as refused:
        find(places, wait_ms=300)
    assert slots.asked[-1] == ("b", 300)
    assert refused.value.retry_after_ms == 8_000
