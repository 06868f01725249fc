"""Streams in the engine: start, progress, preemption and end.

Load pattern: streams start, grow and end a hundred times a second.

Without one owner of the occupancy, the pending prefills and the step model's
leader, a stream removed from one but not the others would show room that
doesn't exist.

It also notices an engine that runs fewer streams than its settings say: a
stream then waits for twice the step and prefill that it must wait for in any
case. A report alone doesn't show this, since every arrival waits for the end
of a step.
"""

from dahliashunt.decisions.agent_policy import AgentPolicy
from dahliashunt.decisions.events import Preempt
from dahliashunt.decisions.events import Start
from dahliashunt.decisions.gate import Shortfall
from dahliashunt.decisions.preemption import cheapest_stop
from dahliashunt.decisions.preemption import choose_stops
from dahliashunt.decisions.preemption import resume_prefill
from dahliashunt.decisions.step_model import StepModel
from dahliashunt.decisions.step_model import StepObserver
from dahliashunt.decisions.streams import Occupancy
from dahliashunt.decisions.streams import Stream
from dahliashunt.decisions.streams import StreamState
from dahliashunt.decisions.tail import TailBound
from dahliashunt.ids import AttemptId

__all__ = ["RunningStreams"]

# A stream without a token counts as queued in the engine after this multiple
# of the predicted step and prefill.
_QUEUED_AFTER_RATIO = 2.0


class RunningStreams:
    """Streams in the engine, their occupancy and the step model's samples."""

    def __init__(self, policy: AgentPolicy, model: StepModel, tail: TailBound):
        self._policy = policy
        self._model = model
        self._tail = tail
        self._observer = StepObserver(model)
        self._batch_by_id: dict[AttemptId, Stream] = {}
        self._prefilling_by_id: dict[AttemptId, Stream] = {}
        self.occupancy = Occupancy()
        self.alone: Stream | None = None

    def start(self, now: int, stream: Stream) -> Start:
        """Add the stream and return the decision that starts it."""
        stream.prefill = resume_prefill(stream, self._policy)
        stream.state = StreamState.PREFILL
        stream.started_ms = now
        self.occupancy.add(stream)
        self._observer.started(now)
        self._prefilling_by_id[stream.work.attempt_id] = stream
        if not stream.online:
            self._batch_by_id[stream.work.attempt_id] = stream
        if stream.work.alone:
            self.alone = stream
        return Start(stream.work.attempt_id, stream.how)

    def progress(self, now: int, stream: Stream, count: int) -> bool:
        """Add tokens; return whether a step or a prefill is complete."""
        occupancy = self.occupancy
        stream.generated_tokens += count
        stream.tokens_since_start += count
        occupancy.add_tokens(stream, count)
        attempt_id = stream.work.attempt_id
        if stream.state is StreamState.DECODING:
            gap = self._observer.tokens(now, attempt_id, count, occupancy)
            if gap is not None:
                self._tail.step(gap, occupancy)
            return gap is not None
        occupancy.finish_prefill(stream)
        del self._prefilling_by_id[attempt_id]
        stream.state = StreamState.DECODING
        self._observer.first_token(
            now, attempt_id, stream.prefill, occupancy.running, occupancy.kv
        )
        return True

    def remove(self, stream: Stream) -> None:
        """Remove a stream that left the engine."""
        if stream.state is StreamState.PREFILL:
            self._observer.abandoned()
            del self._prefilling_by_id[stream.work.attempt_id]
        self.occupancy.remove(stream)
        self._observer.stopped_decoding(stream.work.attempt_id)
        self._batch_by_id.pop(stream.work.attempt_id, None)
        if self.alone is stream:
            self.alone = None

    def queues_in_engine(self, now: int, age_ms: int) -> bool:
        """Return whether a stream waited for a slot `age_ms` ago.

        Every stream waits for the running step and its prefill; one without
        a first token for much longer waits for a slot.
        """
        oldest = next(iter(self._prefilling_by_id.values()), None)
        if oldest is None:
            return False
        occupancy = self.occupancy
        step = self._model.predict(occupancy.running, occupancy.kv)
        prompts = occupancy.prefill_online + occupancy.prefill_batch
        stall = prompts * self._model.prefill_ms_per_token
        max_wait = _QUEUED_AFTER_RATIO * (step + stall)
        return oldest.started_ms < now - age_ms - max_wait

    def stop(self, shortfall: Shortfall) -> list[Preempt]:
        """Preempt batch streams to free the shortfall."""
        stops = choose_stops(
            self._unstopped(), shortfall, self._policy, self._model
        )
        for stop in stops:
            self._mark_stopping(self._batch_by_id[stop.attempt_id], stop)
        return stops

    def stop_all(self) -> list[Preempt]:
        """Preempt all batch streams."""
        stops = []
        for stream in self._unstopped():
            _, how = cheapest_stop(stream, self._policy, self._model)
            stops.append(Preempt(stream.work.attempt_id, how))
            self._mark_stopping(stream, stops[-1])
        return stops

    def _unstopped(self) -> list[Stream]:
        return [
            stream
            for stream in self._batch_by_id.values()
            if stream.stopping is None
        ]

    def _mark_stopping(self, stream: Stream, stop: Preempt) -> None:
        stream.stopping = stop.how
        self.occupancy.stop(stream)
