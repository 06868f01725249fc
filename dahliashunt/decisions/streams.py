"""The attempts that an agent holds, and what they use of the engine.

`Occupancy` keeps running sums, so that a decision costs the same with two
streams in the engine as with two hundred.
"""

from dataclasses import dataclass
import enum

from dahliashunt.decisions.events import PreemptHow
from dahliashunt.decisions.events import Priority
from dahliashunt.decisions.events import Work

__all__ = ["Occupancy", "Stream", "StreamState"]


class StreamState(enum.Enum):
    """Where an attempt is."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODING = "decoding"


@dataclass(slots=True)
class Stream:
    """One attempt and its progress.

    Attributes
    ----------
    generated_tokens : int
        Tokens of the answer so far.
    tokens_since_start : int
        Tokens made since the last start.
    how : PreemptHow or None
        How it was stopped, if it waits after a preemption.
    stopping : PreemptHow or None
        Set from the `Preempt` until it takes effect.
    cancelled : bool
        Whether it ends instead of waiting again.
    admitted : bool
        Whether it was found that it can wait.
    prefill : int
        Prompt tokens that the engine computes at the next start.
    """

    work: Work
    state: StreamState = StreamState.WAITING
    generated_tokens: int = 0
    tokens_since_start: int = 0
    how: PreemptHow | None = None
    stopping: PreemptHow | None = None
    preemptions: int = 0
    prefill: int = 0
    kv_at_start: int = 0
    admitted: bool = False
    cancelled: bool = False
    started_ms: int = 0

    @property
    def online(self) -> bool:
        """Whether a caller waits for it."""
        return self.work.priority is Priority.ONLINE

    @property
    def kv_tokens(self) -> int:
        """KV cache that it holds while it runs."""
        return self.work.prompt_tokens + self.generated_tokens


class Occupancy:
    """Sums over the streams that are in the engine."""

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
        """Streams in the engine, those being stopped included."""
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
        """KV tokens of those."""
        return self.kv - self.kv_prefilling

    def add(self, stream: Stream) -> None:
        """Count a stream that was just sent to the engine."""
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
        """Count a stream's prompt as done."""
        self.prefilling -= 1
        self.kv_prefilling -= stream.kv_at_start
        if stream.online:
            self.prefill_online -= stream.prefill
        else:
            self.prefill_batch -= stream.prefill

    def add_tokens(self, stream: Stream, count: int) -> None:
        """Count `count` tokens more of a stream, already added to it."""
        if stream.online:
            self.kv_online += count
            return
        self.kv_batch += count
        if stream.stopping is not None:
            self.kv_stopping += count

    def stop(self, stream: Stream) -> None:
        """Count a batch stream as being stopped."""
        self.stopping += 1
        self.kv_stopping += stream.kv_tokens

    def remove(self, stream: Stream) -> None:
        """Count a stream out of the engine."""
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
