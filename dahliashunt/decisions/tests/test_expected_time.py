"""Expected times, and the order of replicas by them."""

import random

import pytest

from dahliashunt.decisions.expected_time import DEFAULT_TOKEN_US
from dahliashunt.decisions.expected_time import Estimator
from dahliashunt.decisions.expected_time import ReplicaInputs
from dahliashunt.decisions.expected_time import RequestSize
from dahliashunt.decisions.expected_time import service_prior
from dahliashunt.decisions.expected_time import SpeedPrior
from dahliashunt.decisions.replica_choice import Candidate
from dahliashunt.decisions.replica_choice import order_by_time
from dahliashunt.decisions.replica_choice import Placement
from dahliashunt.decisions.replica_choice import uses_expected_time
from dahliashunt.decisions.slot_messages import Use

PRIOR = SpeedPrior(2_000, 140.0)
SHORT = RequestSize(400, 300, 150)
LONG = RequestSize(32_400, 300, 32_000)


def times(size=SHORT, taken=0, **inputs):
    estimator = Estimator(size, PRIOR)
    return estimator.estimate(ReplicaInputs(**inputs), 8, taken)


def candidate(name, token_us=2_000, taken=0, batch=0, **inputs):
    known = ReplicaInputs(token_us, **inputs)
    return Candidate(name, 8, taken, 0, False, True, batch=batch, inputs=known)


def order(candidates, size=SHORT, use=Use.ONLINE, slack_ms=0, seed=1):
    placement = Placement(size, use, slack_ms)
    prior = service_prior([one.inputs for one in candidates])
    rng = random.Random(seed)
    ordered = order_by_time(candidates, placement, prior, rng)
    return [one.replica_id for one in ordered]


@pytest.mark.parametrize(
    "worse",
    [
        {"token_us": 4_000},
        {"taken": 8},
        {"taken": 8, "wait_ms": 900},
        {"waiting_tokens": 8_000},
        {"network_ms": 3},
        {"warm_in_ms": 2_000},
        {"read_tokens_per_ms": 20.0},
    ],
)
def test_each_term_lengthens_both_times(worse):
    first_ms, end_ms = times()
    worse_first_ms, worse_end_ms = times(**worse)
    assert worse_first_ms > first_ms
    assert worse_end_ms > end_ms


def test_an_old_observation_returns_to_the_prior_and_stays_finite():
    # Guards against a silent replica that counts as infinitely fast or slow.
    unknown = times()
    assert times(token_us=8_000, age_ms=3_600_000) == pytest.approx(unknown)
    first_ms, end_ms = times(taken=8, wait_ms=9_000, age_ms=3_600_000)
    assert unknown[0] < first_ms < end_ms < 5_000


def test_an_unobserved_service_has_a_prior():
    assert service_prior([ReplicaInputs()]).token_us == DEFAULT_TOKEN_US


def test_cached_tokens_count_only_where_reading_them_is_relevant():
    # Guards against 1 or 2 ms of reading that outweigh free slots.
    assert times(cached_tokens=150) == times()
    assert times(LONG)[0] - times(LONG, cached_tokens=32_000)[0] > 200


def test_equal_speeds_and_short_prompts_do_not_use_expected_time():
    # Guards against a change for services whose replicas are alike: a step
    # takes up to a fifth longer with eight running requests than with one.
    alike = [candidate("a", 3_350), candidate("b", 3_930), candidate("c", 0)]
    assert not uses_expected_time(alike, SHORT, PRIOR)
    assert uses_expected_time(alike, LONG, PRIOR)
    unequal = [*alike, candidate("d", 6_000)]
    assert uses_expected_time(unequal, SHORT, PRIOR)


def test_a_slot_of_a_slow_replica_is_worth_less():
    slow, fast = candidate("slow", 4_000), candidate("fast", 1_800, taken=6)
    assert order([slow, fast]) == ["fast", "slow"]
    full = candidate("fast", 1_800, taken=8)
    assert order([slow, full]) == ["slow", "fast"]


def test_a_fast_replica_is_not_worth_a_revoked_item():
    items = candidate("fast", 1_800, taken=2, batch=6)
    assert order([items, candidate("slow", 4_000)])[0] == "slow"


def test_items_leave_the_fast_replicas_unless_they_would_be_late():
    # Guards against items that are late because they were sent to a replica
    # of half the speed.
    fleet = [candidate("slow", 4_000), candidate("fast", 1_800)]
    item = RequestSize(400, 2_100)
    assert order(fleet, item, Use.BATCH, 18_000)[0] == "slow"
    assert order(fleet, item, Use.BATCH, 6_000)[0] == "fast"


def test_the_time_saved_by_a_cached_part_yields_to_a_queue():
    # Guards against a popular part that stays at one full replica.
    cached = candidate("cached", taken=5, cached_tokens=32_000)
    idle = candidate("idle")
    assert order([idle, cached], LONG)[0] == "cached"
    full = candidate("cached", taken=8, cached_tokens=32_000)
    assert order([idle, full], LONG)[0] == "idle"


def test_a_replica_without_the_memory_goes_last():
    small = candidate("small", 1_800, free_tokens=500)
    assert order([small, candidate("slow", 4_000, taken=7)])[0] == "slow"


def test_similar_times_are_drawn_so_that_entries_spread():
    # Guards against entries that all select the seemingly fastest replica.
    fleet = [candidate(str(i), 1_800 + 5 * i) for i in range(6)]
    assert len({order(fleet, seed=seed)[0] for seed in range(60)}) == 6


@pytest.mark.parametrize(
    ("use", "shared", "expected"),
    [
        (Use.ONLINE, 100, "dkgafhijeclb"),
        (Use.ONLINE, 4_000, "adgkfhijelcb"),
        (Use.BATCH, 100, "fkgadhjieclb"),
        (Use.BATCH, 4_000, "fagkdhjielcb"),
    ],
)
def test_a_fixed_seed_gives_the_recorded_order(use, shared, expected):
    # Guards against an order that changes with the way it is computed.
    rng = random.Random(5)
    candidates = [
        Candidate(
            name,
            8,
            inputs=ReplicaInputs(
                rng.randrange(1_800, 4_500),
                rng.choice((0.0, 140.0)),
                age_ms=rng.choice((50, 2_600)),
                wait_ms=rng.randrange(200),
                free_tokens=rng.choice((-1, 500, 9_000)),
                warm_in_ms=rng.choice((0, 400)),
                cached_tokens=rng.randrange(4_000),
            ),
            taken=rng.randrange(11),
            age_ms=50,
            avoided=rng.random() < 0.2,
            near=True,
            batch=rng.randrange(3),
            connected=rng.random() < 0.5,
            reserved=rng.random() < 0.3,
        )
        for name in "abcdefghijkl"
    ]
    size = RequestSize(400, 310, shared)
    prior = service_prior([one.inputs for one in candidates])
    found = order_by_time(candidates, Placement(size, use, 1_000), prior, rng)
    assert "".join(one.replica_id for one in found) == expected
