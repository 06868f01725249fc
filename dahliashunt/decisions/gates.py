"""Registry of the gates: `IdleCapacity` and its baselines.

The effects of each baseline are in `dahliashunt.decisions.gate`.
"""

from dahliashunt.decisions.gate import IdleCapacity
from dahliashunt.decisions.gate import NO_SHORTFALL
from dahliashunt.decisions.gate import Shortfall
from dahliashunt.decisions.registry import Registry
from dahliashunt.decisions.streams import Occupancy
from dahliashunt.decisions.streams import Stream

__all__ = ["GATES", "FixedSplit", "NoPreemption", "OpenGate"]

GATES = Registry("batch gate")
"""Gates by name, constructed with a policy, a step model and a tail bound."""

GATES.register("idle_capacity")(IdleCapacity)


@GATES.register("no_preemption")
class NoPreemption(IdleCapacity):
    """Baseline: the same gate without preemption of batch."""

    preempts = False

    def excess(self, occupancy: Occupancy) -> Shortfall:
        """Return no shortfall."""
        return NO_SHORTFALL


@GATES.register("fixed_split")
class FixedSplit(IdleCapacity):
    """Baseline: a fixed number of slots for batch, the rest for online."""

    preempts = False

    def online_blocked(self, stream: Stream, occupancy: Occupancy) -> bool:
        """Return whether the online slots or the KV memory are full."""
        slots = self.max_running - self.policy.fixed_batch_slots
        kv = occupancy.kv + stream.kv_tokens
        return occupancy.online >= slots or kv > self.kv_total

    def online_shortfall(
        self, streams: tuple[Stream, ...], occupancy: Occupancy
    ) -> Shortfall:
        """Return no shortfall: batch is never preempted."""
        return NO_SHORTFALL

    def excess(self, occupancy: Occupancy) -> Shortfall:
        """Return no shortfall: batch is never preempted."""
        return NO_SHORTFALL

    def batch_blocked(self, occupancy: Occupancy) -> bool:
        """Return whether the batch slots are full."""
        return occupancy.batch >= self.policy.fixed_batch_slots

    def batch_fits(
        self, now: int, stream: Stream, occupancy: Occupancy
    ) -> bool:
        """Return whether a batch slot and KV memory are free."""
        kv = occupancy.kv + stream.kv_tokens
        free = kv <= self.kv_total * (1 - self.policy.kv_reserve)
        return free and occupancy.batch < self.policy.fixed_batch_slots

    def room(self, stream_kv: int, occupancy: Occupancy) -> int:
        """Return the number of free batch slots."""
        return max(0, self.policy.fixed_batch_slots - occupancy.batch)


@GATES.register("open")
class OpenGate(FixedSplit):
    """Baseline: no gate; the engine queues the excess."""

    def online_blocked(self, stream: Stream, occupancy: Occupancy) -> bool:
        """Return False: nothing is held back."""
        return False

    def batch_blocked(self, occupancy: Occupancy) -> bool:
        """Return False: nothing is held back."""
        return False

    def batch_fits(
        self, now: int, stream: Stream, occupancy: Occupancy
    ) -> bool:
        """Return True: nothing is held back."""
        return True

    def room(self, stream_kv: int, occupancy: Occupancy) -> int:
        """Return the batch items missing to `AgentPolicy.open_batch_items`."""
        return max(0, self.policy.open_batch_items - occupancy.batch)
