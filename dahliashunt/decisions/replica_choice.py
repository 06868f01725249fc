"""Order in which an entry asks the replicas of a service.

Load pattern
------------
Several entries, each with a few requests a second, share a few replicas. An
entry's load information is as old as the replica's last message; only its
own requests since then are known exactly.

What goes wrong without it
--------------------------
Ordering by the last known load alone sends a whole burst to one replica, and
random order ignores load and prompt caches. Counting only online requests
revokes batch items while slots elsewhere are idle. A replica whose agent is
down looks idle, and each request waits for it first.

How
---
Replicas are sorted by availability (not suspected, not full, agent answers,
warm), then idle slots, load in steps of `SIMILAR_LOAD_SLOTS`, an open
connection, exact load and data centre; ties are broken at random. Preferring
open connections keeps them from being closed as idle. The replica that most
probably caches the request's shared prompt parts, chosen by rendezvous
hashing of the deepest part, goes first if it has room and does not cost a
revoked batch item that another replica would not.

Complexity: O(n log n) to sort n replicas, and one hash per replica.
"""

from dataclasses import dataclass
import hashlib
import random

__all__ = ["MAX_LOAD_AGE_MS", "Candidate", "order_replicas"]

MIN_FREE_FOR_AFFINITY = 2
"""Free slots that the replica preferred for its prompt cache needs to go
first. Reading 200 shared tokens again takes some 3 ms, while a busy replica
costs a wait or a revoked batch item."""

SIMILAR_LOAD_SLOTS = 2
"""Step in free slots below which loads count as similar, since load
information lags; among similar replicas an open connection decides."""

MAX_LOAD_AGE_MS = 2_000
"""Age in milliseconds above which a replica's load counts as unknown."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """State of one replica as known to an entry.

    Attributes
    ----------
    replica_id : str
    slots : int
    taken : int
        Slots taken as last reported, or this entry's own requests if more.
    age_ms : int
        Age of the last report.
    avoided : bool
        Whether it is suspected, or reported as unavailable by its agent.
    near : bool
        Whether it is in this entry's data centre.
    cold : bool
        Whether it is still slow after its start.
    batch : int
        Slots, besides those taken, that batch items hold. An online request
        gets one by revoking the item; another batch item can't.
    agent_silent : bool
        Whether its agent does not answer, so that its load is unknown.
    connected : bool
        Whether an idle connection to it is open.
    reserved : bool
        Whether it is kept for batch items, so that an online request goes to
        another replica with an idle slot.
    """

    replica_id: str
    slots: int
    taken: int
    age_ms: int
    avoided: bool
    near: bool
    cold: bool = False
    batch: int = 0
    agent_silent: bool = False
    connected: bool = False
    reserved: bool = False


def order_replicas(
    candidates: list[Candidate], affinity: str, rng: random.Random
) -> list[Candidate]:
    """Return `candidates`, best first.

    Parameters
    ----------
    candidates : list of Candidate
    affinity : str
        Key of the deepest shared part of the prompt; empty for none.
    rng : random.Random
        Breaks ties.

    Examples
    --------
    >>> idle = Candidate("a", 8, 0, 0, False, True)
    >>> busy = Candidate("b", 8, 8, 0, False, True)
    >>> [c.replica_id for c in order_replicas(
    ...     [busy, idle], "", random.Random(1))]
    ['a', 'b']
    """
    ordered = sorted(candidates, key=lambda one: _rank(one, rng))
    if not affinity:
        return ordered
    preferred = max(
        (one for one in ordered if _is_eligible(one)),
        key=lambda one: _rendezvous_score(affinity, one.replica_id),
        default=None,
    )
    if preferred is None or _free_slots(preferred) < MIN_FREE_FOR_AFFINITY:
        return ordered
    if not _has_idle_slot(preferred) and _has_idle_slot(ordered[0]):
        return ordered
    if preferred.reserved and not ordered[0].reserved:
        return ordered
    return [preferred, *(one for one in ordered if one is not preferred)]


def _rank(one, rng):
    is_full = _free_slots(one) == 0
    return (
        one.avoided,
        is_full,
        one.agent_silent,
        one.cold,
        not _has_idle_slot(one),
        one.reserved,
        -(_free_slots(one) // SIMILAR_LOAD_SLOTS),
        not one.connected,
        -_free_slots(one),
        not one.near,
        rng.random(),
    )


def _free_slots(one):
    # If the load is unknown, only half of the slots count.
    if one.age_ms > MAX_LOAD_AGE_MS:
        return max(0, one.slots // 2 - one.taken)
    return max(0, one.slots - one.taken)


def _is_eligible(one):
    return not (one.avoided or one.cold or one.agent_silent)


def _has_idle_slot(one):
    return _free_slots(one) > one.batch


def _rendezvous_score(affinity, replica_id):
    text = f"{affinity}|{replica_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
