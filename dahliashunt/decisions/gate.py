"""What may enter the engine now: online at once, batch into what is idle.

Load pattern: online load comes in bursts and leaves idle seconds between
them, and the engine runs whatever it is given in order of arrival.

Without a gate (``open``) online waits behind batch inside the engine, for
as long as an item runs. A fixed split of the slots keeps the first token
early, but gaps are longer than promised, a part of the idle engine is never
used, and callers are refused for whom there is room.

`IdleCapacity` predicts the step time with one stream more and compares it
with the bound of `dahliashunt.decisions.tail`. It also keeps slots and KV
memory free for the next online request, and limits how long batch prompts
stall a step: beside online work prompts either fit between the step and
the target, or go in groups in one of the few steps that may be long.

Thresholds: batch starts below 0.97 and stops above 1.05 of the bound, so
that the growth of answers and one stream more or less (1% to 3% of a step)
move nothing back and forth. The other numbers are explained
where they are set, in `dahliashunt.decisions.agent_policy`.

References
----------
P. Patel et al., Splitwise, ISCA 2024, and A. Agrawal et al.,
Sarathi-Serve, OSDI 2024 (stalls by prefill); Y. Sun et al., Llumnix, OSDI
2024 (priorities and free room in continuous batching).
"""

from dataclasses import dataclass

from dahliashunt.decisions.agent_policy import AgentPolicy
from dahliashunt.decisions.step_model import StepModel
from dahliashunt.decisions.streams import Occupancy
from dahliashunt.decisions.streams import Stream
from dahliashunt.decisions.tail import TailBound
from dahliashunt.ports.engine import EngineLoad

__all__ = ["NO_SHORTFALL", "IdleCapacity", "Shortfall"]

# KV cache that every running stream is expected to grow by before the gate
# looks again: some steps, since it looks once a step.
_GROWTH_TOKENS = 4
# Part of the mean answer by which the online streams together may still
# grow: as some grow others end, so that it is less than the whole.
_ONLINE_GROWTH_RATIO = 0.65
_SLOT_RAISE_INTERVAL_MS = 1_000


@dataclass(frozen=True, slots=True)
class Shortfall:
    """What batch streams must give back, in each resource."""

    slots: int = 0
    kv_tokens: int = 0
    step_ms: float = 0.0

    def __bool__(self) -> bool:
        return self.slots > 0 or self.kv_tokens > 0 or self.step_ms > 0


NO_SHORTFALL = Shortfall()
"""No shortfall."""


