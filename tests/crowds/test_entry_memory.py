"""Crowds that fill the memory of an entry of the platform."""

import asyncio

import pytest

from dahliashunt.platform.names import REQUEST_ID
from tests.crowds.clients import connect_many
from tests.crowds.clients import head
from tests.crowds.clients import refusals
from tests.crowds.clients import send_all
from tests.crowds.fleet import BODY_BYTES

TRICKLE_S = 0.5
SMALL_SIZES = [59_999] * 600 + [5_999] * 20 + [599] * 20 + [59] * 40


@pytest.mark.parametrize("size", [BODY_BYTES, "chunks"])
def test_bodies_that_stop_short_yield_to_ordinary_callers(crowd, size):
    """Guards against unfinished bodies that refuse all later ones."""

    async def scenario(fleet):
        clients = await connect_many(fleet.port, 30)
        body = b"x" * (BODY_BYTES - 1)
        if size == "chunks":
            body = b"%x\r\n" % BODY_BYTES + body
        await send_all(clients, head("/a/x", size) + body)
        refused = await refusals(clients)
        assert refused
        for reply in refused:
            assert reply.status == 503
            assert float(reply.header_by_name["retry-after"]) > 0
            assert reply.header_by_name[REQUEST_ID].startswith("r-")
            assert b"not run" in reply.body
        # The one that was served before the crowd.
        assert fleet.replica.answered == 1
        await fleet.check_beside(clients)

    crowd(scenario)


def test_bodies_of_a_byte_a_second_yield_to_ordinary_callers(crowd):
    """Guards against slow progress that keeps an unfinished body."""

    async def scenario(fleet):
        clients = await connect_many(fleet.port, 30)
        body = b"x" * (BODY_BYTES - 8)
        await send_all(clients, head("/a/x", BODY_BYTES) + body)

        async def trickle(client):
            for _ in range(7):
                await client.send(b"x")
                await asyncio.sleep(TRICKLE_S)

        trickles = [asyncio.create_task(trickle(each)) for each in clients]
        await asyncio.sleep(2 * TRICKLE_S)
        for _ in range(3):
            assert await fleet.serves()
        for task in trickles:
            task.cancel()
        fleet.check()
        await fleet.check_without(clients)

    crowd(scenario)


def test_many_small_bodies_yield_to_ordinary_callers(crowd):
    """Guards against small unfinished bodies that sum up."""

    async def scenario(fleet):
        clients = await connect_many(fleet.port, len(SMALL_SIZES))
        for client, size in zip(clients, SMALL_SIZES, strict=True):
            await client.send(head("/a/x", 60_000) + b"x" * size)
        await asyncio.sleep(1)
        await fleet.check_beside(clients)

    crowd(scenario)


def test_whole_bodies_that_a_replica_does_not_read_are_bounded(crowd):
    """Guards against copies of bodies on their way to a replica."""

    async def scenario(fleet):
        clients = await connect_many(fleet.port, 30)
        request = head("/a/unread", BODY_BYTES) + b"x" * BODY_BYTES
        await send_all(clients, request)
        await fleet.check_beside(clients)

    crowd(scenario)


def test_bodies_sent_ahead_of_a_held_request_are_bounded(crowd):
    """Guards against bodies read ahead while an earlier request runs."""

    async def scenario(fleet):
        clients = await connect_many(fleet.port, 400)
        ahead = (head("/a/x", 60_000) + b"x" * 60_000) * 12
        await send_all(clients, head("/a/held", 0) + ahead)
        await fleet.check_beside(clients)

    crowd(scenario)


def test_large_heads_are_bounded(crowd):
    """Guards against heads whose fields take many times their bytes."""

    async def scenario(fleet):
        fields = {f"X_{n}": "y" * 150 for n in range(90)}
        clients = await connect_many(fleet.port, 1_500)
        for client in clients:
            await client.send(head("/a/x", 100, **fields) + b"x" * 99)
        await asyncio.sleep(1)
        await fleet.check_beside(clients)

    crowd(scenario)
