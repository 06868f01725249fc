"""Bursts, losses and outages on a shared fleet, per mechanism."""

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
from dahliashunt.decisions.tests.shared_fleet import Wave

SEEDS = (1, 2)

WAVES = Load()
"""Online demand in bursts; three quarters of the slots on average."""

STALE = Load(
    replicas=26,
    owners=36,
    entries=36,
    online_per_s=101,
    jobs_per_s=1.13,
    length_ms=14_000,
    wave=Wave(3_400, 2_400, 0.383, 1.87),
)
"""A fleet that has slots for all at a peak; states are up to 100 ms old."""

REGULAR = Wave(3_400, 2_400, 0.383, 1.87)
HALF = dataclasses.replace(
    STALE,
    replicas=13,
    owners=18,
    entries=18,
    online_per_s=50,
    jobs_per_s=0.56,
    length_ms=56_000,
)
"""Half of that fleet, for long enough that the forecast takes effect."""

FORECAST_LOADS = {
    "regular": REGULAR,
    "irregular": dataclasses.replace(REGULAR, spread=0.5),
    "stops": dataclasses.replace(REGULAR, stops_ms=28_000),
    "doubled": dataclasses.replace(REGULAR, slows_ms=28_000),
    "noise": dataclasses.replace(REGULAR, noise=0.3),
}
"""Waves that a forecast meets; the first 20 s are needed to learn."""

BURST = Load(burst=(4_000, 8_000, 6.0))
"""Six times the jobs for four seconds; most items can be in time."""

OVERLOAD = Load(burst=(4_000, 8_000, 12.0))
"""Twelve times the jobs; more items than can be in time."""

LOSS = Load(
    replicas=28,
    slots=7,
    owners=40,
    online_per_s=149,
    jobs_per_s=2.4,
    length_ms=16_000,
    loss=(3_000, 9_000, 8),
)
"""Demand for nearly all slots while 8 of 28 replicas are down."""

FULL_LOSS = dataclasses.replace(
    LOSS, jobs_per_s=1.8, length_ms=8_000, loss=(2_000, 7_000, 10)
)
"""A burst of online requests while 10 of 28 replicas are down."""

OUTAGE = dataclasses.replace(FULL_LOSS, loss=(0, 0, 0), outage=(3_000, 4_600))
"""All entries are down for 1.6 s in a burst, and callers return."""

NEXT_SLOT_MS = (100, 300)
"""Retry delay until the next slot is expected to be free."""

HOLD_BASED_DELAY_MS = (700, 1_470)
"""Retry delay of `retry_delay` for holds of 0.7 s."""

BY_CHANCE_RATIO = 1.1
"""Revocations with a forecast that is mostly not in effect, beside without.
Two seeds differ that much by chance; over twelve the irregular wave has 2.4
+- 2.7 fewer of 136, the one that stops 1.9 +- 3.1 fewer of 58."""

REFUSED_TOLERANCE = 15
"""Further online requests that a gain for batch may refuse; about 0.5 %."""


@functools.cache
def simulate(load, recent_ms=BATCH_COOLDOWN_MS, **disabled):
    switches = Switches(**disabled)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(slot_allocator, "BATCH_COOLDOWN_MS", recent_ms)
        return [Fleet(load, seed, switches).play() for seed in SEEDS]


def mean(outcomes, name):
    return statistics.mean(getattr(one, name) for one in outcomes)


def test_waves_revoke_fewer_items_when_idle_slots_are_taken_first():
    # Guards against revoking an item while another replica has an idle slot.
    baseline = simulate(WAVES, idle_first=False, two_phase=False)
    current = simulate(WAVES)
    assert mean(current, "revokes") < 0.8 * mean(baseline, "revokes")
    assert (
        mean(current, "refused")
        <= mean(baseline, "refused") + REFUSED_TOLERANCE
    )


