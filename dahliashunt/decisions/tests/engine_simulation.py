"""Discrete-event simulation of an engine with continuous batching.

One step takes ``base + a * running + b * kv / 1000 + c * prefill``; each
running stream gets a token a step; streams are admitted in order of arrival at
step boundaries, within slots and KV memory. If KV memory overflows, the last
admitted stream is evicted and recomputed.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import random

from dahliashunt.decisions.agent import AgentDecisions
from dahliashunt.decisions.events import AttemptRequest
from dahliashunt.decisions.events import Preempt
from dahliashunt.decisions.events import PreemptMode
from dahliashunt.decisions.events import Priority
from dahliashunt.decisions.events import RefuseAttempt
from dahliashunt.decisions.events import Start
from dahliashunt.ids import AttemptId
from dahliashunt.ids import CallerId
from dahliashunt.ports.engine import EngineLoad

REPORT_MS = 500.0


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """Step costs, capacity and delays of the engine.

    A message between agent and engine takes `hop_ms`; batch items arrive
    `refill_ms` after the agent has reported room.
    """

    base_ms: float = 18.0
    per_stream_ms: float = 0.6
    per_kv_ms: float = 0.1
    prefill_ms: float = 0.04
    move_ms: float = 1.0
    slots: int = 64
    kv_total: int = 100_000
    resume_recomputes: bool = True
    hop_ms: float = 0.5
    refill_ms: float = 5.0

    def step_ms(self, running, kv, prefill=0):
        decode = self.per_stream_ms * running + self.per_kv_ms * kv / 1000
        return self.base_ms + decode + self.prefill_ms * prefill


@dataclass(slots=True)
class EngineRequest:
    """One request in the engine."""

    attempt_id: AttemptId
    prompt: int
    answer: int
    done: int = 0
    prefill: int = 0
    moved: int = 0

    @property
    def kv(self):
        return self.prompt + self.done


@dataclass(slots=True)
class RequestTrace:
    """Events of one request as seen by its caller."""

    work: AttemptRequest
    offered_ms: float
    answer: int
    token_ms: list = field(default_factory=list)
    ended_ms: float | None = None
    turned_away: RefuseAttempt | None = None
    turned_away_ms: float | None = None

    @property
    def first_token_ms(self):
        return self.token_ms[0] - self.offered_ms


class EngineSimulation:
    """Simulation of one engine, driven by an agent's decisions."""

    def __init__(self, agent: AgentDecisions, shape=None, batch=None):
        self.agent = agent
        self.shape = shape or EngineParameters()
        self.now = 0.0
        self.traces_by_id: dict[AttemptId, RequestTrace] = {}
        self.preempts: list[tuple[float, Preempt]] = []
        self.max_queued = 0
        self.evictions = 0
        self.batch_tokens = 0
        self.lost_tokens = 0
        self.step_log = []
        self._batch = batch
        self._items_in_transit = 0
        self._heap = []
        self._sequence = itertools.count()
        self._runs_by_id: dict[AttemptId, EngineRequest] = {}
        self._running: list[EngineRequest] = []
        self._queue: deque[EngineRequest] = deque()
        self._stops: list[Preempt] = []
        self._stepping = False
        self._last_load = (0, 0, 0)
        self._schedule(REPORT_MS, self._report)

    def offer_at(self, at_ms, work: AttemptRequest, answer: int):
        self._schedule(at_ms, self._offer, work, answer)

    def cancel_at(self, at_ms, attempt_id):
        self._schedule(at_ms, self._cancel, attempt_id)

    def run(self, until_ms):
        self._schedule(self.now, self._refill)
        while self._heap and self._heap[0][0] <= until_ms:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.now = until_ms

    def online(self):
        return [
            trace
            for trace in self.traces_by_id.values()
            if trace.work.priority is Priority.ONLINE
        ]

    @property
    def batch_running(self):
        return sum(1 for run in self._running if run.attempt_id[0] == "b")

    @property
    def running(self):
        return len(self._running)

    def _schedule(self, at_ms, call, *args):
        heapq.heappush(self._heap, (at_ms, next(self._sequence), call, args))

    def _apply(self, decisions):
        for decision in decisions:
            if isinstance(decision, RefuseAttempt):
                trace = self.traces_by_id[decision.attempt_id]
                trace.turned_away = decision
                trace.turned_away_ms = self.now
            elif isinstance(decision, Start):
                self._schedule(
                    self.now + self.shape.hop_ms, self._arrive, decision
                )
            else:
                self.preempts.append((self.now, decision))
                self._schedule(
                    self.now + self.shape.hop_ms, self._stop, decision
                )
        wake = self.agent.wake_ms()
        if wake is not None and wake < self.now + 1000:
            self._schedule(max(wake, self.now + 1), self._tick)

    def _tick(self):
        wake = self.agent.wake_ms()
        if wake is not None and wake <= self.now:
            self._apply(self.agent.tick(int(self.now)))

    def _offer(self, work, answer):
        self.traces_by_id[work.attempt_id] = RequestTrace(
            work, self.now, answer
        )
        run = EngineRequest(work.attempt_id, work.prompt_tokens, answer)
        self._runs_by_id[work.attempt_id] = run
        self._apply(self.agent.offer(int(self.now), work))

    def _cancel(self, attempt_id):
        self._apply(self.agent.cancel(int(self.now), attempt_id))

    def _refill(self):
        if self._batch is None:
            return
        room = self.agent.batch_room() - self._items_in_transit
        for _ in range(room):
            self._items_in_transit += 1
            self._schedule(
                self.now + self.shape.refill_ms,
                self._offer_item,
                *self._batch(),
            )

    def _offer_item(self, work, answer):
        self._items_in_transit -= 1
        self._offer(work, answer)

    def _arrive(self, start: Start):
        run = self._runs_by_id[start.attempt_id]
        if start.how is PreemptMode.EXPORT_KV:
            run.prefill, run.moved = 0, run.kv
        elif start.how is PreemptMode.RESUME:
            run.prefill = run.kv if self.shape.resume_recomputes else 0
        else:
            run.prefill = run.prompt
        self._queue.append(run)
        self.max_queued = max(self.max_queued, len(self._queue))
        if not self._stepping:
            self._begin_step()

    def _stop(self, stop: Preempt):
        self._stops.append(stop)
        if not self._stepping:
            self._begin_step()

    def _begin_step(self):
        moved = self._apply_stops()
        prefill = 0
        kv = sum(run.kv for run in self._running)
        while self._queue and len(self._running) < self.shape.slots:
            run = self._queue[0]
            if kv + run.kv + len(self._running) + 1 > self.shape.kv_total:
                break
            self._queue.popleft()
            self._running.append(run)
            kv += run.kv
            prefill += run.prefill
            moved += run.moved
            run.prefill = run.moved = 0
        self._stepping = bool(self._running)
        if not self._stepping:
            return
        step = self.shape.step_ms(len(self._running), kv, prefill)
        step += moved / 1000 * self.shape.move_ms
        self.step_log.append((self.now, step, len(self._running), kv, prefill))
        self._schedule(self.now + step, self._end_step)

    def _apply_stops(self):
        moved = 0
        for stop in self._stops:
            run = self._runs_by_id.get(stop.attempt_id)
            if run is None or run not in self._running + list(self._queue):
                continue
            if run in self._running:
                self._running.remove(run)
            else:
                self._queue.remove(run)
            if stop.how is PreemptMode.RESTART:
                self.lost_tokens += run.done
                run.done = 0
            elif stop.how is PreemptMode.EXPORT_KV:
                moved += run.kv
            self._schedule(
                self.now + self.shape.hop_ms, self._stopped, stop, run.done
            )
        self._stops = []
        return moved

    def _stopped(self, stop, done):
        self._apply(
            self.agent.preempted(
                int(self.now), stop.attempt_id, stop.how, done
            )
        )

    def _end_step(self):
        ended = []
        for run in self._running:
            run.done += 1
            if run.done >= run.answer:
                ended.append(run)
        ids = [run.attempt_id for run in self._running]
        self._running = [r for r in self._running if r.done < r.answer]
        self._evict()
        self._schedule(
            self.now + self.shape.hop_ms,
            self._deliver,
            ids,
            [r.attempt_id for r in ended],
        )
        self._begin_step()

    def _evict(self):
        while sum(r.kv for r in self._running) > self.shape.kv_total:
            run = self._running.pop()
            run.prefill = run.kv
            self._queue.appendleft(run)
            self.evictions += 1

    def _deliver(self, ids, ended):
        now = int(self.now)
        for attempt_id in ids:
            if attempt_id[0] == "b":
                self.batch_tokens += 1
            else:
                self.traces_by_id[attempt_id].token_ms.append(self.now)
            self._apply(self.agent.tokens(now, attempt_id, 1))
        for attempt_id in ended:
            self.traces_by_id[attempt_id].ended_ms = self.now
            del self._runs_by_id[attempt_id]
            self._apply(self.agent.ended(now, attempt_id))
        self._refill()

    def _report(self):
        running, waiting, kv = self._last_load
        load = EngineLoad(
            running, waiting, kv, self.shape.kv_total, 0.0, int(REPORT_MS)
        )
        kv = sum(run.kv for run in self._running)
        self._last_load = (len(self._running), len(self._queue), kv)
        self._apply(self.agent.engine_load(int(self.now), load))
        self._refill()
        self._schedule(self.now + REPORT_MS, self._report)


