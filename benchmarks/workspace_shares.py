"""What a hot workspace costs the others, by order and load.

Run with ``python -m benchmarks.workspace_shares``. The losses are of the
model of `workspace_fleet`; the times are of the decisions on this machine.
"""

import dataclasses
import time

from dahliashunt.decisions import slot_allocator
from dahliashunt.decisions import workspace_shares
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.tests.former_order import FormerAllocator
from dahliashunt.decisions.tests.workspace_fleet import HOT
from dahliashunt.decisions.tests.workspace_fleet import SharedLoad
from dahliashunt.decisions.tests.workspace_fleet import WorkspaceFleet

SEEDS = (1, 2, 3, 4)
LOADS = {
    "3 entries": SharedLoad(entries=3),
    "36 entries": SharedLoad(),
    "500 entries": SharedLoad(entries=500),
    "one agent in four restarted": SharedLoad(restart_ms=4_500),
    "halves": SharedLoad(halves=True),
}


class StateWaits(FormerAllocator):
    """Shares at agents, but entries don't know their request's place."""

    __slots__ = ()
    _not_overtaken = SlotAllocator._not_overtaken
    _displace = SlotAllocator._displace
    _next_attempt_id = SlotAllocator._next_attempt_id


def main():
    """Print losses and times."""
    for name, load in LOADS.items():
        for allocator in (FormerAllocator, SlotAllocator):
            print(f"{name}, {allocator.__name__}: {losses(load, allocator)}")
    load = SharedLoad()
    print(f"placed by the agent's wait: {losses(load, StateWaits)}")
    constants = {
        (workspace_shares, "EQUAL_LEAD_SHARE"): (0.0, 0.25, 0.75),
        (slot_allocator, "ONLINE_HALF_LIFE_MS"): (300, 3_000, 10_000),
    }
    for (module, name), values in constants.items():
        kept = getattr(module, name)
        for value in values:
            setattr(module, name, value)
            print(f"{name} {value}: {losses(load, SlotAllocator)}")
        setattr(module, name, kept)
    print(f"a request behind 20 of 20 workspaces: {decision_us():.0f} us")


def losses(load, allocator):
    """Return the mean and the highest loss, and what the hot one gets."""
    load = dataclasses.replace(load, hot_factor=7)
    lost, hot = [], []
    for seed in SEEDS:
        fleet = WorkspaceFleet(load, seed, allocator).play()
        sent = fleet.sent.total() - fleet.sent[HOT]
        lost.append(1 - fleet.others() / sent)
        hot.append(fleet.in_time[HOT] / fleet.sent[HOT])
    return (
        f"lost {sum(lost) / len(lost):.2%}, at most {max(lost):.2%}; "
        f"hot in time {sum(hot) / len(hot):.0%}"
    )


def decision_us(rounds=2_000):
    """Return the time of a request that waits and one that is granted."""
    allocator = SlotAllocator(slots=8)
    for number in range(28):
        allocator.ask(_request(number, number % 20 + 1), 0)
    began = time.perf_counter()
    for number in range(100, 100 + rounds):
        allocator.ask(_request(number, number % 20 + 1), number)
        allocator.release(allocator.held[0], number)
    return (time.perf_counter() - began) / rounds * 1e6


def _request(number, workspace):
    name = str(number)
    return SlotRequest(
        name, name, "e", Use.ONLINE, 60_000, 60_000, workspace=workspace
    )


if __name__ == "__main__":
    main()
