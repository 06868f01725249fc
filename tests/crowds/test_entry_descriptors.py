"""Crowds that take the descriptors of an entry of the platform."""

import asyncio

import pytest

from tests.crowds.clients import connect_many
from tests.crowds.clients import head
from tests.crowds.fleet import JOBS
from tests.crowds.fleet import route

FDS = 400
"""Of these the platform keeps 200 for files."""

COUNT = 500


@pytest.mark.parametrize(
    "sent",
    [b"", head("/a/x", 100)[:-2], head("/a/x", 100) + b"x" * 99],
    ids=["nothing", "a part of a head", "a part of a body"],
)
def test_open_connections_are_bounded(crowd, sent):
    """Guards against clients that take all descriptors and stay."""

    async def scenario(fleet):
        clients = await connect_many(fleet.port, COUNT)
        for client in clients:
            await client.send(sent)
        await asyncio.sleep(1)
        await fleet.check_beside(clients)

    crowd(scenario, fds=FDS)


def test_a_full_process_still_reads_the_store(crowd):
    """Guards against callers that take the store's descriptors."""

    async def scenario(fleet):
        clients = await connect_many(fleet.port, COUNT)
        await asyncio.sleep(1)
        routes = [route(), route("r-2", "/b/"), JOBS]
        fleet.configure(routes, version=2)
        await asyncio.sleep(1)
        assert await fleet.serves("/b/x")
        fleet.check()
        await fleet.check_without(clients, "/b/x")

    crowd(scenario, fds=FDS)
