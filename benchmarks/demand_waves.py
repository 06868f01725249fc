"""Two ways to forecast online demand, beside none, on a simulated fleet.

Run ``python -m benchmarks.demand_waves [--seeds N] [WAVE ...]``. ``owners``
is the platform's way: each entry learns a service's demand from the states of
all agents. With ``agents`` each agent learns the demand of its own replica
and refuses items beyond the slots that its forecast leaves.
"""

import argparse
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import math
import statistics

from benchmarks.shared_fleet import FIRST
from benchmarks.shared_fleet import SECOND
from dahliashunt.decisions.batch_room import batch_room
from dahliashunt.decisions.batch_room import clear_run_ms
from dahliashunt.decisions.demand_wave import DemandWave
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import SlotReply
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.tests.shared_fleet import Fleet
from dahliashunt.decisions.tests.shared_fleet import ITEM_RUN_MS
from dahliashunt.decisions.tests.shared_fleet import Load
from dahliashunt.decisions.tests.shared_fleet import Switches

LENGTH_MS = 60_000
"""Length of the traffic; the first 20 s are needed to learn."""

WAVE = FIRST["wave"]
WAVES = {
    "regular": WAVE,
    "irregular": replace(WAVE, spread=0.5),
    "stops": replace(WAVE, stops_ms=32_000),
    "doubled": replace(WAVE, slows_ms=32_000),
    "noise": replace(WAVE, noise=0.3),
}


@dataclass(slots=True)
class LearningAllocator(SlotAllocator):
    """Allocator that refuses items beyond what its own forecast leaves."""

    wave: DemandWave = field(default_factory=DemandWave)

    def sample(self, now_ms):
        """Record the online requests that hold or await a slot."""
        state = self.state()
        need = (state.online + state.waiting) / self.slots
        self.wave.observe(now_ms, need)

    def _ask_batch(self, ask, now_ms):
        clear_ms = clear_run_ms(ask.slack_ms, ITEM_RUN_MS, self.wave.period_ms)
        room = batch_room(self.slots, self.wave.peak(clear_ms))
        holds = self._holds.count(Use.BATCH)
        if clear_ms and room is not None and holds >= room:
            return [
                SlotReply(ask.attempt_id, ask.requester, SlotDecision.FULL)
            ]
        # `super()` without arguments fails in a slotted dataclass.
        return SlotAllocator._ask_batch(self, ask, now_ms)


class AgentsFleet(Fleet):
    """Fleet whose agents sample their own demand when they send states."""

    def _push(self, number):
        self._keepers[number].sample(int(self._now_ms))
        super()._push(number)


METHODS = {
    "none": (Fleet, Switches(forecast=False)),
    "agents": (
        AgentsFleet,
        Switches(forecast=False, allocator=LearningAllocator),
    ),
    "owners": (Fleet, Switches()),
}


def difference(outcomes, base):
    """Return the mean paired difference of revocations and its error."""
    pairs = zip(outcomes, base, strict=True)
    values = [one.revokes - two.revokes for one, two in pairs]
    error = statistics.stdev(values) / math.sqrt(len(values))
    return f"{statistics.mean(values):+.0f} +- {error:.0f}"


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("waves", nargs="*", choices=[[], *WAVES])
    parser.add_argument("--seeds", type=int, default=4)
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    print("| fleet | wave | method | revocations per item | late | refused |")
    print("|---|---|---|---|---|---|")
    for fleet, figures in (("first", FIRST), ("second", SECOND)):
        for wave in arguments.waves or WAVES:
            changed = {"wave": WAVES[wave], "length_ms": LENGTH_MS}
            load = Load(**figures | changed)
            base = None
            for method, (make, switches) in METHODS.items():
                found = [make(load, seed, switches).play() for seed in seeds]
                base = base or found
                items = sum(one.items for one in found)
                revokes = sum(one.revokes for one in found)
                late = sum(one.late for one in found)
                refused = sum(one.refused for one in found)
                print(
                    f"| {fleet} | {wave} | {method} | {revokes / items:.2f} "
                    f"({difference(found, base)}) | {late} of {items} "
                    f"| {refused} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
