"""The running part of a stand-in engine: its steps and its streams."""

import asyncio
import itertools

from dahliashunt.adapters.engine.prefixes import prefix_blocks
from dahliashunt.ports.clock import Clock
from dahliashunt.standins.engine_answer import EventWriter
from dahliashunt.standins.engine_model import EngineModel
from dahliashunt.standins.engine_model import EngineTiming
from dahliashunt.standins.engine_model import ModelStream
from dahliashunt.standins.engine_request import CompletionRequest
from dahliashunt.standins.engine_streams import Stream
from dahliashunt.standins.engine_streams import StreamBook
from dahliashunt.standins.engine_streams import StreamState
from dahliashunt.standins.faults import Faults

__all__ = ["EngineCore", "kv_handle"]

_MAX_LATE_MS = 100


def kv_handle(request: CompletionRequest, made: int) -> str:
    """Return the handle of an exported KV cache.

    It says itself what the cache holds, so that any stand-in engine can
    import it, as if the caches lay in a store between the engines.
    """
    return f"kv-{request.digest()}-{made}"


class EngineCore:
    """Streams driven through the model's steps.

    Parameters
    ----------
    timing : EngineTiming
        With no `base_ms`, answers are made at once and whole.
    book : StreamBook
    clock : Clock
    faults : Faults
    orphan_ms : int
        For which a stream that nobody reads goes on.
    """

    def __init__(
        self,
        timing: EngineTiming,
        book: StreamBook,
        clock: Clock,
        faults: Faults,
        orphan_ms: int,
    ):
        self.model = EngineModel(timing)
        self.book = book
        self._timing = timing
        self._clock = clock
        self.faults = faults
        self._orphan_ms = orphan_ms
        self._work = asyncio.Event()
        self._numbers = itertools.count(1)
        self._tasks = set()

    def start(
        self, stream_id: str, origin_id: str, request: CompletionRequest
    ) -> Stream | None:
        """Start a stream; return None if it can never fit."""
        stream_id = stream_id or f"engine-{next(self._numbers)}"
        instant = not self._timing.base_ms
        in_model = _model_stream(stream_id, request, instant)
        if not self.model.fits(in_model):
            return None
        writer = EventWriter(stream_id, request)
        stream = Stream(stream_id, origin_id, request, in_model, writer)
        self.book.add(stream)
        if instant or in_model.made >= in_model.max_tokens:
            in_model.made = in_model.max_tokens
            self.book.end(stream, StreamState.FINISHED)
        else:
            self.model.submit(in_model)
            self._work.set()
        return stream

    def stop(self, stream: Stream, state: StreamState):
        """End a stream early; nothing happens if it has ended."""
        if stream.is_open:
            self.model.remove(stream.stream_id)
            self.book.end(stream, state)

    def release(self, stream: Stream, reader: asyncio.Event):
        """Take a reader from a stream.

        A stream left without readers goes on for a while, for a reader
        that resumes it, and is then cancelled.
        """
        stream.readers.discard(reader)
        if stream.is_open and not stream.readers:
            task = asyncio.create_task(self._cancel_orphan(stream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def reset(self):
        """Lose every stream and the cache, as a crash does."""
        self.book.clear()
        self.model = EngineModel(self._timing)

    async def run(self):
        """Make steps for as long as there is work; never returns."""
        due_ms = float(self._clock.now_ms())
        while True:
            if not self.model.running and not self.model.waiting:
                self._work.clear()
                await self._work.wait()
                due_ms = float(self._clock.now_ms())
            due_ms = await self._step(due_ms)

    async def _step(self, begin_ms: float) -> float:
        """Make one step and return when the next one begins.

        A step begins where the last one ended, not when this task came to
        run, so that the engine's speed does not hang on the event loop's;
        it catches up with a late event loop, within a bound, but not with a
        time for which it was frozen.
        """
        step_ms = self.model.begin_step() * self.faults.slow_factor
        due_ms = begin_ms + step_ms
        await self._clock.sleep_ms(round(due_ms - self._clock.now_ms()))
        if await self.faults.thawed():
            due_ms = float(self._clock.now_ms())
        for in_model in self.model.end_step():
            self._progress(in_model)
        return max(due_ms, self._clock.now_ms() - _MAX_LATE_MS)

    def _progress(self, in_model):
        stream = self.book.get(in_model.stream_id)
        if stream is None:
            return
        if in_model.made >= in_model.max_tokens:
            self.book.end(stream, StreamState.FINISHED)
        else:
            stream.wake_readers()

    async def _cancel_orphan(self, stream):
        await self._clock.sleep_ms(self._orphan_ms)
        if stream.is_open and not stream.readers:
            self.book.counts.totals["orphans"] += 1
            self.stop(stream, StreamState.CANCELLED)


def _model_stream(stream_id, request, instant) -> ModelStream:
    """Return what the model has to know of a request.

    Tokens that an imported KV cache holds need no steps: their events are
    there from the start, with the same numbers.
    """
    in_model = ModelStream(
        stream_id, request.prompt_tokens, max_tokens=request.tokens
    )
    if not instant:
        in_model.blocks = prefix_blocks(request.model, request.prompt)
    handle, _, made = request.kv_handle.rpartition("-")
    if handle == f"kv-{request.digest()}" and made.isdigit():
        in_model.imported_tokens = request.prompt_tokens
        in_model.made = min(int(made), request.tokens)
    return in_model
