"""Deadlines met and slowdown of batch jobs, by order.

Usage:
    batch_order.py [--seed N] [--jobs N]

Options:
    --seed N  Seed of jobs and room [default: 1].
    --jobs N  Jobs that arrive in six hours [default: 180].

Sizes are lognormal (median 150 items), callers skewed, deadlines 1 to 8
hours off; room comes in pieces of 0 to 6 items a second. The slowdown of a
job is its time over what it would take with all the room to itself.
"""

from dataclasses import dataclass
import random

from docopt import docopt

from dahliashunt.decisions.batch_order import BATCH_ORDERS
from dahliashunt.decisions.batch_order import BatchOrderPolicy
from dahliashunt.decisions.batch_queue import JobDemand

HOUR = 3_600_000
ROOM = (0, 0, 2, 4, 4, 6)
ROOM_S = sum(ROOM) / len(ROOM)
SPAN = 6 * HOUR
ITEM_TOKENS = 500


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job, and when it comes."""

    at_ms: int
    job: JobDemand


def arrivals(seed: int, count: int) -> list[Arrival]:
    """Return jobs in the order of their arrival."""
    rng = random.Random(seed)
    found = []
    for n in range(count):
        caller = f"c{min(int(rng.expovariate(0.5)), 9)}"
        items = 1 + int(rng.lognormvariate(5, 1.3))
        at = int(rng.uniform(0, SPAN))
        due = at + int(rng.uniform(1, 8) * HOUR)
        job = JobDemand(f"j{n}", caller, "m", due, items, ITEM_TOKENS)
        found.append(Arrival(at, job))
    return sorted(found, key=lambda arrival: arrival.at_ms)


def finish_times(name: str, jobs: list[Arrival], seed: int) -> dict[str, int]:
    """Return when the last item of each job was sent."""
    rng = random.Random(seed + 1)
    policy = BatchOrderPolicy(rate_prior=ROOM_S * ITEM_TOKENS)
    order = BATCH_ORDERS.get(name)(policy, random.Random(seed))
    left: dict[str, int] = {}
    finished: dict[str, int] = {}
    coming = list(reversed(jobs))
    now = 0
    while coming or left:
        while coming and coming[-1].at_ms <= now:
            job = coming.pop().job
            order.job(now, job)
            left[job.job_id] = job.items_left
        for grant in order.choose(now, {"m": rng.choice(ROOM)}):
            left[grant.job_id] -= grant.items
            if left[grant.job_id] == 0:
                del left[grant.job_id]
                finished[grant.job_id] = now
                order.remove_job(grant.job_id)
        now += 1000
    return finished


def main() -> None:
    """Print one row an order."""
    options = docopt(__doc__)
    seed = int(options["--seed"])
    jobs = arrivals(seed, int(options["--jobs"]))
    items = sum(arrival.job.items_left for arrival in jobs)
    hours = items / ROOM_S / 3600
    print(f"{len(jobs)} jobs, {items} items, {hours:.1f} h of room")
    print("order         late  slowdown 50/95  last at h")
    for name in BATCH_ORDERS:
        finished = finish_times(name, jobs, seed)
        late = sum(finished[a.job.job_id] > a.job.due_ms for a in jobs)
        slow = sorted(
            (finished[a.job.job_id] - a.at_ms)
            * ROOM_S
            / (1000 * a.job.items_left)
            for a in jobs
        )
        middle = slow[len(slow) // 2]
        tail = slow[int(0.95 * len(slow))]
        last = max(finished.values()) / HOUR
        print(f"{name:12} {late:5} {middle:8.1f}/{tail:5.1f} {last:10.1f}")


if __name__ == "__main__":
    main()
