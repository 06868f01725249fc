"""Clients that keep inside or go beyond what a server expects of them."""

import asyncio
import contextlib
from dataclasses import dataclass
import os
import socket

from dahliashunt.platform.names import BUDGET
from dahliashunt.platform.names import REQUEST_ID

__all__ = [
    "Client",
    "Reply",
    "connect",
    "connect_many",
    "head",
    "is_served",
    "refusals",
    "send_all",
    "send_once",
    "send_until_served",
]

BLOCK_BYTES = 65_536
ANSWER_S = 20
RETRY_S = 0.2
SEND_S = 10
SETTLE_S = 1


@dataclass(frozen=True)
class Reply:
    """A response: its status, header by name in lower case, and body."""

    status: int
    header_by_name: dict
    body: bytes


def head(
    path,
    size=None,
    method="POST",
    host="a.example",
    budget_ms=15_000,
    **headers,
):
    """Return the head of a request with a body of `size` bytes or chunks."""
    request_id = headers.pop("request_id", f"r-{os.urandom(6).hex()}")
    fields = {
        "Host": host,
        REQUEST_ID: request_id,
        BUDGET: str(budget_ms),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    if size == "chunks":
        fields["Transfer-Encoding"] = "chunked"
    elif size is not None:
        fields["Content-Length"] = str(size)
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class Client:
    """One connection, which sends on although nothing reads its answers."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, data):
        """Send `data`; what a closed connection does not take is dropped."""
        with contextlib.suppress(ConnectionError):
            for at in range(0, len(data), BLOCK_BYTES):
                self.writer.write(data[at : at + BLOCK_BYTES])
                await self.writer.drain()

    async def reply(self):
        """Return the response, or None if the connection ends before it."""
        try:
            raw = await self.reader.readuntil(b"\r\n\r\n")
            status, *lines = raw.decode("latin-1").split("\r\n")
            pairs = (line.partition(":") for line in lines if line)
            headers = {name.lower(): text.strip() for name, _, text in pairs}
            body = await self._body(headers)
        except (ConnectionError, asyncio.IncompleteReadError):
            return None
        return Reply(int(status.split()[1]), headers, body)

    async def _body(self, headers):
        if "content-length" in headers:
            size = int(headers["content-length"])
            return await self.reader.readexactly(size)
        parts = []
        while True:
            size = int(await self.reader.readline(), 16)
            parts.append((await self.reader.readexactly(size + 2))[:-2])
            if not size:
                return b"".join(parts)

    def leave(self):
        """Close the connection at once."""
        self.writer.transport.abort()


async def connect(
    port, host="127.0.0.1", receive_bytes=None, ssl_context=None
):
    """Return a `Client`; None if the server refuses the connection."""
    sock = socket.socket()
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(ANSWER_S):
            await asyncio.get_running_loop().sock_connect(sock, (host, port))
            name = host if ssl_context else None
            return Client(
                *await asyncio.open_connection(
                    sock=sock, ssl=ssl_context, server_hostname=name
                )
            )
    except ConnectionError:
        sock.close()
        return None


async def connect_many(port, count, host="127.0.0.1", receive_bytes=None):
    """Return `count` clients, less those that were refused."""
    found = [await connect(port, host, receive_bytes) for _ in range(count)]
    return [client for client in found if client is not None]


async def send_once(port, data, host="127.0.0.1", ssl_context=None):
    """Send one request on a new connection; return its reply or None."""
    client = await connect(port, host, ssl_context=ssl_context)
    if client is None:
        return None
    try:
        async with asyncio.timeout(ANSWER_S):
            sending = asyncio.create_task(client.send(data))
            reply = await client.reply()
            sending.cancel()
            return reply
    finally:
        client.leave()


def is_served(reply):
    """Return whether a reply is a success."""
    return reply is not None and 200 <= reply.status < 300


async def send_until_served(port, data, host="127.0.0.1"):
    """Send a request again while it is refused or not read."""
    async with asyncio.timeout(ANSWER_S):
        while not is_served(reply := await send_once(port, data, host)):
            assert reply is None or reply.status in (429, 503), reply
            if reply is not None:
                assert float(reply.header_by_name["retry-after"]) > 0
            await asyncio.sleep(RETRY_S)
    return reply


async def refusals(clients):
    """Return the responses that came on connections by now."""
    waits = [asyncio.create_task(client.reply()) for client in clients]
    await asyncio.wait(waits, timeout=SETTLE_S)
    replies = [wait.result() for wait in waits if wait.done()]
    for wait in waits:
        wait.cancel()
    return [reply for reply in replies if reply is not None]


async def send_all(clients, data):
    """Send the same bytes on each connection, and wait until they rest."""
    sending = [asyncio.create_task(each.send(data)) for each in clients]
    await asyncio.wait(sending, timeout=SEND_S)
    for task in sending:
        task.cancel()
    await asyncio.sleep(SETTLE_S)
