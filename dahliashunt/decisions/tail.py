"""How long a step may be: bounds that follow the observed tail.

Load pattern: the targets are percentiles of what callers see, and what
they see is the decode step plus the stalls by prompts, whose share differs
by load and mix. A fixed margin is too wide for one mix and too narrow for
the next: at 0.9 of the target the 95th percentile of the gaps is 67.7 ms
at 10% online load and 88.9 ms at 50%, where 69 are promised; it is 66.6
and 68.6 ms here.

Two values are tracked, from one gap a step:

- by stochastic approximation, the tail that online work alone would have
  (its 95th percentile), which is what a policy with `tail_growth` measures
  harm against;
- the stalls by online prompts, of which the last steps are kept: the
  predicted step stays below the target by all but the largest of them.

A target at the 95th percentile leaves 5 gaps in 100 that may exceed it,
less those that online work causes. They are kept as a credit, which whole
groups of batch prompts use up: one step that is long for five prompts
costs the percentile no more than one that is long for one.

Thresholds: the target is spent to 3.5 gaps in 100 and not 5, since steps
count here alike, and callers see more of those in which many run. The
credit is held between -1 and 2: a burst's debt would otherwise keep batch
prompts out for half a minute after it, and an hour's savings would be
spent in one stall after another.

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

_TAIL_SHARE = 0.05
# One gap above moves the tail by a hundredth: it settles within some
# hundred steps and then varies by about as much.
_TAIL_GAIN = 0.01
_SHARE_GAIN = 0.002
_MAX_CREDIT = 2.0
# A burst's debt would keep batch prompts out for long after it.
_MIN_CREDIT = -1.0


class TailBound:
    """Tracks the bound of the step from one gap a step."""

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
        """The gap that 95 of 100 tokens may have beside batch."""
        target = self._policy.token_gap_target_ms
        growth = self._policy.tail_growth
        if growth is None or not self._online_tail_ms:
            return target
        return min(target, self._online_tail_ms * (1 + growth))

    @property
    def bound_ms(self) -> float:
        """The longest predicted step beside online work."""
        margin = self._policy.step_margin
        return max(0.0, self.target_ms * margin - self._stall_allowance())

    @property
    def allowed(self) -> float:
        """The part of the gaps that batch may push over the target."""
        policy = self._policy
        left = policy.over_share - self._online_over_share
        return max(policy.least_over_share, left)

    def may_exceed(self) -> bool:
        """Return whether a step may exceed the target for batch prompts."""
        return self._credit >= 1

    def exceeds(self) -> None:
        """Note that a step will exceed the target for batch prompts."""
        self._credit -= 1
        self._prepaid = True

    def step(self, gap_ms: float, occupancy: Occupancy) -> None:
        """Learn from the gap between two tokens of one stream."""
        stalled = occupancy.prefill_batch > 0
        if occupancy.online:
            self._update(gap_ms, occupancy, stalled or self._stalled)
        self._stalled = stalled

    def _update(self, gap_ms, occupancy, stalled) -> None:
        model = self._model
        step = model.predict(occupancy.running, occupancy.kv)
        online_gap_ms = model.predict_alone(occupancy, step)
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
        # What exceeds the target without batch, batch can't prevent.
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
        """Return the stall by online prompts that few steps exceed.

        Half of what is allowed is for them, half for prompts of batch.
        """
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
