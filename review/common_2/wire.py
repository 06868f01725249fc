"""Small HTTP/1.1 server and client for stand-ins, without dependencies."""

import asyncio
from dataclasses import dataclass
import json
import socket
import struct

__all__ = ["Answer", "Request", "ask", "json_answer", "reset", "serve"]

HEAD_LIMIT = 65_536

NEW_CHANNEL_S = 0.001
"""Time that a new channel takes a replica, as on the sheet."""

AT_ONCE = struct.pack("ii", 1, 0)
"""Makes a close reset the connection."""


@dataclass
class Request:
    """A request that a stand-in has read."""

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes
    reader: object
    writer: object


@dataclass
class Answer:
    """A response that a client has read; `whole` unless it broke off."""

    status: int
    headers: dict
    body: bytes
    whole: bool

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


def _split(target):
    path, _, text = target.partition("?")
    pairs = (each.partition("=") for each in text.split("&") if each)
    return path, {name: _unquoted(value) for name, _, value in pairs}


def _unquoted(text):
    parts = text.replace("+", " ").split("%")
    data = parts[0].encode()
    for part in parts[1:]:
        data += bytes.fromhex(part[:2]) + part[2:].encode()
    return data.decode()


async def _read_head(reader):
    """Return the first line and the headers, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def _read_request(reader, writer):
    head = await _read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ")
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    path, query = _split(target)
    return Request(method, path, query, headers, body, reader, writer)


def reset(writer):
    """Reset a connection."""
    end = writer.get_extra_info("socket")
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
    writer.transport.abort()


async def serve(address, handle, is_full=lambda: False):
    """Listen on `address`; `handle` answers a request.

    It returns bytes to write, or None to close the connection. While
    `is_full` returns true, new channels are reset.
    """

    async def connected(reader, writer):
        try:
            if is_full():
                await asyncio.sleep(NEW_CHANNEL_S)
                reset(writer)
                return
            while True:
                request = await _read_request(reader, writer)
                if request is None:
                    return
                data = await handle(request)
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # The case has ended.
            return
        finally:
            writer.transport.abort()

    return await asyncio.start_server(
        connected, *address, limit=HEAD_LIMIT, backlog=512
    )


def json_answer(status, fields, **headers):
    """Return an encoded response with a JSON body."""
    body = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def _read_body(reader, headers):
    """Return the body and whether it is complete."""
    if "content-length" in headers:
        size = int(headers["content-length"])
        try:
            return await reader.readexactly(size), True
        except asyncio.IncompleteReadError as error:
            return error.partial, False
    body = b""
    if headers.get("transfer-encoding") != "chunked":
        return await reader.read(), True
    try:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body, True
    except (asyncio.IncompleteReadError, ValueError):
        return body, False


async def _exchange(address, request):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        head = await _read_head(reader)
        if head is None:
            return None
        first, headers = head
        body, whole = await _read_body(reader, headers)
        return Answer(int(first.split(" ")[1]), headers, body, whole)
    finally:
        writer.transport.abort()


async def ask(address, method, target, headers, body=b"", limit_s=5.0):
    """Send one request on a new connection; return the answer or None."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    request = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    try:
        async with asyncio.timeout(limit_s):
            return await _exchange(address, request)
    except (OSError, TimeoutError):
        return None
