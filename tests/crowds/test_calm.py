"""Requests inside the limits, at processes without a crowd."""

import asyncio

import pytest

from dahliashunt.platform.standins.caller import body_target
from tests.crowds.clients import connect
from tests.crowds.clients import connect_many
from tests.crowds.clients import head
from tests.crowds.clients import is_served
from tests.crowds.clients import send_once
from tests.crowds.clients import send_until_served
from tests.crowds.fleet import BODY_BYTES
from tests.crowds.fleet import HEADER_BYTES
from tests.crowds.jobs import job_body
from tests.crowds.jobs import submission

CHUNK_BYTES = 1_000
HEADER_TIMEOUT_S = 3


def test_a_body_at_the_limit_is_served(crowd):
    """Guards against a bound below what one request may hold."""

    async def scenario(fleet):
        body = b"x" * BODY_BYTES
        assert await fleet.serves(body=body)
        chunk = b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n"
        chunks = chunk * (BODY_BYTES // CHUNK_BYTES) + b"0\r\n\r\n"
        request = head("/a/x", "chunks") + chunks
        assert is_served(await send_once(fleet.port, request))
        fleet.check()

    crowd(scenario)


def test_a_head_at_the_limit_is_served(crowd):
    """Guards against a bound below what one head may hold."""

    async def scenario(fleet):
        left = HEADER_BYTES - 1_000
        fields = {f"X_{n}": "y" * (left // 80 - 5) for n in range(80)}
        request = head("/a/x", 0, **fields)
        assert is_served(await send_once(fleet.port, request))
        long = head("/a/x", 0, X_Long="y" * left)
        assert is_served(await send_once(fleet.port, long))
        fleet.check()

    crowd(scenario)


def test_a_job_at_the_limit_is_accepted(crowd):
    """Guards against a bound below what one submission may hold."""

    async def scenario(fleet):
        body = job_body(BODY_BYTES - 50_000, items=200)
        reply = await send_once(fleet.port, submission("large", body))
        assert reply.status == 202
        request = head(body_target("large", "i7"), method="GET")
        assert is_served(await send_once(fleet.port, request))
        fleet.check()

    crowd(scenario)


@pytest.mark.parametrize("pace", ["body", "head"])
def test_a_slow_client_is_served(crowd, pace):
    """Guards against a slow request that is ended without need."""

    async def scenario(fleet):
        client = await connect(fleet.port)
        request = head("/a/x", 20_000) + b"x" * 20_000
        first = 40 if pace == "head" else len(request) - 20_000
        await client.send(request[:first])
        step = 20 if pace == "head" else 2_000
        for at in range(first, first + 10 * step, step):
            await asyncio.sleep(0.2)
            await client.send(request[at : at + step])
        await client.send(request[first + 10 * step :])
        assert is_served(await client.reply())
        client.leave()
        fleet.check()

    crowd(scenario)


def test_connections_that_stay_open_are_used_again(crowd):
    """Guards against idle connections that are closed without need."""

    async def scenario(fleet):
        clients = await connect_many(fleet.port, 40)
        for _ in range(3):
            for client in clients:
                await client.send(fleet.ordinary())
                assert is_served(await client.reply())
            await asyncio.sleep(0.5)
        fleet.check()

    crowd(scenario)


def test_a_connection_that_is_used_late_is_served(crowd):
    """Guards against a connection that is closed before its first request."""

    async def scenario(fleet):
        client = await connect(fleet.port)
        await asyncio.sleep(HEADER_TIMEOUT_S + 3)
        await client.send(fleet.ordinary())
        assert is_served(await client.reply())
        fleet.check()

    crowd(scenario)


def test_what_was_refused_is_served_after_the_crowd(crowd):
    """Guards against refusals that last longer than their cause."""

    async def scenario(fleet):
        body = b"x" * BODY_BYTES
        crowd_head = head("/a/unread", BODY_BYTES)
        clients = await connect_many(fleet.port, 20)
        sending = [
            asyncio.create_task(each.send(crowd_head + body))
            for each in clients
        ]
        await asyncio.wait(sending, timeout=10)
        for task in sending:
            task.cancel()
        retried = asyncio.create_task(
            send_until_served(fleet.port, head("/a/x", BODY_BYTES) + body)
        )
        await asyncio.sleep(0.5)
        for client in clients:
            client.leave()
        assert is_served(await retried)
        fleet.check()

    crowd(scenario)
