"""Compare ways to hold back a prompt part that crashes replicas.

Usage:
  benchmarks.prompt_parts [--seeds=N]

Options:
  --seeds=N  Plays of each case [default: 4].

Plays a fleet without a network (`crash_simulation`): 20 s of sound traffic,
then 40 s in which requests with one part crash each replica that runs them,
or in which two thirds of the replicas crash four times for another cause.
Prints for each way the most guilty requests later than 3 s after the fifth
crash, of which three are allowed; the least share of sound requests that
begin at the first attempt, from 6 s after it or after the last rack; and the
most transactions in a second. With few requests, 5 a second of each kind and
two first parts, the share is that of the attack's first ten seconds.
"""

import asyncio
import contextlib
import os

from docopt import docopt

from dahliashunt.forwarding.crash_guard import CrashGuard
from dahliashunt.forwarding.tests.crash_simulation import CrashSimulation

CONTACT_MS = 3_000
WARM_MS = 20_000
ATTACK_MS = 40_000

SIZES = ((7, 9, 40.0, 3.0), (100, 150, 500.0, 10.0))
"""Entries, replicas, sound and guilty requests a second."""


class WholeRequests(CrashGuard):
    """Counts a request by its own digest alone."""

    def _count_parts(self, permit, request_id, replica, lost_ms):
        return


class EveryPart(CrashGuard):
    """Holds back each part with enough losses in a row."""

    def _held_back(self, keys):
        return (keys.request, *keys.parts)


WAYS = {
    "whole requests": WholeRequests,
    "every part": EveryPart,
    "judged parts": CrashGuard,
}


async def attack(simulation, rate, guilty_rate):
    """Return late guilty requests and the share of sound ones after it."""
    await simulation.play(WARM_MS, rate)
    await simulation.play(ATTACK_MS, rate, guilty_rate)
    fifth_ms = simulation.crashes_ms[:5][-1]
    share = simulation.sound_share(fifth_ms + 2 * CONTACT_MS)
    return simulation.late_guilty(CONTACT_MS), share


async def racks(simulation, rate, guilty_rate):
    """Return no guilty request, and the share of sound ones after racks."""
    await simulation.play(WARM_MS, rate)
    for _ in range(4):
        simulation.crash(2 * len(simulation.replicas) // 3)
        await simulation.play(1_500, rate)
    await simulation.play(3_000, rate)
    ended_ms = simulation.clock.now_ms()
    await simulation.play(5_000, rate)
    return 0, simulation.sound_share(ended_ms)


async def few(simulation, _rate, _guilty_rate):
    """Return late guilty requests and the share of sound ones at first."""
    await simulation.play(WARM_MS, 5.0, firsts=2)
    began_ms = simulation.clock.now_ms()
    await simulation.play(ATTACK_MS, 5.0, 5.0, firsts=2)
    share = simulation.sound_share(began_ms, began_ms + 10_000)
    return simulation.late_guilty(CONTACT_MS), share


def play(case, way, size, seed):
    """Return the figures of one play."""
    entries, replicas, rate, guilty_rate = size

    async def main():
        simulation = CrashSimulation(seed, entries, replicas, way)
        try:
            found = await case(simulation, rate, guilty_rate)
        finally:
            simulation.stop()
        return (*found, simulation.most_writes())

    # The entries' log lines would bury the table.
    with open(os.devnull, "w") as sink, contextlib.redirect_stdout(sink):
        return asyncio.run(main())


def main(argv=None):
    """Print the table."""
    options = docopt(__doc__, argv)
    seeds = range(int(options["--seeds"]))
    print("entries case    way             guilty  sound  writes/s")
    for size in SIZES:
        for case in (attack, racks, few):
            for name, way in WAYS.items():
                plays = [play(case, way, size, seed) for seed in seeds]
                guilty, sound, writes = zip(*plays, strict=True)
                print(
                    f"{size[0]:7} {case.__name__:7} {name:15}"
                    f" {max(guilty):6} {min(sound):6.2f} {max(writes):9}"
                )


if __name__ == "__main__":
    main()
