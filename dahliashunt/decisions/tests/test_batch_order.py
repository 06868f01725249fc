import random

import pytest

from dahliashunt.decisions.batch_order import BATCH_ORDERS
from dahliashunt.decisions.batch_order import BatchOrderPolicy
from dahliashunt.decisions.batch_order import FailItem
from dahliashunt.decisions.batch_order import RetryItem
from dahliashunt.decisions.batch_queue import JobDemand

HOUR = 3_600_000
STEP_MS = 1_000


def make(name="laxity", **settings):
    policy = BatchOrderPolicy(**settings)
    return BATCH_ORDERS.get(name)(policy, random.Random(1))


def job(job_id, items, due_h=9.0, caller="museum", tokens=500, weight=1.0):
    due_ms = int(due_h * HOUR)
    return JobDemand(job_id, caller, "m", due_ms, items, tokens, weight)


def run_order(order, items_by_job, room, until_ms, from_ms=0):
    """Grant `room` items a second; return when each job was fully sent."""
    left = dict(items_by_job)
    sent_at = {}
    for now in range(from_ms, until_ms, STEP_MS):
        for grant in order.choose(now, {"m": room}):
            left[grant.job_id] -= grant.items
            assert left[grant.job_id] >= 0
            if left[grant.job_id] == 0:
                sent_at[grant.job_id] = now
                order.remove_job(grant.job_id)
    return sent_at


@pytest.mark.parametrize("name", ["laxity", "first_come"])
def test_grants_each_item_once(name):
    order = make(name)
    order.job(0, job("a", 3))
    order.job(0, job("b", 4))
    grants = order.choose(0, {"m": 100, "other": 5})
    assert {g.job_id: g.items for g in grants} == {"a": 3, "b": 4}
    assert order.choose(1, {"m": 100}) == []


def test_small_job_does_not_wait_behind_an_archive():
    # First come first served delays a small job behind a whole archive.
    sent = {}
    for name in BATCH_ORDERS:
        order = make(name)
        order.job(0, job("archive", 5_000))
        order.job(0, job("notes", 20, caller="workshop"))
        counts = {"archive": 5_000, "notes": 20}
        sent[name] = run_order(order, counts, 4, 1_300 * STEP_MS)["notes"]
    assert sent["first_come"] == 1_254 * STEP_MS
    assert sent["laxity"] <= 12 * STEP_MS


def test_weights_share_the_room():
    order = make(urgent_share=0.0)
    order.job(0, job("a", 9_000, caller="a", weight=3.0))
    order.job(0, job("b", 9_000, caller="b", weight=1.0))
    granted = {"a": 0, "b": 0}
    for now in range(0, 400 * STEP_MS, STEP_MS):
        for grant in order.choose(now, {"m": 3}):
            granted[grant.job_id] += grant.items
    assert granted["a"] / granted["b"] == pytest.approx(3.0, rel=0.02)


def test_share_is_of_tokens_not_items():
    order = make(urgent_share=0.0)
    order.job(0, job("long", 9_000, caller="a", tokens=2_000))
    order.job(0, job("short", 9_000, caller="b", tokens=200))
    granted = {"long": 0, "short": 0}
    for now in range(400):
        for grant in order.choose(now, {"m": 4}):
            granted[grant.job_id] += grant.items
    ratio = granted["short"] / granted["long"]
    assert ratio == pytest.approx(10.0, rel=0.1)


def test_job_near_its_latest_start_goes_first():
    order = make(rate_prior=2_000)
    order.job(0, job("archive", 5_000, due_h=20))
    # 900 s of work, due in 1008 s.
    order.job(0, job("due", 3_600, due_h=0.28, caller="buyers"))
    counts = {"archive": 5_000, "due": 3_600}
    sent = run_order(order, counts, 4, 2 * HOUR)
    assert sent["due"] < sent["archive"]


def test_early_deadlines_do_not_starve_other_callers():
    # Without a bound on urgent grants, early deadlines starve other callers.
    order = make()
    order.job(0, job("honest", 9_000, due_h=20, caller="honest"))
    order.job(0, job("rush", 90_000, due_h=0.5, caller="rush"))
    granted = {"honest": 0, "rush": 0}
    for now in range(0, 500 * STEP_MS, STEP_MS):
        for grant in order.choose(now, {"m": 4}):
            granted[grant.job_id] += grant.items
    assert granted["honest"] >= 0.38 * sum(granted.values())


def test_job_past_its_deadline_is_not_urgent():
    order = make()
    order.job(0, job("late", 9_000, due_h=0.0, caller="late"))
    order.job(0, job("fine", 9_000, due_h=20, caller="fine"))
    granted = {"late": 0, "fine": 0}
    for now in range(1, 200):
        for grant in order.choose(now, {"m": 2}):
            granted[grant.job_id] += grant.items
    assert granted["late"] == pytest.approx(granted["fine"], rel=0.05)


def test_last_items_do_not_wait_behind_a_new_large_job():
    # By deadline alone a nearly done job waits for a large, earlier one.
    order = make(urgent_share=0.0)
    order.job(0, job("old", 5, due_h=12))
    order.job(0, job("new", 20_000, due_h=6))
    counts = {"old": 5, "new": 20_000}
    assert run_order(order, counts, 4, 60 * STEP_MS)["old"] <= 2 * STEP_MS


def test_returning_caller_gets_no_credit_for_its_absence():
    order = make(urgent_share=0.0)
    order.job(0, job("a", 9_000, caller="a"))
    for now in range(500):
        order.choose(now, {"m": 4})
    order.job(500, job("b", 9_000, caller="b"))
    granted = {"a": 0, "b": 0}
    for now in range(500, 600):
        for grant in order.choose(now, {"m": 4}):
            granted[grant.job_id] += grant.items
    assert granted["a"] == pytest.approx(granted["b"], rel=0.1)


def test_item_fails_after_max_attempts():
    order = make()
    first = order.item_failed(0, "a", 7, 1)
    second = order.item_failed(first.at_ms, "a", 7, 2)
    assert isinstance(first, RetryItem) and isinstance(second, RetryItem)
    assert second.at_ms - first.at_ms <= 3_000
    assert order.item_failed(9_000, "a", 7, 3) == FailItem("a", 7, 3)


def test_updates_do_not_accumulate_stale_heap_entries():
    order = make()
    for n in range(2_000):
        order.job(n, job("a", 100 + n % 7))
    queue = order._queues_by_model["m"]
    assert len(queue._by_start) < 200
