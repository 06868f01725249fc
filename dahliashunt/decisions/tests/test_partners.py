"""Partner selection at the designed size, against asking all replicas."""

import collections
import random
from types import SimpleNamespace

from dahliashunt.decisions.link_choice import choose_links
from dahliashunt.decisions.partners import MAX_PARTNERS
from dahliashunt.decisions.partners import NON_PARTNER_SAMPLES
from dahliashunt.decisions.partners import sample_non_partners

ENTRIES = [f"entry-{n}" for n in range(173)]
REPLICAS = [f"replica-{n}" for n in range(127)]


def choose_partners(entry, replicas):
    return choose_links(entry, replicas, MAX_PARTNERS)


def test_links_grow_with_the_entries_and_not_with_the_product():
    links = sum(len(choose_partners(one, REPLICAS)) for one in ENTRIES)
    assert links == len(ENTRIES) * MAX_PARTNERS
    assert links * 5 < len(ENTRIES) * len(REPLICAS)


def test_entries_spread_over_the_replicas():
    askers = collections.Counter()
    for one in ENTRIES:
        askers.update(choose_partners(one, REPLICAS))
    mean = len(ENTRIES) * MAX_PARTNERS / len(REPLICAS)
    assert len(askers) == len(REPLICAS)
    assert max(askers.values()) < 2 * mean


def test_a_lost_replica_moves_only_its_own_place():
    # Guards against losing all known loads when one replica is lost.
    for one in ENTRIES:
        before = set(choose_partners(one, REPLICAS))
        after = set(choose_partners(one, REPLICAS[1:]))
        assert len(before - after) == (REPLICAS[0] in before)


def test_a_small_service_is_asked_whole():
    few = REPLICAS[:MAX_PARTNERS]
    assert set(choose_partners("entry-1", few)) == set(few)


def test_outsiders_include_every_replica_that_is_not_a_partner():
    replicas = [SimpleNamespace(replica_id=name) for name in REPLICAS]
    partners = choose_partners("entry-1", REPLICAS)
    rng = random.Random(1)
    reached = set()
    for _ in range(400):
        drawn = sample_non_partners(replicas, partners, rng)
        assert len(drawn) <= NON_PARTNER_SAMPLES
        reached.update(one.replica_id for one in drawn)
    assert reached == set(REPLICAS) - set(partners)


def _served_share(ask, max_asked=6, slots=7):
    """Return the share of a burst that finds a slot without a retry."""
    free = dict.fromkeys(REPLICAS, slots)
    rng = random.Random(3)
    served = 0
    wave = int(0.95 * slots * len(REPLICAS))
    for number in range(wave):
        entry = ENTRIES[number % len(ENTRIES)]
        for replica in ask(entry, rng)[:max_asked]:
            if free[replica]:
                free[replica] -= 1
                served += 1
                break
    return served / wave


def test_a_wave_is_served_as_well_as_by_asking_at_random():
    # Guards against replicas left idle because no entry's partners include
    # them, with entries that know no loads.
    replicas = [SimpleNamespace(replica_id=name) for name in REPLICAS]
    partners_of = {one: choose_partners(one, REPLICAS) for one in ENTRIES}

    def alone(entry, rng):
        return rng.sample(sorted(partners_of[entry]), 4)

    def both(entry, rng):
        others = sample_non_partners(replicas, partners_of[entry], rng)
        return alone(entry, rng) + [one.replica_id for one in others]

    def everywhere(entry, rng):
        return rng.sample(REPLICAS, 6)

    assert 1 - _served_share(both) < 0.6 * (1 - _served_share(alone))
    assert _served_share(both) > _served_share(everywhere) - 0.01
