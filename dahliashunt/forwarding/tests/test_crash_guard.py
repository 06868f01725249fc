"""Tests of which requests are held back after crashes, without a network."""

import asyncio

import pytest

from dahliashunt.forwarding.crash_guard import crash_keys
from dahliashunt.forwarding.tests.crash_simulation import CrashSimulation
from dahliashunt.forwarding.tests.crash_simulation import Incarnation
from dahliashunt.forwarding.tests.crash_simulation import POPULAR

CONTACT_MS = 3_000
LATE_REQUESTS = 3
WARM_MS = 20_000
RATE = 40.0
"""Sound requests a second, of the whole fleet."""


@pytest.fixture
def simulate():
    """Return a function that runs a scenario on a `CrashSimulation`."""

    def run(scenario, seed=1, **how):
        async def main():
            simulation = CrashSimulation(seed, **how)
            try:
                await scenario(simulation)
            finally:
                simulation.stop()

        asyncio.run(main())

    return run


def assert_held_back(s, began_ms):
    """Check the bound on guilty requests, and that sound ones go on."""
    assert len(s.crashes_ms) >= 3
    assert s.late_guilty(CONTACT_MS) <= LATE_REQUESTS
    late_ms = s.crashes_ms[:5][-1] + 2 * CONTACT_MS
    usual = s.sound_share(0, began_ms)
    assert s.sound_share(late_ms) >= 0.9 * usual


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("guilty_rate", [0.5, 3.0, 20.0])
def test_a_part_that_crashes_replicas_is_held_back(
    simulate, seed, guilty_rate
):
    # Guards against a crash for each of many requests that share one part,
    # and against refusing the sound ones that share the other parts.
    async def scenario(s):
        await s.play(WARM_MS, RATE)
        began_ms = s.clock.now_ms()
        await s.play(40_000, RATE, guilty_rate)
        assert_held_back(s, began_ms)

    simulate(scenario, seed)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("gap_ms", [700, 3_300, 5_300])
def test_guilty_requests_that_come_together_are_held_back(
    simulate, seed, gap_ms
):
    # Guards against counting crashes of several replicas as one, since the
    # requests that share the part run at the same time.
    async def scenario(s):
        await s.play(WARM_MS, RATE)
        began_ms = s.clock.now_ms()
        while s.clock.now_ms() < began_ms + 40_000:
            s.burst(6)
            await s.play(gap_ms, RATE)
        assert_held_back(s, began_ms)

    simulate(scenario, seed, replicas=30)


@pytest.mark.parametrize("seed", range(2))
def test_a_part_that_was_sound_before_is_held_back(simulate, seed):
    # Guards against trusting what was served before the part turned bad.
    async def scenario(s):
        await s.play(WARM_MS, RATE)
        began_ms = s.clock.now_ms()
        await s.play(40_000, RATE, 3.0, guilty="middle7")
        assert_held_back(s, began_ms)

    simulate(scenario, seed)


@pytest.mark.parametrize("seed", range(3))
def test_little_traffic_does_not_convict_the_first_part(simulate, seed):
    # Guards against refusing the first part, of which nothing is served
    # between two crashes, for the guilty one beside it.
    async def scenario(s):
        await s.play(WARM_MS, 5.0, firsts=2)
        began_ms = s.clock.now_ms()
        await s.play(30_000, 5.0, 5.0, firsts=2)
        assert_held_back(s, began_ms)
        assert s.sound_share(began_ms, began_ms + 10_000) >= 0.9

    simulate(scenario, seed)


@pytest.mark.parametrize("firsts", [1, 8])
@pytest.mark.parametrize("seed", range(2))
def test_racks_that_go_dark_convict_no_part(simulate, seed, firsts):
    # Guards against refusing popular parts for losses of other causes.
    async def scenario(s):
        await s.play(WARM_MS, RATE, firsts=firsts)
        for _ in range(4):
            s.crash(6)
            await s.play(1_500, RATE, firsts=firsts)
        await s.play(3_000, RATE, firsts=firsts)
        ended_ms = s.clock.now_ms()
        await s.play(5_000, RATE, firsts=firsts)
        assert s.sound_share(ended_ms) >= 0.95

    simulate(scenario, seed)


@pytest.mark.parametrize(
    ("share", "racks"), [(0.01, 1), (0.05, 4), (0.3, 4), (0.5, 10), (1.0, 10)]
)
@pytest.mark.parametrize("seed", range(3))
def test_popular_requests_come_back_at_once_after_dark_racks(
    simulate, seed, share, racks
):
    # Guards against refusing or holding up sound requests that several racks
    # took with them, one after another.
    async def scenario(s):
        await s.play(WARM_MS, 3 * RATE, popular=share)
        for _ in range(racks):
            s.crash(20)
            await s.play(1_500, 3 * RATE, popular=share)
        ended_ms = s.clock.now_ms()
        await s.play(3_000, 3 * RATE, popular=share)
        assert s.sound_share(ended_ms, first=POPULAR) >= 0.95

    simulate(scenario, seed, entries=20, replicas=30)


def test_a_popular_request_is_spared_while_little_else_is_served(simulate):
    # Guards against refusing what most callers ask, after bursts of crashes
    # that nothing served has survived.
    async def scenario(s):
        guard = s.add_entry()
        popular, other = (crash_keys(name, "s", ()) for name in "po")
        for _ in range(20):
            guard.served(popular)
            guard.served(other)
        for number in range(5):
            permit = await guard.admit(popular)
            guard.lost(permit, "r", Incarnation(f"i-{number}", 0))
        assert not guard.is_quarantined(popular)
        for _ in range(20):
            guard.served(other)
        permit = await guard.admit(popular)
        assert permit.is_trial
        guard.lost(permit, "r", Incarnation("i-6", 0))
        assert guard.is_quarantined(popular)

    simulate(scenario)


def test_an_entry_that_starts_holds_back_what_others_do(simulate):
    # Guards against a crash for each entry that is restarted.
    async def scenario(s):
        await s.play(WARM_MS, RATE)
        await s.play(4_000, RATE, 5.0)
        guard = s.add_entry()
        await s.play(200, RATE)
        keys = crash_keys("new", "s", ("first0", "bad"))
        assert guard.is_quarantined(keys)
        await s.play(3_000, RATE)
        assert not guard.is_quarantined(crash_keys("new", "s", ("first0",)))

    simulate(scenario)


def test_a_part_is_known_by_its_service(simulate):
    # Guards against refusing a service for the crashes of another one.
    async def scenario(s):
        await s.play(WARM_MS, RATE)
        await s.play(4_000, RATE, 5.0)
        guard = s.add_entry()
        await s.play(200, RATE)
        assert not guard.is_quarantined(crash_keys("new", "t", ("bad",)))

    simulate(scenario)
