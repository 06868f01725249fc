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

Where the replicas' speeds are known and differ, or reading the shared parts
takes a relevant time, `order_by_time` replaces this order. Suspicion, memory,
idle slots and silent agents decide first, as above; then expected time, in
steps, and only among similar ones the load. Cached parts are a term of the
time instead of a rule. Batch items take the slowest replica at which they end
in time, which leaves the fast ones to the next peak of online requests.

Complexity: O(n log n) to sort n replicas, and one hash or estimate each.
"""

from dataclasses import dataclass
import hashlib
import math
import random

from dahliashunt.decisions.expected_time import Estimator
from dahliashunt.decisions.expected_time import has_different_speeds
from dahliashunt.decisions.expected_time import is_reading_relevant
from dahliashunt.decisions.expected_time import ReplicaInputs
from dahliashunt.decisions.expected_time import RequestSize
from dahliashunt.decisions.expected_time import SpeedPrior
from dahliashunt.decisions.slot_messages import Use

__all__ = [
    "MAX_LOAD_AGE_MS",
    "Candidate",
    "Placement",
    "order_by_time",
    "order_replicas",
    "uses_expected_time",
]

MIN_FREE_FOR_AFFINITY = 2
"""Free slots that the replica preferred for its prompt cache needs to go
first. Reading 200 shared tokens again takes some 3 ms, while a busy replica
costs a wait or a revoked batch item."""

SIMILAR_LOAD_SLOTS = 2
"""Step in free slots below which loads count as similar, since load
information lags; among similar replicas an open connection decides."""

MAX_LOAD_AGE_MS = 2_000
"""Age in milliseconds above which a replica's load counts as unknown."""

FIRST_TOKEN_STEP_MS = 20
"""Step in ms below which times to the first token count as similar. It is the
relevant reading time; less is not worth a replica with less room."""

SIMILAR_END_FACTOR = 1.25
"""Ratio below which times to the end count as similar, so that not every
entry selects the one replica that looks fastest."""

_LOG_SIMILAR_END_FACTOR = math.log(SIMILAR_END_FACTOR)

DUE_MARGIN = 1.25
"""Factor on the expected time of a batch item that has to fit into its slack.
With 2, items of 2,100 tokens seldom go to a replica of half the speed, and
online requests find fewer idle slots at the fast ones."""


# One is made per replica and request. A frozen one takes six times as long.
@dataclass(slots=True)
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
    inputs : ReplicaInputs or None
        What its time is estimated from; None without estimates.
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
    inputs: ReplicaInputs | None = None
    reserved: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """Request to be placed by expected time.

    Attributes
    ----------
    size : RequestSize
    use : Use
    slack_ms : int
        Time until a batch item is due; not used for online requests.
    """

    size: RequestSize
    use: Use = Use.ONLINE
    slack_ms: int = 0


def uses_expected_time(
    candidates: list[Candidate], size: RequestSize, prior: SpeedPrior
) -> bool:
    """Return whether expected times can differ enough to decide.

    They can if two known speeds differ by more than their spread, or if
    reading the shared parts takes a relevant time.
    """
    if size.shared_tokens and is_reading_relevant(size.shared_tokens, prior):
        return True
    return has_different_speeds([one.inputs.token_us for one in candidates])


def order_by_time(
    candidates: list[Candidate],
    placement: Placement,
    prior: SpeedPrior,
    rng: random.Random,
) -> list[Candidate]:
    """Return `candidates`, least expected time first.

    Parameters
    ----------
    candidates : list of Candidate
        Each with `inputs`.
    placement : Placement
    prior : SpeedPrior
        Speeds of the service.
    rng : random.Random
        Breaks ties.
    """
    estimate = Estimator(placement.size, prior).estimate
    rank = _rank_item if placement.use is Use.BATCH else _rank_online
    slack_ms = placement.slack_ms
    memory_tokens = placement.size.memory_tokens
    random_number = rng.random
    ranks = []
    for one in candidates:
        slots, inputs = one.slots, one.inputs
        free = _free_slots(one)
        taken = slots - free if free else max(slots, one.taken)
        first_ms, end_ms = estimate(inputs, slots, taken)
        lacks_memory = 0 <= inputs.free_tokens < memory_tokens
        ranks.append(
            rank(
                one,
                free,
                lacks_memory,
                first_ms,
                end_ms,
                slack_ms,
                random_number(),
            )
        )
    # The random number decides before candidates are compared.
    ranks.sort()
    return [each[-1] for each in ranks]


def _rank_online(one, free, lacks_memory, first_ms, end_ms, slack_ms, tie):
    return (
        one.avoided,
        lacks_memory,
        free == 0,
        one.agent_silent,
        free <= one.batch,
        one.reserved,
        first_ms // FIRST_TOKEN_STEP_MS,
        _duration_step(end_ms),
        -(free // SIMILAR_LOAD_SLOTS),
        not one.connected,
        -free,
        not one.near,
        tie,
        one,
    )


def _rank_item(one, free, lacks_memory, first_ms, end_ms, slack_ms, tie):
    return (
        one.avoided,
        lacks_memory,
        one.agent_silent,
        free <= one.batch,
        DUE_MARGIN * end_ms > slack_ms,
        -_duration_step(end_ms - first_ms),
        first_ms // FIRST_TOKEN_STEP_MS,
        -(free // SIMILAR_LOAD_SLOTS),
        not one.connected,
        -free,
        not one.near,
        tie,
        one,
    )


def _duration_step(duration_ms):
    """Return the number of steps by `SIMILAR_END_FACTOR` in a duration."""
    if duration_ms <= 1.0:
        return 0
    return int(math.log(duration_ms) / _LOG_SIMILAR_END_FACTOR)


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
    free = _free_slots(one)
    return (
        one.avoided,
        free == 0,
        one.agent_silent,
        one.cold,
        free <= one.batch,
        one.reserved,
        -(free // SIMILAR_LOAD_SLOTS),
        not one.connected,
        -free,
        not one.near,
        rng.random(),
    )


def _free_slots(one):
    # If the load is unknown, only half of the slots count.
    slots = one.slots
    if one.age_ms > MAX_LOAD_AGE_MS:
        slots //= 2
    free = slots - one.taken
    return free if free > 0 else 0


def _is_eligible(one):
    return not (one.avoided or one.cold or one.agent_silent)


def _has_idle_slot(one):
    return _free_slots(one) > one.batch


def _rendezvous_score(affinity, replica_id):
    text = f"{affinity}|{replica_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
