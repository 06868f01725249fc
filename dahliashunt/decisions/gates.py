"""The gates by name: ours, and the baselines that it is measured against.

What each baseline does to online work and to batch is in
`dahliashunt.decisions.gate`.
"""

from dahliashunt.decisions.gate import IdleCapacity
from dahliashunt.decisions.gate import NO_SHORTFALL
from dahliashunt.decisions.gate import Shortfall
from dahliashunt.decisions.registry import Registry
from dahliashunt.decisions.streams import Occupancy
from dahliashunt.decisions.streams import Stream

__all__ = ["GATES", "FixedSplit", "NoPreemption", "OpenGate"]

GATES = Registry("batch gate")
"""Gates by name; each takes a policy, a step model and a tail bound."""

GATES.register("idle_capacity")(IdleCapacity)


@GATES.register("no_preemption")
class NoPreemption(IdleCapacity):
    """Baseline: the same gate, but what has started is left running."""

    preempts = False

    def excess(self, occupancy: Occupancy) -> Shortfall:
        """Return that nothing is to be given back."""
        return NO_SHORTFALL


@GATES.register("fixed_split")
class FixedSplit(IdleCapacity):
    """Baseline: a fixed number of slots is batch's, the rest online's."""

    preempts = False

    def online_blocked(self, stream: Stream, occupancy: Occupancy) -> bool:
        """Return whether online's part is full."""
        slots = self.max_running - self.policy.fixed_batch_slots
        kv = occupancy.kv + stream.kv_tokens
        return occupancy.online >= slots or kv > self.kv_total

    def online_shortfall(
        self, streams: tuple[Stream, ...], occupancy: Occupancy
    ) -> Shortfall:
        """Return that batch never gives way."""
        return NO_SHORTFALL

    def excess(self, occupancy: Occupancy) -> Shortfall:
        """Return that batch never gives way."""
        return NO_SHORTFALL

    def batch_blocked(self, occupancy: Occupancy) -> bool:
        """Return whether batch's part is full."""
        return occupancy.batch >= self.policy.fixed_batch_slots

    def batch_fits(
        self, now: int, stream: Stream, occupancy: Occupancy
    ) -> bool:
        """Return whether batch's part has room."""
        kv = occupancy.kv + stream.kv_tokens
        free = kv <= self.kv_total * (1 - self.policy.kv_reserve)
        return free and occupancy.batch < self.policy.fixed_batch_slots

    def room(self, stream_kv: int, occupancy: Occupancy) -> int:
        """Return the free slots of batch's part."""
        return max(0, self.policy.fixed_batch_slots - occupancy.batch)


@GATES.register("open")
class OpenGate(FixedSplit):
    """Baseline: no gate; the engine queues what it can't run."""

    def online_blocked(self, stream: Stream, occupancy: Occupancy) -> bool:
        """Return that nothing waits here."""
        return False

    def batch_blocked(self, occupancy: Occupancy) -> bool:
        """Return that nothing waits here."""
        return False

    def batch_fits(
        self, now: int, stream: Stream, occupancy: Occupancy
    ) -> bool:
        """Return that nothing waits here."""
        return True

    def room(self, stream_kv: int, occupancy: Occupancy) -> int:
        """Return how many items an ungated sender keeps in flight."""
        return max(0, self.policy.open_batch_items - occupancy.batch)
