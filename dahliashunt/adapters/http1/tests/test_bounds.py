"""Large responses of honest peers, within each bound."""

import asyncio
import tracemalloc

import pytest

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http1 import End
from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.adapters.http1.bounds import MAX_FIELDS
from dahliashunt.adapters.http1.bounds import MAX_INTERIM_RESPONSES
from dahliashunt.adapters.http1.connection import READ_HIGH_WATER_BYTES
from dahliashunt.adapters.http1.tests.test_connection import body
from dahliashunt.adapters.http1.tests.test_connection import head
from dahliashunt.adapters.http1.tests.test_connection import REQUEST
from dahliashunt.adapters.http1.tests.test_connection import run_exchange
from dahliashunt.adapters.http1.tests.test_connection import server
from dahliashunt.adapters.write_backlog import ReadBacklog
from dahliashunt.forwarding.events import EventOutOfOrder
from dahliashunt.forwarding.events import EventSplitter
from dahliashunt.forwarding.events import MAX_EVENT_BYTES

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"


def test_a_large_head_and_tiny_chunks_are_read():
    """Guards against bounds that end honest responses."""
    fields = b"".join(b"x-%d: %s\r\n" % (n, b"v" * 200) for n in range(200))
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" * MAX_INTERIM_RESPONSES
    chunks = b"1;ext=a\r\nx\r\n" * 30_000
    end = b"0\r\nx-trailer: t\r\n\r\n"
    events, usable = run_exchange(
        interim, CHUNKED + fields + b"\r\n", chunks, end
    )
    assert isinstance(events[0], ResponseHead)
    assert 200 < len(events[0].headers) < MAX_FIELDS
    assert body(events) == b"x" * 30_000
    assert (events[-1], usable) == (End.WHOLE, True)


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0)


def test_tiny_chunks_take_the_memory_of_their_bytes():
    """Guards against objects of 35 bytes for chunks of 2 in a bound of bytes.

    A connection that nobody reads held 7 MB for 0.25 MB of body.
    """

    async def main():
        pool = ConnectionPool(SystemClock())
        chunks = b"2\r\nxx\r\n" * 15_000
        blocks = [chunks] * 20
        async with server(CHUNKED + b"\r\n", *blocks) as address:
            connection = await pool.take(address)
            tracemalloc.start()
            try:
                mailbox = connection.start(REQUEST)
                await until(lambda: connection._unread > READ_HIGH_WATER_BYTES)
                held_bytes = tracemalloc.get_traced_memory()[0]
            finally:
                tracemalloc.stop()
            size = sum(map(len, (await mailbox.take())[1:]))
            pool.close()
        assert size > READ_HIGH_WATER_BYTES
        assert held_bytes < 8 * READ_HIGH_WATER_BYTES

    asyncio.run(main())


def test_events_are_the_same_however_they_are_cut():
    """Guards against an end of an event that is missed between two reads."""
    stream = (
        b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\nid: 3\n\r\n\r\n"
    )
    expected = EventSplitter().feed(stream)
    assert len(expected) == 4
    for size in range(1, len(stream)):
        splitter = EventSplitter()
        events = []
        for start in range(0, len(stream), size):
            events += splitter.feed(stream[start : start + size])
        assert events == expected
        assert splitter.rest == b""


def test_an_event_id_without_end_is_out_of_order():
    """Guards against an error of `int`, which no caller of `feed` expects."""
    with pytest.raises(EventOutOfOrder):
        EventSplitter().feed(b"id: " + b"9" * 5_000 + b"\n\n")


def test_an_event_at_its_bound_is_returned():
    """Guards against a bound that ends the longest allowed event."""
    splitter = EventSplitter()
    assert splitter.feed(b"x" * MAX_EVENT_BYTES) == []
    (event,) = splitter.feed(b"\n\n")
    assert len(event.raw) == MAX_EVENT_BYTES + 2


def test_a_response_may_be_paused_and_read_on():
    """Guards against what a slow reader leaves counted for ever."""

    async def main():
        backlog = ReadBacklog()
        pool = ConnectionPool(SystemClock(), backlog=backlog)
        data = b"x" * 2_000_000
        async with server(head(content_length=len(data)) + data) as address:
            connection = await pool.take(address)
            mailbox = connection.start(REQUEST)
            size = 0
            while size < 1_000_000:
                for event in await mailbox.take(5_000):
                    if isinstance(event, bytes):
                        size += len(event)
                        connection.taken(len(event))
            await asyncio.sleep(0)
            pool.give_back(address, connection)
            assert backlog.size == 0

    asyncio.run(main())
