"""Decisions of the agent on what its engine runs.

Load pattern: online bursts and idle seconds on one engine without priorities.

`AgentDecisions` holds the waiting attempts, sends the engine no more than it
runs without queueing, fills idle capacity with batch, and preempts batch
streams when online work needs the room.

Each call takes ``now`` in monotonic milliseconds and returns decisions; an
offered attempt without a decision waits.
"""

from dataclasses import dataclass
import random

from dahliashunt.decisions.agent_decider import Decider
from dahliashunt.decisions.agent_decider import Decision
from dahliashunt.decisions.agent_policy import AgentPolicy
from dahliashunt.decisions.events import AttemptRequest
from dahliashunt.decisions.events import PreemptMode
from dahliashunt.decisions.events import RefuseAttempt
from dahliashunt.decisions.gates import GATES
from dahliashunt.decisions.running import RunningStreams
from dahliashunt.decisions.step_model import StepModel
from dahliashunt.decisions.streams import Stream
from dahliashunt.decisions.streams import StreamState
from dahliashunt.decisions.tail import TailBound
from dahliashunt.decisions.wait_estimator import WaitEstimator
from dahliashunt.errors import ErrorKind
from dahliashunt.ids import AttemptId
from dahliashunt.ports.engine import EngineLoad

__all__ = ["AgentDecisions", "AgentStatus", "Decision"]

# Another endpoint can take the attempt immediately.
_LEAVING_RETRY_MS = 1
# Weight of one ended item in the mean KV size of batch items.
_ITEM_WEIGHT = 0.1
_ITEM_PRIOR_TOKENS = 600.0


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """Status of the endpoint that the agent reports."""

    running_online: int
    running_batch: int
    waiting_online: int
    waiting_batch: int
    step_ms: float
    kv_used_tokens: int
    kv_total_tokens: int
    batch_room: int


