"""Tests of which waiting items a refused slot request holds up."""

import pytest

from dahliashunt.decisions.item_order import ItemQueue
from dahliashunt.decisions.item_order import WaitingItem
from dahliashunt.decisions.item_refusals import Demand
from dahliashunt.decisions.item_refusals import MAX_REFUSALS
from dahliashunt.decisions.item_refusals import Refusal
from dahliashunt.decisions.item_refusals import Refusals
from dahliashunt.decisions.item_refusals import refused_pause_ms

SLOTS = 8
MEMORY = 100_000
RUN_MS = 2_000
PASS_MS = 65


def play(sizes, for_ms, goes_on):
    """Return the sizes that are done at one replica, in order.

    Without `goes_on` a pass ends with the first refusal.
    """
    queue, pauses, running, done = ItemQueue(), {}, [], []
    for due_ms, size in enumerate(sizes):
        queue.put(WaitingItem(18_000 + due_ms, 0, due_ms, 0, size))
    for now_ms in range(0, for_ms, PASS_MS):
        done += [size for end_ms, size in running if end_ms <= now_ms]
        running = [each for each in running if each[0] > now_ms]
        refusals, first = Refusals(), None
        while goes_on or not refusals:
            if refusals and refusals.end_pass(frozenset("s")):
                break
            entry = queue.take(now_ms)
            if entry is None:
                break
            demand = Demand("s", tokens=entry.prompt_tokens)
            room = MEMORY - sum(size for _, size in running)
            if refusals.covers(demand):
                is_asked = False
            elif len(running) < SLOTS and demand.tokens <= room:
                running.append((now_ms + RUN_MS, demand.tokens))
                continue
            else:
                is_asked = True
                is_full = len(running) >= SLOTS
                refusal = Refusal.FULL if is_full else Refusal.ASKED
                refusals.note(demand, refusal, room)
            if is_asked and first is None:
                first = entry
                continue
            pauses[entry.work] = pauses.get(entry.work, 0) + 1
            pause_ms = refused_pause_ms(pauses[entry.work])
            queue.park(entry, now_ms + pause_ms)
        if first is not None:
            queue.put(first)
    return done


@pytest.mark.parametrize("large", [1, 30, 200])
def test_items_that_fit_nowhere_hold_up_no_others(large):
    """Guards against sound items that wait behind one that can't run."""
    sizes = [MEMORY + 1 + n for n in range(large, 0, -1)] + [300] * 60
    assert len(play(sizes, 18_000, goes_on=False)) <= SLOTS
    assert play(sizes, 18_000, goes_on=True) == [300] * 60


def test_items_that_fit_only_alone_run_beside_others_waiting():
    """Guards against large items that never run once smaller ones pass."""
    sizes = ([300] * 20 + [MEMORY - 100]) * 4
    assert sorted(play(sizes, 60_000, goes_on=True)) == sorted(sizes)


def test_a_full_service_keeps_the_order_by_due_time():
    """Guards against a later item that takes the slot of an earlier one."""
    sizes = [300 + n for n in range(60, 0, -1)]
    done = play(sizes, 18_000, goes_on=True)
    assert done == sizes
    assert done == play(sizes, 18_000, goes_on=False)


def test_other_services_and_versions_are_asked_for():
    """Guards against items that wait for another service's replicas."""
    refusals = Refusals()
    refusals.note(Demand("s", "v1", 10), Refusal.FULL)
    assert refusals.covers(Demand("s", "v1"))
    assert not refusals.covers(Demand("s", "v2"))
    assert not refusals.covers(Demand("s"))
    assert not refusals.end_pass(frozenset("s"))
    refusals.note(Demand("s", None, 10), Refusal.FULL)
    assert refusals.covers(Demand("s", "v2"))
    assert refusals.end_pass(frozenset("s"))
    assert not refusals.end_pass(frozenset("st"))


def test_a_pass_asks_agents_a_few_times_only():
    """Guards against a flood of datagrams for a long queue."""
    refusals = Refusals()
    for tokens in range(MAX_REFUSALS, 1, -1):
        refusals.note(Demand("s", tokens=tokens), Refusal.ASKED)
        assert not refusals.end_pass(frozenset("s"))
    refusals.note(Demand("s", tokens=1), Refusal.ASKED)
    assert refusals.end_pass(frozenset("s"))
