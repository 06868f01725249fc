"""Expected time beside the order by load, in the model of the benchmark."""

from dataclasses import replace

import pytest

from benchmarks.expected_time import Load
from benchmarks.expected_time import LONG
from benchmarks.expected_time import Method
from benchmarks.expected_time import Model


def play(load, method, seed=1):
    return Model(replace(load, seconds=7), method, seed).play()


@pytest.mark.parametrize("seed", [1, 2])
def test_unequal_replicas_serve_sooner_by_expected_time(seed):
    # Guards against free slots of a slow replica that count as much as those
    # of a fast one.
    before = play(Load(), Method.FREE_SLOTS, seed)
    now = play(Load(), Method.EXPECTED_TIME, seed)
    assert now.mean_ms < 0.93 * before.mean_ms
    assert now.in_time >= before.in_time - 0.005
    assert now.late <= before.late


def test_equal_replicas_are_served_as_before():
    load = Load(speeds=(1.0,), noise_share=0.0)
    before = play(load, Method.FREE_SLOTS)
    assert play(load, Method.EXPECTED_TIME) == before


def test_long_shared_prompts_are_read_again_less_often():
    # Guards against prompts that are sent to replicas without regard to
    # their caches.
    load = replace(LONG, speeds=(1.0,), noise_share=0.0)
    without = play(load, Method.NO_CACHE_TERM)
    now = play(load, Method.EXPECTED_TIME)
    assert now.read_again < 0.9 * without.read_again
    assert now.long_first_ms < without.long_first_ms


def test_short_shared_parts_change_nothing():
    # Guards against 1 or 2 ms of reading that outweigh free slots.
    without = play(Load(), Method.NO_CACHE_TERM)
    assert play(Load(), Method.EXPECTED_TIME) == without
