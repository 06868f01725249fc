"""Compare the policies of `RATE_LIMIT_POLICIES` without a network.

Usage:
  benchmarks.caps [--seeds=N]

Options:
  --seeds=N  Plays of each load [default: 8].

Prints a row for each policy and load: requests that one exact count would
have let in and that were refused, the most by which a window of five seconds
is above what is allowed (below 0: room left), requests that waited for a
meter, and messages for each request.
"""

import random
import statistics

from docopt import docopt

from dahliashunt.decisions.metered import METERS_PER_WORKSPACE
from dahliashunt.decisions.rate_limits import RATE_LIMIT_POLICIES
from dahliashunt.decisions.rate_limits import RateLimit
from dahliashunt.decisions.tests.rate_limit_simulation import arrivals
from dahliashunt.decisions.tests.rate_limit_simulation import lost
from dahliashunt.decisions.tests.rate_limit_simulation import overruns
from dahliashunt.decisions.tests.rate_limit_simulation import (
    RateLimitSimulation,
)

BURST_S = 1.0
ALLOWANCE = 5.0
SECONDS = 20
SETTLE_MS = 8_000
WORKSPACE = 7

LOADS = {
    # Name: (callers' entries, times the limit, what happens).
    "two entries, 0.6": (2, 0.6, None),
    "all entries, 0.6": (None, 0.6, None),
    "all entries, 4": (None, 4.0, None),
    "all entries, 9": (None, 9.0, None),
    "9, split for 12 s": (None, 9.0, "split"),
    "9, losses": (None, 9.0, "losses"),
}

SIZES = ((29, 21, 20.0), (88, 120, 20.0), (500, 7_000, 300.0))
"""Entries, agents, and the limit in requests a second."""


def play_one(policy, size, load, seed):
    """Return lost share, overrun, waiting share and messages a request."""
    entries, meters, rate = size
    callers, times, fault = LOADS[load]
    limit = RateLimit(rate, BURST_S * rate + ALLOWANCE, 1)
    # Only agents near a workspace's meters matter to it.
    play = RateLimitSimulation(policy, entries, min(meters, 64), limit, seed)
    rng = random.Random(seed)
    for at_ms in arrivals(rng, times * rate, 0, SECONDS * 1000):
        number = rng.randrange(min(callers or entries, entries))
        play.send(at_ms, number, WORKSPACE)
    if fault == "split":
        split(play, entries)
    if fault == "losses":
        kill_some(play, rng, entries)
    play.run(SECONDS * 1000 + SETTLE_MS)
    sent = len(play.requests)
    waited = sum(r.decided_ms > r.at_ms for r in play.requests)
    burst = BURST_S * rate
    return (
        max(0, lost(play, WORKSPACE, rate, burst)) / sent,
        overruns(play, WORKSPACE, limit, burst),
        waited / sent,
        play.messages / sent,
    )


def split(play, entries):
    """Cut half of the entries and one meter off the others."""
    hosts = play._meters_of(WORKSPACE)[:1]
    near = set(range(entries // 2))

    def is_cut(number, host):
        is_time = 4_000 <= play.now_ms < 16_000
        return is_time and (number in near) != (host in hosts)

    play.cut = is_cut


def kill_some(play, rng, entries):
    """Lose messages, each meter once, and an entry each second."""
    play.loss, play.doubling = 0.05, 0.05
    for at_ms in range(1_000, SECONDS * 1000, 1_000):
        number = rng.randrange(entries)
        play.at(at_ms, lambda n=number: play.kill_entry(n))
    for place, host in enumerate(
        play._meters_of(WORKSPACE)[:METERS_PER_WORKSPACE]
    ):
        play.at(4_000 + 5_000 * place, lambda h=host: play.kill_meter(h))


def main():
    """Print the table."""
    seeds = int(docopt(__doc__)["--seeds"])
    print("| entries | policy | load | lost | over | waited | messages |")
    print("|---|---|---|---|---|---|---|")
    for size in SIZES:
        for policy in RATE_LIMIT_POLICIES:
            for load in LOADS:
                rows = [play_one(policy, size, load, s) for s in range(seeds)]
                lost_, over, waited, messages = zip(*rows, strict=True)
                print(
                    f"| {size[0]} | {policy} | {load} "
                    f"| {statistics.mean(lost_):.3f} | {max(over):.0f} "
                    f"| {statistics.mean(waited):.3f} "
                    f"| {statistics.mean(messages):.2f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
