"""In which order an entry asks the replicas of a service.

Load pattern
------------
Several entries, each with a few requests a second, share a few replicas.
What an entry knows of a replica is as old as the last message about it;
its own requests since then are known exactly.

What goes wrong without it
--------------------------
Ordering by the last known load alone sends a whole wave to the replica
that last looked idle; ordering at random fills one replica while another
idles; ignoring prompts makes each replica read every shared part again.
Where online requests and batch items share a fleet, counting only online
requests sends one to a replica whose other slots all run items: an item is
revoked there while a slot stands idle next door, and batch items ask
replicas that other items have filled. A replica whose agent is gone looks
idle, since nobody says that it is not, and each request waits there first.

How
---
Suspected and absent replicas go last, before them those whose agent does
not answer, and before these the ones that were just started and are still
slow: what they are given is late while a warm one has room, and their slots
are wanted only when no other is left. Among the rest
the one that most probably keeps the request's shared prompt parts is first,
chosen by rendezvous over the deepest shared part, as long as it has some
room and no item must be revoked there that need not be elsewhere; the
others follow, those with an idle slot ahead, by slots that online requests
leave free. Among those alike in load the one to which a connection stands
goes first: an entry of a large fleet has a few requests a second, so that
spread over all its partners each would find its connection closed as idle.
What is still equal is drawn at random.

Complexity: one hash and one comparison key a replica.
"""

from dataclasses import dataclass
import hashlib
import random

__all__ = ["Candidate", "order_replicas"]

MIN_FREE_FOR_AFFINITY = 2
"""Free slots that the replica with the prompt's parts must have to go
first. Reading 200 shared tokens again takes some 3 ms; a busy replica
costs a revoked batch item or a wait."""

SIMILAR_LOAD_SLOTS = 2
"""Replicas whose free slots differ by less are alike in load: what is known
of a busy one is a request old. Among them a standing connection decides."""

MAX_LOAD_AGE_MS = 2_000
"""Older knowledge of a replica's load is taken as unknown."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """One replica as an entry sees it.

    Attributes
    ----------
    replica_id : str
    slots : int
    taken : int
        Slots taken as last heard, and this entry's own requests since.
    age_ms : int
        Of that knowledge.
    avoided : bool
        Suspected, or said to be absent by its agent.
    near : bool
        Stands in this entry's data centre.
    cold : bool
        Still slow after its start.
    batch : int
        Slots besides those taken that batch items hold: an online request
        gets one by revoking its item, another item does not get it.
    unheard : bool
        Its agent does not answer, so that nobody counts its slots.
    connected : bool
        An idle connection to it stands.
    """

    replica_id: str
    slots: int
    taken: int
    age_ms: int
    avoided: bool
    near: bool
    cold: bool = False
    batch: int = 0
    unheard: bool = False
    connected: bool = False


def order_replicas(
    candidates: list[Candidate], affinity: str, rng: random.Random
) -> list[Candidate]:
    """Return `candidates`, best first.

    Parameters
    ----------
    candidates : list of Candidate
    affinity : str
        Names the deepest shared part of the prompt; empty for none.
    rng : random.Random
        Draws between equals.

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
    return [preferred, *(one for one in ordered if one is not preferred)]


def _rank(one, rng):
    is_full = _free_slots(one) == 0
    return (
        one.avoided,
        is_full,
        one.unheard,
        one.cold,
        not _has_idle_slot(one),
        -(_free_slots(one) // SIMILAR_LOAD_SLOTS),
        not one.connected,
        -_free_slots(one),
        not one.near,
        rng.random(),
    )


def _free_slots(one):
    # Unknown load counts as half full: better than a replica that is known
    # to be full, worse than one that is known to have room.
    if one.age_ms > MAX_LOAD_AGE_MS:
        return max(0, one.slots // 2 - one.taken)
    return max(0, one.slots - one.taken)


def _is_eligible(one):
    return not (one.avoided or one.cold or one.unheard)


def _has_idle_slot(one):
    return _free_slots(one) > one.batch


def _rendezvous_score(affinity, replica_id):
    text = f"{affinity}|{replica_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
