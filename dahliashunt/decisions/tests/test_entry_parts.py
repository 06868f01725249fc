"""Unit tests of the parts of the entry's decisions."""

import random

import pytest

from dahliashunt.decisions.endpoint import EndpointState
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.events import CallerLimits
from dahliashunt.decisions.events import EndpointInfo
from dahliashunt.decisions.events import EndpointReport
from dahliashunt.decisions.fair import FairOrder
from dahliashunt.decisions.fair import InFlight
from dahliashunt.decisions.fleet import Fleet
from dahliashunt.decisions.limits import TokenBuckets
from dahliashunt.decisions.model_state import ModelState
from dahliashunt.decisions.overload import LIMITS
from dahliashunt.decisions.prefix import PrefixIndex
from dahliashunt.decisions.queueing import DISCIPLINES
from dahliashunt.decisions.queueing import DrainRate
from dahliashunt.decisions.queueing import Waiting
from dahliashunt.decisions.queueing import WaitingQueue
from dahliashunt.decisions.routing import ROUTING
from dahliashunt.decisions.suspects import Suspects

POLICY = EntryPolicy()


@pytest.fixture
def fleet():
    made = Fleet(POLICY, "a")
    for number in range(9):
        info = EndpointInfo(f"e{number}", "a", frozenset({"m"}))
        made.add_endpoint(0, info)
    return made


def test_registries_hold_the_baselines():
    assert {"round_robin", "least_in_flight"} <= set(ROUTING)
    assert "none" in set(LIMITS)
    assert "by_deadline" in set(DISCIPLINES)


def test_shares_are_proportional_to_weights():
    order = FairOrder()
    tags = [(order.tag(0, "big", 100, 3.0), "big") for _ in range(30)]
    tags += [(order.tag(0, "small", 100, 1.0), "small") for _ in range(30)]
    first = [name for _, name in sorted(tags)[:24]]
    assert first.count("big") == 18


def test_idle_caller_accumulates_no_share():
    # A late caller must not be served alone until it has caught up.
    order = FairOrder()
    for _ in range(100):
        order.served(order.tag(0, "busy", 10, 1.0))
    late = [order.tag(0, "late", 10, 1.0) for _ in range(5)]
    assert order.tag(0, "busy", 10, 1.0) < late[2]


def test_over_share_counts_weights():
    in_flight = InFlight(over=1.5)
    for _ in range(6):
        in_flight.add("paid", 100, 6.0)
        in_flight.add("greedy", 100, 1.0)
    assert in_flight.is_over("greedy")
    assert not in_flight.is_over("paid")
    for _ in range(6):
        in_flight.remove("greedy", 100)
    assert not in_flight.is_over("greedy")


def test_request_larger_than_the_burst_is_admitted_with_a_debt():
    buckets = TokenBuckets()
    limits = CallerLimits(tokens_a_second=100, burst_s=1.0)
    assert buckets.take(0, "a", 500, limits) == 0
    assert buckets.take(0, "a", 10, limits) == 4_100
    none = CallerLimits(tokens_a_second=0)
    assert buckets.take(0, "b", 1, none) > 0


def waiting(tag, by=1_000, since=0):
    return Waiting(tag, int(tag), f"r{tag}", since, by, 400)


def test_queue_drops_only_requests_that_cannot_start_in_time():
    queue = WaitingQueue()
    for tag, by in ((1, 1_000), (2, 250), (3, 420)):
        queue.push(waiting(tag, by))
    predicted = DISCIPLINES.get("predicted")(POLICY)
    gone = predicted.select_rejected(0, queue, DrainRate(0.005, 0.5))
    assert [w.request_id for w in gone] == ["r2"]


def test_standing_queue_admits_only_short_waits():
    # A queue that never empties adds latency to all requests.
    queue = WaitingQueue()
    queue.push(waiting(1))
    predicted = DISCIPLINES.get("predicted")(POLICY)
    drain = DrainRate(0.01, 0.25)
    assert predicted.admits(100, queue, 1_000, 4, 400, drain)
    assert not predicted.admits(600, queue, 1_000, 4, 400, drain)
    assert predicted.admits(600, queue, 1_000, 0, 400, drain)
    queue.pop(0)
    assert not predicted.admits(1_000, queue, 1_000, 4, 400, drain)
    assert predicted.admits(1_600, queue, 1_000, 4, 400, drain)


@pytest.mark.parametrize("name", ["aimd", "gradient"])
def test_limit_falls_while_late_and_grows_while_used(name):
    limit = LIMITS.get(name)(POLICY)
    now = 0
    for _ in range(400):
        now += 20
        limit.sample(now, 60.0, 400.0, int(limit.value))
    high = limit.value
    assert high > 2 * POLICY.limit_initial
    for _ in range(400):
        now += 20
        limit.sample(now, 900.0, 400.0, int(limit.value))
    assert limit.value < high / 2
    assert limit.value >= POLICY.limit_min


def test_unused_limit_does_not_grow():
    limit = LIMITS.get("aimd")(POLICY)
    for now in range(0, 20_000, 20):
        limit.sample(now, 60.0, 400.0, 1)
    assert limit.value == POLICY.limit_initial


