"""Stand-in of a replica: registers itself, reports its load, runs requests."""

import asyncio
import contextlib
import json
import time

from common.http import answer_bytes
from common.http import Server

__all__ = ["HEARTBEAT_S", "Replica", "chunk", "event_bytes"]

HEARTBEAT_S = 1.2


class Replica:
    """A sound replica; `run` may be replaced to bring a fault about.

    Parameters
    ----------
    store : Store
    replica_id, service, zone : str
    slots : int

    Attributes
    ----------
    run : coroutine function
        Called with the replica, a request and the writer; answers a request
        and returns whether the channel stays open.
    version : str
        Version of its software; may be changed before `restart`.
    ran : list of str
        Ids of the requests that began to run, in order.
    ended : list of (str, str)
        Ids with how their runs ended.
    """

    def __init__(self, store, replica_id, service, zone, slots, run):
        self.replica_id = replica_id
        self.service = service
        self.slots = slots
        self.version = "v1"
        self.run = run
        self.ran = []
        self.ended = []
        self.running = {}
        self.address = None
        self._store = store
        self._zone = zone
        self._seq = 0
        self._born_ms = time.time_ns() // 1_000_000
        self._server = None
        self._beat = None

    async def start(self, host: str, port: int = 0):
        """Listen and register; return the address."""
        self._server = Server(self._handle)
        self.address = await self._server.start(host, port)
        self._beat = asyncio.create_task(self._register())
        return self.address

    async def stop(self) -> None:
        """Leave for good: the entry goes and every channel is reset."""
        await self.crash()
        self._store.drop("servers", self.replica_id)

    async def crash(self) -> None:
        """End at once; the entry in the list stays as it is."""
        if self._beat is not None:
            self._beat.cancel()
            await self._server.stop()
        self._beat = None

    async def restart(self, replica_id: str) -> None:
        """Start anew at the address, under a new id."""
        self.replica_id = replica_id
        self._born_ms = time.time_ns() // 1_000_000
        self._seq = 0
        self.running.clear()
        await self.start(*self.address)

    async def _register(self):
        while True:
            self._seq += 1
            host, port = self.address
            self._store.put(
                "servers",
                self.replica_id,
                {
                    "service": self.service,
                    "address": f"{host}:{port}",
                    "zone": self._zone,
                    "version": self.version,
                    "slots": self.slots,
                    "state": "ready",
                    "cold-left-ms": 0,
                    "seq": self._seq,
                    "born": self._born_ms,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request, writer):
        if request.path == "/api/report":
            writer.write(answer_bytes(200, (), self._report()))
            return True
        if request.path == "/health":
            headers = [("Dahliashunt-Instance-Id", self.replica_id)]
            writer.write(answer_bytes(200, headers))
            return True
        wanted = request.headers.get("dahliashunt-expect-instance")
        request_id = request.headers.get("dahliashunt-request-id", "")
        if wanted not in (None, self.replica_id) or not request_id:
            status = 421 if request_id else 400
            headers = [
                ("Dahliashunt-Request-Id", request_id),
                ("Dahliashunt-Not-Executed", "1"),
            ]
            writer.write(answer_bytes(status, headers))
            return True
        if len(self.running) >= self.slots:
            headers = [
                ("Dahliashunt-Request-Id", request_id),
                ("Dahliashunt-Not-Executed", "1"),
            ]
            writer.write(answer_bytes(503, headers))
            return True
        return await self._run(request_id, request, writer)

    async def _run(self, request_id, request, writer):
        self.ran.append(request_id)
        self.running[request_id] = 0
        how = "cut"
        try:
            keeps = await self.run(self, request, writer)
            how = "whole"
            return keeps
        finally:
            self.running.pop(request_id, None)
            self.ended.append((request_id, how))

    def _report(self):
        return json.dumps(
            {
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "seq": 0,
                "born": self._born_ms,
                "num-waiting": 0,
                "num-running": len(self.running),
                "kv-used": 0,
                "kv-total": 100_000,
                "handles": 0,
                "runs": [
                    [request_id, 100, events, 0]
                    for request_id, events in self.running.items()
                ],
            }
        ).encode()

    def sealed(self, request):
        """Return the headers of an answer to `request`."""
        request_id = request.headers["dahliashunt-request-id"]
        return [
            ("Dahliashunt-Request-Id", request_id),
            ("Dahliashunt-Response-Seal", f"{self.replica_id}.{request_id}"),
        ]

    async def stream(self, request, writer, texts, gap_s: float):
        """Send `texts` as events, after `Last-Event-Id`, in chunks."""
        request_id = request.headers["dahliashunt-request-id"]
        first = int(request.headers.get("last-event-id", 0))
        lines = ["HTTP/1.1 200 X"]
        lines += [f"{name}: {value}" for name, value in self.sealed(request)]
        lines += ["Content-Type: text/event-stream"]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number, text in enumerate(texts[first:], first + 1):
            writer.write(chunk(event_bytes(number, text)))
            await writer.drain()
            if writer.transport.is_closing():
                raise ConnectionResetError
            self.running[request_id] = number
            await asyncio.sleep(gap_s)
        writer.write(chunk(b""))
        with contextlib.suppress(OSError):
            await writer.drain()
        return True


def event_bytes(number: int, text: str) -> bytes:
    """Return one event."""
    return f"id: {number}\ndata: {text}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """Return `data` as one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
