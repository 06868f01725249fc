"""Where requests go when agents are silent, late or not there at all."""

import asyncio
import random

import pytest

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.decisions.slot_keeper import Use
from dahliashunt.decisions.slot_keeper import Verdict
from dahliashunt.decisions.suspicion import Suspicion
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.placing import DIRECT_SHARE
from dahliashunt.forwarding.placing import NO_AGENTS_MS
from dahliashunt.forwarding.placing import Places
from dahliashunt.forwarding.placing import Want
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.replicas import ReplicaBook

SLOTS = 8


class FakeSlots:
    """Agents by their verdicts; a missing one never answers."""

    def __init__(self):
        self.verdict_by_host = {}
        self.known_by_address = {}
        self.asked = []
        self.released = []

    def is_silent(self, address):
        return False

    async def ask(self, attempt, address, wait_ms):
        self.asked.append((address[0], wait_ms))
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
    book = ReplicaBook()
    for name in "ab":
        replica = Replica(name, 0, "s", name, 1, "d", SLOTS, False)
        book.put(replica, 1)
    return Places(book, slots, Suspicion(), clock, random.Random(1), "d", 7000)


def find(places, use=Use.ONLINE, wait_ms=0, avoid=(), keeps=True):
    want = Want("s", use, "", wait_ms, 0, frozenset(avoid), lambda: None)
    return asyncio.run(places.find(want, "r", keeps))


def count(places, **how):
    """Return how many places are given before a refusal."""
    given = 0
    while True:
        try:
            find(places, **how)
        except RequestError as error:
            assert error.kind is ErrorKind.OVERLOADED
            return given
        given += 1


def test_entries_that_are_up_before_the_agents_send_little(places):
    # Everything was restarted; entries are up first. Each would fill the
    # replicas on its own, and requests wait in the replicas' queues.
    assert count(places) == 2 * SLOTS // DIRECT_SHARE


def test_a_service_without_agents_is_used_whole(places, clock, slots):
    asyncio.run(clock.advance(NO_AGENTS_MS + 1))
    assert count(places) == 2 * SLOTS
    assert slots.asked == []


def test_batch_without_agents_leaves_room(places, clock):
    asyncio.run(clock.advance(NO_AGENTS_MS + 1))
    assert count(places, use=Use.BATCH) == SLOTS


def test_a_full_fleet_is_waited_for_once_and_only_in_time(places, slots):
    slots.verdict_by_host = {"a": Verdict.FULL, "b": Verdict.FULL}
    with pytest.raises(RequestError):
        find(places, wait_ms=200)
    assert [wait_ms for _, wait_ms in slots.asked] == [0, 0, 200]


def test_a_replica_that_was_tried_is_not_asked(places, slots):
    slots.verdict_by_host = {"a": Verdict.GRANTED, "b": Verdict.GRANTED}
    place = find(places, avoid=[("a", 0)])
    assert place.replica.replica_id == "b"
    place.release()
    place.release()
    assert slots.released == [place.attempt_id]


def test_batch_goes_nowhere_directly_beside_a_full_keeper(places, slots):
    slots.verdict_by_host = {"a": Verdict.FULL}
    with pytest.raises(RequestError):
        find(places, use=Use.BATCH)


def test_a_plain_service_needs_no_agent(places, slots):
    for _ in range(4 * SLOTS):
        find(places, keeps=False)
    assert slots.asked == []
