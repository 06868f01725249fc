"""Whom an account of clients' memory ends, without a network."""

import random

import pytest

from dahliashunt.decisions.client_memory import ClientMemory
from dahliashunt.decisions.client_memory import MIN_JUDGED_MS
from dahliashunt.decisions.client_memory import Stage

MAX_BYTES = 40_000_000
BODY_BYTES = 4_000_000
SMALL_BYTES = 30_000


@pytest.fixture
def memory():
    """Return an account for 100 connections."""
    return ClientMemory(MAX_BYTES, 100)


def fill(memory, count, size, stage=Stage.BODY, now_ms=0):
    """Open connections that each hold `size`; return those that stay."""
    kept = []
    for number in range(count):
        key = (stage, size, number)
        assert memory.opened(key, now_ms) == []
        memory.entered(key, stage, now_ms)
        if key not in memory.resized(key, size, now_ms):
            kept.append(key)
    return kept


@pytest.mark.parametrize("size", [BODY_BYTES, 900_000, 400_000])
def test_unfinished_bodies_yield_to_a_small_request(memory, size):
    """Guards against stalled bodies that refuse all later ones."""
    kept = fill(memory, 100, size)
    assert memory.held_bytes <= MAX_BYTES
    later_ms = 10 * MIN_JUDGED_MS
    ended = memory.opened("caller", later_ms)
    memory.entered("caller", Stage.SERVED, later_ms)
    ended += memory.resized("caller", SMALL_BYTES, later_ms)
    assert "caller" not in ended
    assert set(ended) <= set(kept)


def test_large_complete_requests_leave_room_for_a_small_one(memory):
    """Guards against requests that run and cannot be ended."""
    fill(memory, 50, BODY_BYTES, Stage.SERVED)
    assert memory.opened("caller", 1_000) == []
    memory.entered("caller", Stage.SERVED, 1_000)
    assert memory.resized("caller", SMALL_BYTES, 1_000) == []


def test_the_most_expensive_unfinished_request_is_ended(memory):
    """Guards against a fast or small request that is ended for a slow one."""
    for key, since_ms in (("old", 0), ("small", 0), ("new", 900)):
        memory.opened(key, since_ms)
        memory.entered(key, Stage.BODY, since_ms)
    assert memory.resized("old", BODY_BYTES, 0) == []
    assert memory.resized("small", 100, 0) == []
    assert memory.resized("new", BODY_BYTES, 900) == []
    memory.opened("growing", 1_150)
    size = MAX_BYTES // 2
    assert memory.resized("growing", size, 1_200) == []
    assert memory.resized("growing", size + BODY_BYTES // 2, 1_200) == ["old"]


def test_what_grows_yields_if_it_costs_the_most(memory):
    """Guards against one large body that ends many small ones."""
    fill(memory, 50, 100_000)
    memory.opened("large", 0)
    memory.entered("large", Stage.BODY, 0)
    assert memory.resized("large", MAX_BYTES, 1_000) == ["large"]
    assert len(memory) == 50


def test_what_finds_no_room_for_more_keeps_what_it_has(memory):
    """Guards against a connection that is answered and no longer counted."""
    memory.opened("caller", 0)
    assert memory.resized("caller", 1_000, 0) == []
    ended = memory.resized("caller", MAX_BYTES, 1, may_end=False)
    assert ended == ["caller"]
    assert (memory.held_bytes, len(memory)) == (1_000, 1)


def test_a_complete_request_is_never_ended_for_another(memory):
    """Guards against a request that runs and is answered as not run."""
    fill(memory, 100, 1_000, Stage.SERVED)
    assert memory.opened("caller", 60_000) == ["caller"]


def test_the_oldest_connection_without_a_request_is_ended(memory):
    """Guards against idle connections that keep new callers out."""
    for number in range(100):
        memory.opened(number, number)
    memory.entered(0, Stage.SERVED, 200)
    memory.entered(0, Stage.IDLE, 200)
    later_ms = 1_000
    # A connection that was used before is kept longer.
    assert memory.opened("caller", later_ms) == [1]
    assert memory.opened("another", later_ms) == [2]


def test_new_connections_do_not_end_each_other(memory):
    """Guards against a crowd that never lets a request in."""
    for number in range(100):
        memory.opened(number, 0)
    assert memory.opened("early", MIN_JUDGED_MS - 1) == ["early"]
    assert memory.opened("later", MIN_JUDGED_MS) == [0]


def test_a_refused_connection_is_the_first_to_end(memory):
    """Guards against refused clients that keep new callers out."""
    for number in range(99):
        memory.opened(number, 0)
    assert memory.refused("refused", 100, 1_000)
    assert memory.opened("caller", 1_000) == ["refused"]
    assert not memory.refused("another", 100, 1_000)


def test_random_crowds_stay_within_the_bounds():
    """Guards against counts that drift from what is held."""
    rng = random.Random(1)
    memory = ClientMemory(1_000_000, 50)
    size_by_key = {}
    for now_ms in range(0, 60_000, 7):
        if rng.random() < 0.3 or not size_by_key:
            key, size_by_key[now_ms] = now_ms, 0
            ended = memory.opened(key, now_ms)
        else:
            key = rng.choice(list(size_by_key))
            if rng.random() < 0.1:
                memory.closed(key)
                del size_by_key[key]
                continue
            memory.entered(key, rng.choice(list(Stage)), now_ms)
            size_by_key[key] = rng.randrange(100_000)
            ended = memory.resized(key, size_by_key[key], now_ms)
        for each in ended:
            del size_by_key[each]
        assert memory.held_bytes == sum(size_by_key.values())
        assert memory.held_bytes <= 1_000_000
        assert len(memory) == len(size_by_key) <= 50
