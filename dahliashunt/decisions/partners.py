"""Which replicas of a service an entry asks first.

Load pattern
------------
Hundreds of entries before thousands of replicas, each entry with a score
of requests a second.

What goes wrong without it
--------------------------
An entry that renews and hears of every replica costs messages with the
product of the two numbers, and each request orders every replica. With
173 entries before 127 agents that is 22,000 renewals a second, and up to
ten times as many load messages (docs/CAPACITY.md).

How
---
Each entry keeps to a few replicas, its partners, as `choose_links` draws
them from the two ids: the sets differ between entries, so that the load
spreads, and a replica that comes or goes moves nothing but its own place.
Where all partners are full a few others, drawn anew for each request, are
asked as well, which also reaches replicas that are nobody's partner, so
that a wave finds slots as by asking at random everywhere
(`test_a_wave_is_served_as_well_as_by_asking_at_random`).

References
----------
Mitzenmacher, "The power of two choices in randomized load balancing",
IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
"""

import random

__all__ = ["MAX_PARTNERS", "NON_PARTNER_SAMPLES", "sample_non_partners"]

MAX_PARTNERS = 24
"""Partners of an entry in one service. At 20 requests a second that hold a
slot for 0.7 s, an entry uses 14 slots; 24 replicas of 7 have 168."""

NON_PARTNER_SAMPLES = 2
"""Others asked when every partner asked was full."""


def sample_non_partners(
    replicas: list,
    partners,
    rng: random.Random,
    count: int = NON_PARTNER_SAMPLES,
) -> list:
    """Return up to `count` of `replicas` that are not in `partners`.

    Parameters
    ----------
    replicas : list
        Each with a ``replica_id``.
    partners : container of str
    rng : random.Random
    count : int

    Notes
    -----
    Draws more than needed and drops partners, so that the cost does not
    grow with the list.
    """
    drawn = rng.sample(replicas, min(len(replicas), 3 * count))
    others = [each for each in drawn if each.replica_id not in partners]
    return others[:count]
