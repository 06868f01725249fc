"""What each mechanism of a shared fleet is worth, switched off one by one.

Run ``python -m benchmarks.shared_fleet [--seeds N] [LOAD ...]``. Each row is
one load with one mechanism off: means over the seeds, and the mean paired
difference to everything on with its standard error. The fleet is that of
the tests (`dahliashunt.decisions.tests.shared_fleet`), on virtual time.
"""

import argparse
from dataclasses import asdict
import math
import statistics

from dahliashunt.decisions import slot_allocator
from dahliashunt.decisions.slot_allocator import BATCH_COOLDOWN_MS
from dahliashunt.decisions.tests.shared_fleet import EarliestDue
from dahliashunt.decisions.tests.shared_fleet import Fleet
from dahliashunt.decisions.tests.shared_fleet import Load
from dahliashunt.decisions.tests.shared_fleet import NeverRevokes
from dahliashunt.decisions.tests.shared_fleet import Outcome
from dahliashunt.decisions.tests.shared_fleet import Switches
from dahliashunt.decisions.tests.shared_fleet import Wave

GROWN = {
    "replicas": 28,
    "slots": 7,
    "owners": 40,
    "online_per_s": 149,
    "jobs_per_s": 1.84,
    "length_ms": 24_000,
}

FIRST = {
    "replicas": 26,
    "slots": 8,
    "owners": 36,
    "entries": 36,
    "online_per_s": 101,
    "jobs_per_s": 1.13,
    "length_ms": 30_000,
    "wave": Wave(3_400, 2_400, 0.383, 1.87),
}
"""Figures of docs/design/hard-load.md; a job has some ten items."""

SECOND = FIRST | {
    "replicas": 21,
    "owners": 29,
    "entries": 29,
    "online_per_s": 94,
    "jobs_per_s": 1.21,
}

LOADS = {
    "first": Load(**FIRST),
    "second": Load(**SECOND),
    "waves": Load(),
    "jobs-6x": Load(burst=(4_000, 8_000, 6.0)),
    "jobs-12x": Load(burst=(4_000, 8_000, 12.0)),
    "grown": Load(**GROWN),
    "grown-jobs-4x": Load(**GROWN, burst=(4_000, 7_000, 4.0)),
    "grown-loss": Load(**GROWN, loss=(6_000, 12_000, 8)),
}

TRIALS = {
    "all on": (Switches(), BATCH_COOLDOWN_MS),
    "no revokes": (Switches(allocator=NeverRevokes), BATCH_COOLDOWN_MS),
    "no reserve": (Switches(), 0),
    "reserve 400 ms": (Switches(), 400),
    "one ask": (Switches(two_phase=False), BATCH_COOLDOWN_MS),
    "no idle first": (Switches(idle_first=False), BATCH_COOLDOWN_MS),
    "earliest due": (Switches(order=EarliestDue), BATCH_COOLDOWN_MS),
    "no queueing": (Switches(queues=False), BATCH_COOLDOWN_MS),
}


def play(load: Load, trial: str, seeds: range) -> list[Outcome]:
    """Return the outcomes of one load with one mechanism off."""
    switches, recent_ms = TRIALS[trial]
    slot_allocator.BATCH_COOLDOWN_MS = recent_ms
    try:
        return [Fleet(load, seed, switches).play() for seed in seeds]
    finally:
        slot_allocator.BATCH_COOLDOWN_MS = BATCH_COOLDOWN_MS


def difference(outcomes, base, name) -> str:
    """Return the mean paired difference and its standard error."""
    pairs = zip(outcomes, base, strict=True)
    values = [getattr(one, name) - getattr(two, name) for one, two in pairs]
    error = statistics.stdev(values) / math.sqrt(len(values))
    return f"{statistics.mean(values):+.1f} +- {error:.1f}"


def row(outcomes, base) -> str:
    """Return a table row's cells."""
    cells = []
    for name in asdict(outcomes[0]):
        mean = statistics.mean(getattr(one, name) for one in outcomes)
        cells.append(f"{mean:.1f}")
        if name in ("late", "revokes", "refused"):
            cells[-1] += f" ({difference(outcomes, base, name)})"
    return " | ".join(cells)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("loads", nargs="*", choices=[[], *LOADS])
    parser.add_argument("--seeds", type=int, default=20)
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    print("| load | off | items | late | unfinished | revokes | refused |")
    print("|---|---|---|---|---|---|---|")
    for name in arguments.loads or LOADS:
        base = play(LOADS[name], "all on", seeds)
        for trial in TRIALS:
            outcomes = play(LOADS[name], trial, seeds)
            print(f"| {name} | {trial} | {row(outcomes, base)} |", flush=True)


if __name__ == "__main__":
    main()
