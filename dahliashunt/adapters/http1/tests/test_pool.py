"""Bounds of a pool's connections."""

import asyncio

import pytest

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http1 import PoolExhausted

MAX_OPEN = 3


@pytest.fixture
def on_server():
    """Return ``run(scenario)`` with a pool, its clock and two addresses."""

    async def accept(reader, writer):
        await reader.read()
        writer.transport.abort()

    def run(scenario):
        async def main():
            servers = [
                await asyncio.start_server(accept, "127.0.0.1", 0)
                for _ in range(2)
            ]
            clock = VirtualClock()
            pool = ConnectionPool(clock, max_open=MAX_OPEN)
            addresses = [each.sockets[0].getsockname() for each in servers]
            await scenario(pool, clock, *addresses)
            pool.close()
            for each in servers:
                each.close()

        asyncio.run(main())

    return run


def test_no_more_connections_are_opened_than_allowed(on_server):
    """Guards against requests that each open a connection to a replica."""

    async def scenario(pool, clock, one, other):
        taken = [await pool.take(one) for _ in range(MAX_OPEN)]
        with pytest.raises(PoolExhausted):
            await pool.take(other)
        taken[0].abort()
        async with asyncio.timeout(10):
            while pool.open_connections == MAX_OPEN:  # noqa: ASYNC110
                await asyncio.sleep(0)
        assert pool.open_connections == MAX_OPEN - 1
        assert (await pool.take(other)).usable

    on_server(scenario)


def test_the_connection_that_is_idle_for_longest_yields(on_server):
    """Guards against idle connections that keep out a request."""

    async def scenario(pool, clock, one, other):
        taken = [await pool.take(one) for _ in range(MAX_OPEN)]
        pool.give_back(one, taken[1])
        await clock.advance(10)
        pool.give_back(one, taken[0])
        assert (await pool.take(other)).usable
        assert taken[1].transport.is_closing()
        assert await pool.take(one) is taken[0]

    on_server(scenario)
