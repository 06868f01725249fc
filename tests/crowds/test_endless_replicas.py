"""Replicas that send without end, against an entry and an agent."""

import asyncio
from types import SimpleNamespace

import pytest

from dahliashunt.platform.names import SIGNATURE
from dahliashunt.platform.standins import Endless
from dahliashunt.platform.standins import EndlessPeer
from dahliashunt.platform.standins.settings import replica_fields
from dahliashunt.platform.standins.settings import route_fields
from tests.crowds.clients import connect_many
from tests.crowds.clients import head
from tests.crowds.clients import send_until_served
from tests.crowds.fleet import JOBS
from tests.crowds.fleet import route
from tests.crowds.jobs import job_body

CALLERS = 40
ROUNDS = 3
BUDGET_MS = 2_000
AGENT_S = 3

WHOLE = {**route("whole", "/whole/"), "service": "endless"}
STREAMED = route_fields(
    name="streamed",
    prefix="/streamed/",
    service="endless",
    **{"max-attempts": 2},
)

NUMBERED = SimpleNamespace(
    name="NUMBERED",
    value=(
        b"HTTP/1.1 200 OK\r\n" + SIGNATURE.encode() + b": s\r\n\r\n",
        b"".join(
            b"id: %d\ndata: %s\n\n" % (number, b"x" * 100)
            for number in range(1, 100_000)
        ),
    ),
)
"""A stream of events in order that does not end."""

ITEMS = {**JOBS, "name": "items", "prefix": "/items/", "service": "endless"}


async def list_peers(fleet, kinds):
    """Start a replica of the service ``endless`` for each of `kinds`."""
    peers = [EndlessPeer(kind) for kind in kinds]
    fleet.others += peers
    for number, peer in enumerate(peers):
        address = await peer.start()
        fields = replica_fields(address, service="endless", slots=CALLERS)
        fleet.store.list_replica(f"e-{number}", fields)
    return peers


async def check_crowd(fleet, clients, path):
    """Check the entry beside requests to the endless replicas."""
    for client in clients:
        await client.send(head(path, 0, budget_ms=BUDGET_MS))
    await asyncio.sleep(0.5)
    assert await fleet.serves()
    fleet.check()
    async with asyncio.timeout(BUDGET_MS / 1000 + 5):
        for client in clients:
            await client.reader.read(1)


@pytest.mark.parametrize("path", ["/whole/x", "/streamed/x"])
@pytest.mark.parametrize(
    "kinds",
    [
        [Endless.BODY],
        [Endless.EVENT],
        [Endless.FAILURE],
        [Endless.NO_HTTP],
        list(Endless),
    ],
    ids=lambda kinds: kinds[0].name if len(kinds) == 1 else "ALL",
)
def test_endless_replicas_do_not_fill_the_memory(crowd, kinds, path):
    """Guards against an entry that keeps what a faulty replica sends."""

    async def scenario(fleet):
        fleet.configure([route(), JOBS, WHOLE, STREAMED], version=2)
        peers = await list_peers(fleet, kinds)
        for _ in range(ROUNDS):
            clients = await connect_many(fleet.port, CALLERS)
            try:
                await check_crowd(fleet, clients, path)
            finally:
                for client in clients:
                    client.leave()
        assert any(peer.requests for peer in peers)
        await fleet.check_without([])

    crowd(scenario)


@pytest.mark.parametrize("kind", [Endless.EVENT, NUMBERED])
def test_items_at_endless_replicas_do_not_fill_the_memory(crowd, kind):
    """Guards against texts and events that an entry keeps for many items."""

    async def scenario(fleet):
        fleet.configure([route(), JOBS, ITEMS], version=2)
        (peer,) = await list_peers(fleet, [kind])
        for number in range(2):
            body = job_body(50_000, path="/items/x")
            data = head("/items/x", len(body), request_id=f"job-{number}")
            await send_until_served(fleet.port, data + body)
        await fleet.until(lambda: peer.requests > CALLERS)
        for _ in range(10):
            await asyncio.sleep(0.3)
            assert await fleet.serves()
            fleet.check()

    crowd(scenario)


@pytest.mark.parametrize("kind", [Endless.NO_HTTP, Endless.BODY])
def test_an_endless_report_does_not_fill_the_agent(crowd, kind):
    """Guards against an agent that keeps what its replica sends."""

    async def scenario(fleet):
        peer = EndlessPeer(kind)
        fleet.others.append(peer)
        address = await peer.start()
        await fleet.replica.stop()
        fleet.replica.address = address
        fleet.store.list_replica("i-1", replica_fields(address))
        fleet.write_agent_settings()
        await fleet.start_agent()
        await asyncio.sleep(AGENT_S)
        assert peer.requests > 1
        fleet.check(fleet.agent)

    crowd(scenario)
