"""Streams of a stand-in engine: those that run and those lately ended."""

import asyncio
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from dataclasses import fields
import enum

from dahliashunt.ports.clock import Clock
from dahliashunt.standins.engine_answer import EventWriter
from dahliashunt.standins.engine_model import ModelStream
from dahliashunt.standins.engine_request import CompletionRequest

__all__ = ["Stream", "StreamBook", "StreamCounts", "StreamState"]


class StreamState(enum.Enum):
    """How far a stream has come."""

    OPEN = "open"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    EXPORTED = "exported"


@dataclass(slots=True)
class StreamCounts:
    """How often streams started and ended, by request id and in all.

    The ids are those of X-Request-Id and, apart, X-Origin-Request-Id.
    """

    starts: Counter = field(default_factory=Counter)
    finishes: Counter = field(default_factory=Counter)
    cancels: Counter = field(default_factory=Counter)
    exports: Counter = field(default_factory=Counter)
    origin_starts: Counter = field(default_factory=Counter)
    origin_finishes: Counter = field(default_factory=Counter)
    origin_cancels: Counter = field(default_factory=Counter)
    totals: Counter = field(default_factory=Counter)

    def as_json(self) -> dict[str, dict[str, int]]:
        """Return each counter by its name."""
        return {
            each.name: dict(getattr(self, each.name)) for each in fields(self)
        }


@dataclass(slots=True, eq=False)
class Stream:
    """One answer in the making.

    Attributes
    ----------
    stream_id, origin_id : str
    request : CompletionRequest
    in_model : ModelStream
    writer : EventWriter
    state : StreamState
    readers : set of asyncio.Event
        Set whenever there is more to read.
    ended_ms : int
    """

    stream_id: str
    origin_id: str
    request: CompletionRequest
    in_model: ModelStream
    writer: EventWriter
    state: StreamState = StreamState.OPEN
    readers: set[asyncio.Event] = field(default_factory=set)
    ended_ms: int = 0

    @property
    def is_open(self) -> bool:
        """Return whether tokens are still to come."""
        return self.state is StreamState.OPEN

    @property
    def ready(self) -> int:
        """Return how many events can be read."""
        finished = self.state is StreamState.FINISHED
        return self.writer.ready(self.in_model.made, finished)

    def wake_readers(self):
        """Tell the readers that there is more."""
        for reader in self.readers:
            reader.set()


class StreamBook:
    """All streams that the engine still knows, and what it counted.

    Parameters
    ----------
    clock : Clock
    keep_ms : int
        For which an ended stream can be resumed.
    keep_streams : int
        Ended streams kept at most.
    count_ids : bool
        Whether counts are kept by id too, which takes memory.
    """

    def __init__(
        self,
        clock: Clock,
        keep_ms: int,
        keep_streams: int,
        count_ids: bool = True,
    ):
        self.counts = StreamCounts()
        self._clock = clock
        self._count_ids = count_ids
        self._keep_ms = keep_ms
        self._keep_streams = keep_streams
        self._by_id: dict[str, Stream] = {}
        self._ended = deque()

    def add(self, stream: Stream):
        """Start to keep a stream."""
        self._forget_old()
        self._by_id[stream.stream_id] = stream
        counts = self.counts
        counts.totals["starts"] += 1
        self._count_by_id(stream, counts.starts, counts.origin_starts)

    def get(self, stream_id: str) -> Stream | None:
        """Return a stream that is still known, or None."""
        self._forget_old()
        return self._by_id.get(stream_id)

    def ids(self) -> list[str]:
        """Return the ids of all known streams."""
        self._forget_old()
        return list(self._by_id)

    def end(self, stream: Stream, state: StreamState):
        """End a stream and wake its readers."""
        stream.state = state
        stream.ended_ms = self._clock.now_ms()
        self._ended.append(stream)
        self._count_end(stream)
        stream.wake_readers()

    def clear(self):
        """Forget every stream, as a crash does; the counts stay."""
        for stream in self._by_id.values():
            if stream.is_open:
                stream.state = StreamState.CANCELLED
            stream.wake_readers()
        self._by_id.clear()
        self._ended.clear()

    def _count_end(self, stream):
        counts = self.counts
        by_state = {
            StreamState.FINISHED: (counts.finishes, counts.origin_finishes),
            StreamState.CANCELLED: (counts.cancels, counts.origin_cancels),
            StreamState.EXPORTED: (counts.exports, counts.origin_cancels),
        }
        self._count_by_id(stream, *by_state[stream.state])
        counts.totals[stream.state.value] += 1
        counts.totals["tokens"] += stream.in_model.made

    def _count_by_id(self, stream, by_id, by_origin):
        if self._count_ids:
            by_id[stream.stream_id] += 1
            if stream.origin_id:
                by_origin[stream.origin_id] += 1

    def _forget_old(self):
        oldest_ms = self._clock.now_ms() - self._keep_ms
        while self._ended and (
            len(self._ended) > self._keep_streams
            or self._ended[0].ended_ms < oldest_ms
        ):
            stream = self._ended.popleft()
            if self._by_id.get(stream.stream_id) is stream:
                del self._by_id[stream.stream_id]
