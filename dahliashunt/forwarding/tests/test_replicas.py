"""Tests of the replica list in outages, restarts and address reuse."""

import pytest

from dahliashunt.decisions.lapse_grace import LAPSE_GRACE_MS
from dahliashunt.decisions.lapse_grace import ReadGap
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


def test_a_removed_replica_is_dropped_at_once_without_an_outage(registry):
    registry.remove("a", 1_000)
    assert names(registry) == ["b"]


def test_lapsed_entries_stay_for_a_while_after_an_outage(registry):
    # Guards against an empty list after an outage while replicas are alive.
    registry.gap_ended(ReadGap(-4_000, 900, 1_000))
    registry.replace_all([], 1_000)
    assert names(registry) == ["a", "b"]
    registry.put(replica("a", 0), 2, 0)
    registry.expire(1_000 + LAPSE_GRACE_MS)
    assert names(registry) == ["a"]


def test_a_new_replica_replaces_the_one_at_its_address(registry):
    # Guards against requests for a replica whose address another one reuses.
    registry.put(replica("c", 0), 2, 0)
    assert names(registry) == ["b", "c"]


@pytest.mark.parametrize("new", ["0-new", "z-new"])
def test_the_latest_written_row_of_an_address_is_used(new):
    # Guards against choosing the last-read row instead of the latest-written
    # one at an address, with the list ordered by id.
    registry = ReplicaRegistry()
    listed = [(replica(new, 0), 9), (replica("m", 0), 3)]
    registry.replace_all(sorted(listed, key=lambda one: one[0].replica_id), 0)
    assert names(registry) == [new]
    registry.remove("m", 10)
    assert names(registry) == [new]


def test_the_earlier_row_is_used_again_when_the_later_is_removed(registry):
    registry.put(replica("c", 0), 2, 0)
    registry.remove("c", 0)
    assert names(registry) == ["a", "b"]


def test_a_restart_under_the_same_name_is_a_new_incarnation(registry):
    before = registry.get("a").incarnation
    registry.put(replica("a", 0, born_ms=5), 2, 0)
    assert registry.get("a").incarnation != before


def test_a_replica_warms_up_between_two_writes_of_the_list(registry):
    # Guards against a replica that stays cold until its row is rewritten.
    registry.put(replica("a", 0, warm_in_ms=3_000), 2, 1_000)
    assert registry.is_cold(registry.get("a"), 3_999)
    assert not registry.is_cold(registry.get("a"), 4_000)
    assert not registry.is_cold(registry.get("b"), 1_000)
    registry.put(replica("a", 0), 3, 2_000)
    assert not registry.is_cold(registry.get("a"), 2_000)


def test_a_drained_restart_says_nothing_of_the_one_before(registry):
    # Guards against a crash that is not counted, since the incarnation after
    # it is drained.
    before = registry.get("a")
    registry.put(replica("a", 0, born_ms=5, leaving=True), 2, 0)
    assert not registry.is_leaving(before)
    assert registry.has_ended(before)
    assert registry.is_leaving(registry.get("a"))


def test_a_row_of_an_unknown_service_takes_no_address(registry):
    # Guards against a row of another writer that hides a sound replica.
    registry.put(replica("x", 0, service="other"), 9, 0)
    assert names(registry) == ["b"]
    registry.know_services(frozenset({"s"}))
    assert names(registry) == ["a", "b"]
    assert registry.services() == {"s"}
    registry.put(replica("x", 1, service="other"), 10, 0)
    assert names(registry) == ["a", "b"]
    registry.know_services(frozenset({"s", "other"}))
    assert names(registry) == ["a"]
    registry.know_services(frozenset())
    assert not registry.has_ended(registry.get("a"))


def test_ends_without_a_notice_are_known_by_time_and_service(registry):
    """Guards against drained replicas, or others' ends, that excuse a part."""
    registry.put(replica("a", 0, born_ms=5), 2, 1_000)
    registry.put(replica("b", 1, leaving=True), 3, 1_500)
    registry.put(replica("b", 1, born_ms=6), 4, 2_000)
    registry.put(replica("c", 2, service="t"), 5, 2_000)
    registry.put(replica("c", 2, service="t", born_ms=7), 6, 2_500)
    assert registry.ended_since(0, "s") == {("a", 0)}
    assert registry.ended_since(1_001, "s") == set()
    assert registry.ended_since(0, "t") == {("c", 0)}
    registry.remove("a", 3_000)
    registry.expire(60_000)
    assert registry.ended_since(1_001, "s") == {("a", 5)}
