"""Slots that batch items may take, from the forecast of online demand.

Load pattern
------------
Online demand comes in waves, and items run longer than a trough
(`demand_wave`). Many owners of jobs share the replicas.

What goes wrong without it
--------------------------
Items take slots that the next peak takes back. A few items at every replica
leave each of them a few slots for online requests, so that a random surplus
at one replica revokes an item while others have idle slots.

How
---
Items may hold the slots that the forecast peak over an item's expected run
leaves. An item with little laxity needs them for less than its run, and at
last starts regardless, so that waiting makes no item late. The slots are
allotted to the replicas in an order of hashes of their ids, the same at all
owners, so that a few replicas carry the items through a peak; online requests
prefer the others. Each agent bounds the holds at its replica, so owners with
older states overshoot only at the last of these replicas.

Complexity: O(n log n) for n replicas.
"""

import functools
import hashlib

from dahliashunt.decisions.item_order import INFEASIBLE_SLACK_MS

__all__ = ["allot", "batch_room", "clear_run_ms", "reserved_slots"]

URGENT_PERIODS = 1.2
"""Laxity, in periods of the wave, below which an item does not wait for room:
when it is revoked, it waits through one peak and can still be in time."""

AMPLE_PERIODS = 2.3
"""Laxity, in periods, above which an item starts only where the forecast
leaves its slot free for its whole run. Between the two the required time
falls evenly, so that a backlog makes items start in troughs as without a
forecast, the least lax first."""

IDLE_SHARE = 0.08
"""Share of the slots that stays idle at the forecast peak: entries that know
states 100 ms old rarely find the last idle slots."""

HASHES_KEPT = 256
"""Hashes of replica ids that are kept: the partners in ten services."""

RESERVED_MARGIN = 0.04
"""Share of the slots that online requests avoid beyond those that items hold,
so that an item that follows another finds its slot idle."""


def clear_run_ms(slack_ms: int, run_ms: int, period_ms: int) -> int:
    """Return the time for which an item that starts needs a free slot.

    At 0 the item starts regardless of the forecast.

    Parameters
    ----------
    slack_ms : int
        Time until it is due; at least `INFEASIBLE_SLACK_MS` if it can't be
        in time.
    run_ms : int
        Expected remaining run.
    period_ms : int
        Period of the wave; 0 if unknown.
    """
    if slack_ms >= INFEASIBLE_SLACK_MS or not period_ms:
        return 0
    spare_ms = slack_ms - run_ms - URGENT_PERIODS * period_ms
    share = spare_ms / ((AMPLE_PERIODS - URGENT_PERIODS) * period_ms)
    return int(run_ms * min(1.0, max(0.0, share)))


def batch_room(slots: int, peak: float | None) -> int | None:
    """Return the slots that items may hold; None without a forecast."""
    if peak is None:
        return None
    return max(0, int(slots * (1 - peak - IDLE_SHARE)))


def allot(slots_by_id: dict[str, int], room: int) -> dict[str, int]:
    """Return the slots that items may hold at each replica with any.

    Examples
    --------
    >>> sorted(allot({"a": 8, "b": 8, "c": 8}, 12).values())
    [4, 8]
    """
    allotted = {}
    if room <= 0:
        return allotted
    for replica_id in sorted(slots_by_id, key=_hash):
        if room <= 0:
            break
        allotted[replica_id] = min(room, slots_by_id[replica_id])
        room -= allotted[replica_id]
    return allotted


def reserved_slots(slots: int, batch: int, room: int) -> int:
    """Return the slots, of all replicas, that online requests avoid.

    There are none while no item runs: nothing changes without items.
    """
    if not batch:
        return 0
    return min(room, batch + int(RESERVED_MARGIN * slots))


@functools.lru_cache(HASHES_KEPT)
def _hash(replica_id):
    return hashlib.blake2b(replica_id.encode(), digest_size=8).digest()
