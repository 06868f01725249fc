"""HTTP replica with scripted answers, delays and failures."""

import asyncio
import collections
from dataclasses import dataclass
from dataclasses import field
import json

import h11

from dahliashunt.platform.dialect import REPORT_PATH
from dahliashunt.platform.names import EXPECTED_REPLICA
from dahliashunt.platform.names import LAST_EVENT
from dahliashunt.platform.names import NOT_RUN
from dahliashunt.platform.names import PROMPT_PARTS
from dahliashunt.platform.names import REQUEST_ID
from dahliashunt.platform.names import SIGNATURE
from dahliashunt.platform.prompts import shared_parts

__all__ = ["Arrival", "ReplicaStandin", "Step", "report_answer"]


@dataclass(frozen=True)
class Step:
    """Scripted handling of one request.

    Attributes
    ----------
    status : int
    not_run : bool
        Mark the answer as not run.
    events : int
        Number of events in the stream; 0 answers with `body` instead.
    cut_after : int or None
        Send this many events, then reset the connection within the next.
    silent_after : int or None
        Stall after this many events, with the connection open.
    body : bytes
    cut_body_at : int or None
        Close the connection after this many bytes of the body.
    extra : bytes
        Surplus bytes sent after the end of the answer.
    inserted, inserted_after : bytes, int
        Bytes sent together with the event of this number, after it.
    gap_ms : int
        Delay between events.
    head_ms : int
        Delay before the response head.
    reset_unanswered : bool
        Reset the connection before the response head.
    late : bytes
        Sent before the answer, as a late answer of an earlier request.
    anonymous : bool
        Leave the request's id out of the answer.
    unsigned : bool
        Leave the signature and the request's id out of the answer, as a
        faulty replica does.
    unframed : bool
        Send a stream with neither length nor chunks, which ends with its
        connection.
    """

    status: int = 200
    not_run: bool = False
    events: int = 0
    cut_after: int | None = None
    silent_after: int | None = None
    body: bytes = b"answer"
    cut_body_at: int | None = None
    extra: bytes = b""
    inserted: bytes = b""
    inserted_after: int = 0
    gap_ms: int = 0
    head_ms: int = 0
    reset_unanswered: bool = False
    late: bytes = b""
    anonymous: bool = False
    unsigned: bool = False
    unframed: bool = False


@dataclass
class Arrival:
    """A request received by the replica."""

    method: str
    target: str
    headers: dict
    body: bytes
    ended: bool = False

    @property
    def request_id(self) -> str:
        """Request id, or an empty string."""
        return self.headers.get(REQUEST_ID, "")

    @property
    def parts(self) -> tuple[str, ...]:
        """Ids of the prompt's parts but the last one."""
        return shared_parts(self.headers.get(PROMPT_PARTS, ""))

    @property
    def asks_report(self) -> bool:
        """Whether the request is an agent's query for the replica's load."""
        return self.target == REPORT_PATH


