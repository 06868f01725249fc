"""Start, preemption and refusal of the streams of one agent.

Load pattern: a burst of online work on an engine that batch fills, and online
load above the capacity of the engine.

Each decision goes in this order: refuse streams that can't start in time, let
work that must run alone block the rest, start online streams or free room for
them, preempt excess batch, start batch.

Without this order a batch stream takes the room that was freed for an online
one. Without room for a whole burst at once its last request waits a step for
each earlier one.
"""

from collections import deque
from itertools import islice

from dahliashunt.decisions.agent_policy import AgentPolicy
from dahliashunt.decisions.agent_waiting import WaitingStreams
from dahliashunt.decisions.events import Preempt
from dahliashunt.decisions.events import RefuseAttempt
from dahliashunt.decisions.events import Start
from dahliashunt.decisions.gate import IdleCapacity
from dahliashunt.decisions.gate import Shortfall
from dahliashunt.decisions.preemption import resume_prefill
from dahliashunt.decisions.running import RunningStreams
from dahliashunt.decisions.step_model import StepModel
from dahliashunt.decisions.streams import Stream
from dahliashunt.decisions.wait_estimator import WaitEstimator
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.ids import AttemptId

__all__ = ["Decider", "Decision"]

Decision = Start | RefuseAttempt | Preempt
"""Decision that the agent process carries out."""


