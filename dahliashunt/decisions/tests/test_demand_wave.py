"""Forecasts of online demand, and the slots that they leave to items."""

import pytest

from dahliashunt.decisions.batch_room import allot
from dahliashunt.decisions.batch_room import batch_room
from dahliashunt.decisions.batch_room import clear_run_ms
from dahliashunt.decisions.batch_room import reserved_slots
from dahliashunt.decisions.demand_wave import DemandWave
from dahliashunt.decisions.item_order import INFEASIBLE_SLACK_MS

PERIOD_MS = 5_800
LEARNED_MS = 30_000
SLOTS_BY_ID = {f"r{number}": 8 for number in range(26)}


def share(at_ms, period_ms=PERIOD_MS):
    return 0.6 if at_ms % period_ms >= 0.6 * period_ms else 0.12


@pytest.fixture
def wave():
    learned = DemandWave()
    observe(learned, 0, LEARNED_MS, share)
    return learned


def observe(wave, from_ms, until_ms, share_at):
    for now_ms in range(from_ms, until_ms, 100):
        wave.observe(now_ms, share_at(now_ms))


def test_a_regular_wave_is_learned(wave):
    state = wave.state()
    assert state.period_ms == PERIOD_MS
    assert state.regularity > 0.8
    assert state.error < 0.02
    assert state.level == pytest.approx(0.31, abs=0.03)
    # 30 s are 1 s into a trough, 2.3 s after the last peak began.
    assert state.phase_ms == pytest.approx(3_400, abs=200)


def test_a_forecast_sees_a_peak_only_within_its_horizon(wave):
    # Guards against items that start just before a peak.
    assert wave.peak(1_500) < 0.2
    assert wave.peak(4_000) == pytest.approx(0.6, abs=0.05)


@pytest.mark.parametrize(
    "later",
    [
        lambda at_ms: 0.31,
        lambda at_ms: share(at_ms, 2 * PERIOD_MS),
    ],
    ids=["stopped", "doubled"],
)
def test_a_forecast_that_was_wrong_is_not_used(wave, later):
    # Guards against items that wait for a wave that no longer comes.
    observe(wave, LEARNED_MS, LEARNED_MS + 12_000, later)
    assert wave.peak(4_000) is None
    assert batch_room(208, wave.peak(4_000)) is None


def test_a_new_period_is_learned(wave):
    until_ms = LEARNED_MS + 60_000
    observe(
        wave, LEARNED_MS, until_ms, lambda at_ms: share(at_ms, 2 * PERIOD_MS)
    )
    assert wave.period_ms == pytest.approx(2 * PERIOD_MS, abs=200)
    assert wave.peak(4_000) is not None


def test_a_gap_in_the_states_starts_the_forecast_anew(wave):
    # Guards against a forecast from the time before a partition.
    wave.observe(LEARNED_MS + 20_000, 0.1)
    assert wave.peak(1_000) is None
    assert wave.period_ms == 0


def test_items_are_kept_on_the_same_few_replicas():
    # Guards against a few items at every replica.
    allotted = allot(SLOTS_BY_ID, 60)
    assert len(allotted) == 8
    assert sum(allotted.values()) == 60
    rest = {name: 8 for name in SLOTS_BY_ID if name not in list(allotted)[3:]}
    assert list(allot(rest, 24))[:3] == list(allotted)[:3]


def test_no_slot_is_reserved_without_items():
    assert reserved_slots(208, 0, 80) == 0
    assert reserved_slots(208, 79, 80) == 80


def test_an_item_whose_laxity_runs_out_starts_regardless():
    # Guards against items made late by waiting for room.
    run_ms = 4_500
    ample = clear_run_ms(18_000, run_ms, PERIOD_MS)
    middle = clear_run_ms(14_000, run_ms, PERIOD_MS)
    assert ample == run_ms
    assert 0 < middle < run_ms
    assert clear_run_ms(run_ms + PERIOD_MS // 2, run_ms, PERIOD_MS) == 0
    assert clear_run_ms(INFEASIBLE_SLACK_MS, run_ms, PERIOD_MS) == 0
