"""Crowds at the listeners that are not for callers."""

import asyncio

import pytest

from tests.crowds.clients import connect_many
from tests.crowds.clients import head
from tests.crowds.clients import is_served
from tests.crowds.clients import send_once

FDS = 400
COUNT = 500


@pytest.mark.parametrize("listener", ["readiness", "metrics", "agent"])
@pytest.mark.parametrize(
    "sent",
    [b"", head("/x", 60_000) + b"x" * 59_999],
    ids=["nothing", "a body"],
)
def test_a_crowd_at_a_listener_is_bounded(crowd, listener, sent):
    """Guards against clients of a side listener that fill the process."""

    async def scenario(fleet):
        port, path = fleet.metrics_port, "/metrics"
        program = fleet.entry
        if listener == "readiness":
            port, path = fleet.ready_port, "/api/readiness"
        elif listener == "agent":
            await fleet.start_agent()
            port, program = fleet.agent_metrics_port, fleet.agent
            await asyncio.sleep(0.5)
        clients = await connect_many(port, COUNT)
        for client in clients:
            await client.send(sent)
        await asyncio.sleep(1)
        request = head(path, method="GET")
        assert is_served(await send_once(port, request))
        assert await fleet.serves()
        fleet.check(program)
        for client in clients:
            client.leave()
        await asyncio.sleep(0.3)
        assert is_served(await send_once(port, request))
        fleet.check(program)

    crowd(scenario, fds=FDS)
