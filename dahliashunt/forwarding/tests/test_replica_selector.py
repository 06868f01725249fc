"""Tests of replica selection with silent, slow and missing agents."""

import asyncio
import random

import pytest

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.slots.client import KnownState
from dahliashunt.decisions.partners import MAX_PARTNERS
from dahliashunt.decisions.partners import NON_PARTNER_SAMPLES
from dahliashunt.decisions.slot_messages import AllocatorState
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.suspicion import Suspicion
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.known_replicas import FREE_TOKENS_TTL_MS
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
        self.idle_only = []
        self.released = []
        self.hanging = set()

    def is_silent(self, address):
        return False

    def probe(self):
        pass

    async def ask(self, attempt, address, wait_ms):
        self.asked.append((address[0], wait_ms))
        if attempt.idle_only:
            self.idle_only.append(address[0])
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


def show_state(slots, host, online, batch):
    """Record a state of the agent at `host`, received at 0 ms."""
    state = AllocatorState(SLOTS, online, batch, 0, 0, False)
    slots.known_by_address[host, 7000] = KnownState(state, 0)


def test_an_idle_slot_is_asked_for_before_an_item_is_revoked(places, slots):
    # Guards against an outdated state that makes a full replica look idle.
    show_state(slots, "a", online=0, batch=6)
    show_state(slots, "b", online=1, batch=6)
    slots.verdict_by_host = {
        "a": SlotDecision.FULL,
        "b": SlotDecision.GRANTED,
    }
    assert find(places).replica.replica_id == "b"
    assert slots.asked == [("a", 0), ("b", 0)]
    assert slots.idle_only == ["a", "b"]


def test_no_round_trip_is_added_while_no_state_shows_an_idle_slot(
    places, slots
):
    # Guards against a delay of online requests in a fleet known to be full.
    show_state(slots, "a", online=6, batch=2)
    show_state(slots, "b", online=4, batch=4)
    slots.verdict_by_host = dict.fromkeys("ab", SlotDecision.GRANTED)
    assert find(places).replica.replica_id == "b"
    assert (slots.asked, slots.idle_only) == ([("b", 0)], [])


def test_a_request_without_an_idle_slot_revokes_where_items_are(places, slots):
    # Guards against a refusal after the first requests found no idle slot.
    show_state(slots, "a", online=5, batch=2)
    show_state(slots, "b", online=2, batch=5)
    slots.verdict_by_host = dict.fromkeys("ab", SlotDecision.FULL)
    with pytest.raises(RequestError):
        find(places)
    assert sorted(slots.idle_only) == ["a", "b"]
    assert slots.asked[2:] == [("b", 0), ("a", 0)]


def test_batch_items_are_asked_for_as_before(places, slots):
    show_state(slots, "a", online=1, batch=1)
    slots.verdict_by_host = dict.fromkeys("ab", SlotDecision.GRANTED)
    find(places, use=Use.BATCH)
    assert slots.idle_only == []


def test_an_item_without_room_asks_no_agent(places, slots, monkeypatch):
    # Guards against items that start in the way of a forecast peak.
    slots.verdict_by_host = dict.fromkeys("ab", SlotDecision.GRANTED)
    monkeypatch.setattr(places.waves, "replicas_for", lambda *_: [])
    with pytest.raises(RequestError) as caught:
        find(places, use=Use.BATCH)
    assert caught.value.kind is ErrorKind.OVERLOADED
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


def test_items_at_a_replica_that_is_not_preferred_can_be_revoked(
    large_places, slots
):
    # Guards against online requests that queue since the items are at
    # replicas that they avoid.
    slots.verdict_by_host = dict.fromkeys(REPLICA_IDS, SlotDecision.FULL)
    for name in REPLICA_IDS:
        show_state(slots, name, online=SLOTS - 1, batch=0)
    with pytest.raises(RequestError):
        find(large_places)
    kept = next(name for name in partner_ids() if name not in slots.idle_only)
    show_state(slots, kept, online=0, batch=SLOTS)
    slots.verdict_by_host[kept] = SlotDecision.GRANTED
    assert find(large_places).replica.replica_id == kept


def partner_ids():
    registry = ReplicaRegistry()
    for name in REPLICA_IDS:
        registry.put(Replica(name, 0, "s", name, 1, "d", SLOTS, False), 1, 0)
    partners = Partners(registry, "entry-1").of_service("s")
    return [replica.replica_id for replica in partners]


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