class RequestMix:
    """Random requests with lognormal prompts and exponential answers."""

    def __init__(self, seed, prompt=300, answer=120, max_tokens=480):
        self._rng = random.Random(seed)
        self._prompt = prompt
        self._answer = answer
        self._max_tokens = max_tokens

    def sizes(self):
        rng = self._rng
        prompt = int(self._prompt * rng.lognormvariate(-0.32, 0.8))
        answer = 1 + int(rng.expovariate(1 / self._answer))
        return max(8, min(prompt, 6000)), min(answer, self._max_tokens)

    def arrivals(self, prefix, rate_s, from_ms, until_ms, wait_ms=700):
        """Yield Poisson arrivals of online work as (time, work, answer)."""
        at = from_ms
        for n in itertools.count():
            at += self._rng.expovariate(rate_s / 1000)
            if at >= until_ms:
                return
            prompt, answer = self.sizes()
            work = AttemptRequest(
                AttemptId(f"{prefix}{n}"),
                Priority.ONLINE,
                CallerId("caller"),
                prompt,
                self._max_tokens,
                int(at) + wait_ms,
                True,
            )
            yield at, work, answer

    def batch(self):
        """Return a function that generates batch items."""
        numbers = itertools.count()

        def item():
            prompt, answer = self.sizes()
            work = AttemptRequest(
                AttemptId(f"b{next(numbers)}"),
                Priority.BATCH,
                CallerId("archive"),
                prompt,
                self._max_tokens,
                1 << 60,
                True,
            )
            return work, answer

        return item
