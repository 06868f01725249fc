"""Crowds whose requests open connections from an entry to replicas."""

import asyncio

from tests.crowds.clients import connect_many
from tests.crowds.clients import head
from tests.crowds.clients import send_until_served

FDS = 400
COUNT = 500


def test_connections_to_replicas_are_bounded(crowd):
    """Guards against requests that each open a connection to a replica."""

    async def scenario(fleet):
        clients = await connect_many(fleet.port, COUNT)
        for client in clients:
            await client.send(head("/a/held", 0, budget_ms=6_000))
        await asyncio.sleep(1)
        fleet.check()
        await send_until_served(fleet.port, fleet.ordinary())
        fleet.check()
        await fleet.check_without(clients)

    crowd(scenario, fds=FDS)
