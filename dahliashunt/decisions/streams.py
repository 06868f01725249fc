"""Attempts that an agent holds, and the engine resources they use.

`Occupancy` keeps running sums, so that the cost of a decision doesn't depend
on the number of streams.
"""

from dataclasses import dataclass
import enum

from dahliashunt.decisions.events import AttemptRequest
from dahliashunt.decisions.events import PreemptMode
from dahliashunt.decisions.events import Priority

__all__ = ["Occupancy", "Stream", "StreamState"]


class StreamState(enum.Enum):
    """Phase of an attempt."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODING = "decoding"


@dataclass(slots=True)
class Stream:
    """Progress of one attempt.

    Attributes
    ----------
    generated_tokens : int
        Tokens of the answer so far.
    tokens_since_start : int
        Tokens generated since the last start.
    how : PreemptMode or None
        How it was preempted, if it waits to be started again.
    stopping : PreemptMode or None
        How it is being preempted, until that takes effect.
    preemptions : int
        Preemptions so far.
    prefill : int
        Prompt tokens that the engine computes at the next start.
    kv_at_start : int
        KV tokens at the last start.
    admitted : bool
        Whether it passed the admission check of the online queue.
    cancelled : bool
        Whether it ends, rather than waits again, once it has stopped.
    """

    work: AttemptRequest
    state: StreamState = StreamState.WAITING
    generated_tokens: int = 0
    tokens_since_start: int = 0
    how: PreemptMode | None = None
    stopping: PreemptMode | None = None
    preemptions: int = 0
    prefill: int = 0
    kv_at_start: int = 0
    admitted: bool = False
    cancelled: bool = False
    started_ms: int = 0

    @property
    def online(self) -> bool:
        """Whether it is online work."""
        return self.work.priority is Priority.ONLINE

    @property
    def kv_tokens(self) -> int:
        """KV tokens that it holds while it runs."""
        return self.work.prompt_tokens + self.generated_tokens


class Occupancy:
    """Resource sums over the streams in the engine."""

    def __init__(self):
        self.online = 0
        self.batch = 0
        self.stopping = 0
        self.kv_online = 0
        self.kv_batch = 0
        self.kv_stopping = 0
        self.prefill_batch = 0
        self.prefill_online = 0
        self.prefilling = 0
        self.kv_prefilling = 0

    @property
    def running(self) -> int:
        """Streams in the engine, including those being stopped."""
        return self.online + self.batch

    @property
    def kv(self) -> int:
        """KV tokens in the engine."""
        return self.kv_online + self.kv_batch

    @property
    def decoding(self) -> int:
        """Streams that have their first token."""
        return self.running - self.prefilling

    @property
    def kv_decoding(self) -> int:
        """KV tokens of the decoding streams."""
        return self.kv - self.kv_prefilling

    def add(self, stream: Stream) -> None:
        """Add a stream that was sent to the engine."""
        self.prefilling += 1
        self.kv_prefilling += stream.kv_tokens
        stream.kv_at_start = stream.kv_tokens
        if stream.online:
            self.online += 1
            self.kv_online += stream.kv_tokens
            self.prefill_online += stream.prefill
        else:
            self.batch += 1
            self.kv_batch += stream.kv_tokens
            self.prefill_batch += stream.prefill

    def finish_prefill(self, stream: Stream) -> None:
        """Move a stream from prefill to decoding."""
        self.prefilling -= 1
        self.kv_prefilling -= stream.kv_at_start
        if stream.online:
            self.prefill_online -= stream.prefill
        else:
            self.prefill_batch -= stream.prefill

    def add_tokens(self, stream: Stream, count: int) -> None:
        """Add `count` tokens that the stream already includes."""
        if stream.online:
            self.kv_online += count
            return
        self.kv_batch += count
        if stream.stopping is not None:
            self.kv_stopping += count

    def stop(self, stream: Stream) -> None:
        """Mark a batch stream as being stopped."""
        self.stopping += 1
        self.kv_stopping += stream.kv_tokens

    def remove(self, stream: Stream) -> None:
        """Remove a stream that left the engine."""
        if stream.state is StreamState.PREFILL:
            self.finish_prefill(stream)
        if stream.online:
            self.online -= 1
            self.kv_online -= stream.kv_tokens
            return
        self.batch -= 1
        self.kv_batch -= stream.kv_tokens
        if stream.stopping is not None:
            self.stopping -= 1
            self.kv_stopping -= stream.kv_tokens
