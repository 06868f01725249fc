"""Connections of callers whose request is refused before its body is read."""

import asyncio
import contextlib

import pytest

from dahliashunt.adapters.http_server import HttpServer
from dahliashunt.adapters.http_server import MAX_DISCARDED_BYTES

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
BLOCK = b"x" * 65_536


async def refuse(scope, receive, send):
    headers = [(b"content-length", b"0")]
    await send(
        {"type": "http.response.start", "status": 413, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b""})


async def exchange(reader, writer, size):
    """Send a body of `size` bytes, then read the head of the response."""
    writer.write(HEAD % size)
    for _ in range(size // len(BLOCK)):
        writer.write(BLOCK)
        await writer.drain()
    writer.write(BLOCK[: size % len(BLOCK)])
    await writer.drain()
    return await reader.readuntil(b"\r\n\r\n")


@pytest.mark.parametrize(
    ("size", "closes"),
    [(5_000_000, False), (MAX_DISCARDED_BYTES + 100_000, True)],
)
def test_a_refused_body_costs_no_later_request(size, closes):
    """Guards against a connection closed without telling the caller.

    A caller that has sent the whole of a refused body sends its next request
    on the same connection, which was reset.
    """

    async def main():
        server = HttpServer(refuse, "127.0.0.1", 0, lifespan=False)
        await server.start()
        try:
            async with asyncio.timeout(20):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", server.port
                )
                head = await exchange(reader, writer, size)
                assert head.startswith(b"HTTP/1.1 413")
                assert (b"connection: close" in head) == closes
                if closes:
                    with contextlib.suppress(ConnectionError):
                        assert await reader.read() == b""
                else:
                    again = await exchange(reader, writer, 10)
                    assert again.startswith(b"HTTP/1.1 413")
                writer.close()
        finally:
            await server.stop_now()

    asyncio.run(main())


def test_a_stated_long_body_that_is_read_to_its_end():
    """Guards against a connection that stays open after its last response."""

    async def take(scope, receive, send):
        while (await receive()).get("more_body"):
            pass
        await refuse(scope, receive, send)

    async def main():
        server = HttpServer(take, "127.0.0.1", 0, lifespan=False)
        await server.start()
        try:
            async with asyncio.timeout(20):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", server.port
                )
                size = MAX_DISCARDED_BYTES + 100_000
                head = await exchange(reader, writer, size)
                assert b"connection: close" in head
                assert await reader.read() == b""
                writer.close()
        finally:
            await server.stop_now()

    asyncio.run(main())
