"""Shares of workspaces under a hot one, restarts and partitions."""

import dataclasses
import random

import pytest

from dahliashunt.decisions.fair import FairOrder
from dahliashunt.decisions.item_order import ItemQueue
from dahliashunt.decisions.item_order import WaitingItem
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.decisions.slot_messages import Revoked
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.tests.former_order import FormerAllocator
from dahliashunt.decisions.tests.former_order import FormerItemQueue
from dahliashunt.decisions.tests.workspace_fleet import HOT as HOT_SENDER
from dahliashunt.decisions.tests.workspace_fleet import SharedLoad
from dahliashunt.decisions.tests.workspace_fleet import WorkspaceFleet
from dahliashunt.decisions.workspace_shares import ONLINE_HALF_LIFE_MS
from dahliashunt.decisions.workspace_shares import WorkspaceShares

SEEDS = (1, 2)
MOST_LOST = 0.02
HOT, SMALL, OTHER = 7, 8, 9
LOADS = {
    "3": SharedLoad(entries=3),
    "36": SharedLoad(entries=36),
    "500": SharedLoad(entries=500),
    "restart": SharedLoad(restart_ms=4_500),
    "halves": SharedLoad(halves=True),
}


def online(name, workspace=0, slack_ms=260, rank=0, wait_ms=1_460):
    return SlotRequest(
        name, name, "e", Use.ONLINE, wait_ms, slack_ms, rank, workspace
    )


def item(name, workspace, slack_ms=9_000):
    return SlotRequest(
        name, name, "e", Use.BATCH, 0, slack_ms, workspace=workspace
    )


@pytest.fixture
def allocator():
    """Return an allocator whose four slots a hot workspace holds."""
    allocator = SlotAllocator(slots=4)
    for number in range(4):
        allocator.ask(online(f"held{number}", HOT), 0)
    return allocator


def verdict_by_id(effects):
    return {each.attempt_id: each.verdict for each in effects}


def lost_share(load, allocator):
    """Return what the others lose by the hot workspace.

    Without it all that they send is in time.
    """
    load = dataclasses.replace(load, hot_factor=7)
    fleets = [WorkspaceFleet(load, seed, allocator).play() for seed in SEEDS]
    sent = sum(fleet.sent.total() - fleet.sent[HOT_SENDER] for fleet in fleets)
    return 1 - sum(fleet.others() for fleet in fleets) / sent


@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_a_hot_workspace_costs_the_others_little(load):
    """Guards against workspaces that lose slots to what a hot one sends."""
    assert lost_share(load, SlotAllocator) < MOST_LOST


def test_in_the_order_of_arrival_a_hot_workspace_costs_the_others_a_tenth():
    """Guards against a load on which shares make no difference."""
    assert lost_share(LOADS["36"], FormerAllocator) > 0.1


def test_without_a_hot_workspace_all_requests_are_in_time():
    """Guards against a load that is too much without the hot one."""
    fleet = WorkspaceFleet(LOADS["36"]).play()
    assert fleet.in_time == fleet.sent


def test_no_slot_is_idle_while_a_request_waits():
    """Guards against capacity that is held back from a hot workspace."""
    fleet = WorkspaceFleet(SharedLoad(hot_factor=7)).play()
    assert fleet.idle_while_waiting == 0


def random_steps(seed, workspace=0):
    """Yield requests and times; a time between requests lets slots go."""
    rng = random.Random(seed)
    for number in range(600):
        now_ms = 25 * number
        if rng.random() < 0.2:
            yield item(f"i{number}", workspace, rng.randrange(20_000)), now_ms
        else:
            yield (
                online(
                    f"r{number}",
                    workspace,
                    rng.choice((0, 100, 260, 900)),
                    rng.randrange(3),
                    rng.choice((0, 400, 1_200)),
                ),
                now_ms,
            )


def replay(allocator, seed):
    """Return all effects of a random sequence."""
    effects, rng = [], random.Random(f"ends{seed}")
    for request, now_ms in random_steps(seed):
        effects.append(allocator.ask(request, now_ms))
        for name in sorted(allocator.held):
            if rng.random() < 0.05:
                effects.append(allocator.release(name, now_ms))
        effects.append(
            allocator.report(frozenset(allocator.held), 0, now_ms + 1)
        )
    return effects


@pytest.mark.parametrize("seed", SEEDS)
def test_without_workspaces_requests_are_decided_as_before(seed):
    """Guards against a change for deployments without workspaces."""
    assert replay(SlotAllocator(4), seed) == replay(FormerAllocator(4), seed)


def replay_items(queue, seed):
    """Return the due times of a random sequence of items as taken."""
    rng, taken = random.Random(seed), []
    for now_ms in range(0, 40_000, 100):
        if rng.random() < 0.5:
            due_ms = now_ms + rng.randrange(18_000)
            queue.put(WaitingItem(due_ms, rng.randrange(4_000)))
        if rng.random() < 0.45 and len(queue):
            first = queue.take(now_ms)
            taken.append(first)
            if rng.random() < 0.3:
                queue.put(first)
            elif isinstance(queue, ItemQueue):
                queue.started(first, now_ms)
                queue.done(rng.randrange(3_000, 6_000))
    return taken


@pytest.mark.parametrize("seed", SEEDS)
def test_without_workspaces_items_go_as_before(seed):
    """Guards against a change for deployments without workspaces."""
    taken = replay_items(ItemQueue(), seed)
    assert taken == replay_items(FormerItemQueue(), seed)