class IdleCapacity:
    """Batch into predicted idle capacity; the gate of both profiles.

    Attributes
    ----------
    preempts : bool
        Whether batch streams are stopped for online work.
    max_running : int
        Most streams in the engine, lowered when it reports waiting.
    kv_total : int
        KV memory of the engine in tokens.
    answer_tokens : float
        Mean length of an online answer, learnt by the front.
    quiet : bool
        Whether no online work ran for a while.
    """

    preempts = True

    def __init__(self, policy: AgentPolicy, model: StepModel, tail: TailBound):
        self.policy = policy
        self.model = model
        self.tail = tail
        self.max_running = policy.max_running
        self.kv_total = policy.kv_total_tokens
        self.answer_tokens = 0.0
        self.quiet = True
        self._last_online_ms: int | None = None
        self._stall_charged_ms: int | None = None
        self._next_slot_raise_ms = 0
        self._max_running_seen = 0

    def update_activity(self, now: int, occupancy: Occupancy) -> None:
        """Note whether online work runs; it is quiet some time after."""
        if occupancy.online:
            self._last_online_ms = now
            self.quiet = False
        elif self._last_online_ms is not None:
            self.quiet = now >= self._last_online_ms + self.policy.quiet_ms

    def update_limits(
        self, now: int, load: EngineLoad, queueing: bool
    ) -> None:
        """Learn memory and slots from the engine's lagging report.

        Streams that wait inside the engine mean that it runs fewer than
        the policy says: online would queue behind batch there, where
        nothing can pass it. Every arrival waits for the step boundary, so
        a report counts only if a stream of ours waits longer than that
        (`queueing`). The bound returns by a slot a second.

        The bound never falls below what the engine has been seen to run.
        On a busy machine a step takes long, and a report from its midst
        shows two running and three waiting in an engine of 32 slots. Two
        slots then held online requests back beside an idle engine until
        their time to start was over.
        """
        if load.kv_total_tokens > 0:
            self.kv_total = load.kv_total_tokens
        self._max_running_seen = max(self._max_running_seen, load.running)
        self.max_running = max(self.max_running, load.running)
        if load.waiting > 0 and queueing:
            if load.running >= self._max_running_seen:
                self.max_running = max(1, load.running)
        elif now >= self._next_slot_raise_ms:
            self.max_running += 1
        else:
            return
        self.max_running = min(self.max_running, self.policy.max_running)
        self._next_slot_raise_ms = now + _SLOT_RAISE_INTERVAL_MS

    def step_bound(self, occupancy: Occupancy) -> float:
        """Return the longest step that batch may cause."""
        if not occupancy.online:
            policy = self.policy
            return policy.quiet_step_ms if self.quiet else policy.idle_step_ms
        return self.tail.bound_ms

    def online_blocked(self, stream: Stream, occupancy: Occupancy) -> bool:
        """Return whether online streams alone leave no room for it."""
        online = occupancy.online
        if not online:
            return False
        if online >= self.max_running:
            return True
        # Answers still grow. Without room for it the engine throws an
        # online stream out and computes it again: its caller sees a gap.
        growth = _ONLINE_GROWTH_RATIO * self.answer_tokens * (online + 1)
        needed = stream.kv_tokens + growth
        if occupancy.kv_online + needed > self.kv_total:
            return True
        step = self.model.predict(
            online + 1, occupancy.kv_online + stream.kv_tokens
        )
        return step > self.policy.token_gap_target_ms

    def online_shortfall(
        self, streams: tuple[Stream, ...], occupancy: Occupancy
    ) -> Shortfall:
        """Return what batch must free before the streams can start."""
        slots = occupancy.running + len(streams) - self.max_running
        needed = sum(stream.kv_tokens for stream in streams)
        kv = self._kv_excess(needed, occupancy, 0.0)
        if slots <= 0 and kv <= 0:
            return NO_SHORTFALL
        return Shortfall(max(0, slots), max(0, kv))

    def excess(self, occupancy: Occupancy) -> Shortfall:
        """Return what batch must give back now."""
        batch = occupancy.batch - occupancy.stopping
        if batch <= 0:
            return NO_SHORTFALL
        step = 0.0
        if occupancy.online:
            step = self._predict_step(occupancy, 0, 0)
            bound = self.step_bound(occupancy)
            if step <= bound * self.policy.stop_mark:
                step = 0.0
            else:
                step -= bound
        slots = occupancy.running - occupancy.stopping - self.max_running
        kv = self._kv_excess(0, occupancy, 0.0) - occupancy.kv_stopping
        if step <= 0 and slots <= 0 and kv <= 0:
            return NO_SHORTFALL
        return Shortfall(max(0, slots), max(0, kv), max(0.0, step))

    def batch_blocked(self, occupancy: Occupancy) -> bool:
        """Return whether not even the smallest batch stream may start."""
        policy = self.policy
        if occupancy.running + 1 > self.max_running - policy.reserve_slots:
            return True
        bound = self.step_bound(occupancy) * policy.resume_mark
        return self._predict_step(occupancy, 1, 0) > bound

    def batch_fits(
        self, now: int, stream: Stream, occupancy: Occupancy
    ) -> bool:
        """Return whether the batch stream may start now.

        Asked after `batch_blocked`, and again after each start.
        """
        policy = self.policy
        if occupancy.running + 1 > self.max_running - policy.reserve_slots:
            return False
        if self._kv_excess(stream.kv_tokens, occupancy, policy.kv_reserve) > 0:
            return False
        bound = self.step_bound(occupancy) * policy.resume_mark
        if self._predict_step(occupancy, 1, stream.kv_tokens) > bound:
            return False
        return self._prefill_fits(now, stream, occupancy)

    def batch_started(
        self, now: int, stream: Stream, occupancy: Occupancy
    ) -> None:
        """Charge a stall by batch prompts to what is allowed."""
        if not occupancy.online or self._stall_charged_ms == now:
            return
        if not self._stall_fits(stream, occupancy):
            self._stall_charged_ms = now
            self.tail.exceeds()

    def short_prompt_tokens(self) -> float:
        """Return the longest prompt that stalls a step only as usual."""
        cost = max(self.model.prefill_ms_per_token, 1e-6)
        return self.policy.prefill_stall_ms / cost

    def room(self, stream_kv: int, occupancy: Occupancy) -> int:
        """Return how many batch streams of that size would fit more."""
        policy = self.policy
        slots = self.max_running - policy.reserve_slots - occupancy.running
        bound = self.step_bound(occupancy) * policy.resume_mark
        spare_ms = bound - self._predict_step(occupancy, 0, 0)
        cost = self.model.per_stream_ms
        cost += self.model.per_kv_ms * stream_kv / 1000
        by_step = spare_ms / max(cost, 0.01)
        free = -self._kv_excess(0, occupancy, policy.kv_reserve)
        by_kv = free / max(1, stream_kv)
        return max(0, int(min(slots, by_step, by_kv)))

    def _predict_step(
        self, occupancy: Occupancy, extra_streams: int, kv: int
    ) -> float:
        running = occupancy.running - occupancy.stopping + extra_streams
        return self.model.predict(
            running, occupancy.kv - occupancy.kv_stopping + kv
        )

    def _kv_excess(
        self, extra_kv: int, occupancy: Occupancy, reserve: float
    ) -> int:
        growth = _GROWTH_TOKENS * (occupancy.running + 1)
        total = int(self.kv_total * (1 - reserve))
        return occupancy.kv + extra_kv + growth - total

    def _prefill_fits(
        self, now: int, stream: Stream, occupancy: Occupancy
    ) -> bool:
        policy = self.policy
        pending = occupancy.prefill_batch
        cost = self.model.prefill_ms_per_token
        stall = (pending + stream.prefill) * cost
        if not occupancy.online:
            if not self.quiet:
                most = policy.idle_prefill_ms
                alone = pending == 0 and stall <= policy.longest_stall_ms
                return alone or stall <= most
            # One long prompt may run by itself, else it never would.
            return pending == 0 or stall <= policy.quiet_prefill_ms
        if self._stall_fits(stream, occupancy):
            return True
        if stall > policy.long_stall_ms:
            fits = pending == 0 and stall <= policy.longest_stall_ms
            return fits and self.tail.may_exceed()
        # Prompts that are sent together are computed in one step.
        if self._stall_charged_ms == now:
            return True
        return pending == 0 and self.tail.may_exceed()

    def _stall_fits(self, stream: Stream, occupancy: Occupancy) -> bool:
        prompts = occupancy.prefill_batch + stream.prefill
        stall = prompts * self.model.prefill_ms_per_token
        step = self._predict_step(occupancy, 1, stream.kv_tokens)
        spare = self.tail.target_ms - step
        return stall <= min(self.policy.prefill_stall_ms, spare)