def test_retry_after_grows_with_refusals_and_is_jittered():
    # Callers refused together must not return together.
    state = ModelState(EntryPolicy(default_service_ms=20))
    rng = random.Random(1)
    waits = [state.retry_after(0, 0.0, rng) for _ in range(1_000)]
    assert len(set(waits)) > 500
    assert sum(waits[:10]) < sum(waits[200:210]) < sum(waits[-10:])
    assert max(waits) <= POLICY.retry_after_max_ms
    alike = {ModelState(POLICY).retry_after(0, 0.0, rng) for _ in range(50)}
    assert len(alike) > 40


def test_calls_without_tokens_have_a_cost():
    # At zero cost the fair order would not limit the busiest caller.
    assert ModelState(POLICY).cost(0, 0) > 0


def test_ejection_leaves_most_of_the_fleet(fleet):
    # Ejecting all endpoints would turn a partial failure into an outage.
    for endpoint in fleet.by_id.values():
        for _ in range(5):
            fleet.failed(0, endpoint)
    states = [e.state for e in fleet.by_id.values()]
    assert states.count(EndpointState.EJECTED) == 3


def test_repeated_ejection_lasts_longer(fleet):
    endpoint = fleet.by_id["e0"]
    for _ in range(3):
        fleet.failed(0, endpoint)
    fleet.start_probes(POLICY.eject_ms)
    assert endpoint.state is EndpointState.PROBING
    fleet.failed(POLICY.eject_ms, endpoint)
    assert endpoint.ejected_until_ms == 3 * POLICY.eject_ms
    fleet.start_probes(endpoint.ejected_until_ms)
    fleet.succeeded(endpoint)
    assert endpoint.state is EndpointState.UP
    assert not fleet.probing_by_id


def report(age_ms, running, **fields):
    return EndpointReport(
        "e0", running, 0, 0, 0, 0, 20.0, 0, frozenset({"m"}), age_ms, **fields
    )


def test_reports_are_corrected_by_what_was_sent_since(fleet):
    # A report counts only requests sent before it; older ones are ignored.
    endpoint = fleet.by_id["e0"]
    endpoint.sent_ms_by_request = {"r1": 700, "r2": 900}
    fleet.report(1_000, report(200, running=5))
    assert fleet.load(1_000, endpoint) == 2 + 4
    fleet.report(1_001, report(400, running=50))
    assert fleet.load(1_001, endpoint) == 2 + 4


def test_stale_report_is_replaced_by_the_fleet_mean(fleet):
    endpoint = fleet.by_id["e0"]
    fleet.report(0, report(0, running=0))
    fleet.mean_external_load = 7.0
    assert fleet.load(100, endpoint) == 0
    assert fleet.load(POLICY.report_stale_ms + 1, endpoint) == 7.0


def test_quarantine_lasts_until_the_report_is_stale(fleet):
    endpoint = fleet.by_id["e0"]
    fleet.report(0, report(0, running=1, quarantined=True))
    assert not endpoint.can_take(10)
    assert endpoint.can_take(POLICY.report_stale_ms)


def test_prefixes_of_reports_and_of_dispatches():
    index = PrefixIndex(sent_ms=1_000, total=100, report_ms=0)
    keys = (1, 2, 3, 4)
    index.record_dispatch(0, "a", keys)
    index.report(0, "b", frozenset({1, 2}))
    assert index.cached_depths(10, keys) == {"a": 4, "b": 2}
    assert index.cached_depths(1_001, keys) == {"b": 2}
    index.report(20, "b", frozenset({1}))
    assert index.cached_fraction(30, "b", keys) == 0.25
    index.forget_endpoint("a")
    index.forget_endpoint("b")
    assert len(index) == 0


def test_prefix_index_is_bounded():
    index = PrefixIndex(sent_ms=1_000, total=100, report_ms=0)
    for number in range(1_000):
        index.record_dispatch(0, f"e{number % 3}", (number, number + 10**6))
        index.report(0, "e9", frozenset(range(number, number + 300)))
    assert len(index) <= 100


def test_long_prompts_add_few_index_entries():
    index = PrefixIndex(sent_ms=1_000, total=1_000, report_ms=0)
    index.record_dispatch(0, "a", tuple(range(2_000)))
    assert len(index) < 25


def test_losses_of_unknown_cause_weigh_half():
    # One network failure must not isolate all requests of a data centre.
    suspects = Suspects(POLICY)
    for _ in range(3):
        assert not suspects.crashed(0, "f", alone=False, weight=0.5)
    assert suspects.is_suspect(0, "f")
    assert suspects.crashed(0, "f", alone=True, weight=0.5)


def test_suspicions_and_convictions_end():
    suspects = Suspects(POLICY)
    suspects.crashed(0, "f", alone=False)
    assert not suspects.is_suspect(POLICY.suspect_for_ms, "f")
    suspects.convict(0, "g", 100)
    assert suspects.convicted_until(99, "g") == 100
    assert suspects.convicted_until(100, "g") is None


def test_fingerprints_are_bounded():
    suspects = Suspects(EntryPolicy(fingerprints_max=10))
    for number in range(100):
        suspects.crashed(0, f"f{number}", alone=False)
        suspects.convict(0, f"g{number}", 100)
    suspicions = [n for n in range(100) if suspects.is_suspect(1, f"f{n}")]
    convictions = [
        n for n in range(100) if suspects.convicted_until(1, f"g{n}")
    ]
    assert suspicions == convictions == list(range(90, 100))
    assert len(suspects.take_new_suspects()) == 10
