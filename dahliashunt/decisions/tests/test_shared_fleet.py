"""Waves, bursts of jobs and losses on a shared fleet, beside former ways."""

import dataclasses
import functools
import statistics

import pytest

from dahliashunt.decisions import slot_keeper
from dahliashunt.decisions.slot_keeper import RECENT_MS
from dahliashunt.decisions.tests.shared_fleet import EarliestDue
from dahliashunt.decisions.tests.shared_fleet import Fleet
from dahliashunt.decisions.tests.shared_fleet import Load
from dahliashunt.decisions.tests.shared_fleet import NeverRevokes
from dahliashunt.decisions.tests.shared_fleet import Switches

SEEDS = (1, 2)

WAVES = Load()
"""Demand of three quarters of the slots, in waves."""

BURST = Load(burst=(4_000, 8_000, 6.0))
"""Six times the jobs for four seconds early on: most can be in time."""

OVERLOAD = Load(burst=(4_000, 8_000, 12.0))
"""Twelve times the jobs: more than can be in time."""

LOSS = Load(
    replicas=28,
    slots=7,
    owners=40,
    online_per_s=149,
    jobs_per_s=2.4,
    length_ms=16_000,
    loss=(3_000, 9_000, 8),
)
"""Demand of nearly all of the slots, and eight replicas of 28 lost."""

FULL_LOSS = dataclasses.replace(
    LOSS, jobs_per_s=1.8, length_ms=8_000, loss=(2_000, 7_000, 10)
)
"""A wave that meets a fleet without ten of its 28 replicas."""

OUTAGE = dataclasses.replace(FULL_LOSS, loss=(0, 0, 0), outage=(3_000, 4_600))
"""All entries are gone for 1.6 s in a wave, and callers come back."""

NEXT_SLOT_MS = (100, 300)
"""The former Retry-After: when a slot is next expected."""

HOLD_BASED_DELAY_MS = (700, 1_470)
"""Retry-After by `return_time`, for holds of 0.7 s."""

REFUSED_TOLERANCE = 15
"""One in 200 of some 3,000 online requests: batch may not be bought with
requests refused."""


@functools.cache
def simulate(load, recent_ms=RECENT_MS, **disabled):
    switches = Switches(**disabled)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(slot_keeper, "RECENT_MS", recent_ms)
        return [Fleet(load, seed, switches).play() for seed in SEEDS]


def mean(outcomes, name):
    return statistics.mean(getattr(one, name) for one in outcomes)


def test_waves_revoke_fewer_items_when_idle_slots_are_taken_first():
    # Crews ask in waves while reports run in the idle slots. Requests go to
    # the replica with the fewest online requests, where an item is revoked,
    # although a slot stands idle at the next: items are stopped for nothing.
    baseline = simulate(WAVES, idle_first=False)
    current = simulate(WAVES)
    assert mean(current, "revokes") < 0.8 * mean(baseline, "revokes")
    assert (
        mean(current, "refused")
        <= mean(baseline, "refused") + REFUSED_TOLERANCE
    )


@pytest.mark.parametrize("load", [BURST, LOSS], ids=["burst", "loss"])
def test_a_short_cooldown_leaves_fewer_idle_slots_while_items_wait(load):
    # After each wave slots stood idle for 400 ms while items waited that
    # then came late.
    baseline = simulate(load, recent_ms=400)
    current = simulate(load)
    assert mean(current, "late") < mean(baseline, "late")
    assert (
        mean(current, "refused")
        <= mean(baseline, "refused") + REFUSED_TOLERANCE
    )


def test_a_burst_of_jobs_does_not_make_all_later_items_late():
    # The office sends a season's reports in four seconds. By due time alone
    # each report that is late already goes ahead of one that is not yet,
    # and that one is late in its turn, for the rest of the evening.
    baseline = simulate(OVERLOAD, order=EarliestDue)
    current = simulate(OVERLOAD)
    assert mean(current, "late") < mean(baseline, "late")
    assert mean(current, "unfinished") <= mean(baseline, "unfinished")


def test_without_revokes_a_wave_finds_the_fleet_full():
    # A wave of clerks meets replicas that reports fill for five seconds.
    disabled = simulate(WAVES, keeper=NeverRevokes)
    assert (
        mean(disabled, "refused")
        > mean(simulate(WAVES), "refused") + REFUSED_TOLERANCE
    )


def test_items_that_cannot_be_in_time_are_done_in_the_end():
    assert mean(simulate(BURST), "unfinished") == 0


@pytest.mark.parametrize("load", [FULL_LOSS, OUTAGE], ids=["loss", "outage"])
def test_callers_who_return_after_a_hold_time_are_served(load):
    # Clerks find every slot taken. Told to come back when the next slot is
    # free they meet the same full fleet, are refused again and give up,
    # while a second later slots stand idle.
    baseline = simulate(load, return_ms=NEXT_SLOT_MS, late_yields=False)
    current = simulate(load, return_ms=HOLD_BASED_DELAY_MS, late_yields=False)
    assert mean(current, "refused") < mean(baseline, "refused")
    assert mean(current, "in_time") >= 0.99 * mean(baseline, "in_time")


def test_a_backlog_after_an_outage_does_not_turn_new_callers_away():
    # Everything was restarted. Callers who found nobody come back at once;
    # they take every slot, are late all the same, and new callers are
    # refused in their turn.
    baseline = simulate(
        OUTAGE, return_ms=HOLD_BASED_DELAY_MS, late_yields=False
    )
    current = simulate(OUTAGE, return_ms=HOLD_BASED_DELAY_MS)
    assert mean(current, "refused") < 0.5 * mean(baseline, "refused")
    assert mean(current, "in_time") >= mean(baseline, "in_time")
    assert mean(current, "late") <= mean(baseline, "late") + 1