class Decider:
    """Decisions on the waiting and the running streams.

    Attributes
    ----------
    gate : IdleCapacity
        Admission gate, or one of its baselines.
    running : RunningStreams
        Streams in the engine.
    waiting : WaitingStreams
        Streams that wait to be started.
    wait_estimator : WaitEstimator
        Estimate of queue waits and Retry-After.
    by_id : dict of AttemptId to Stream
        All streams, waiting and running.
    """

    def __init__(
        self,
        policy: AgentPolicy,
        model: StepModel,
        gate: IdleCapacity,
        running: RunningStreams,
        wait_estimator: WaitEstimator,
    ):
        self._policy = policy
        self._model = model
        self.gate = gate
        self.running = running
        self.wait_estimator = wait_estimator
        self.waiting = WaitingStreams()
        self.by_id: dict[AttemptId, Stream] = {}

    def decide(self, now: int) -> list[Decision]:
        """Return the streams to start, preempt and refuse now."""
        self.gate.update_activity(now, self.running.occupancy)
        decisions: list[Decision] = self._expire(now)
        if self.alone_blocks_others():
            self._decide_alone(now, decisions)
            return decisions
        self._start_online(now, decisions)
        occupancy = self.running.occupancy
        if occupancy.batch:
            excess = self.gate.excess(occupancy)
            if excess:
                decisions += self.running.stop(excess)
                return decisions
        if self.waiting.batch and not self.waiting.online:
            if not self.gate.batch_blocked(occupancy):
                self._start_batch(now, decisions)
            decisions += self._refuse_long(now)
        return decisions

    def _start_online(self, now: int, decisions: list[Decision]) -> None:
        occupancy = self.running.occupancy
        online = self.waiting.online
        while online:
            stream = online[0]
            if self.gate.online_blocked(stream, occupancy):
                self._refuse_late(now, decisions)
                return
            if self.gate.online_shortfall((stream,), occupancy):
                decisions += self._make_room()
                return
            online.popleft()
            decisions.append(self.running.start(now, stream))

    def _make_room(self) -> list[Preempt]:
        """Preempt batch for all waiting online streams at once."""
        if not self.gate.preempts:
            return []
        occupancy = self.running.occupancy
        max_streams = max(1, self.gate.max_running - occupancy.online)
        waiting = tuple(islice(self.waiting.online, max_streams))
        shortfall = self.gate.online_shortfall(waiting, occupancy)
        missing = Shortfall(
            max(0, shortfall.slots - occupancy.stopping),
            max(0, shortfall.kv_tokens - occupancy.kv_stopping),
        )
        return self.running.stop(missing) if missing else []

    def _start_batch(self, now: int, decisions: list[Decision]) -> None:
        batch = self.waiting.batch
        occupancy = self.running.occupancy
        short_limit = self.gate.short_prompt_tokens()
        index = 0
        while index < len(batch):
            stream = batch[index]
            stream.prefill = resume_prefill(stream, self._policy)
            if self.gate.batch_fits(now, stream, occupancy):
                del batch[index]
                self.gate.batch_started(now, stream, occupancy)
                decisions.append(self.running.start(now, stream))
                continue
            # Skip a long prompt: it would block shorter ones that fit.
            if stream.prefill <= short_limit:
                break
            index += 1

    def _refuse_long(self, now: int) -> list[RefuseAttempt]:
        """Refuse long prompts beyond half of the batch queue.

        Beside steady online work they may never fit, and a queue full of
        them would stop batch.
        """
        policy = self._policy
        if len(self.waiting.batch) <= policy.max_held_items // 2:
            return []
        short_limit = self.gate.short_prompt_tokens()
        long_prompts = [
            s for s in self.waiting.batch if s.prefill > short_limit
        ]
        refused = []
        for stream in long_prompts[policy.max_held_items // 2 :]:
            if stream.preemptions:
                continue
            self.waiting.remove(stream)
            retry_after_ms = policy.long_retry_ms
            refused.append(
                self.refuse(stream, ErrorKind.OVERLOADED, retry_after_ms)
            )
        return refused

    def alone_blocks_others(self) -> bool:
        """Return whether work that must run alone blocks the rest."""
        if self.running.alone is not None:
            return True
        if not self.waiting.alone:
            return False
        if self.waiting.alone[0].online:
            return True
        return not self.running.occupancy.online and not self.waiting.online

    def _decide_alone(self, now: int, decisions: list[Decision]) -> None:
        waiting = self.waiting
        alone = self.running.alone
        if alone is not None:
            if waiting.online and not alone.online and not alone.stopping:
                decisions += self.running.stop_all()
        elif self.running.occupancy.running == 0:
            decisions.append(self.running.start(now, waiting.alone.popleft()))
        else:
            decisions += self.running.stop_all()
        # Online work waits only a step for a batch stream being preempted.
        if waiting.online and (alone is None or alone.online):
            self._refuse_late(now, decisions)

    def _refuse_late(self, now: int, decisions: list[Decision]) -> None:
        """Refuse waiting online streams that can't start in time."""
        gap, initial_wait = self._drain_ms()
        kept: deque[Stream] = deque()
        for stream in self.waiting.online:
            wait = self.wait_estimator.wait_ms(
                len(kept) + 1, gap, stream.admitted
            )
            full = len(kept) >= self._policy.max_waiting_online
            if (
                now + initial_wait + wait <= stream.work.start_by_ms
                and not full
            ):
                stream.admitted = True
                kept.append(stream)
                continue
            retry_after_ms = self.wait_estimator.retry_after_ms(
                now, len(kept), gap
            )
            decisions.append(
                self.refuse(stream, ErrorKind.OVERLOADED, retry_after_ms)
            )
        self.waiting.online = kept

    def _drain_ms(self) -> tuple[float, float]:
        """Return the interval between stream ends, and the wait before it."""
        occupancy = self.running.occupancy
        step = self._model.predict(occupancy.online, occupancy.kv_online)
        gap = self.wait_estimator.gap_ms(occupancy.online, step)
        if not self.alone_blocks_others():
            return gap, 0.0
        alone = self.running.alone
        if alone is not None and not alone.online:
            return gap, step
        # The running streams end, then the exclusive one runs to its end.
        runs_before = 1 if alone is not None else 1 + (occupancy.online > 0)
        return gap, runs_before * self.wait_estimator.gap_ms(1, step)

    def _expire(self, now: int) -> list[Decision]:
        expired = self.waiting.expired(now)
        if not expired:
            return []
        gap, initial_wait = self._drain_ms()
        return [
            self.refuse(
                stream,
                ErrorKind.OVERLOADED,
                self.wait_estimator.retry_after_ms(now, 0, gap + initial_wait),
            )
            for stream in expired
        ]

    def refuse(
        self, stream: Stream, kind: ErrorKind, after_ms: int
    ) -> RefuseAttempt:
        """Remove a waiting stream and return its refusal."""
        del self.by_id[stream.work.attempt_id]
        # A preempted stream has run, so it can't be reported as not run.
        ran = Ran.YES if stream.preemptions else Ran.NO
        return RefuseAttempt(stream.work.attempt_id, kind, after_ms, ran)
