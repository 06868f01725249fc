"""Tests of rate limits over all entries, in simulation."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from dahliashunt.decisions import meter as meter_module
from dahliashunt.decisions.meter import Meter
from dahliashunt.decisions.meter_messages import UsageReport
from dahliashunt.decisions.rate_limits import RATE_LIMIT_POLICIES
from dahliashunt.decisions.rate_limits import RateLimit
from dahliashunt.decisions.tests import rate_limit_simulation
from dahliashunt.decisions.tests.rate_limit_simulation import arrivals
from dahliashunt.decisions.tests.rate_limit_simulation import lost
from dahliashunt.decisions.tests.rate_limit_simulation import overruns

RATE, BURST, ALLOWANCE = 20.0, 20.0, 5.0
LIMIT = RateLimit(RATE, BURST + ALLOWANCE, revision=1)
ENTRIES, METER_HOSTS = 29, 21
HOT_FACTOR = 9
SECONDS = 20


def hot_simulation(policy, seed, callers=ENTRIES, times=HOT_FACTOR, **options):
    """Return a simulation with a workspace at `times` its limit."""
    sim = rate_limit_simulation.RateLimitSimulation(
        policy, ENTRIES, METER_HOSTS, LIMIT, seed, **options
    )
    rng = random.Random(seed)
    for at_ms in arrivals(rng, times * RATE, 0, SECONDS * 1000):
        sim.send(at_ms, rng.randrange(callers), 7)
    return sim


def light_simulation(policy, seed, callers):
    """Return a simulation with a workspace below its limit."""
    return hot_simulation(policy, seed, callers, times=0.6)


@pytest.mark.parametrize("policy", list(RATE_LIMIT_POLICIES))
@pytest.mark.parametrize("seed", range(4))
def test_a_hot_workspace_is_held_to_its_limit(policy, seed):
    """Guards against entries that each grant the whole limit."""
    sim = hot_simulation(policy, seed)
    sim.run(30_000)
    assert overruns(sim, 7, LIMIT, BURST) <= 0


@pytest.mark.parametrize("seed", range(4))
def test_below_its_limit_a_workspace_is_not_refused(seed):
    """Guards against refusals of a workspace that uses only two entries."""
    sim = light_simulation("metered", seed, callers=2)
    sim.run(30_000)
    assert lost(sim, 7, RATE, BURST) <= 0
    shares = light_simulation("equal-share", seed, callers=2)
    shares.run(30_000)
    assert lost(shares, 7, RATE, BURST) > 0.5 * len(shares.requests)


@pytest.mark.parametrize("seed", range(4))
def test_at_its_limit_a_workspace_gets_all_of_it(seed):
    """Guards against refusals of a hot workspace within its limit."""
    sim = hot_simulation("metered", seed, times=4)
    sim.run(30_000)
    assert lost(sim, 7, RATE, BURST) <= 0


@pytest.mark.parametrize("seed", range(4))
def test_far_from_the_limit_no_request_waits_for_a_meter(seed):
    """Guards against a round trip for every request."""
    sim = light_simulation("metered", seed, callers=ENTRIES)
    sim.run(30_000)
    waited = [r for r in sim.requests if r.decided_ms > r.at_ms]
    assert len(waited) < 0.1 * len(sim.requests)


def split(sim, numbers, hosts, from_ms, until_ms):
    """Partition entries `numbers` and meters `hosts` from the others."""

    def is_cut(number, host):
        if not from_ms <= sim.now_ms < until_ms:
            return False
        return (number in numbers) != (host in hosts)

    sim.cut = is_cut


@pytest.mark.parametrize("seed", range(6))
def test_two_halves_of_a_fleet_stay_within_the_limit(seed):
    """Guards against halves of a partition that each grant the limit."""
    sim = hot_simulation("metered", seed)
    hosts = {f"m{n}" for n in range(METER_HOSTS // 2)}
    split(sim, set(range(ENTRIES // 2)), hosts, 4_000, 16_000)
    sim.run(30_000)
    assert overruns(sim, 7, LIMIT, BURST) <= 0


@pytest.mark.parametrize("seed", range(4))
def test_entries_without_any_meter_go_by_their_shares(seed):
    """Guards against refusing or admitting all while no meter answers."""
    sim = hot_simulation("metered", seed)
    split(sim, set(range(ENTRIES)), set(), 4_000, 30_000)
    sim.run(30_000)
    assert overruns(sim, 7, LIMIT, BURST) <= 0
    late = [ms for ms in sim.admitted(7) if 9_000 <= ms < 19_000]
    assert len(late) > 0.7 * RATE * 10


@pytest.mark.parametrize("seed", range(4))
def test_killed_entries_and_meters_leave_the_count_standing(seed):
    """Guards against a count that restarts when a process is lost."""
    sim = hot_simulation("metered", seed)
    rng = random.Random(seed)
    for at_ms in range(1_000, SECONDS * 1000, 700):
        number = rng.randrange(ENTRIES)
        sim.at(at_ms, lambda n=number: sim.kill_entry(n))
    meters = sim._meters_of(7)
    for at_ms, host in zip((4_000, 10_000, 16_000), meters, strict=True):
        sim.at(at_ms, lambda h=host: sim.kill_meter(h))
    sim.run(30_000)
    assert overruns(sim, 7, LIMIT, BURST) <= 0


@pytest.mark.parametrize("seed", range(4))
def test_lost_doubled_and_late_messages_change_no_count(seed):
    """Guards against reports that are counted twice or not at all."""
    sim = hot_simulation("metered", seed)
    sim.loss, sim.doubling = 0.1, 0.2
    sim.run(30_000)
    assert overruns(sim, 7, LIMIT, BURST) <= 0
    assert lost(sim, 7, RATE, BURST) < 0.02 * len(sim.admitted(7))


@pytest.mark.parametrize("seed", range(4))
def test_a_frozen_entry_lets_in_nothing_it_held(seed):
    """Guards against stale credit of a paused entry."""
    sim = hot_simulation("metered", seed)
    for number in range(8):
        sim.at(5_000, lambda n=number: sim.freeze(n, 6_000))
    sim.run(30_000)
    assert overruns(sim, 7, LIMIT, BURST) <= 0


@pytest.mark.parametrize("seed", range(4))
def test_a_lowered_limit_binds_entries_that_have_not_heard_of_it(seed):
    """Guards against an entry that applies an outdated limit."""
    sim = hot_simulation("metered", seed)
    lower = RateLimit(RATE / 4, BURST / 4 + ALLOWANCE, revision=2)

    def lower_for_most():
        for number in range(3, ENTRIES):
            sim.limit_by_entry[number] = lower

    sim.at(6_000, lower_for_most)
    sim.run(30_000)
    sim.requests = [r for r in sim.requests if r.decided_ms >= 11_000]
    assert overruns(sim, 7, lower, BURST / 4) <= 0


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10**6),
    rate=st.sampled_from((1.0, 2.0, 8.0, 35.0)),
    times=st.sampled_from((0.5, 2.0, 9.0)),
    loss=st.sampled_from((0.0, 0.05, 0.3)),
    faults=st.lists(
        st.tuples(
            st.sampled_from(("entry", "meter", "freeze")),
            st.integers(0, 12_000),
            st.integers(0, 11),
        ),
        max_size=6,
    ),
)
def test_no_history_lets_in_more_than_the_limit(
    seed, rate, times, loss, faults
):
    """Guards against overruns under random sequences of faults."""
    limit = RateLimit(rate, rate + ALLOWANCE, 1)
    sim = rate_limit_simulation.RateLimitSimulation(
        "metered", 12, 5, limit, seed
    )
    sim.loss = loss
    rng = random.Random(seed)
    for at_ms in arrivals(rng, times * rate, 0, 14_000):
        sim.send(at_ms, rng.randrange(12), 7)
    for kind, at_ms, number in faults:
        act = {
            "entry": lambda n=number: sim.kill_entry(n),
            "meter": lambda n=number: sim.kill_meter(f"m{n % 5}"),
            "freeze": lambda n=number: sim.freeze(n, 3_000),
        }[kind]
        sim.at(at_ms, act)
    sim.run(25_000)
    assert overruns(sim, 7, limit, rate) <= 0


def test_two_meters_killed_at_once_leave_the_limit():
    """Guards against two killed meters that let in more than the limit."""
    play = test_no_history_lets_in_more_than_the_limit.hypothesis.inner_test
    faults = [("entry", 1_270, 0), ("meter", 383, 0), ("meter", 383, 6)]
    play(142, 35.0, 9.0, 0.3, faults)


def report(total, sequence, wanted=0, since=0, life=1, limit=LIMIT):
    return UsageReport(7, life, sequence, total, since, wanted, limit)


def test_a_repeated_report_is_counted_once():
    """Guards against a duplicate datagram that is counted twice."""
    meter = Meter()
    for _ in range(3):
        reading = meter.report(0, "a", report(5, 1))
        assert (reading.counted, reading.level) == (5, 5)


def test_an_older_report_takes_nothing_back():
    """Guards against a late datagram that overwrites a newer one."""
    meter = Meter()
    meter.report(0, "a", report(5, 2))
    reading = meter.report(0, "a", report(3, 1))
    assert (reading.counted, reading.level) == (5, 5)


def test_a_restarted_meter_counts_what_came_since():
    """Guards against old requests that fill the level of a new meter."""
    meter = Meter()
    reading = meter.report(0, "a", report(1_003, 9, since=1_000))
    assert (reading.level, reading.mature) == (3, False)
    later_ms = meter_module.MATURE_MS
    reading = meter.report(later_ms, "a", report(1_004, 10, since=1_003))
    assert reading.mature


def test_refused_callers_get_turns_after_one_another():
    """Guards against refused callers that all retry at once."""
    meter = Meter()
    meter.report(0, "a", report(25, 1))
    waits = [
        meter.report(0, "a", report(25, 2 + n, wanted=1)).wait_ms
        for n in range(4)
    ]
    assert waits == [50, 100, 150, 200]


def test_a_request_that_did_not_run_is_given_back():
    """Guards against requests refused by replicas that use up a limit."""
    sim = rate_limit_simulation.RateLimitSimulation("metered", 1, 3, LIMIT)
    policy = sim.entries[0].policy
    for n in range(200):
        sim.now_ms = 10 * n
        assert policy.take(sim.now_ms, 7, LIMIT).value == "admitted"
        policy.give_back(sim.now_ms, 7, LIMIT)
        sim._flush(0)
        sim.run(sim.now_ms + 10)


def test_a_meter_forgets_workspaces_and_counts_that_ended():
    """Guards against tables that grow with each pause of a workspace."""
    meter = Meter()
    for second in range(200):
        now_ms = second * 1_000
        meter.report(
            now_ms, "a", UsageReport(7, 1, second, second, 0, 0, LIMIT)
        )
        meter.report(now_ms, "b", UsageReport(7, second, 1, 1, 0, 0, LIMIT))
        meter.report(now_ms, "b", UsageReport(second, 1, 1, 1, 0, 0, LIMIT))
    assert len(meter) < 30
    assert len(meter._use_by_workspace[7].count_by_life) < 30


def test_two_halves_of_a_large_fleet_stay_within_the_limit():
    """Guards against minimum shares that exceed the limit in total."""
    rate, entries = 300.0, 500
    limit = RateLimit(rate, rate + ALLOWANCE, 1)
    sim = rate_limit_simulation.RateLimitSimulation(
        "metered", entries, 64, limit, seed=1
    )
    rng = random.Random(1)
    for at_ms in arrivals(rng, HOT_FACTOR * rate, 0, 14_000):
        sim.send(at_ms, rng.randrange(entries), 7)
    near = set(range(entries // 2))
    split(sim, near, set(sim._meters_of(7)[:1]), 4_000, 16_000)
    sim.run(16_000)
    assert overruns(sim, 7, limit, rate) <= 0
