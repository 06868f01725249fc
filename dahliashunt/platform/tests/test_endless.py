"""Peers that send without end."""

import asyncio
import contextlib
import tracemalloc

import pytest
from structlog.testing import capture_logs

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http1 import encode_request
from dahliashunt.adapters.http1 import exchange_whole
from dahliashunt.errors import HistoryLost
from dahliashunt.errors import PlatformError
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.forwarding.attempt import EVENTS_MARGIN
from dahliashunt.forwarding.attempt import EVENTS_PER_TOKEN
from dahliashunt.metrics import Metrics
from dahliashunt.platform.dialect import decode_report
from dahliashunt.platform.standins import Endless
from dahliashunt.platform.standins import EndlessPeer
from dahliashunt.platform.standins import StoreStandin
from dahliashunt.platform.standins.caller import caller_request
from dahliashunt.platform.standins.settings import replica_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.store import MAX_REPLY_BYTES
from dahliashunt.platform.store import PlatformStore
from dahliashunt.platform.tests.test_jobs import job_body
from dahliashunt.platform.tests.test_jobs import ROUTE as JOBS
from dahliashunt.platform.tests.test_jobs import submit
from dahliashunt.ports.table import Write

TIMEOUT_MS = 1_000
"""Time of a request; without a bound a peer sends until then, and the caller
is told of the time instead of the lost replica."""

MAX_SENT_BYTES = 8_000_000
"""Bound of a response, and what the receive buffer of the system takes."""

MAX_PEAK_BYTES = 8_000_000

REQUEST = encode_request("GET", "/", [("Host", "h")])

STREAM = route_fields(**{"timeout-ms": TIMEOUT_MS, "max-attempts": 1})
WHOLE = {**STREAM, "kind": "non_idempotent", "resumable": False}
RELAYED_STREAMS = {Endless.COMMENTS}
"""Streams of complete events, which are relayed until their time is over."""


async def list_peer(p, peer):
    address = await peer.start()
    p.store.list_replica("i-x", replica_fields(address))
    await p.until(lambda: p.entries[0].node.registry.all())


async def call_endless(p, peer):
    """Return the answer of one call, what was logged, and the peak memory."""
    await list_peer(p, peer)
    tracemalloc.start()
    try:
        with capture_logs() as lines:
            answer = await p.call()
        return answer, lines, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(
    ("route", "endless"),
    [(WHOLE, each) for each in Endless]
    + [(STREAM, each) for each in Endless if each not in RELAYED_STREAMS],
    ids=lambda each: each["kind"] if isinstance(each, dict) else each.name,
)
def test_an_endless_response_is_not_read(platform, route, endless):
    """Guards against memory and traffic that a single replica can fill."""

    async def scenario(p):
        peer = EndlessPeer(endless)
        try:
            answer, lines, peak_bytes = await call_endless(p, peer)
            await p.until(lambda: peer.closed == peer.requests)
        finally:
            await peer.stop()
        named = [e for e in lines if e["event"] == "response_over_bound"]
        assert answer.status == 502
        assert peer.requests == 1
        assert peer.sent < MAX_SENT_BYTES
        assert peak_bytes < MAX_PEAK_BYTES
        assert len(named) == (endless is not Endless.NO_HTTP)
        entry = p.entries[0]
        (replica,) = entry.node.registry.all()
        assert entry.node.forwarder.suspicion.is_avoided(
            replica.incarnation, SystemClock().now_ms()
        )

    platform(scenario, route, replicas=0)


@pytest.mark.parametrize("endless", Endless, ids=lambda each: each.name)
def test_an_item_with_an_endless_response_is_not_read(platform, endless):
    """Guards against items that fill the memory, or hold their slots."""

    async def scenario(p):
        peer = EndlessPeer(endless)
        try:
            await list_peer(p, peer)
            with capture_logs() as lines:
                assert (await submit(p, body=job_body("a"))).status == 202
                await p.until(lambda: ended_attempts(lines))
            await p.until(lambda: peer.closed)
        finally:
            await peer.stop()
        # What the entry cuts off is no loss of the replica.
        end = "lost" if endless is Endless.NO_HTTP else "unusable"
        assert ended_attempts(lines)[0]["end"] == end
        assert peer.sent < MAX_SENT_BYTES * peer.requests
        named = [e for e in lines if e["event"] == "response_over_bound"]
        unread = (Endless.NO_HTTP, Endless.REJECTION)
        assert bool(named) == (endless not in unread)

    platform(scenario, JOBS, replicas=0)


def ended_attempts(lines):
    return [e for e in lines if e["event"] == "item_attempt_ended"]


def fetch_from(peer, fetch):
    """Return what ``fetch(pool, address)`` returns or raises at `peer`."""

    async def main():
        pool = ConnectionPool(SystemClock())
        address = await peer.start()
        try:
            return await fetch(pool, address)
        except PlatformError as error:
            return error
        finally:
            await peer.stop()
            pool.close()

    return asyncio.run(main())


@pytest.mark.parametrize(
    "endless",
    [each for each in Endless if each is not Endless.LATES],
    ids=lambda each: each.name,
)
def test_an_endless_report_is_not_read(endless):
    """Guards against agents and probes that read for as long as bytes come."""
    peer = EndlessPeer(endless)

    async def fetch(pool, address):
        connection = await pool.take(address)
        answer = await exchange_whole(
            connection, REQUEST, SystemClock(), 10_000
        )
        assert connection.transport.is_closing()
        return answer

    assert fetch_from(peer, fetch) is None
    assert peer.sent < MAX_SENT_BYTES


