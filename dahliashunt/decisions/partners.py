"""Sampling of replicas beyond an entry's partners.

Load pattern
------------
Hundreds of entries in front of thousands of replicas, each entry with some
tens of requests a second.

What goes wrong without it
--------------------------
If every entry exchanges messages with every replica, the messages grow with
the product of the two numbers, and each request sorts every replica (see
docs/CAPACITY.md).

How
---
Each entry keeps links to a small subset of the replicas, its partners, which
`link_choice.choose_links` derives from the ids: the subsets differ between
entries, and a replica that joins or leaves changes only its own place. When
all partners asked are full, a few other replicas are sampled per request,
which also reaches replicas that are no entry's partner.

References
----------
Mitzenmacher, "The power of two choices in randomized load balancing",
IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
"""

import random

__all__ = ["MAX_PARTNERS", "NON_PARTNER_SAMPLES", "sample_non_partners"]

MAX_PARTNERS = 24
"""Most partners of an entry in one service. An entry with 20 requests a second
that hold a slot for 0.7 s uses 14 slots; 24 replicas of 7 have 168."""

NON_PARTNER_SAMPLES = 2
"""Replicas sampled beyond the partners when every partner asked is full."""


def sample_non_partners(
    replicas: list,
    partners,
    rng: random.Random,
    count: int = NON_PARTNER_SAMPLES,
) -> list:
    """Return up to `count` random `replicas` that are not in `partners`.

    Parameters
    ----------
    replicas : list
        Each with a ``replica_id``.
    partners : container of str
    rng : random.Random
    count : int

    Notes
    -----
    Oversamples and then drops partners, so that the cost does not grow with
    the list; fewer than `count` may remain.
    """
    drawn = rng.sample(replicas, min(len(replicas), 3 * count))
    others = [each for each in drawn if each.replica_id not in partners]
    return others[:count]