@dataclass
class ReplicaStandin:
    """HTTP server on a free loopback port that follows scripted steps.

    Attributes
    ----------
    replica_id : str
    version : str or None
        Version of its software, as its row states it.
    crashing_part : str or None
        Prompt part that closes all connections once a request with it has
        run for `crash_ms`; its stream stalls before the last event.
    crashes : int
        How often that happened; runs that end together count once.
    steps : deque of Step
        Consumed in order, one per request; the last one is reused.
    arrivals : list of Arrival
    running : int
        Number of requests in progress.
    connections : int
        Number of connections accepted.
    address : (str, int) or None
        Set by `start`.
    """

    replica_id: str = "i-1"
    version: str | None = "v1"
    crashing_part: str | None = None
    crash_ms: int = 5
    crashes: int = 0
    steps: collections.deque = field(default_factory=collections.deque)
    arrivals: list = field(default_factory=list)
    running: int = 0
    connections: int = 0
    address: tuple[str, int] | None = None
    _crashed_s: float = 0.0
    _server: object = None
    _tasks: set = field(default_factory=set)

    async def start(self) -> tuple[str, int]:
        """Start to listen; return the address."""
        self._server = await asyncio.start_server(
            self._connected, "127.0.0.1", 0
        )
        self.address = self._server.sockets[0].getsockname()
        return self.address

    async def stop(self) -> None:
        """Close the port and every connection."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _crash(self, began_s):
        if began_s < self._crashed_s:
            # Another run has crashed it meanwhile.
            return
        self._crashed_s = asyncio.get_running_loop().time()
        self.crashes += 1
        self.cut_all()

    def cut_all(self) -> None:
        """Close every connection, as a power loss does."""
        for task in list(self._tasks):
            task.cancel()

    def then(self, **step) -> "ReplicaStandin":
        """Append a step; return the replica, for chaining."""
        self.steps.append(Step(**step))
        return self

    async def _connected(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, h11.RemoteProtocolError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        connection = h11.Connection(h11.SERVER)
        while True:
            arrival = await _read(connection, reader)
            if arrival is None:
                return
            self.arrivals.append(arrival)
            self.running += 1
            try:
                keep_alive = await self._run(arrival, reader, writer)
            finally:
                self.running -= 1
            arrival.ended = True
            if not keep_alive:
                writer.transport.abort()
                return
            connection = h11.Connection(h11.SERVER)

    def _step(self):
        if not self.steps:
            return Step()
        if len(self.steps) == 1:
            return self.steps[0]
        return self.steps.popleft()

    async def _run(self, arrival, reader, writer):
        step = self._step()
        expected = arrival.headers.get(EXPECTED_REPLICA, self.replica_id)
        if expected != self.replica_id:
            step = Step(status=421, not_run=True, body=b"")
        closed = asyncio.create_task(reader.read(1))
        answer = asyncio.create_task(self._answer(arrival, step, writer))
        try:
            await asyncio.wait({closed, answer}, return_when="FIRST_COMPLETED")
            is_answered = answer.done()
        finally:
            closed.cancel()
            answer.cancel()
            # Ignores a connection reset by the caller.
            await asyncio.gather(closed, answer, return_exceptions=True)
        # Otherwise the caller closed the connection.
        return answer.result() if is_answered else False

    async def _answer(self, arrival, step, writer):
        if self.crashing_part not in arrival.parts:
            return await self._send_answer(arrival, step, writer, False)
        loop = asyncio.get_running_loop()
        crash = loop.call_later(self.crash_ms / 1000, self._crash, loop.time())
        try:
            return await self._send_answer(arrival, step, writer, True)
        finally:
            crash.cancel()

    async def _send_answer(self, arrival, step, writer, will_crash):
        await asyncio.sleep(step.head_ms / 1000)
        if step.reset_unanswered:
            return False
        writer.write(step.late + self._head(arrival, step))
        if step.cut_body_at is not None:
            writer.write(step.body[: step.cut_body_at])
            await writer.drain()
            return False
        if not step.events:
            writer.write(step.body + step.extra)
            await writer.drain()
            return True
        frame = bytes if step.unframed else _chunk
        first = int(arrival.headers.get(LAST_EVENT, "0")) + 1
        for sent, number in enumerate(range(first, step.events + 1)):
            if step.cut_after is not None and sent >= step.cut_after:
                writer.write(frame(b"id: %d\ndata: cu" % number))
                await writer.drain()
                return False
            stalls = (
                step.silent_after is not None and sent >= step.silent_after
            )
            if stalls or (will_crash and number == step.events):
                await asyncio.Event().wait()
            data = self.event(number)
            if number == step.inserted_after:
                data += step.inserted
            writer.write(frame(data))
            await writer.drain()
            await asyncio.sleep(step.gap_ms / 1000)
        if step.unframed:
            return False
        writer.write(b"0\r\n\r\n" + step.extra)
        await writer.drain()
        return True

    def event(self, number) -> bytes:
        """Return an event of a stream."""
        return b"id: %d\ndata: text %d\n\n" % (number, number)

    def _head(self, arrival, step):
        lines = [f"HTTP/1.1 {step.status:03} X"]
        if not step.anonymous and not step.unsigned:
            lines.append(f"{REQUEST_ID}: {arrival.request_id}")
        if step.not_run:
            lines.append(f"{NOT_RUN}: 1")
        elif not step.unsigned:
            lines.append(f"{SIGNATURE}: seal-{self.replica_id}")
        if step.events:
            if not step.unframed:
                lines.append("Transfer-Encoding: chunked")
            lines.append("Content-Type: text/event-stream")
        else:
            lines.append(f"Content-Length: {len(step.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"


def report_answer(running: list[str], waiting: int) -> bytes:
    """Return the HTTP response with a replica's load report."""
    runs = [[request_id, 0, 0, 0] for request_id in running]
    fields = {
        "runs": runs,
        "num-running": len(runs),
        "num-waiting": waiting,
    }
    body = json.dumps(fields).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _read(connection, reader):
    """Return the next request, or None at the connection's end."""
    request, body = None, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(65536)
            if not data:
                return None
            connection.receive_data(data)
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            headers = {
                n.decode(): v.decode("latin-1") for n, v in request.headers
            }
            method = request.method.decode()
            return Arrival(method, request.target.decode(), headers, body)
        else:
            return None
