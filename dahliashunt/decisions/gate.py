"""Gate that admits online and batch streams to the engine.

Load pattern: online load comes in bursts with idle seconds between them, and
the engine runs its requests in order of arrival.

Without a gate (``open``) online requests queue behind batch inside the
engine. A fixed split of the slots (``fixed_split``) stretches the gaps between
tokens, leaves capacity idle, and refuses callers for whom there is room.

`IdleCapacity` predicts the step time with one more stream and compares it with
the bound of `dahliashunt.decisions.tail`. It reserves slots and KV memory for
the next online request and limits the stalls by batch prompts: beside online
work prompts either fit between the step and the target, or go in groups in
one of the few steps that may be long. Batch starts and stops at two different
fractions of the bound (hysteresis), so that small changes of the step don't
alternate starts and stops.

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

# KV tokens by which each running stream may grow before the next decision,
# which comes once a step.
_GROWTH_TOKENS = 4
# Expected growth per online stream, as a fraction of the mean answer; below
# 1 because streams end while others grow.
_ONLINE_GROWTH_RATIO = 0.65
_SLOT_RAISE_INTERVAL_MS = 1_000


@dataclass(frozen=True, slots=True)
class Shortfall:
    """Amount of each resource that batch streams must free."""

    slots: int = 0
    kv_tokens: int = 0
    step_ms: float = 0.0

    def __bool__(self) -> bool:
        return self.slots > 0 or self.kv_tokens > 0 or self.step_ms > 0


NO_SHORTFALL = Shortfall()
"""Shortfall of zero in each resource."""


class IdleCapacity:
    """Gate that fills predicted idle capacity with batch.

    Attributes
    ----------
    preempts : bool
        Whether batch streams are preempted for online work.
    max_running : int
        Most streams to run in the engine; lowered when it reports a queue.
    kv_total : int
        KV memory of the engine in tokens.
    answer_tokens : float
        Mean length of an online answer, set by `AgentDecisions`.
    quiet : bool
        Whether no online work ran for `AgentPolicy.quiet_ms`.
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
        """Update `quiet` from whether online work runs."""
        if occupancy.online:
            self._last_online_ms = now
            self.quiet = False
        elif self._last_online_ms is not None:
            self.quiet = now >= self._last_online_ms + self.policy.quiet_ms

    def update_limits(
        self, now: int, load: EngineLoad, queueing: bool, decoding: int
    ) -> None:
        """Update memory and slots from the engine's delayed report.

        Streams that wait inside the engine mean that it has fewer slots
        than `AgentPolicy.max_running`. Every arrival waits for the step
        boundary, so the report counts only if a stream waits longer than
        that (`queueing`). The limit recovers by a slot a second.

        The limit never falls below the highest reported number of running
        streams: a report from the middle of a long step shows too few. A
        report that shows fewer than the `decoding` streams is older than
        their first tokens, and while none decodes the engine may not have
        admitted what was sent to it: neither says how many slots it has.
        """
        if load.kv_total_tokens > 0:
            self.kv_total = load.kv_total_tokens
        self._max_running_seen = max(self._max_running_seen, load.running)
        self.max_running = max(self.max_running, load.running)
        if load.waiting > 0 and queueing:
            seen = max(self._max_running_seen, decoding)
            if decoding and load.running >= seen:
                self.max_running = load.running
        elif now >= self._next_slot_raise_ms:
            self.max_running += 1
        else:
            return
        self.max_running = min(self.max_running, self.policy.max_running)
        self._next_slot_raise_ms = now + _SLOT_RAISE_INTERVAL_MS

    def step_bound(self, occupancy: Occupancy) -> float:
        """Return the longest step in ms that batch may cause."""
        if not occupancy.online:
            policy = self.policy
            return policy.quiet_step_ms if self.quiet else policy.idle_step_ms
        return self.tail.bound_ms

    def online_blocked(self, stream: Stream, occupancy: Occupancy) -> bool:
        """Return whether the online streams alone leave no room for it."""
        online = occupancy.online
        if not online:
            return False
        if online >= self.max_running:
            return True
        # Without room for the growth of the answers the engine evicts an
        # online stream and recomputes it, which its caller sees as a gap.
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
        """Return the shortfall that keeps the streams from starting."""
        slots = occupancy.running + len(streams) - self.max_running
        needed = sum(stream.kv_tokens for stream in streams)
        kv = self._kv_excess(needed, occupancy, 0.0)
        if slots <= 0 and kv <= 0:
            return NO_SHORTFALL
        return Shortfall(max(0, slots), max(0, kv))

    def excess(self, occupancy: Occupancy) -> Shortfall:
        """Return the resources that batch uses beyond its bounds."""
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

        Called after `batch_blocked`, and again after each start.
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
        """Charge a stall by batch prompts to the tail's credit."""
        if not occupancy.online or self._stall_charged_ms == now:
            return
        if not self._stall_fits(stream, occupancy):
            self._stall_charged_ms = now
            self.tail.spend_credit()

    def short_prompt_tokens(self) -> float:
        """Return the longest prompt within `AgentPolicy.prefill_stall_ms`."""
        cost = max(self.model.prefill_ms_per_token, 1e-6)
        return self.policy.prefill_stall_ms / cost

    def room(self, stream_kv: int, occupancy: Occupancy) -> int:
        """Return how many more batch streams of that KV size would fit."""
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
            # A long prompt may run if no other is being prefilled.
            return pending == 0 or stall <= policy.quiet_prefill_ms
        if self._stall_fits(stream, occupancy):
            return True
        if stall > policy.long_stall_ms:
            fits = pending == 0 and stall <= policy.longest_stall_ms
            return fits and self.tail.may_exceed()
        # Prompts that are sent together are prefilled in one step.
        if self._stall_charged_ms == now:
            return True
        return pending == 0 and self.tail.may_exceed()

    def _stall_fits(self, stream: Stream, occupancy: Occupancy) -> bool:
        prompts = occupancy.prefill_batch + stream.prefill
        stall = prompts * self.model.prefill_ms_per_token
        step = self._predict_step(occupancy, 1, stream.kv_tokens)
        spare = self.tail.target_ms - step
        return stall <= min(self.policy.prefill_stall_ms, spare)
