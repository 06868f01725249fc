"""Callers that read slowly or send without end."""

import asyncio
import re
import socket
import tracemalloc

import pytest
from structlog.testing import capture_logs

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.http1 import connection
from dahliashunt.adapters.http1.connection import READ_HIGH_WATER_BYTES
from dahliashunt.adapters.http_server import MAX_DISCARDED_BYTES
from dahliashunt.decisions.slow_readers import MAX_STALLED_MS
from dahliashunt.decisions.slow_readers import SlowReaders
from dahliashunt.forwarding.catalog import IngressLimits
from dahliashunt.platform.ingress import _Exchange
from dahliashunt.platform.standins import Endless
from dahliashunt.platform.standins import EndlessPeer
from dahliashunt.platform.standins.caller import caller_request
from dahliashunt.platform.standins.settings import replica_fields
from dahliashunt.platform.standins.settings import route_fields

STREAM = route_fields(**{"timeout-ms": 60_000, "max-attempts": 1})
BUFFER_BYTES = 65_536
MAX_BACKLOG_BYTES = 700_000

MAX_HELD_BYTES = 33_554_432
ID = b"dahliashunt-request-id"

POST = b"POST /a/x HTTP/1.1\r\nHost: a.example\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def test_the_slowest_are_ended_and_none_beside_them():
    """Guards against a fast reader ended for a slow one's bytes."""
    readers = SlowReaders(max_bytes=100_000)
    sizes = {}
    for number in range(20):
        sizes[number] = 10_000
        readers.waits(number, 10_000, now_ms=0)
    for number in range(10):
        # Half of the readers have drained something, the later the more.
        sizes[number] -= 100 * (number + 1)
    ended = readers.check(sizes, 0, now_ms=150)
    assert ended == []
    ended = readers.check(sizes, 0, now_ms=1_000)
    assert sorted(ended) == list(range(10, 20))
    assert readers.check({n: sizes[n] for n in range(10)}, 9_000, 1_100) == [0]


