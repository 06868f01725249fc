"""Compare ways to count the crashes of a request.

Usage:
  benchmarks.crash_counts [--seeds=N] [--aim]

Options:
  --seeds=N  Plays of each case [default: 3].
  --aim      Play the size that the system is designed for, once.

Plays a fleet without a network (`crash_simulation`). In `attack` requests
that share one part and crash their replicas come to several entries at the
same moment, every 3.3 s; printed is the most that began later than 3 s after
the fifth crash, of which three are allowed. In `racks` a part of the replicas
goes dark twice while a share of the requests is the same one; printed are the
least shares of that request, and of all, that begin at the first attempt in
the second after each rack, and the most transactions in a second.

The ways count crashes by cause (`causes`: runs that overlap are one), each of
them (`crashes`), each but those of moments in which as many replicas were
lost without the request (`moments`), or each with what is popular spared
(`spared`, the way that is used).
"""

import asyncio
import contextlib
import os
from unittest import mock

from docopt import docopt

from dahliashunt.decisions import loss_counts
from dahliashunt.decisions.loss_counts import count_crashes
from dahliashunt.decisions.loss_counts import losses_in_row
from dahliashunt.decisions.loss_counts import ONE_CAUSE_MS
from dahliashunt.decisions.loss_counts import Permission
from dahliashunt.forwarding.crash_guard import CrashGuard
from dahliashunt.forwarding.tests.crash_simulation import CrashSimulation
from dahliashunt.forwarding.tests.crash_simulation import POPULAR

CONTACT_MS = 3_000
GAP_MS = 3_300
WARM_MS = 2_000
MAX_ATTACK_RATE = 500.0
"""Sound requests a second beside an attack, which lasts half a minute."""

SIZES = ((7, 9, 40.0, 6, 6), (100, 150, 500.0, 50, 20))
"""Entries, replicas, requests a second, replicas that go dark, and guilty
requests that come together."""

AIM = (500, 7_000, 10_000.0, 875, 50)
"""The same at the aim's size: one of eight data centres goes dark."""


class Unspared(CrashGuard):
    """Holds back each suspect, popular or not."""

    def _is_request_held_back(self, digest):
        return self._losses.permission(digest) is not Permission.ALLOWED


def by_cause(_simulation):
    """Count runs that overlap once."""
    return lambda runs: len(losses_in_row(runs))


def by_crash(_simulation):
    """Count each crash."""
    return count_crashes


def by_moment(simulation):
    """Count moments in which as many other replicas were lost once."""

    def count(runs):
        total = 0
        for first in losses_in_row(runs):
            moment = range(first.lost_ms, first.lost_ms + ONE_CAUSE_MS)
            lost_with = {r.replica for r in runs if r.lost_ms in moment}
            lost = {name for at_ms, name in simulation.lost if at_ms in moment}
            has_other_cause = len(lost) >= 2 * len(lost_with)
            total += 1 if has_other_cause else len(lost_with)
        return total

    return count


WAYS = {
    "causes": (Unspared, by_cause),
    "crashes": (Unspared, by_crash),
    "moments": (Unspared, by_moment),
    "spared": (CrashGuard, by_crash),
}


async def attack(simulation, rate, _dark, together):
    """Return the late guilty requests, and the share of sound ones."""
    rate = min(rate, MAX_ATTACK_RATE)
    await simulation.play(WARM_MS, rate)
    for number in range(9):
        simulation.burst(together)
        if number == 0:
            simulation.crash(together)
        await simulation.play(GAP_MS, rate)
    late_ms = simulation.crashes_ms[:5][-1] + 2 * CONTACT_MS
    return simulation.late_guilty(CONTACT_MS), simulation.sound_share(late_ms)


def racks(popular):
    """Return the case of racks that go dark under a popular request."""

    async def case(simulation, rate, dark, _together):
        await simulation.play(WARM_MS, rate, popular=popular)
        shares = []
        for _ in range(2):
            simulation.crash(dark)
            dark_ms = simulation.clock.now_ms()
            await simulation.play(2_000, rate, popular=popular)
            span = (dark_ms, dark_ms + 1_000)
            shares.append(simulation.sound_share(*span, first=POPULAR))
        return min(shares), simulation.sound_share(WARM_MS)

    return case


CASES = {
    "attack": attack,
    "racks, 2%": racks(0.02),
    "racks, 10%": racks(0.1),
    "racks, 50%": racks(0.5),
}


def play(case, way, size, seed):
    """Return the figures of one play."""
    entries, replicas, rate, dark, together = size
    guard, make_count = way

    async def main():
        simulation = CrashSimulation(seed, entries, replicas, guard)
        count = make_count(simulation)
        try:
            with mock.patch.object(loss_counts, "count_crashes", count):
                found = await case(simulation, rate, dark, together)
        finally:
            simulation.stop()
        return (*found, simulation.most_writes())

    # The entries' log lines would bury the table.
    with open(os.devnull, "w") as sink, contextlib.redirect_stdout(sink):
        return asyncio.run(main())


def main(argv=None):
    """Print the table."""
    options = docopt(__doc__, argv)
    seeds = range(1 if options["--aim"] else int(options["--seeds"]))
    print("entries case        way      late/share   all  writes/s")
    for size in (AIM,) if options["--aim"] else SIZES:
        for name, case in CASES.items():
            worst = max if case is attack else min
            for way_name, way in WAYS.items():
                plays = [play(case, way, size, seed) for seed in seeds]
                first, share, writes = zip(*plays, strict=True)
                print(
                    f"{size[0]:7} {name:11} {way_name:8}"
                    f" {worst(first):10.2f} {min(share):5.2f}"
                    f" {max(writes):9}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