def test_no_item_is_revoked_while_an_asked_replica_has_an_idle_slot():
    # Guards against revocation at the first agent asked when the state that
    # made it look idle is out of date.
    baseline = simulate(STALE, two_phase=False)
    current = simulate(STALE)
    assert mean(current, "needless") < 0.02 * mean(baseline, "needless")
    assert mean(current, "revokes") < 0.3 * mean(baseline, "revokes")
    assert mean(current, "late") <= mean(baseline, "late")
    assert mean(current, "refused") <= mean(baseline, "refused")


@pytest.mark.parametrize("wave", FORECAST_LOADS)
def test_a_forecast_of_the_waves_saves_revocations_and_costs_nobody(wave):
    # Guards against items in the way of the next peak, and against a wrong
    # forecast that makes items late or online requests wait.
    load = dataclasses.replace(HALF, wave=FORECAST_LOADS[wave])
    baseline = simulate(load, forecast=False)
    current = simulate(load)
    ratio = 0.6 if wave == "regular" else BY_CHANCE_RATIO
    assert mean(current, "revokes") <= ratio * mean(baseline, "revokes")
    assert mean(current, "late") <= mean(baseline, "late")
    assert mean(current, "refused") <= mean(baseline, "refused")
    assert mean(current, "served_late") <= mean(baseline, "served_late")


def test_a_fleet_without_items_is_served_as_without_a_forecast():
    load = dataclasses.replace(STALE, length_ms=30_000, jobs_per_s=1e-9)
    assert simulate(load, forecast=False) == simulate(load)


@pytest.mark.parametrize("load", [BURST, LOSS], ids=["burst", "loss"])
def test_a_short_cooldown_leaves_fewer_idle_slots_while_items_wait(load):
    # Guards against slots kept idle after a burst while items become late.
    baseline = simulate(load, recent_ms=400)
    current = simulate(load)
    assert mean(current, "late") < mean(baseline, "late")
    assert (
        mean(current, "refused")
        <= mean(baseline, "refused") + REFUSED_TOLERANCE
    )


def test_a_burst_of_jobs_does_not_make_all_later_items_late():
    # Guards against the domino effect of earliest due date first.
    baseline = simulate(OVERLOAD, order=EarliestDue)
    current = simulate(OVERLOAD)
    assert mean(current, "late") < mean(baseline, "late")
    assert mean(current, "unfinished") <= mean(baseline, "unfinished")


def test_without_revokes_a_wave_finds_the_fleet_full():
    # Guards against a load on which revocation makes no difference.
    disabled = simulate(WAVES, allocator=NeverRevokes)
    assert (
        mean(disabled, "refused")
        > mean(simulate(WAVES), "refused") + REFUSED_TOLERANCE
    )


def test_items_that_cannot_be_in_time_are_done_in_the_end():
    assert mean(simulate(BURST), "unfinished") == 0


@pytest.mark.parametrize("load", [FULL_LOSS, OUTAGE], ids=["loss", "outage"])
def test_callers_who_return_after_a_hold_time_are_served(load):
    # Guards against retries that return to the same full fleet.
    baseline = simulate(load, return_ms=NEXT_SLOT_MS, late_yields=False)
    current = simulate(load, return_ms=HOLD_BASED_DELAY_MS, late_yields=False)
    assert mean(current, "refused") < mean(baseline, "refused")
    assert mean(current, "in_time") >= 0.99 * mean(baseline, "in_time")


def test_a_backlog_after_an_outage_does_not_turn_new_callers_away():
    # Guards against late callers that take the slots of new ones.
    baseline = simulate(
        OUTAGE, return_ms=HOLD_BASED_DELAY_MS, late_yields=False
    )
    current = simulate(OUTAGE, return_ms=HOLD_BASED_DELAY_MS)
    assert mean(current, "refused") < 0.5 * mean(baseline, "refused")
    assert mean(current, "in_time") >= mean(baseline, "in_time")
    assert mean(current, "late") <= mean(baseline, "late") + 1
