"""Stand-in of a model replica.

The body of a request is the number of events that it makes and the
milliseconds between them, as in ``20 5``.
"""

import asyncio
import time

from review.common_2.wire import json_answer
from review.common_2.wire import serve

__all__ = ["Replica"]

HEARTBEAT_S = 1.2
QUEUE = 24


class Replica:
    """Runs up to `slots` requests; writes its row in the store.

    Attributes
    ----------
    runs : list of dict
        One for each request that began to run.
    done : list of dict
        One for each request that was run to its end.
    name : str
        Its id in the list.
    busy : bool
        Whether other callers hold all of its slots and its queue.
    channels_taken : bool
        Whether other callers hold as many channels as it accepts.
    unframed : bool
        Whether streams have neither a length nor chunks, and end with their
        channel.
    extras : list of bytes
        If not empty, its last entry is removed and sent after a complete
        stream, together with its last event.
    """

    def __init__(self, store, service, name, address, record, slots=8):
        self.runs = []
        self.done = []
        self.busy = False
        self.channels_taken = False
        self.unframed = False
        self.extras = []
        self._listed = True
        self.slots = slots
        self._store = store
        self._service = service
        self.name = name
        self._address = address
        self._record = record
        self._running = {}
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._seq = 0
        self._born_ms = time.time_ns() // 1_000_000
        self._tasks = []

    async def start(self):
        """Listen, and register in the store."""
        server = await serve(
            self._address, self._handle, lambda: self.channels_taken
        )
        self._tasks.append(asyncio.create_task(self._beat()))
        return server

    @property
    def running(self):
        """Number of requests that it runs."""
        return len(self._running)

    def leave_list(self):
        """Remove the row, without a notice before; serve on."""
        self._listed = False
        self._store.drop("servers", self.name)

    async def _beat(self):
        host, port = self._address
        while self._listed:
            self._seq += 1
            fields = {
                "service": self._service,
                "address": f"{host}:{port}",
                "zone": "leiden-a",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold-left-ms": 0,
                "seq": self._seq,
                "born": self._born_ms,
            }
            self._store.put("servers", self.name, fields)
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request):
        if request.path == "/api/report":
            return json_answer(200, self._report())
        if request.path == "/health":
            named = {"Dahliashunt-Instance-Id": self.name}
            return json_answer(200, b"", **named)
        expected = request.headers.get("dahliashunt-expect-instance")
        if expected not in (None, self.name):
            named = {"Dahliashunt-Instance-Id": self.name}
            return json_answer(421, b"", **named)
        if self.busy or self._waiting >= QUEUE:
            return json_answer(503, b"", **{"Dahliashunt-Not-Executed": "1"})
        return await self._run_or_drop(request)

    def _report(self):
        running = len(self._running)
        if self.busy:
            running = self.slots
        return {
            "stage": "both",
            "busy": False,
            "seq": self._seq,
            "born": self._born_ms,
            "num-waiting": QUEUE if self.busy else self._waiting,
            "num-running": running,
            "kv-used": 400 * running,
            "kv-total": 147_261,
            "handles": 0,
            "runs": [[name, 400, 1, 0] for name in self._running],
        }

    async def _run_or_drop(self, request):
        run = asyncio.create_task(self._run(request))
        closed = asyncio.create_task(request.reader.read(1))
        await asyncio.wait({run, closed}, return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        await asyncio.wait({closed})
        if run.done():
            return run.result()
        run.cancel()
        return None

    async def _run(self, request):
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        request_id = request.headers.get("dahliashunt-request-id", "")
        self._running[request_id] = True
        run = {"id": request_id, "path": request.path, "replica": self.name}
        run["at"] = time.monotonic()
        self.runs.append(run)
        self._record("run", **run)
        try:
            return await self._stream(request, request_id)
        finally:
            self._running.pop(request_id, None)
            self._free.release()

    async def _stream(self, request, request_id):
        events, gap_ms = map(int, request.body.split())
        head = [
            "HTTP/1.1 200 OK",
            f"Dahliashunt-Request-Id: {request_id}",
            f"Dahliashunt-Response-Seal: seal-{self.name}-{request_id}",
            "Content-Type: text/event-stream",
        ]
        if not self.unframed:
            head.append("Transfer-Encoding: chunked")
        head = "\r\n".join(head).encode() + b"\r\n\r\n"
        request.writer.write(head)
        first = int(request.headers.get("last-event-id", "0")) + 1
        extra = self.extras.pop() if self.extras else b""
        for number in range(first, events + 1):
            await asyncio.sleep(gap_ms / 1000)
            data = _event(number, request_id)
            if extra and number == events:
                self._record("extra", id=request_id, replica=self.name)
                data += extra
            request.writer.write(data if self.unframed else _chunk(data))
            await request.writer.drain()
        self.done.append({"id": request_id, "replica": self.name})
        self._record("ran", id=request_id, replica=self.name)
        if not self.unframed:
            return b"0\r\n\r\n"
        request.writer.write_eof()
        # The caller reads the end before the channel is gone.
        await asyncio.sleep(0.05)
        return None


def _event(number, request_id):
    return b"id: %d\ndata: %d of %s\n\n" % (
        number,
        number,
        request_id.encode(),
    )


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)
