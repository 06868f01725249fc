"""Bounds of the step time that follow the observed tail latency.

Load pattern: the targets are percentiles of the gaps between tokens, which
are decode steps plus stalls by prefills. The share of stalls varies with load
and mix.

What goes wrong without it: a fixed margin below the target is too wide for
one mix and too narrow for another.

How: two values are tracked, from one gap per step:

- the 95th percentile that online work alone would have, by stochastic
  approximation; a policy with `tail_growth` bounds the target by it;
- the recent stalls by online prompts; the bound is the target less a high
  quantile of them.

A target at the 95th percentile allows a few gaps to exceed it. Those that
online work does not cause accumulate as a credit, and one long step for a
whole group of batch prompts costs one unit. The credit is bounded on both
sides, to limit the effect of bursts and of idle time.

References
----------
H. Robbins and S. Monro, A stochastic approximation method, Ann. Math.
Statist. 22 (1951).
"""

from bisect import bisect_left
from bisect import insort
from collections import deque

from dahliashunt.decisions.agent_policy import AgentPolicy
from dahliashunt.decisions.step_model import StepModel
from dahliashunt.decisions.streams import Occupancy

__all__ = ["TailBound"]

_TAIL_SHARE = 0.05  # share of gaps above the 95th percentile
# Step size of the estimate, relative to its value; the larger, the noisier.
_TAIL_GAIN = 0.01
_SHARE_GAIN = 0.002
_MAX_CREDIT = 2.0
# Bounds the time that batch prompts are kept out after a burst.
_MIN_CREDIT = -1.0


class TailBound:
    """Track the bound of the step time from one gap per step."""

    def __init__(self, policy: AgentPolicy, model: StepModel):
        self._policy = policy
        self._model = model
        self._online_tail_ms = 0.0
        self._online_over_share = 0.0
        self._stalls: deque[float] = deque()
        self._sorted_stalls: list[float] = []
        self._stalled = False
        self._credit = 1.0
        self._prepaid = False

    @property
    def target_ms(self) -> float:
        """Target of the 95th percentile of gaps beside batch, in ms."""
        target = self._policy.token_gap_target_ms
        growth = self._policy.tail_growth
        if growth is None or not self._online_tail_ms:
            return target
        return min(target, self._online_tail_ms * (1 + growth))

    @property
    def bound_ms(self) -> float:
        """Longest predicted step beside online work, in ms."""
        margin = self._policy.step_margin
        return max(0.0, self.target_ms * margin - self._stall_allowance())

    @property
    def allowed(self) -> float:
        """Share of the gaps that batch may push over the target."""
        policy = self._policy
        left = policy.over_share - self._online_over_share
        return max(policy.least_over_share, left)

    def may_exceed(self) -> bool:
        """Return whether a step may exceed the target for batch prompts."""
        return self._credit >= 1

    def spend_credit(self) -> None:
        """Pay for a step that will exceed the target for batch prompts."""
        self._credit -= 1
        self._prepaid = True

    def step(self, gap_ms: float, occupancy: Occupancy) -> None:
        """Update the bound from the gap between two tokens of one stream."""
        stalled = occupancy.prefill_batch > 0
        if occupancy.online:
            self._update(gap_ms, occupancy, stalled or self._stalled)
        self._stalled = stalled

    def _update(self, gap_ms, occupancy, stalled) -> None:
        model = self._model
        step = model.predict(occupancy.running, occupancy.kv)
        online_gap_ms = model.predict_without_batch(occupancy, step)
        if not stalled:
            online_gap_ms += max(0.0, gap_ms - step)
        self._track_online_tail(online_gap_ms)
        target = self.target_ms
        over = online_gap_ms > target
        self._online_over_share += _SHARE_GAIN * (
            over - self._online_over_share
        )
        caused = gap_ms > target and not over
        if stalled and caused and self._prepaid:
            caused = self._prepaid = False
        credit = self._credit + self.allowed - caused
        self._credit = max(_MIN_CREDIT, min(_MAX_CREDIT, credit))
        # Batch cannot prevent gaps that exceed the target without it.
        stall = 0.0 if over or stalled else max(0.0, gap_ms - step)
        self._keep_stall(stall)

    def _keep_stall(self, stall: float) -> None:
        stalls = self._stalls
        stalls.append(stall)
        insort(self._sorted_stalls, stall)
        if len(stalls) > self._policy.stall_steps:
            oldest = stalls.popleft()
            del self._sorted_stalls[bisect_left(self._sorted_stalls, oldest)]

    def _stall_allowance(self) -> float:
        """Return the quantile of online stalls to leave room for."""
        stalls = self._sorted_stalls
        if not stalls:
            return 0.0
        largest = int(len(stalls) * self.allowed)
        return stalls[-1 - largest]

    def _track_online_tail(self, online_gap_ms: float) -> None:
        if not self._online_tail_ms:
            self._online_tail_ms = online_gap_ms
        gain = _TAIL_GAIN * self._online_tail_ms
        if online_gap_ms > self._online_tail_ms:
            self._online_tail_ms += gain * (1 - _TAIL_SHARE)
        else:
            self._online_tail_ms -= gain * _TAIL_SHARE
