"""Late, surplus, truncated and missing responses on one connection."""

import asyncio
import contextlib
import socket
import struct
import time

import pytest

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.http1 import ConnectFailed
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http1 import encode_request
from dahliashunt.adapters.http1 import End
from dahliashunt.adapters.http1 import exchange_whole
from dahliashunt.adapters.http1 import open_connection
from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.adapters.http1.connection import READ_HIGH_WATER_BYTES

RESET = struct.pack("ii", 1, 0)
"""SO_LINGER value with which a close sends a reset."""

REQUEST = encode_request("GET", "/", [("Host", "h")])

PAUSING = READ_HIGH_WATER_BYTES + 1


@contextlib.asynccontextmanager
async def server(*parts, close=False, reset=False):
    """Send `parts` in order on each connection."""

    async def connected(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for part in parts:
            writer.write(part)
            await writer.drain()
        if reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        elif close:
            writer.close()
        else:
            await reader.read()

    listening = await asyncio.start_server(connected, "127.0.0.1", 0)
    try:
        yield listening.sockets[0].getsockname()
    finally:
        listening.close()


def head(status=200, **headers):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def exchange(address, accept=None):
    """Return the events of one exchange and its connection."""
    connection = await open_connection(*address, 1000)
    mailbox = connection.start(REQUEST, accept)
    events = []
    while not (events and isinstance(events[-1], End)):
        events += await mailbox.take(5000)
    return events, connection


def run_exchange(*parts, accept=None, **server_options):
    async def main():
        async with server(*parts, **server_options) as address:
            events, connection = await exchange(address, accept)
            usable = connection.usable
            connection.abort()
            return events, usable

    return asyncio.run(main())


def body(events):
    return b"".join(e for e in events if isinstance(e, bytes))


def test_a_whole_answer_leaves_the_connection_usable():
    events, usable = run_exchange(head(content_length=2) + b"ok")
    assert events[0].status == 200
    assert body(events) == b"ok"
    assert (events[-1], usable) == (End.WHOLE, True)


def test_a_cut_answer_is_broken():
    events, usable = run_exchange(head(content_length=9) + b"ok", close=True)
    assert (events[-1], usable) == (End.BROKEN, False)


def test_an_answer_without_length_ends_with_its_connection():
    events, usable = run_exchange(head() + b"ok", close=True)
    assert body(events) == b"ok"
    assert (events[-1], usable) == (End.CLOSED, False)


def test_an_answer_without_length_that_is_reset_is_broken():
    # Guards against taking a response truncated by a reset for complete.
    events, _ = run_exchange(head() + b"ok", reset=True)
    assert events[-1] is End.BROKEN


def test_a_request_that_meets_a_reset_was_never_sent():
    # Guards against reporting a request as lost, and so not retrying it,
    # when the peer reset the connection before it was written.
    async def main():
        with socket.create_server(("127.0.0.1", 0)) as listening:
            address = listening.getsockname()
            connection = await open_connection(*address, 1000)
            peer, _ = listening.accept()
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            peer.close()
            mailbox = connection.start(REQUEST)
            return await mailbox.take(5000), connection.usable

    assert asyncio.run(main()) == ([End.UNSENT], False)


def test_a_request_on_a_closed_connection_was_never_sent():
    async def main():
        async with server() as address:
            connection = await open_connection(*address, 1000)
            connection.abort()
            return await connection.start(REQUEST).take(5000)

    assert asyncio.run(main()) == [End.UNSENT]


def test_bytes_that_are_no_answer_break_the_exchange():
    events, usable = run_exchange(b"garbage\r\n\r\n")
    assert (events[-1], usable) == (End.BROKEN, False)


def test_surplus_bytes_end_the_connection():
    # Guards against reading a surplus response as the next caller's.
    answer = head(content_length=2) + b"ok"
    events, usable = run_exchange(answer + head(content_length=3) + b"bad")
    assert body(events) == b"ok"
    assert usable is False


def test_a_late_answer_to_an_earlier_request_is_skipped():
    # Guards against delivering a late response to another request.
    late = head(content_length=3, x_id="old") + b"bad"
    ours = head(content_length=2, x_id="new") + b"ok"
    events, usable = run_exchange(
        late, ours, accept=lambda found: found.get("x-id") == "new"
    )
    assert isinstance(events[0], ResponseHead)
    assert body(events) == b"ok"
    assert usable is False


@pytest.mark.parametrize(
    "first",
    [
        head(content_length=0, connection="close"),
        head(content_length=0, connection="x-hop, Close"),
        b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
    ids=["close", "one of several options", "older version"],
)
def test_a_connection_that_the_peer_will_close_is_not_reused(first):
    """Guards against a request sent to a connection that is being closed."""
    events, usable = run_exchange(first)
    assert (events[-1], usable) == (End.WHOLE, False)


def test_silence_ends_the_exchange_and_the_connection():
    async def main():
        async with server() as address:
            connection = await open_connection(*address, 1000)
            answer = await exchange_whole(
                connection, REQUEST, SystemClock(), 50
            )
            assert answer is None
            assert connection.usable is False

    asyncio.run(main())


@pytest.mark.parametrize("parts", [(), (head(content_length=0),)], ids=len)
def test_time_in_which_the_process_did_not_run_is_not_the_peers(parts):
    # Guards against a healthy store that is taken for away after a pause of
    # this machine, and against a silent one that is waited for without end.
    async def main():
        async with server(*parts) as address:
            connection = await open_connection(*address, 1000)
            asyncio.get_running_loop().call_soon(time.sleep, 0.3)
            async with asyncio.timeout(5):
                answer = await exchange_whole(
                    connection, REQUEST, SystemClock(), 100
                )
            assert (answer is not None) == bool(parts)

    asyncio.run(main())


def test_no_listener_means_certainly_not_sent():
    async def main():
        async with server() as address:
            pass
        with pytest.raises(ConnectFailed):
            await open_connection(*address, 1000)

    asyncio.run(main())


def test_the_pool_gives_a_connection_out_once_and_drops_old_ones():
    async def main():
        clock = SystemClock()
        pool = ConnectionPool(clock)
        async with server(head(content_length=0)) as address:
            connection = await pool.take(address)
            await exchange_whole(connection, REQUEST, clock, 1000)
            pool.give_back(address, connection)
            assert await pool.take(address) is connection
            pool.give_back(address, connection)
            assert await pool.take(address, idle_ms=0) is not connection
            assert pool.opened == 2
            pool.close()

    asyncio.run(main())


def test_a_forgotten_servers_connections_are_not_reused():
    # Guards against a request sent to an earlier incarnation's connection.
    async def main():
        clock = VirtualClock(1)
        async with server() as address:
            pool = ConnectionPool(clock)
            idle, in_use = [await pool.take(address) for _ in range(2)]
            pool.give_back(address, idle)
            await clock.advance(1)
            pool.forget(address)
            assert not pool.has_idle(address)
            pool.give_back(address, in_use)
            assert not pool.has_idle(address)
            later = await pool.take(address)
            pool.give_back(address, later)
            assert await pool.take(address) is later
            pool.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("first_answer", "reusable"),
    [
        (head(content_length=9) + b"ok", False),
        # The last byte pauses reading.
        (head(content_length=PAUSING) + b"x" * PAUSING, True),
    ],
    ids=["unfinished", "whole, unread"],
)
def test_a_pooled_connection_answers_the_next_request(first_answer, reusable):
    """Guards against a request that meets an earlier one's response.

    A pooled connection was in the midst of a response, or its reading stayed
    paused.
    """

    async def connected(reader, writer):
        for answer in (first_answer, head(content_length=2) + b"ok"):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)

    async def main():
        clock = SystemClock()
        pool = ConnectionPool(clock)
        listening = await asyncio.start_server(connected, "127.0.0.1", 0)
        address = listening.sockets[0].getsockname()
        first = await pool.take(address)
        mailbox = first.start(REQUEST)
        while End.WHOLE not in await mailbox.take(1_000):
            if not reusable:
                break
        pool.give_back(address, first)
        second = await pool.take(address)
        assert (second is first) == reusable
        if reusable:
            answer = await exchange_whole(second, REQUEST, clock, 1_000)
            assert answer and answer.body == b"ok"
        pool.close()
        listening.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "answer",
    [
        head(x_long="v" * 40_000, content_length=0),
        head(100) * 20 + head(content_length=0),
        head(transfer_encoding="chunked") + b"1;" + b"x" * 200_000,
    ],
    ids=["field", "interim responses", "framing"],
)
def test_a_connection_past_a_bound_is_never_pooled(answer):
    """Guards against a request that meets the rest of an endless response."""

    async def main():
        pool = ConnectionPool(SystemClock())
        async with server(answer) as address:
            connection = await pool.take(address)
            mailbox = connection.start(REQUEST)
            events = []
            while not (events and isinstance(events[-1], End)):
                events += await mailbox.take(5_000)
            assert connection.exceeded is not None
            pool.give_back(address, connection)
            assert not pool.has_idle(address)
            assert connection.transport.is_closing()
            pool.close()

    asyncio.run(main())


def test_a_connection_that_was_being_opened_is_forgotten_too():
    """Guards against a connection to an earlier incarnation in the pool.

    The clock does not move between its start and the restart.
    """

    async def main():
        pool = ConnectionPool(VirtualClock(1))
        async with server() as address:
            in_use = await pool.take(address)
            opening = asyncio.create_task(pool.take(address))
            await asyncio.sleep(0)
            pool.forget(address)
            for connection in (in_use, await opening):
                pool.give_back(address, connection)
            assert not pool.has_idle(address)
            later = await pool.take(address)
            pool.give_back(address, later)
            assert pool.has_idle(address)
            pool.close()

    asyncio.run(main())
