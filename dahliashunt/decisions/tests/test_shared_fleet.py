"""Waves, bursts of jobs and losses on a shared fleet, beside former ways."""

import dataclasses
import functools
import statistics

import pytest

from dahliashunt.decisions import slot_allocator
from dahliashunt.decisions.slot_allocator import BATCH_COOLDOWN_MS
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

FLOOD = Load(burst=(4_000, 8_000, 12.0))
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

ONE_TURN_MS = (700, 1_470)
"""Retry-After by `retry_delay`, for holds of 0.7 s."""

MORE_REFUSED = 15
"""One in 200 of some 3,000 online requests: batch may not be bought with
requests refused."""


@functools.cache
def played(load, recent_ms=BATCH_COOLDOWN_MS, **off):
    switches = Switches(**off)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(slot_allocator, "BATCH_COOLDOWN_MS", recent_ms)
        return [Fleet(load, seed, switches).play() for seed in SEEDS]


def mean(outcomes, name):
    return statistics.mean(getattr(one, name) for one in outcomes)


def test_waves_revoke_fewer_items_when_idle_slots_are_taken_first():
    # Crews ask in waves while reports run in the idle slots. Requests go to
    # the replica with the fewest online requests, where an item is revoked,
    # although a slot stands idle at the next: items are stopped for nothing.
    former = played(WAVES, idle_first=False)
    now = played(WAVES)
    assert mean(now, "revokes") < 0.8 * mean(former, "revokes")
    assert mean(now, "refused") <= mean(former, "refused") + MORE_REFUSED


@pytest.mark.parametrize("load", [BURST, LOSS], ids=["burst", "loss"])
def test_a_short_reserve_leaves_less_idle_while_items_wait(load):
    # After each wave slots stood idle for 400 ms while items waited that
    # then came late.
    former = played(load, recent_ms=400)
    now = played(load)
    assert mean(now, "late") < mean(former, "late")
    assert mean(now, "refused") <= mean(former, "refused") + MORE_REFUSED


def test_a_burst_of_jobs_does_not_make_all_later_items_late():
    # The office sends a season's reports in four seconds. By due time alone
    # each report that is late already goes ahead of one that is not yet,
    # and that one is late in its turn, for the rest of the evening.
    former = played(FLOOD, order=EarliestDue)
    now = played(FLOOD)
    assert mean(now, "late") < mean(former, "late")
    assert mean(now, "unfinished") <= mean(former, "unfinished")


def test_without_revokes_a_wave_finds_the_fleet_full():
    # A wave of clerks meets replicas that reports fill for five seconds.
    off = played(WAVES, allocator=NeverRevokes)
    assert mean(off, "refused") > mean(played(WAVES), "refused") + MORE_REFUSED


def test_items_that_cannot_be_in_time_are_done_in_the_end():
    assert mean(played(BURST), "unfinished") == 0


@pytest.mark.parametrize("load", [FULL_LOSS, OUTAGE], ids=["loss", "outage"])
def test_callers_who_come_back_after_a_turn_are_served(load):
    # Clerks find every slot taken. Told to come back when the next slot is
    # free they meet the same full fleet, are refused again and give up,
    # while a second later slots stand idle.
    former = played(load, return_ms=NEXT_SLOT_MS, late_yields=False)
    now = played(load, return_ms=ONE_TURN_MS, late_yields=False)
    assert mean(now, "refused") < mean(former, "refused")
    assert mean(now, "in_time") >= 0.99 * mean(former, "in_time")


def test_a_backlog_after_an_outage_does_not_turn_new_callers_away():
    # Everything was restarted. Callers who found nobody come back at once;
    # they take every slot, are late all the same, and new callers are
    # refused in their turn.
    former = played(OUTAGE, return_ms=ONE_TURN_MS, late_yields=False)
    now = played(OUTAGE, return_ms=ONE_TURN_MS)
    assert mean(now, "refused") < 0.5 * mean(former, "refused")
    assert mean(now, "in_time") >= mean(former, "in_time")
    assert mean(now, "late") <= mean(former, "late") + 1
