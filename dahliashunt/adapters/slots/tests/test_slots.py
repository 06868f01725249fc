"""Slot protocol between entries and an agent over loopback datagrams."""

import asyncio

import pytest
import structlog
from thrift.protocol.TCompactProtocol import TCompactProtocolFactory
from thrift.TSerialization import serialize

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.slots import datagrams
from dahliashunt.adapters.slots.client import SlotAttempt
from dahliashunt.adapters.slots.client import SlotClient
from dahliashunt.adapters.slots.server import SlotServer
from dahliashunt.adapters.wire.gen.link.ttypes import SlotFrame
from dahliashunt.adapters.wire.gen.link.ttypes import SlotHeld
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.metrics import Metrics

LIMIT_S = 10


class Fleet:
    """One agent with two slots, and entries."""

    def __init__(self):
        self.clock = SystemClock()
        self.server = SlotServer(
            SlotAllocator(slots=2),
            self.clock,
            Metrics("agent-1"),
            structlog.get_logger(),
        )
        self.entries = []
        self.revoked = []
        self.address = None

    async def start(self):
        await self.server.start("127.0.0.1", 0)
        self.address = self.server.address

    async def entry(self):
        client = SlotClient(self.clock)
        await client.start("127.0.0.1", 0)
        self.entries.append(client)
        return client

    async def ask(self, client, name, use=Use.ONLINE, wait_ms=0):
        attempt = SlotAttempt(
            name, name, use, 1000, lambda: self.revoked.append(name)
        )
        return await client.ask(attempt, self.address, wait_ms)

    async def until(self, condition):
        async with asyncio.timeout(LIMIT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.002)

    def close(self):
        self.server.stop()
        for client in self.entries:
            client.stop()


@pytest.fixture
def run_scenario():
    def run(scenario):
        async def main():
            fleet = Fleet()
            await fleet.start()
            try:
                await scenario(fleet)
            finally:
                fleet.close()

        asyncio.run(main())

    return run


def test_entries_share_the_slots(run_scenario):
    async def scenario(fleet):
        one, two = await fleet.entry(), await fleet.entry()
        assert await fleet.ask(one, "a") is SlotDecision.GRANTED
        assert await fleet.ask(two, "b") is SlotDecision.GRANTED
        assert await fleet.ask(one, "c") is SlotDecision.FULL
        two.release("b")
        await fleet.until(lambda: fleet.server.allocator.state().online == 1)
        assert await fleet.ask(one, "d") is SlotDecision.GRANTED

    run_scenario(scenario)


def test_a_waiting_request_is_granted_when_a_slot_is_released(run_scenario):
    async def scenario(fleet):
        entry = await fleet.entry()
        for name in "ab":
            await fleet.ask(entry, name)
        waiting = asyncio.create_task(
            fleet.ask(entry, "c", wait_ms=LIMIT_S * 1000)
        )
        await fleet.until(lambda: fleet.server.allocator.state().waiting == 1)
        entry.release("a")
        assert await waiting is SlotDecision.GRANTED

    run_scenario(scenario)


def test_a_batch_item_is_told_to_stop(run_scenario):
    async def scenario(fleet):
        one, two = await fleet.entry(), await fleet.entry()
        for name in "ij":
            await fleet.ask(one, name, Use.BATCH)
        assert await fleet.ask(two, "a") is SlotDecision.GRANTED
        await fleet.until(lambda: len(fleet.revoked) == 1)

    run_scenario(scenario)


def test_a_silent_agent_is_left_alone_for_a_while(run_scenario):
    # Guards against requests that each wait for all sends to a lost agent.
    async def scenario(fleet):
        entry = await fleet.entry()
        fleet.server.stop()
        assert await fleet.ask(entry, "a") is None
        assert entry.is_silent(fleet.address)

    run_scenario(scenario)


