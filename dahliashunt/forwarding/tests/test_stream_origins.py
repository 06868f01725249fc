"""Tests of where a stream that is taken up began, with agents that fail."""

import asyncio
import random

import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.decisions.stream_origins import origin_key
from dahliashunt.decisions.stream_origins import OriginTable
from dahliashunt.decisions.stream_origins import stream_key
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.agent_ring import AgentRing
from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.catalog import RouteKind
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.forwarding.stream_origins import LIST_POLL_MS
from dahliashunt.forwarding.stream_origins import LIST_WAIT_MS
from dahliashunt.forwarding.stream_origins import StreamOrigins
from dahliashunt.metrics import Metrics
from dahliashunt.standins import run_steadily

STREAMS = 200


def route(**changed):
    fields = {
        "name": "r",
        "host": "h",
        "prefix": "/",
        "kind": RouteKind.STREAM,
        "weight_by_service": {"s": 1},
        "timeout_ms": 5_000,
        "objective_ms": 300,
        "resumable": True,
    }
    return Route(**{**fields, **changed})


def replica(name, version="v1", service="s"):
    return Replica(name, 0, service, name, 1, "d", 8, False, 0, version)


def call(request_id, **fields):
    return Call(request_id, "POST", "/", (), b"", 0, **fields)


class Agents:
    """Tables by host; a host without one does not answer."""

    def __init__(self):
        self.table_by_host = {}
        self.notes = 0

    def client(self):
        return AgentsClient(self)


class AgentsClient:
    """Slot client of one entry."""

    def __init__(self, agents):
        self._agents = agents
        self.on_stream_reply = None

    def note_stream(self, address, stream, origin):
        self._agents.notes += 1
        table = self._agents.table_by_host.get(address[0])
        if table is not None:
            table.note(0, stream, origin)

    def query_stream(self, address, stream):
        table = self._agents.table_by_host.get(address[0])
        if table is not None:
            asyncio.get_running_loop().call_soon(
                self.on_stream_reply, address[0], stream, table.get(0, stream)
            )


class Entries:
    """Entries with lists of their own and common agents."""

    def __init__(self):
        self.agents = Agents()
        self.clock = VirtualClock()
        self.is_list_current = True

    def add(self, replicas):
        registry = ReplicaRegistry()
        now_ms = self.clock.now_ms()
        registry.replace_all([(one, 1) for one in replicas], now_ms)
        for one in replicas:
            self.agents.table_by_host.setdefault(one.host, OriginTable())
        return registry, StreamOrigins(
            registry,
            AgentRing(registry, lambda service: True),
            self.agents.client(),
            7000,
            lambda: self.is_list_current,
            self.clock,
            Metrics("entry"),
            structlog.get_logger(),
        )


@pytest.fixture
def entries():
    return Entries()


def find(origins, path=None, **fields):
    """Return the version at which a caller's stream goes on, or None."""
    fields = {"last_event": 3, "resumes": "r", **fields}
    try:
        found = run_steadily(
            origins.find(call("s", **fields), path or route())
        )
    except RequestError as error:
        assert error.kind is ErrorKind.NOT_CONTINUABLE
        return None
    return found.version


def test_most_streams_go_on_while_the_list_changes(entries):
    # Guards against refusing most callers in a rollout, and against a
    # version other than the one that began the stream.
    listed = [replica(f"h{n}", f"v{n % 2}") for n in range(9)]
    _, first = entries.add(listed)
    for number in range(STREAMS):
        first.note(call(f"r{number}"), route(), listed[number % 9])
    for gone in listed[:2]:
        del entries.agents.table_by_host[gone.host]
    later = listed[2:] + [replica(f"n{n}", "v2") for n in range(2)]
    _, second = entries.add(later)
    found = [find(second, resumes=f"r{n}") for n in range(STREAMS)]
    wrong = [
        version
        for number, version in enumerate(found)
        if version not in (None, listed[number % 9].version)
    ]
    assert wrong == []
    assert sum(version is not None for version in found) >= 0.9 * STREAMS


def test_a_stream_is_noted_under_its_first_request(entries):
    # Guards against refusing a caller that takes a stream up twice.
    _, first = entries.add([replica("a"), replica("b", "v2")])
    _, second = entries.add([replica("a"), replica("b", "v2")])
    again = call("s", resumes="r", last_event=3)
    first.note(again, route(), replica("b", "v2"))
    assert find(second) == "v2"


def test_agents_that_do_not_answer_leave_the_version_unknown(entries):
    # Guards against guessing the version while the agents are cut off.
    _, first = entries.add([replica("a"), replica("b", "v2")])
    first.note(call("r"), route(), replica("a"))
    entries.agents.table_by_host.clear()
    _, second = entries.add([])
    assert find(second) is None