CALLS_OF_THE_STORE = {
    "read": lambda store: store.read("t/p/k"),
    "snapshot": lambda store: store.snapshot("t//"),
    "feed": lambda store: store.changes("t", 1, 1000),
    "object": lambda store: store.get("o"),
    "write": lambda store: store.transact((Write("t/p/k", "v"),)),
}


@pytest.mark.parametrize("name", CALLS_OF_THE_STORE)
@pytest.mark.parametrize(
    "endless",
    [Endless.FIELD, Endless.BODY, Endless.STATED_BODY],
    ids=lambda each: each.name,
)
def test_an_endless_answer_of_the_store_is_not_read(name, endless):
    """Guards against a store's answer that fills the memory of each node."""
    peer = EndlessPeer(endless)
    metrics = Metrics("front-1")

    async def fetch(pool, address):
        store = PlatformStore(address, pool, SystemClock(), metrics)
        return await CALLS_OF_THE_STORE[name](store)

    error = fetch_from(peer, fetch)
    if name == "write":
        assert isinstance(error, WriteOutcomeUnknown)
    else:
        assert isinstance(error, PlatformUnavailable | HistoryLost)
    assert peer.sent < (MAX_REPLY_BYTES + MAX_SENT_BYTES) * peer.requests
    assert peer.requests <= 2
    assert "dahliashunt_store_replies_over_bound_total" in metrics.text()


def test_a_large_response_of_stated_length_is_relayed(platform):
    """Guards against a bound that ends honest large responses."""
    data = bytes(range(256)) * 40_000

    async def scenario(p):
        p.replicas[0].then(body=data)
        answer = await p.call()
        assert answer.body == data

    platform(scenario, {**WHOLE, "timeout-ms": 20_000})


@pytest.mark.parametrize("numbered", [True, False])
def test_more_events_than_the_stated_output_end_the_attempt(
    platform, numbered
):
    """Guards against a replica that sends valid events without end."""

    async def scenario(p):
        peer = EndlessPeer(Endless.COMMENTS)
        if numbered:
            p.replicas[0].then(events=100 * EVENTS_MARGIN)
        else:
            await list_peer(p, peer)
        with capture_logs() as lines:
            answer = await p.call(tokens="400,300", budget_ms=3_000)
        if not numbered:
            await peer.stop()
        assert not answer.whole
        named = [e for e in lines if e["event"] == "response_over_bound"]
        assert [e["exceeded"] for e in named] == ["events"]
        assert answer.body.count(b"\n\n") <= 300 * EVENTS_PER_TOKEN + (
            EVENTS_MARGIN
        )

    route = {**STREAM, "timeout-ms": 20_000}
    platform(scenario, route, replicas=int(numbered))


def test_as_many_events_as_the_stated_output_are_relayed(platform):
    """Guards against a bound that ends an honest stream."""

    async def scenario(p):
        p.replicas[0].then(events=300 + EVENTS_MARGIN)
        answer = await p.call(tokens="400,300", budget_ms=20_000)
        assert answer.whole

    platform(scenario, {**STREAM, "timeout-ms": 20_000})


def test_a_stream_without_end_is_relayed_in_flat_memory(platform):
    """Guards against events that are kept, and against a stream without end.

    A replica that always had more to send was read beyond the request's time.
    """

    async def scenario(p):
        peer = EndlessPeer(Endless.COMMENTS)
        await list_peer(p, peer)
        port = p.entries[0].ports[0]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        tracemalloc.start()
        try:
            writer.write(caller_request())
            size = 0
            async with asyncio.timeout(10):
                while data := await reader.read(65_536):
                    size += len(data)
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            writer.close()
            await peer.stop()
        assert size > MAX_PEAK_BYTES
        assert peak_bytes < MAX_PEAK_BYTES / 2

    platform(scenario, {**STREAM, "timeout-ms": 3_000}, replicas=0)


@pytest.mark.parametrize(("method", "status"), [("HEAD", 200), ("GET", 304)])
@pytest.mark.parametrize("size", [2_000_000, 70_000_000])
def test_a_length_without_a_body_is_not_waited_for(
    platform, method, status, size
):
    """Guards against a bound on bytes that a response does not have.

    Such a response states the length of the body that GET would return.
    """

    async def scenario(p):
        p.replicas[0].then(status=status, body=b"x" * size, cut_body_at=0)
        answer = await p.call(method)
        assert (answer.status, answer.whole) == (status, True)
        if method == "HEAD":
            assert answer.head.get("content-length") == str(size)

    platform(scenario, WHOLE)


async def read_again(read):
    """Read until the store answers in time, as followers do."""
    async with asyncio.timeout(20):
        while True:
            with contextlib.suppress(PlatformUnavailable):
                return await read()


def test_a_page_of_long_rows_is_read_in_parts():
    """Guards against a table that no node can read for its long rows."""
    rows = MAX_REPLY_BYTES // 60_000 + 40

    async def main():
        standin = StoreStandin()
        address = await standin.start()
        for number in range(rows):
            standin.put("t", f"{number:04}", "x" * 60_000)
        pool = ConnectionPool(SystemClock())
        metrics = Metrics("front-1")
        store = PlatformStore(address, pool, SystemClock(), metrics)
        try:
            found = await read_again(lambda: store.snapshot("t//"))
            return len(found.rows), metrics.text()
        finally:
            pool.close()
            await standin.stop()

    found, text = asyncio.run(main())
    assert found == rows
    assert 'store_replies_over_bound_total{node="front-1"' in text


@pytest.mark.parametrize(
    "body",
    [b"[" * 100_000, b'{"num-running": Infinity, "num-waiting": 0}'],
    ids=["nested", "infinite"],
)
def test_a_report_that_json_readers_accept_may_be_invalid(body):
    """Guards against an agent that ends on its replica's report."""
    with pytest.raises(ValueError, match="invalid replica report"):
        decode_report(body)
