"""Tests of the hash ring under changes of its hosts."""

import random

from dahliashunt.decisions.hash_ring import HashRing
from dahliashunt.decisions.hash_ring import MAX_MOVED_HOSTS


def test_updates_in_any_order_give_the_ring_of_the_hosts():
    # Guards against entries that select other agents for one stream because
    # they read the changes of the list one by one or at once.
    rng = random.Random(1)
    names = [f"h{n}" for n in range(3 * MAX_MOVED_HOSTS)]
    ring = HashRing()
    for _ in range(40):
        hosts = rng.sample(names, rng.randrange(len(names)))
        ring.update(hosts)
        fresh = HashRing(hosts)
        for _ in range(20):
            key = rng.randrange(-(2**63), 2**63)
            assert ring.owners(key, 4) == fresh.owners(key, 4)


def test_few_keys_move_when_a_host_leaves():
    # Guards against notes that cannot be found after each change of the list.
    names = [f"h{n}" for n in range(100)]
    before, after = HashRing(names), HashRing(names[1:])
    rng = random.Random(1)
    keys = [rng.randrange(2**64) for _ in range(2_000)]
    moved = sum(before.owners(k, 1) != after.owners(k, 1) for k in keys)
    assert moved < 0.03 * len(keys)