def test_an_agent_that_is_back_is_heard_before_the_next_renewal(run_scenario):
    # Guards against a restarted agent staying unused until the next renewal.
    async def scenario(fleet):
        entry = await fleet.entry()
        host, port = fleet.address
        fleet.server.stop()
        entry.renew({fleet.address})
        await fleet.until(lambda: entry.is_silent(fleet.address))
        entry.probe()
        await fleet.server.start(host, port)
        entry.probe()
        await fleet.until(lambda: not entry.is_silent(fleet.address))
        assert fleet.address in entry.known_by_address

    run_scenario(scenario)


def test_a_quiet_agent_is_not_taken_for_a_silent_one(run_scenario):
    # Guards against treating an agent without state changes as silent.
    async def scenario(fleet):
        entry = await fleet.entry()
        for _ in range(3):
            entry.renew({fleet.address})
            known = entry.known_by_address.pop(fleet.address, None)
            await fleet.until(lambda: fleet.address in entry.known_by_address)
            assert not entry.is_silent(fleet.address)
        assert known is not None

    run_scenario(scenario)


def test_an_agent_that_starts_is_known_at_the_next_renewal(run_scenario):
    async def scenario(fleet):
        entry = await fleet.entry()
        entry.renew({fleet.address})
        await fleet.until(lambda: fleet.address in entry.known_by_address)
        assert entry.known_by_address[fleet.address].state.slots == 2

    run_scenario(scenario)


def test_bytes_of_a_foreign_sender_are_dropped(run_scenario):
    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=fleet.address
        )
        transport.sendto(b"\x82\xff nonsense")
        entry = await fleet.entry()
        assert await fleet.ask(entry, "a") is SlotDecision.GRANTED
        transport.close()

    run_scenario(scenario)


def test_a_frame_after_a_broken_one_is_read_without_acceleration(monkeypatch):
    # Guards against a decoder that keeps its place in a broken frame.
    factory = TCompactProtocolFactory()
    monkeypatch.setattr(datagrams, "_FACTORY", factory)
    sound = serialize(SlotFrame(held=SlotHeld(["a"])), factory)
    heard = []
    received = datagrams.Datagrams(lambda frame, _: heard.append(frame))
    for data in (sound[:1], sound):
        received.datagram_received(data, None)
    assert [frame.held.attempt_ids for frame in heard] == [["a"]]


def test_a_changed_state_reaches_the_entries_heard_lately(run_scenario):
    # Guards against a frame that is sent to one listener only.
    async def scenario(fleet):
        one, two = await fleet.entry(), await fleet.entry()
        for entry in (one, two):
            entry.renew({fleet.address})

        def known():
            states = [one.known_by_address, two.known_by_address]
            return [each[fleet.address].state for each in states if each]

        await fleet.until(lambda: len(known()) == 2)
        fleet.server.allocator.away = True
        fleet.server.publish()
        await fleet.until(lambda: all(state.away for state in known()))

    run_scenario(scenario)


def test_a_refused_workspace_is_told_the_wait_in_its_place(run_scenario):
    """Guards against a lost workspace, length or wait on the wire."""
    heard = []

    async def scenario(fleet):
        entry = await fleet.entry()
        attempt = SlotAttempt(
            "c",
            "c",
            Use.ONLINE,
            1000,
            None,
            workspace=-7,
            prompt_tokens=400,
            output_tokens=200,
            on_refusal=heard.append,
        )
        asked = []

        class Recorder(SlotAllocator):
            __slots__ = ()

            def ask(self, ask, now_ms):
                asked.append(ask)
                return super().ask(ask, now_ms)

        fleet.server.allocator = Recorder(slots=0)
        verdict = await entry.ask(attempt, fleet.address, 0)
        assert verdict is SlotDecision.FULL
        request = asked[0]
        tokens = (request.prompt_tokens, request.output_tokens)
        assert (request.workspace, *tokens) == (-7, 400, 200)

    run_scenario(scenario)
    assert heard[0] > 0