def test_the_last_request_of_a_hot_workspace_makes_room(allocator):
    """Guards against a queue of the hot one that refuses small ones."""
    waiting = ["h0", "h1"]
    for name in waiting:
        allocator.ask(online(name, HOT, slack_ms=380), 1)
    assert allocator.waiting == tuple(waiting)
    effects = allocator.ask(online("s", SMALL, slack_ms=380), 2)
    assert verdict_by_id(effects) == {
        "h1": SlotDecision.FULL,
        "s": SlotDecision.QUEUED,
    }
    (granted,) = allocator.release("held0", 100)
    assert granted.attempt_id == "s"


def test_a_hot_workspace_is_refused_for_longer(allocator):
    """Guards against a Retry-After that ignores the place in the order."""
    for name in ("o0", "o1"):
        allocator.ask(online(name, OTHER, slack_ms=900), 1)
    allocator.release("held0", 600)
    (small,) = allocator.ask(online("s", SMALL, wait_ms=1), 601)
    (hot,) = allocator.ask(online("h", HOT, wait_ms=1), 601)
    assert small.verdict is hot.verdict is SlotDecision.FULL
    assert 0 < small.wait_ms < hot.wait_ms


def test_a_late_request_goes_before_the_late_ones_of_a_hot_workspace(
    allocator,
):
    """Guards against late small requests behind all late ones of a hot."""
    for number in range(5):
        allocator.ask(online(f"h{number}", HOT, slack_ms=0), 1)
    allocator.ask(online("s", SMALL, slack_ms=0), 2)
    (granted,) = allocator.release("held0", 10)
    assert granted.attempt_id == "s"


def test_a_late_request_is_not_passed_by_all_of_a_hot_workspace(allocator):
    """Guards against overdue requests that a hot workspace starves."""
    allocator.ask(online("s", SMALL, slack_ms=0), 1)
    for number in range(4):
        allocator.ask(online(f"h{number}", HOT, slack_ms=900), 2)
    granted = [allocator.release(f"held{n}", 10)[0] for n in range(4)]
    assert "s" in [each.attempt_id for each in granted]


def test_what_was_granted_long_ago_is_forgotten():
    """Guards against a workspace that pays for a burst minutes ago."""
    order = FairOrder(half_life_ms=1_000)
    order.tag(0, "hot", 800, 1.0)
    assert order.start(1_000, "hot") == pytest.approx(400)
    assert order.start(10_000, "hot") < 1


def test_accounts_are_bounded():
    """Guards against an account for each workspace that ever came."""
    shares = WorkspaceShares(ONLINE_HALF_LIFE_MS)
    for number in range(44_000):
        shares.granted(online(str(number), number), 10 * number)
    assert len(shares) <= 5 * ONLINE_HALF_LIFE_MS // 10 + 1


def test_an_unused_grant_costs_nothing():
    """Guards against hedged requests that are charged twice."""
    shares = WorkspaceShares(ONLINE_HALF_LIFE_MS)
    for number, held_ms in enumerate((600, 0)):
        shares.granted(online("a", number), 0)
        shares.ended(online("a", number), held_ms)
    assert shares.start(1, 1) < 0.1 * shares.start(0, 1)


def test_of_similar_items_one_of_the_largest_workspace_is_revoked():
    """Guards against a small workspace's item that yields for a large."""
    allocator = SlotAllocator(slots=4)
    for name, workspace, slack_ms in (
        ("s", SMALL, 9_500),
        ("h0", HOT, 9_000),
        ("h1", HOT, 8_900),
        ("h2", HOT, 4_000),
    ):
        allocator.ask(item(name, workspace, slack_ms), 0)
    effects = allocator.ask(online("r", OTHER), 10)
    assert isinstance(effects[0], Revoked)
    assert effects[0].attempt_id == "h0"


BURSTS = [
    *((at_ms, HOT, 40) for at_ms in range(0, 36_000, 12_000)),
    *((at_ms, SMALL, 2) for at_ms in range(1_000, 40_000, 3_000)),
    *((at_ms, OTHER, 3) for at_ms in range(1_500, 40_500, 5_000)),
]
"""Time, workspace and items of each job; of the hot one more than fit."""


def count_late_small(queue, seed, slots=8, due_ms=18_000):
    """Return the late items of the workspaces without a burst."""
    rng, ends, late = random.Random(seed), [], 0
    for now_ms in range(0, 200_000, 100):
        for at_ms, workspace, count in BURSTS:
            if at_ms == now_ms:
                made = WaitingItem(at_ms + due_ms, 0, workspace=workspace)
                for _ in range(count):
                    queue.put(made)
        ends = [end_ms for end_ms in ends if end_ms > now_ms]
        while len(ends) < slots and len(queue):
            first = queue.take(now_ms)
            queue.started(first, now_ms)
            run_ms = int(rng.gauss(4_500, 1_000))
            queue.done(run_ms)
            ends.append(now_ms + run_ms)
            is_late = now_ms + run_ms > first.due_ms
            late += is_late and first.workspace != HOT
    assert not len(queue)
    return late


def test_bursts_of_jobs_do_not_make_other_workspaces_late():
    """Guards against items behind all items of an earlier large job."""
    late = [count_late_small(ItemQueue(), seed) for seed in SEEDS]
    former = [count_late_small(FormerItemQueue(), seed) for seed in SEEDS]
    assert sum(late) <= sum(former) // 4
    assert sum(former) > 4


def test_late_items_of_workspaces_take_turns():
    """Guards against late items that wait for all of a larger workspace."""
    queue = ItemQueue()
    for number in range(12):
        queue.put(WaitingItem(number, 0, workspace=HOT))
    queue.put(WaitingItem(50, 0, workspace=SMALL))
    places = []
    for _ in range(3):
        first = queue.take(9_000)
        queue.started(first, 9_000)
        places.append(first.workspace)
    assert SMALL in places
