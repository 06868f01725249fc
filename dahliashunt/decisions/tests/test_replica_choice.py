"""Order of replicas and avoidance of suspected ones."""

import random

from dahliashunt.decisions.replica_choice import Candidate
from dahliashunt.decisions.replica_choice import MAX_LOAD_AGE_MS
from dahliashunt.decisions.replica_choice import order_replicas
from dahliashunt.decisions.suspicion import INITIAL_AVOID_MS
from dahliashunt.decisions.suspicion import MAX_AVOID_MS
from dahliashunt.decisions.suspicion import Suspicion


def candidate(name, taken=0, **changed):
    fields = {"slots": 8, "age_ms": 0, "avoided": False, "near": True}
    return Candidate(replica_id=name, taken=taken, **{**fields, **changed})


def order(candidates, affinity="", seed=1):
    ordered = order_replicas(candidates, affinity, random.Random(seed))
    return [one.replica_id for one in ordered]


def test_more_room_goes_first():
    assert order([candidate("a", 7), candidate("b", 3)]) == ["b", "a"]


def test_a_broken_replica_that_looks_idle_goes_last():
    # Guards against routing all traffic to a replica that fails fast.
    broken = candidate("a", 0, avoided=True)
    assert order([broken, candidate("b", 7)]) == ["b", "a"]


def test_a_cold_replica_goes_after_warm_ones_with_room():
    # Guards against preferring replicas that are idle but still slow.
    new = candidate("new", 0, cold=True)
    assert order([new, candidate("b", 7)]) == ["b", "new"]
    assert order([new, candidate("b", 8)]) == ["new", "b"]
    assert order([new, candidate("b", 0, avoided=True)]) == ["new", "b"]


def test_a_replica_without_an_agent_goes_after_any_with_room():
    # Guards against asking replicas that look idle for lack of reports.
    gone = candidate("a", 0, agent_silent=True)
    assert order([gone, candidate("b", 7)]) == ["b", "a"]
    assert order([gone, candidate("b", 8)]) == ["a", "b"]
    for seed in range(5):
        assert order([gone, candidate("b", 7)], "part", seed)[0] == "b"


def test_a_standing_connection_decides_among_replicas_alike_in_load():
    # Guards against opening a new connection for each request.
    fleet = [candidate(name, 3) for name in "abcd"]
    fleet.append(candidate("e", 3, connected=True))
    for seed in range(5):
        assert order(fleet, seed=seed)[0] == "e"


def test_a_connection_does_not_draw_load_to_a_busier_replica():
    busy = candidate("a", 5, connected=True)
    assert order([busy, candidate("b", 1)]) == ["b", "a"]
    items = candidate("a", 3, batch=5, connected=True)
    assert order([items, candidate("b", 5)]) == ["b", "a"]


def test_affinity_does_not_choose_a_cold_replica():
    fleet = [candidate(name) for name in "abcde"]
    (first, *_) = order(fleet, "part-7")
    started = [
        candidate(o.replica_id, cold=o.replica_id == first) for o in fleet
    ]
    assert order(started, "part-7")[0] != first


def test_an_idle_slot_goes_before_one_that_an_item_must_give_up():
    # Guards against revoking an item while another replica has idle slots.
    items = candidate("a", 1, batch=7)
    idle = candidate("b", 6)
    assert order([items, idle]) == ["b", "a"]
    assert order([items, candidate("b", 6, batch=2)]) == ["a", "b"]


def test_a_prompts_parts_revoke_no_item_while_a_slot_is_idle():
    # A revoked item costs more than reading the shared prompt parts again.
    fleet = [candidate(name) for name in "abcde"]
    (preferred, *_) = order(fleet, "part-7")
    busy = [
        candidate(one.replica_id, batch=8 * (one.replica_id == preferred))
        for one in fleet
    ]
    assert order(busy, "part-7")[0] != preferred
    all_busy = [candidate(one.replica_id, batch=8) for one in fleet]
    assert order(all_busy, "part-7")[0] == preferred


def test_unknown_load_counts_as_half_full():
    unknown = candidate("a", 0, age_ms=MAX_LOAD_AGE_MS + 1)
    names = order([candidate("b", 7), unknown, candidate("c", 1)])
    assert names == ["c", "a", "b"]


def test_equals_are_drawn_so_that_entries_spread():
    equals = [candidate(name) for name in "abcd"]
    first = {order(equals, seed=seed)[0] for seed in range(40)}
    assert first == set("abcd")


def test_a_prompts_parts_choose_the_same_replica_while_it_has_room():
    fleet = [candidate(name, taken) for taken, name in enumerate("abcde")]
    chosen = {order(fleet, "part-7", seed)[0] for seed in range(20)}
    assert len(chosen) == 1
    full = [
        candidate(one.replica_id, 8 if one.replica_id in chosen else 0)
        for one in fleet
    ]
    assert order(full, "part-7")[0] not in chosen


def test_a_lost_replica_moves_only_its_own_prompts():
    fleet = [candidate(name) for name in "abcde"]
    parts = [f"part-{n}" for n in range(60)]
    before = {part: order(fleet, part)[0] for part in parts}
    after = {part: order(fleet[1:], part)[0] for part in parts}
    moved = [part for part in parts if before[part] != after[part]]
    assert all(before[part] == "a" for part in moved)


def test_avoidance_doubles_up_to_its_bound():
    suspicion = Suspicion()
    for _ in range(2):
        suspicion.failed("a", 0)
    assert suspicion.is_avoided("a", 2 * INITIAL_AVOID_MS - 1)
    assert not suspicion.is_avoided("a", 2 * INITIAL_AVOID_MS)
    for _ in range(20):
        suspicion.failed("a", 0)
    assert not suspicion.is_avoided("a", MAX_AVOID_MS)


def test_probes_come_one_at_a_time():
    # Guards against a burst of requests to a replica that may still fail.
    suspicion = Suspicion()
    suspicion.failed("a", 0)
    now_ms = INITIAL_AVOID_MS
    assert not suspicion.is_avoided("a", now_ms)
    suspicion.probe("a", now_ms)
    assert suspicion.is_avoided("a", now_ms + 1)
    suspicion.served("a")
    assert not suspicion.is_avoided("a", now_ms + 2)


def test_a_replica_that_fails_a_third_stays_suspected():
    # Guards against trusting a replica that fails a part of its requests.
    suspicion = Suspicion()
    avoided = 0
    for step in range(60):
        now_ms = step * 100
        avoided += suspicion.is_avoided("a", now_ms)
        if step % 3 == 0:
            suspicion.failed("a", now_ms)
        else:
            suspicion.served("a")
    assert avoided > 10