def test_a_reader_without_progress_is_ended_within_the_bound():
    """Guards against a caller that keeps a slot by reading nothing."""
    readers = SlowReaders(max_bytes=100_000)
    readers.waits("stalled", 100, 0)
    readers.waits("slow", 100, 0)
    for now_ms in range(0, MAX_STALLED_MS, 1_000):
        sizes = {"stalled": 100, "slow": 100 - now_ms // 1_000}
        assert readers.check(sizes, 0, now_ms) == []
    assert readers.check(sizes, 0, MAX_STALLED_MS) == ["stalled"]


async def list_peer(p, peer):
    address = await peer.start()
    p.store.list_replica("i-x", replica_fields(address, slots=20))
    await p.until(lambda: p.entries[0].node.registry.all())


async def open_caller(p, request):
    """Send `request` on a connection with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.connect(("127.0.0.1", p.entries[0].ports[0]))
    reader, writer = await asyncio.open_connection(
        sock=sock, limit=BUFFER_BYTES
    )
    writer.write(request)
    return reader, writer


async def read_until_closed(reader):
    """Return how many bytes came."""
    size = 0
    try:
        while data := await reader.read(BUFFER_BYTES):
            size += len(data)
    except ConnectionError:
        pass
    return size


def stream_request(number):
    return caller_request(request_id=f"r{number}", budget_ms="60000")


def test_slow_callers_are_ended_and_a_fast_one_reads_on(platform):
    """Guards against slow readers that fill the memory of a node."""

    async def scenario(p):
        peer = EndlessPeer(Endless.COMMENTS)
        await list_peer(p, peer)
        backlog = p.entries[0].bounds.backlog
        backlog.max_bytes = MAX_BACKLOG_BYTES
        largest = 0
        with capture_logs() as lines:
            slow = []
            for number in range(1, 13):
                slow.append(await open_caller(p, stream_request(number)))
                await p.until(lambda: peer.requests == len(slow))
            fast, fast_writer = await open_caller(p, stream_request(0))

            def ended():
                return [e for e in lines if e["event"] == "slow_reader_ended"]

            async with asyncio.timeout(20):
                while not ended() or backlog.size > MAX_BACKLOG_BYTES:
                    assert await fast.read(BUFFER_BYTES)
                    largest = max(largest, backlog.size)
            for _ in range(100):
                assert await fast.read(BUFFER_BYTES)
        fast_port = fast_writer.get_extra_info("sockname")[1]
        assert not [e for e in ended() if str(fast_port) in e["peer"]]
        assert largest < 13 * 2_000_000
        # The replica stops working on those that are ended.
        await p.until(lambda: peer.closed >= len(ended()) > 0)
        for _, writer in [*slow, (fast, fast_writer)]:
            writer.transport.abort()
        await peer.stop()

    platform(scenario, STREAM, replicas=0, slots=20)


def test_a_response_cut_off_unread_is_no_loss_of_its_replica(platform):
    """Guards against a replica suspected for what a slow caller has done."""

    async def scenario(p):
        peer = EndlessPeer(Endless.COMMENTS, cut_unread_ms=1_500)
        await list_peer(p, peer)
        entry = p.entries[0]
        (replica,) = entry.node.registry.all()
        with capture_logs() as lines:
            reader, writer = await open_caller(p, stream_request(0))
            await p.until(lambda: peer.closed)
            read_bytes = await read_until_closed(reader)
        ended = [e["end"] for e in lines if e["event"] == "attempt_ended"]
        assert ended == ["unread"]
        assert "response_truncated" in [e["event"] for e in lines]
        assert read_bytes > BUFFER_BYTES
        assert not entry.node.forwarder.suspicion.is_avoided(
            replica.incarnation, SystemClock().now_ms()
        )
        writer.transport.abort()
        await peer.stop()

    platform(scenario, STREAM, replicas=0)


@pytest.mark.parametrize(
    ("start", "unit"),
    [
        (POST + b"X-A: ", b"x"),
        (POST, b"X-A: b\r\n"),
        (b"POST /", b"x"),
        (CHUNKED, b"0"),
        (CHUNKED + b"1;", b"x"),
        (CHUNKED + b"1\r\nx\r\n0\r\nX-T: ", b"x"),
        (b"", b"GET /a/x HTTP/1.1\r\nHost: a.example\r\n\r\n"),
        (CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
        (POST + b"Content-Length: 999999999999\r\n\r\n", b"x"),
    ],
    ids=[
        "field",
        "fields",
        "target",
        "chunk size",
        "extension",
        "trailer",
        "pipeline",
        "body",
        "stated body",
    ],
)
def test_an_endless_request_is_not_read(platform, start, unit):
    """Guards against one caller that fills the memory of a node."""

    async def scenario(p):
        block = unit * (BUFFER_BYTES // len(unit) or 1)
        with capture_logs() as lines:
            reader, writer = await open_caller(p, start)
            sent = 0
            reading = asyncio.create_task(read_until_closed(reader))
            async with asyncio.timeout(20):
                while not writer.transport.is_closing():
                    writer.write(block)
                    try:
                        await writer.drain()
                    except ConnectionError:
                        break
                    sent += len(block)
            await reading
            # Bodies up to the limit are held, and the rest is dropped.
            assert sent < MAX_DISCARDED_BYTES + 4_194_304 + 8_000_000
            await p.until(
                lambda: (
                    [e for e in lines if e["event"] == "caller_over_bound"]
                )
            )
            await p.until(lambda: p.entries[0].node.busy == 0)
        p.replicas[0].then(events=2)
        assert (await p.call()).status == 200

    platform(scenario, STREAM, replicas=1)


@pytest.mark.parametrize("number", ["\xb2", "9" * 5_000], ids=["²", "long"])
@pytest.mark.parametrize("name", ["budget_ms", "last_event", "tokens"])
def test_a_header_that_is_no_number_is_ignored(platform, name, number):
    """Guards against a request that ends with an error of the program."""

    async def scenario(p):
        p.replicas[0].then(events=2)
        value = f"{number},{number}" if name == "tokens" else number
        assert (await p.call(**{name: value})).status == 200

    platform(scenario, STREAM)


def test_a_body_in_tiny_parts_takes_the_memory_of_its_bytes(platform):
    """Guards against an object for each part, of 20 times its bytes."""
    parts = 100_000

    async def scenario(p):
        left = iter(range(parts))

        async def receive():
            return {
                "type": "http.request",
                "body": b"%02d" % (next(left) % 100),
                "more_body": left.__length_hint__() > 0,
            }

        exchange = _Exchange({}, receive, None, False, {})
        tracemalloc.start()
        try:
            body = await exchange.body(IngressLimits())
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert len(body) == 2 * parts
        assert peak_bytes < 8 * parts

    platform(scenario, STREAM)


def test_bodies_of_all_requests_share_a_bound(platform):
    """Guards against many large bodies at once that fill the memory."""

    async def scenario(p):
        p.replicas[0].then(events=2)
        size = IngressLimits().body_bytes
        held = p.entries[0].bounds.memory.decisions
        held.max_bytes = MAX_HELD_BYTES
        stated = POST + b"Content-Length: %d\r\n" % size
        senders = [
            await open_caller(
                p, stated + b"%s: s%d\r\n\r\n" % (ID, n) + b"x" * (size - 1)
            )
            for n in range(2 * MAX_HELD_BYTES // size)
        ]
        largest = 0
        answers = []
        for reader, _ in senders:
            answers.append(asyncio.create_task(reader.read(4_096)))
        async with asyncio.timeout(20):
            while sum(map(asyncio.Task.done, answers)) < len(senders) // 2:
                largest = max(largest, held.total_bytes)
                await asyncio.sleep(0.01)
        assert largest <= MAX_HELD_BYTES
        for number, task in enumerate(answers):
            if task.done() and (refusal := task.result()):
                assert refusal.startswith(b"HTTP/1.1 503 ")
                assert b"\r\nretry-after: 0." in refusal
                assert b"\r\n%s: s%d\r\n" % (ID, number) in refusal
                assert b"not run" in refusal
            task.cancel()
        assert (await p.call(body=b"x" * 100)).status == 200
        # The refused ones have not run.
        assert [each.request_id for each in p.replicas[0].arrivals] == ["r1"]
        for _, writer in senders:
            writer.transport.abort()
        await p.until(lambda: held.held_bytes == 0)
        assert (await p.call(body=b"x" * 100)).status == 200
        assert p.entries[0].node.metrics.counts_by_name[
            "callers_ended", (("stage", "body"),)
        ]

    platform(scenario, STREAM, replicas=1)


def test_a_stream_cut_off_unread_goes_on_elsewhere(platform, monkeypatch):
    """Guards against a slow caller that loses or repeats events."""
    monkeypatch.setattr(connection, "UNREAD_MS", 50)
    count = 200

    def long_event(number):
        return b"id: %d\ndata: %s\n\n" % (number, b"x" * 60_000)

    async def scenario(p):
        backlog = p.entries[0].bounds.backlog
        for replica in p.replicas:
            replica.event = long_event
            replica.then(events=count)
        with capture_logs() as lines:
            reader, writer = await open_caller(p, stream_request(0))
            await p.until(lambda: backlog.size > READ_HIGH_WATER_BYTES)
            paused_s = p.now_s()
            await p.until(lambda: p.now_s() > paused_s + 0.1)
            for replica in p.replicas:
                replica.cut_all()
            body = b""
            async with asyncio.timeout(20):
                while not body.endswith(b"\r\n0\r\n\r\n"):
                    data = await reader.read(BUFFER_BYTES)
                    assert data
                    body += data
        numbers = [int(each) for each in re.findall(rb"id: (\d+)\n", body)]
        assert numbers == list(range(1, count + 1))
        ended = [e["end"] for e in lines if e["event"] == "attempt_ended"]
        assert ended == ["unread"]
        assert sum(len(each.arrivals) for each in p.replicas) == 2
        writer.transport.abort()

    platform(scenario, {**STREAM, "max-attempts": 2}, replicas=2)
