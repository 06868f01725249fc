"""Responses that break off, or whose status is none, at each client."""

import asyncio
import contextlib
import json
import socket
import struct

import pytest

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.engine import HttpEngine
from dahliashunt.adapters.engine import PlainService
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http1 import encode_request
from dahliashunt.adapters.http1 import End
from dahliashunt.adapters.http1 import exchange_whole
from dahliashunt.adapters.http1 import open_connection
from dahliashunt.adapters.table.calls import PlatformCalls
from dahliashunt.errors import EngineLost
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.load.client import CUT
from dahliashunt.load.plan import plan_from_dict
from dahliashunt.load.runner import run_plan
from dahliashunt.ports.engine import EngineCall

TIMEOUT_MS = 5_000
UPLOAD = b"u" * 8_000_000
RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close sends a reset."""

WRONG_STATUSES = ("000", "099", "600", "700", "999")


class Peer:
    """Answers each connection at once, before its request is read.

    Parameters
    ----------
    answer : bytes
    delay_s : float
        Time from the answer to the end of the connection.
    resets : bool
        Whether it resets the connection; else it closes in order.
    """

    def __init__(self, answer, delay_s=0.0, resets=True):
        self._answer = answer
        self._delay_s = delay_s
        self._resets = resets
        self._tasks = []

    async def _connected(self, reader, writer):
        self._tasks.append(asyncio.current_task())
        try:
            with contextlib.suppress(ConnectionError):
                writer.write(self._answer)
                await writer.drain()
                await asyncio.sleep(self._delay_s)
                if not self._resets:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write_eof()
                    await reader.read()
        finally:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    @contextlib.asynccontextmanager
    async def serve(self):
        """Yield the address on which this peer listens."""
        server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        try:
            yield server.sockets[0].getsockname()
        finally:
            server.close()
            await asyncio.wait(self._tasks, timeout=5)


def run(call, answer, **how):
    """Return what ``call(address)`` returns against such a peer."""

    async def main():
        async with Peer(answer, **how).serve() as address:
            async with asyncio.timeout(20):
                return await call(address)

    return asyncio.run(main())


def head(status="200", content="application/json"):
    line = f"HTTP/1.1 {status} X\r\nContent-Type: {content}\r\n\r\n"
    return line.encode()


async def call_service(adapter, address, body=b""):
    host, port = address
    engine = adapter(f"http://{host}:{port}")
    call = EngineCall("a1", "POST", "/x", body, {})
    try:
        with pytest.raises(EngineLost) as caught:
            async for _ in engine.call(call, TIMEOUT_MS):
                pass
    finally:
        await engine.close()
    return str(caught.value)


@pytest.mark.parametrize("adapter", [PlainService, HttpEngine])
@pytest.mark.parametrize("upload", [b"", UPLOAD], ids=["", "upload"])
@pytest.mark.parametrize("size", [20, 200_000])
@pytest.mark.parametrize("delay_s", [0.0, 0.05])
def test_a_reset_response_of_an_engine_is_lost(adapter, upload, size, delay_s):
    # Guards against a part of a response without a length that counts as
    # whole when its connection is reset.
    async def call(address):
        return await call_service(adapter, address, upload)

    content = "text/plain" if adapter is PlainService else "application/json"
    status = "200" if adapter is PlainService else "400"
    answer = head(status, content) + b"x" * size
    assert "TimeoutError" not in run(call, answer, delay_s=delay_s)


def test_a_reset_response_of_the_platform_is_lost():
    # Guards against a part of a table or an object that is read as all.
    async def call(address):
        host, port = address
        calls = PlatformCalls(f"http://{host}:{port}")
        with pytest.raises(PlatformUnavailable):
            await calls.read("GET", "/rows")
        with pytest.raises(WriteOutcomeUnknown):
            await calls.write("POST", "/rows", data=b"x")
        await calls.close()

    run(call, head() + b"{}", delay_s=0.02)


@pytest.mark.parametrize("status", ["200", *WRONG_STATUSES])
def test_a_load_counts_no_broken_response_as_answered(status):
    # Guards against a load tool that hides what its user looks for.
    whole = json.dumps({"choices": [{"text": "a"}], "error": {"code": "c"}})

    async def call(address):
        host, port = address
        plan = plan_from_dict(
            {
                "entries": [f"http://{host}:{port}"],
                "callers": [{"key": "k"}],
                "model": "model-a",
                "rate": 50,
                "seconds": 0.2,
                "streamed": 0.0,
            }
        )
        return (await run_plan(plan)).as_dict()

    answer = head(status) + whole.encode()
    assert run(call, answer, delay_s=0.02)["codes"].keys() == {CUT}


@pytest.mark.parametrize("adapter", [PlainService, HttpEngine])
@pytest.mark.parametrize("status", WRONG_STATUSES)
def test_a_response_with_a_wrong_status_of_an_engine_is_lost(adapter, status):
    # Guards against a status that is none and reaches a caller.
    async def call(address):
        return await call_service(adapter, address)

    answer = b"HTTP/1.1 %s X\r\nContent-Length: 1\r\n\r\nx" % status.encode()
    assert "TimeoutError" not in run(call, answer, resets=False)


@pytest.mark.parametrize("status", ["100", "000", "099", "600", "999"])
def test_a_response_with_a_wrong_status_ends_at_once(status):
    # Guards against a status below 200 that is waited on as an interim one,
    # and against a close behind it that ends a response without a head.
    async def call(address):
        pool = ConnectionPool(SystemClock())
        connection = await pool.take(address)
        request = encode_request("GET", "/", [("Host", "h")])
        began_s = asyncio.get_running_loop().time()
        answer = await exchange_whole(
            connection, request, SystemClock(), TIMEOUT_MS
        )
        pool.close()
        assert answer is None
        assert asyncio.get_running_loop().time() - began_s < 2

    answer = b"HTTP/1.1 %s X\r\n\r\n" % status.encode()
    run(call, answer, resets=False)


def test_a_close_behind_an_interim_response_is_no_end():
    # Guards against a response without a head that counts as whole.
    async def call(address):
        connection = await open_connection(*address, TIMEOUT_MS)
        mailbox = connection.start(encode_request("GET", "/", [("Host", "h")]))
        (end,) = await mailbox.take(TIMEOUT_MS)
        connection.abort()
        assert end is End.BROKEN

    run(call, b"HTTP/1.1 100 X\r\n\r\n", resets=False)
