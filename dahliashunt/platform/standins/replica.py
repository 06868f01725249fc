"""A replica whose answers, bytes and silences a test chooses."""

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
from dahliashunt.platform.names import REQUEST_ID
from dahliashunt.platform.names import SIGNATURE

__all__ = ["Arrival", "ReplicaStandin", "Step", "report_answer"]


@dataclass(frozen=True)
class Step:
    """What the replica does with one request.

    Attributes
    ----------
    status : int
    not_run : bool
        Say that the request did not run.
    events : int
        Length of the stream; 0 answers with `body` at once.
    cut_after : int or None
        Reset the connection after so many events, in the middle of one.
    silent_after : int or None
        Send nothing more after so many events.
    body : bytes
    cut_body_at : int or None
        Close the connection after so many bytes of the body.
    extra : bytes
        Sent after the answer, belonging to nothing.
    gap_ms : int
        Between events.
    head_ms : int
        Before the head.
    reset_unanswered : bool
        Reset the connection instead of the head.
    """

    status: int = 200
    not_run: bool = False
    events: int = 0
    cut_after: int | None = None
    silent_after: int | None = None
    body: bytes = b"answer"
    cut_body_at: int | None = None
    extra: bytes = b""
    gap_ms: int = 0
    head_ms: int = 0
    reset_unanswered: bool = False


@dataclass
class Arrival:
    """One request as the replica got it."""

    method: str
    target: str
    headers: dict
    body: bytes
    ended: bool = False

    @property
    def request_id(self) -> str:
        """The request's id, empty if it has none."""
        return self.headers.get(REQUEST_ID, "")

    @property
    def asks_report(self) -> bool:
        """Whether the agent beside the replica asks what runs there."""
        return self.target == REPORT_PATH


@dataclass
class ReplicaStandin:
    """Serves on a free loopback port; `steps` are used up in order.

    Attributes
    ----------
    replica_id : str
    steps : deque of Step
        The last one is used again.
    arrivals : list of Arrival
    running : int
        Requests that are being answered.
    address : (str, int) or None
        Once started.
    """

    replica_id: str = "i-1"
    steps: collections.deque = field(default_factory=collections.deque)
    arrivals: list = field(default_factory=list)
    running: int = 0
    address: tuple[str, int] | None = None
    _server: object = None
    _tasks: set = field(default_factory=set)

    async def start(self) -> tuple[str, int]:
        """Listen; return the address."""
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

    def cut_all(self) -> None:
        """End every connection, as a loss of power does."""
        for task in list(self._tasks):
            task.cancel()

    def then(self, **step) -> "ReplicaStandin":
        """Add a step."""
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
        await asyncio.wait({closed, answer}, return_when="FIRST_COMPLETED")
        if not answer.done():
            # The caller closed the connection: the work stops.
            answer.cancel()
            await asyncio.gather(closed, answer, return_exceptions=True)
            return False
        closed.cancel()
        # A reset by the caller is the end of its connection, no more.
        await asyncio.gather(closed, return_exceptions=True)
        return answer.result()

    async def _answer(self, arrival, step, writer):
        await asyncio.sleep(step.head_ms / 1000)
        if step.reset_unanswered:
            return False
        writer.write(self._head(arrival, step))
        if step.cut_body_at is not None:
            writer.write(step.body[: step.cut_body_at])
            await writer.drain()
            return False
        if not step.events:
            writer.write(step.body + step.extra)
            await writer.drain()
            return True
        first = int(arrival.headers.get(LAST_EVENT, "0")) + 1
        for sent, number in enumerate(range(first, step.events + 1)):
            if step.cut_after is not None and sent >= step.cut_after:
                writer.write(_chunk(b"id: %d\ndata: cu" % number))
                await writer.drain()
                return False
            if step.silent_after is not None and sent >= step.silent_after:
                await asyncio.Event().wait()
            writer.write(_chunk(_event(number)))
            await writer.drain()
            await asyncio.sleep(step.gap_ms / 1000)
        writer.write(b"0\r\n\r\n" + step.extra)
        await writer.drain()
        return True

    def _head(self, arrival, step):
        lines = [
            f"HTTP/1.1 {step.status} X",
            f"{REQUEST_ID}: {arrival.request_id}",
        ]
        if step.not_run:
            lines.append(f"{NOT_RUN}: 1")
        else:
            lines.append(f"{SIGNATURE}: seal-{self.replica_id}")
        if step.events:
            lines.append("Transfer-Encoding: chunked")
            lines.append("Content-Type: text/event-stream")
        else:
            lines.append(f"Content-Length: {len(step.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"


def report_answer(running: list[str], waiting: int) -> bytes:
    """Return the whole answer with a replica's report of its load."""
    runs = [[request_id, 0, 0, 0] for request_id in running]
    fields = {
        "runs": runs,
        "num-running": len(runs),
        "num-waiting": waiting,
    }
    body = json.dumps(fields).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def _event(number):
    return b"id: %d\ndata: text %d\n\n" % (number, number)


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
            headers = {n.decode(): v.decode() for n, v in request.headers}
            method = request.method.decode()
            return Arrival(method, request.target.decode(), headers, body)
        else:
            return None