class AgentDecisions:
    """Decisions on the attempts offered to one engine.

    Parameters
    ----------
    policy : AgentPolicy
        Thresholds, and the name of the gate.
    rng : random.Random
        Source of the jitter of Retry-After.

    Examples
    --------
    >>> from dahliashunt.decisions.events import Priority
    >>> agent = AgentDecisions(AgentPolicy(), random.Random(1))
    >>> work = AttemptRequest("a", Priority.ONLINE, "c", 100, 50, 700, True)
    >>> agent.offer(0, work)
    [Start(attempt_id='a', how=None)]
    """

    def __init__(self, policy: AgentPolicy, rng: random.Random):
        self.policy = policy
        self.model = StepModel()
        tail = TailBound(policy, self.model)
        self._gate = GATES.get(policy.gate)(policy, self.model, tail)
        self._wait_estimator = WaitEstimator(rng, policy.max_retry_after_ms)
        self._running = RunningStreams(policy, self.model, tail)
        self._decider = Decider(
            policy, self.model, self._gate, self._running, self._wait_estimator
        )
        self._waiting = self._decider.waiting
        self._by_id = self._decider.by_id
        self._leaving = False
        self._item_tokens = _ITEM_PRIOR_TOKENS

    def offer(self, now: int, work: AttemptRequest) -> list[Decision]:
        """Add an attempt, which starts, is refused, or waits.

        A known attempt is ignored: a link that reconnects sends its
        requests again.
        """
        if work.attempt_id in self._by_id:
            return []
        if self._leaving:
            kind = ErrorKind.LEAVING
            return [RefuseAttempt(work.attempt_id, kind, _LEAVING_RETRY_MS)]
        stream = Stream(work, generated_tokens=work.done_tokens)
        stream.prefill = work.prompt_tokens
        self._by_id[work.attempt_id] = stream
        self._waiting.add(stream)
        return self._decide(now)

    def tokens(
        self, now: int, attempt_id: AttemptId, count: int
    ) -> list[Decision]:
        """Record tokens of an answer; decide again once a step."""
        stream = self._by_id.get(attempt_id)
        if stream is None or stream.state is StreamState.WAITING:
            return []
        if stream.online:
            self._wait_estimator.tokens_generated(count)
        if self._running.progress(now, stream, count):
            return self._decide(now)
        return []

    def engine_load(self, now: int, load: EngineLoad) -> list[Decision]:
        """Update from the engine's delayed load report."""
        if self.model.samples == 0 and load.step_ms > 0 and load.running:
            self.model.observe(load.step_ms, load.running, load.kv_used_tokens)
        queueing = self._running.queues_in_engine(now, load.age_ms)
        decoding = self._running.occupancy.decoding
        self._gate.update_limits(now, load, queueing, decoding)
        return self._decide(now)

    def ended(self, now: int, attempt_id: AttemptId) -> list[Decision]:
        """Remove an attempt that ended in the engine or was cancelled."""
        stream = self._by_id.pop(attempt_id, None)
        if stream is None:
            return []
        if stream.state is StreamState.WAITING:
            self._waiting.remove(stream)
            return self._decide(now)
        if stream.online:
            self._wait_estimator.answer_ended()
            self._gate.answer_tokens = self._wait_estimator.answer_tokens
        else:
            error = stream.kv_tokens - self._item_tokens
            self._item_tokens += _ITEM_WEIGHT * error
        self._running.remove(stream)
        return self._decide(now)

    def preempted(
        self,
        now: int,
        attempt_id: AttemptId,
        how: PreemptMode,
        done_tokens: int,
    ) -> list[Decision]:
        """Return a preempted stream to the front of its queue."""
        stream = self._by_id.get(attempt_id)
        if stream is None or stream.state is StreamState.WAITING:
            return []
        if stream.cancelled:
            return self.ended(now, attempt_id)
        self._running.remove(stream)
        stream.state = StreamState.WAITING
        stream.stopping = None
        stream.how = how
        stream.generated_tokens = (
            0 if how is PreemptMode.RESTART else done_tokens
        )
        stream.tokens_since_start = 0
        stream.preemptions += 1
        if self._leaving:
            return [self._decider.refuse(stream, ErrorKind.LEAVING, 1)]
        self._waiting.put_back(stream)
        return self._decide(now)

    def cancel(self, now: int, attempt_id: AttemptId) -> list[Decision]:
        """Remove a waiting attempt; a running one stays until it ends."""
        stream = self._by_id.get(attempt_id)
        if stream is None:
            return []
        if stream.state is not StreamState.WAITING:
            stream.cancelled = True
            return []
        return self.ended(now, attempt_id)

    def leaving(self, now: int) -> list[Decision]:
        """Refuse all waiting attempts and all offers from now on."""
        self._leaving = True
        return [
            self._decider.refuse(stream, ErrorKind.LEAVING, _LEAVING_RETRY_MS)
            for stream in self._waiting.clear()
        ]

    def tick(self, now: int) -> list[Decision]:
        """Decide again; call it at `wake_ms`."""
        return self._decide(now)

    def wake_ms(self) -> int | None:
        """Return the latest time to call `tick`, or None."""
        return self._waiting.wake_ms()

    def batch_room(self) -> int:
        """Return how many batch items the agent can take now."""
        waiting = self._waiting
        if self._leaving or self._decider.alone_blocks_others():
            return 0
        fits = self._gate.room(int(self._item_tokens), self._running.occupancy)
        held = len(waiting.batch)
        short_limit = self._gate.short_prompt_tokens()
        long_prompts = sum(
            stream.prefill > short_limit for stream in waiting.batch
        )
        room = fits + self._buffer_items() - (held - long_prompts)
        return max(0, min(room, self._max_held() + fits - held))

    def status(self) -> AgentStatus:
        """Return the status to report."""
        occupancy = self._running.occupancy
        return AgentStatus(
            running_online=occupancy.online,
            running_batch=occupancy.batch,
            waiting_online=len(self._waiting.online),
            waiting_batch=len(self._waiting.batch),
            step_ms=self.model.predict(occupancy.running, occupancy.kv),
            kv_used_tokens=occupancy.kv,
            kv_total_tokens=self._gate.kv_total,
            batch_room=self.batch_room(),
        )

    def _decide(self, now: int) -> list[Decision]:
        return [] if self._leaving else self._decider.decide(now)

    def _max_held(self) -> int:
        return max(self.policy.max_held_items, self._buffer_items())

    def _buffer_items(self) -> int:
        """Return the batch items to hold until a refill arrives."""
        occupancy = self._running.occupancy
        step = self.model.predict(occupancy.running, occupancy.kv)
        ends = occupancy.batch * self.policy.refill_ms
        ends /= max(1.0, step * self._item_tokens / 2)
        return self.policy.buffer_items + int(ends)