def test_a_stream_goes_on_at_its_service_whatever_the_weights(entries):
    # Guards against events of two services on a split route.
    split = route(weight_by_service={"s": 1, "t": 99})
    listed = [replica("a"), replica("b", service="t")]
    _, first = entries.add(listed)
    _, second = entries.add(listed)
    for number in range(20):
        first.note(call(f"r{number}"), split, listed[number % 2])
        going_on = call("x", last_event=3, resumes=f"r{number}")
        found = run_steadily(second.find(going_on, split))
        assert found.service == listed[number % 2].service


def test_without_notes_a_sole_version_is_enough(entries):
    # Guards against refusing all callers of a service with one version.
    _, origins = entries.add([replica("a"), replica("b")])
    assert find(origins) is None
    asyncio.run(entries.clock.advance(20_000))
    assert find(origins) == "v1"
    entries.is_list_current = False
    assert find_late(entries, origins) is None


def find_late(entries, origins, heals=lambda: None):
    """Return what is found after `heals` and the longest wait."""

    async def main():
        finding = asyncio.create_task(
            origins.find(call("s", last_event=3, resumes="r"), route())
        )
        await asyncio.sleep(0.2)
        heals()
        await entries.clock.advance(LIST_WAIT_MS + LIST_POLL_MS)
        try:
            return (await finding).version
        except RequestError as error:
            assert error.kind is ErrorKind.NOT_CONTINUABLE
            return None

    return asyncio.run(main())


def test_a_take_up_waits_for_a_list_that_may_lack_its_version(entries):
    # Guards against streams refused by an entry that stood still while a
    # version joined, also where all agents with their notes joined as well.
    _, first = entries.add([replica("b", "v2")])
    first.note(call("r"), route(), replica("b", "v2"))
    registry, second = entries.add([replica("a")])
    entries.is_list_current = False

    def heal():
        registry.put(replica("b", "v2"), 2, entries.clock.now_ms())
        entries.is_list_current = True

    assert find_late(entries, second, heal) == "v2"


def test_a_take_up_is_refused_at_once_by_a_current_list(entries):
    # Guards against a wait for what is known already.
    _, first = entries.add([replica("b", "v2")])
    first.note(call("r"), route(), replica("b", "v2"))
    _, second = entries.add([replica("a")])
    entries.agents.table_by_host.setdefault("a", OriginTable()).note(
        0, stream_key("r"), origin_key("s", "v2")
    )
    assert find(second) is None


def test_a_caller_that_names_no_request_goes_on_at_a_sole_version(entries):
    # Guards against refusing older clients, whose streams cannot be found,
    # after a restart of all entries or without the store.
    registry, origins = entries.add([replica("a"), replica("b")])
    entries.is_list_current = False
    assert find(origins, resumes="") == "v1"
    registry.put(replica("c", "v2"), 2, entries.clock.now_ms())
    assert find(origins, resumes="") is None
    registry.remove("c", entries.clock.now_ms())
    assert find(origins, resumes="") is None
    asyncio.run(entries.clock.advance(20_000))
    assert find(origins, resumes="") == "v1"


@pytest.mark.parametrize(
    "change",
    [
        lambda registry, now_ms: registry.put(replica("c", "v2"), 2, now_ms),
        lambda registry, now_ms: registry.put(replica("a", "v2"), 2, now_ms),
        lambda registry, now_ms: registry.put(replica("b", ""), 2, now_ms),
        lambda registry, now_ms: registry.replace_all([], now_ms),
    ],
)
def test_a_version_that_may_have_begun_the_stream_is_not_ruled_out(
    entries, change
):
    # Guards against trusting the present list: a restart under the same id,
    # a version that came and went, rows without one, changes not read.
    registry, origins = entries.add([replica("a"), replica("b")])
    asyncio.run(entries.clock.advance(20_000))
    change(registry, entries.clock.now_ms())
    for name in "abc":
        registry.remove(name, entries.clock.now_ms())
    registry.put(replica("d"), 3, entries.clock.now_ms())
    asyncio.run(entries.clock.advance(1_000))
    assert find(origins) is None


def test_streams_are_spread_over_the_agents(entries):
    # Guards against one agent with the notes of the whole fleet.
    listed = [replica(f"h{n}") for n in range(50)]
    _, origins = entries.add(listed)
    rng = random.Random(1)
    for number in range(5_000):
        origins.note(call(f"r{number}"), route(), rng.choice(listed))
    sizes = sorted(map(len, entries.agents.table_by_host.values()))
    assert entries.agents.notes == 10_000
    assert sizes[0] > 0
    assert sizes[-1] < 4 * 10_000 / 50