@pytest.mark.parametrize(
    ("free_by_host", "age_ms", "asked"),
    [
        ({"a": 100, "b": 5_000}, 0, {"b"}),
        ({"a": 100, "b": -1}, 0, {"b"}),
        ({"a": 100, "b": 100}, 0, {"a", "b"}),
        ({"a": 100, "b": 5_000}, FREE_TOKENS_TTL_MS + 1, {"a", "b"}),
    ],
)
def test_replicas_without_memory_are_skipped_where_others_have_it(
    places, slots, clock, free_by_host, age_ms, asked
):
    """Guards against long requests sent where they can only wait."""
    for host, free in free_by_host.items():
        state = AllocatorState(SLOTS, 0, 0, 0, 0, False, free_tokens=free)
        slots.known_by_address[host, 7000] = KnownState(state, clock.now_ms())
        slots.verdict_by_host[host] = SlotDecision.FULL
    asyncio.run(clock.advance(age_ms))
    requirements = SlotRequirements(
        "s",
        Use.ONLINE,
        "",
        0,
        0,
        frozenset(),
        lambda: None,
        prompt_tokens=900,
        output_tokens=200,
    )
    with pytest.raises(RequestError) as refusal:
        asyncio.run(places.find(requirements, "r", True))
    assert refusal.value.kind is ErrorKind.OVERLOADED
    assert {host for host, _ in slots.asked} == asked


def announce(slots, host, born_ms):
    state = AllocatorState(SLOTS, 0, 0, 0, 0, False, born_ms=born_ms)
    slots.known_by_address[host, 7000] = KnownState(state, 0)


def make_born_places(slots, clock, born_ms=1):
    """Return places with the replicas a and b at version v."""
    registry = ReplicaRegistry()
    for name in "ab":
        replica = Replica(
            name, born_ms, "s", name, 1, "d", SLOTS, False, version="v"
        )
        registry.put(replica, 1, 0)
        slots.verdict_by_host[name] = SlotDecision.GRANTED
        announce(slots, name, born_ms)
    return make_places(registry, slots, clock)


def find_version(places):
    requirements = SlotRequirements(
        "s", Use.ONLINE, "", 0, 0, frozenset(), lambda: None, version="v"
    )
    return asyncio.run(places.find(requirements, "r", True))


def test_a_stream_goes_on_at_no_replica_that_has_restarted(slots, clock):
    # Guards against a stream of two versions: the row of a replica that has
    # restarted still states the version before.
    places = make_born_places(slots, clock)
    announce(slots, "a", 2)
    for _ in range(8):
        assert find_version(places).replica.replica_id == "b"
    announce(slots, "b", 2)
    with pytest.raises(RequestError) as caught:
        find_version(places)
    assert caught.value.kind is ErrorKind.NO_ENDPOINT
    assert {find(places).replica.replica_id for _ in range(8)}


def test_a_stream_goes_on_where_only_the_agent_is_out_of_date(slots, clock):
    # Guards against texts that are dropped since the agent still announces
    # the incarnation before the listed one.
    places = make_born_places(slots, clock, born_ms=3)
    for name in "ab":
        announce(slots, name, 2)
    assert find_version(places).replica.version == "v"
    assert find(places, Use.BATCH).replica.version == "v"


def test_a_grant_that_shows_a_restart_is_given_back(slots, clock):
    # Guards against the same where the grant is the first that says so.
    places = make_born_places(slots, clock)

    class Restarting(FakeSlots):
        async def ask(self, attempt, address, wait_ms):
            announce(slots, address[0], 2)
            return await super().ask(attempt, address, wait_ms)

    slots.__class__ = Restarting
    with pytest.raises(RequestError):
        find_version(places)
    assert slots.released


def test_loads_of_an_earlier_incarnation_do_not_hide_the_agents(slots, clock):
    # Guards against requests without slots once all replicas have restarted
    # and their agents have not noticed.
    places = make_born_places(slots, clock)
    for name in "ab":
        announce(slots, name, 9)
    asyncio.run(clock.advance(NO_AGENTS_MS + 1))
    assert find(places).attempt_id


def test_what_a_restarted_replica_sends_has_no_known_version(slots, clock):
    # Guards against texts noted under the version before a restart, of
    # streams and of batch items.
    places = make_born_places(slots, clock)
    assert find(places).replica.version == "v"
    for name in "ab":
        announce(slots, name, 2)
    for use in Use:
        assert find(places, use).replica.version == ""


def test_a_workspace_waits_where_its_own_place_is_best(places, slots):
    """Guards against a place and a Retry-After by the requests of others."""
    slots.verdict_by_host = dict.fromkeys("ab", SlotDecision.FULL)
    slots.wait_ms_by_host = {"a": 9_000, "b": 8_000}
    with pytest.raises(RequestError) as refused:
        find(places, wait_ms=300)
    assert slots.asked[-1] == ("b", 300)
    assert refused.value.retry_after_ms == 8_000
