"""The list of replicas over outages, restarts and reused addresses."""

import pytest

from dahliashunt.forwarding.replicas import OUTAGE_GRACE_MS
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.replicas import ReplicaRegistry


def replica(name, port=1, **changed):
    fields = {
        "replica_id": name,
        "born_ms": 0,
        "service": "s",
        "host": "h",
        "port": port,
        "data_centre": "d",
        "slots": 8,
        "leaving": False,
    }
    return Replica(**{**fields, **changed})


@pytest.fixture
def registry():
    registry = ReplicaRegistry()
    for port, name in enumerate("ab"):
        registry.put(replica(name, port), 1, 0)
    return registry


def names(registry):
    return sorted(one.replica_id for one in registry.of_service("s"))


def test_a_leaving_replica_takes_no_new_requests(registry):
    registry.put(replica("a", 0, leaving=True), 2, 0)
    assert names(registry) == ["b"]


def test_a_removed_replica_is_gone_at_once_in_calm_times(registry):
    registry.remove("a", 1_000)
    assert names(registry) == ["b"]


def test_lapsed_entries_stay_for_a_while_after_an_outage(registry):
    # The list was away, all its entries lapsed unseen, and its first
    # answer is empty. Believing it would refuse every request for two
    # seconds although all replicas live.
    registry.outage_ended(1_000)
    registry.replace_all([], 1_000)
    assert names(registry) == ["a", "b"]
    registry.put(replica("a", 0), 2, 0)
    registry.expire(1_000 + OUTAGE_GRACE_MS)
    assert names(registry) == ["a"]


def test_a_new_replica_ends_the_one_at_its_address(registry):
    # A machine lost power and came back with a new replica; requests for
    # the one before were sent there and refused, again and again.
    registry.put(replica("c", 0), 2, 0)
    assert names(registry) == ["b", "c"]


@pytest.mark.parametrize("new", ["0-new", "z-new"])
def test_the_later_written_one_of_a_whole_list_counts(new):
    # After a loss of power everywhere an entry reads a list with the dead
    # replicas and the new ones, in order of their names. It took the last
    # one for the new one, forgot the other, and half of all requests were
    # refused for ten seconds: a live entry is not written again.
    registry = ReplicaRegistry()
    listed = [(replica(new, 0), 9), (replica("m", 0), 3)]
    registry.replace_all(sorted(listed, key=lambda one: one[0].replica_id), 0)
    assert names(registry) == [new]
    registry.remove("m", 10)
    assert names(registry) == [new]


def test_the_earlier_one_counts_again_if_the_later_one_goes(registry):
    registry.put(replica("c", 0), 2, 0)
    registry.remove("c", 0)
    assert names(registry) == ["a", "b"]


def test_a_restart_under_the_same_name_is_another_life(registry):
    before = registry.get("a").incarnation
    registry.put(replica("a", 0, born_ms=5), 2, 0)
    assert registry.get("a").incarnation != before


def test_a_replica_warms_up_between_two_writes_of_the_list(registry):
    # The list is written anew only when more than its counter changes, so
    # that a replica looked slow for as long as its row stood.
    registry.put(replica("a", 0, warm_in_ms=3_000), 2, 1_000)
    assert registry.is_cold(registry.get("a"), 3_999)
    assert not registry.is_cold(registry.get("a"), 4_000)
    assert not registry.is_cold(registry.get("b"), 1_000)
    registry.put(replica("a", 0), 3, 2_000)
    assert not registry.is_cold(registry.get("a"), 2_000)
