"""The task that runs one attempt on the back end and owns that call."""

import asyncio
from dataclasses import dataclass
from dataclasses import replace
import json

from dahliashunt.agent.messages import EngineData
from dahliashunt.agent.messages import EngineEnd
from dahliashunt.agent.messages import EngineEnded
from dahliashunt.errors import EngineError
from dahliashunt.errors import EngineLost
from dahliashunt.errors import EngineUnreachable
from dahliashunt.errors import StreamUnknown
from dahliashunt.ids import AttemptId
from dahliashunt.mailbox import Mailbox
from dahliashunt.ports.engine import Engine
from dahliashunt.ports.engine import EngineCall

__all__ = ["Runner", "RunnerJob"]

MAX_MOVES = 3
"""New connections tried in a row without any event coming."""


@dataclass(frozen=True, slots=True)
class RunnerJob:
    """What a runner is to do.

    Attributes
    ----------
    from_event : int or None
        Resume the engine's stream from this event; None starts it.
    kv_handle : str or None
        Exported KV cache to start from.
    may_move : bool
        Whether a lost connection may be replaced by resuming the stream;
        a plain service knows no resume.
    start : int
        Which start of the attempt this is, counted from 1.
    """

    call: EngineCall
    timeout_ms: int
    from_event: int | None = None
    kv_handle: str | None = None
    may_move: bool = True
    start: int = 1

    @property
    def stream_id(self) -> AttemptId:
        """The id that the engine knows this start by.

        A preempted attempt is started again, and the engine still knows
        the stream that was stopped. Under the same id it refuses the
        second start as known, and that refusal would become the batch
        item's result; so each later start has an id of its own.
        """
        if self.start == 1:
            return self.call.attempt_id
        return AttemptId(f"{self.call.attempt_id}.{self.start}")


class Runner:
    """Runs one attempt; its messages go to `owner`.

    Parameters
    ----------
    engine : Engine
    job : RunnerJob
    owner : Mailbox
        Gets `EngineData` and one `EngineEnded`.
    silent_ms : int
        Longest gap between two reads of a running stream.
    """

    def __init__(
        self, engine: Engine, job: RunnerJob, owner: Mailbox, silent_ms: int
    ):
        self._engine = engine
        self._job = job
        self._owner = owner
        self._silent_ms = silent_ms
        self._next_event = job.from_event or 0
        self._started = job.from_event is not None
        self._task = None
        self._begun = False
        self._stop = None

    @property
    def attempt_id(self) -> AttemptId:
        """The attempt that this runs."""
        return self._job.call.attempt_id

    def start(self) -> None:
        """Start the task."""
        self._task = asyncio.create_task(self._run())

    def cancel(self) -> None:
        """Stop the engine's stream; ends as CANCELLED."""
        self._stop_as(EngineEnd.CANCELLED)

    def export(self) -> None:
        """Stop the engine's stream, keep its KV; ends as EXPORTED."""
        self._stop_as(EngineEnd.EXPORTED)

    def abandon(self) -> None:
        """Let go of the call without touching the engine's stream."""
        self._task.cancel()

    def _stop_as(self, end):
        if self._stop is not None or self._task.done():
            return
        self._stop = end
        if self._begun:
            # A task that is cancelled before its first step ends without
            # running a line, and would never say that it ended.
            self._task.cancel()

    async def _run(self):
        self._begun = True
        if self._stop is not None:
            self._owner.put(await self._stopped())
            return
        try:
            async with asyncio.timeout(self._job.timeout_ms / 1000):
                ended = await self._read_moving()
        except TimeoutError:
            text = await self._cancel_engine()
            ended = EngineEnded(self.attempt_id, EngineEnd.TIMED_OUT, text)
        except asyncio.CancelledError:
            if self._stop is None:
                raise
            ended = await self._stopped()
        self._owner.put(ended)

    async def _read_moving(self):
        """Read the stream, moving it to new connections when it is cut."""
        moves = 0
        while True:
            before = self._next_event
            try:
                await self._read_once()
                return EngineEnded(self.attempt_id, EngineEnd.WHOLE)
            except StreamUnknown as error:
                # The engine has forgotten it: it died or dropped it.
                return self._ended(EngineEnd.LOST, error)
            except EngineUnreachable as error:
                if not self._started:
                    return self._ended(EngineEnd.UNREACHABLE, error)
                lost = error
            except EngineLost as error:
                # Some bytes may have reached the engine, so the attempt
                # counts as started whatever comes next.
                self._started = True
                lost = error
            moves = 0 if self._next_event > before else moves + 1
            if moves > MAX_MOVES or not self._job.may_move:
                return self._ended(EngineEnd.LOST, lost)
            await asyncio.sleep(0.02 * moves)

    def _ended(self, end, error):
        return EngineEnded(self.attempt_id, end, str(error))

    async def _read_once(self):
        if self._started:
            stream = self._engine.resume(
                self._job.stream_id, self._next_event, self._silent_ms
            )
        else:
            stream = self._engine.call(self._call(), self._silent_ms)
        async for events in stream:
            self._started = True
            self._next_event += events.events
            self._owner.put(EngineData(self.attempt_id, events))

    def _call(self):
        """Return the call, with the KV handle in its body if there is one."""
        call = replace(self._job.call, attempt_id=self._job.stream_id)
        if self._job.kv_handle is None:
            return call
        body = json.loads(call.body)
        body["kv_handle"] = self._job.kv_handle
        return replace(call, body=json.dumps(body).encode())

    async def _stopped(self):
        if self._stop is EngineEnd.EXPORTED:
            try:
                handle = await self._engine.export_kv(self._job.stream_id)
            except EngineError:
                # Its cancel, which comes next, tells what is wrong.
                handle = None
            if handle is not None:
                return EngineEnded(
                    self.attempt_id, EngineEnd.EXPORTED, kv_handle=handle
                )
        text = await self._cancel_engine()
        return EngineEnded(self.attempt_id, EngineEnd.CANCELLED, text)

    async def _cancel_engine(self):
        """Stop the engine's stream; return why that failed, or nothing.

        Best effort within the silence limit: the engine stops orphaned
        streams by itself, and when it is gone there is nothing to stop.
        Whatever the engine answers, the run must end, else its slot is
        taken for ever.
        """
        try:
            await self._engine.cancel(self._job.stream_id)
        except EngineError as error:
            return f"not stopped at the engine: {error}"
        return ""
