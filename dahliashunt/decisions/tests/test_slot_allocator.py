"""Allocation of a replica's slots under bursts, lost messages and failures."""

from dataclasses import replace

import pytest

from dahliashunt.decisions import slot_allocator
from dahliashunt.decisions.slot_allocator import BATCH_COOLDOWN_MS
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.decisions.slot_holds import HOLD_TTL_MS
from dahliashunt.decisions.slot_holds import START_GRACE_MS
from dahliashunt.decisions.slot_messages import Revoked
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import SlotReply
from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.decisions.slot_messages import Use

NO_RUNS = frozenset()


@pytest.fixture
def allocator():
    return SlotAllocator(slots=2)


def online(name, wait_ms=0, requester="e1", slack_ms=0, rank=0):
    return SlotRequest(
        name, name, requester, Use.ONLINE, wait_ms, slack_ms, rank
    )


def batch(name, slack_ms=1000, requester="e1"):
    return SlotRequest(name, name, requester, Use.BATCH, slack_ms=slack_ms)


def verdicts(effects):
    return [e.verdict for e in effects if isinstance(e, SlotReply)]


def revoked(effects):
    return [e.attempt_id for e in effects if isinstance(e, Revoked)]


def test_slots_are_granted_up_to_their_number(allocator):
    assert verdicts(allocator.ask(online("a"), 0)) == [SlotDecision.GRANTED]
    assert verdicts(allocator.ask(online("b"), 0)) == [SlotDecision.GRANTED]
    assert verdicts(allocator.ask(online("c"), 0)) == [SlotDecision.FULL]


def test_an_online_request_takes_the_slot_of_the_item_with_most_slack(
    allocator,
):
    # Guards against online requests that wait until a batch item ends.
    allocator.ask(batch("urgent", slack_ms=1_000), 0)
    allocator.ask(batch("lax", slack_ms=9_000), 0)
    effects = allocator.ask(online("a"), 10)
    assert revoked(effects) == ["lax"]
    assert verdicts(effects) == [SlotDecision.GRANTED]


def test_a_request_for_an_idle_slot_revokes_and_waits_for_nothing(allocator):
    # Guards against revocation while the entry may find an idle slot
    # elsewhere, and against a queued request that nobody awaits.
    idle_only = replace(online("a", wait_ms=900), idle_only=True)
    allocator.ask(batch("item"), 0)
    assert verdicts(allocator.ask(idle_only, 10)) == [SlotDecision.GRANTED]
    refused = allocator.ask(replace(idle_only, attempt_id="b"), 10)
    assert refused == [SlotReply("b", "e1", SlotDecision.FULL)]
    assert "item" in allocator.held
    assert allocator.state().waiting == 0


def test_a_batch_item_never_takes_a_slot_from_a_waiting_request(allocator):
    for name in ("a", "b"):
        allocator.ask(online(name), 0)
    assert verdicts(allocator.ask(online("c", 400), 0)) == [
        SlotDecision.QUEUED
    ]
    assert verdicts(allocator.ask(batch("d"), 0)) == [SlotDecision.FULL]
    effects = allocator.release("a", 300)
    assert [(e.attempt_id, e.verdict) for e in effects] == [
        ("c", SlotDecision.GRANTED)
    ]


def test_a_request_that_cannot_be_in_time_is_told_at_once(allocator):
    for name in ("a", "b"):
        allocator.ask(online(name), 0)
    assert allocator.expected_wait_ms() == 350
    assert verdicts(allocator.ask(online("c", 349), 0)) == [SlotDecision.FULL]
    assert verdicts(allocator.ask(online("d", 350), 0)) == [
        SlotDecision.QUEUED
    ]


def test_a_request_in_time_goes_before_those_that_are_late(allocator):
    # Guards against new callers that wait behind late ones after an outage.
    for name in ("a", "b"):
        allocator.ask(online(name), 0)
    late = allocator.ask(online("late", 1_200), 0)
    assert verdicts(late) == [SlotDecision.QUEUED]
    in_time = allocator.ask(online("new", 1_600, slack_ms=400), 10)
    assert verdicts(in_time) == [SlotDecision.QUEUED]
    (first,) = allocator.release("a", 100)
    (second,) = allocator.release("b", 110)
    assert [first.attempt_id, second.attempt_id] == ["new", "late"]


def test_a_waiting_request_that_became_late_yields(allocator):
    for name in ("a", "b"):
        allocator.ask(online(name), 0)
    allocator.ask(online("old", 2_000, slack_ms=400), 0)
    allocator.ask(online("new", 2_000, slack_ms=800), 450)
    (granted,) = allocator.release("a", 500)
    assert granted.attempt_id == "new"


def test_a_request_that_would_wait_past_its_time_may_come_back(allocator):
    # Guards against queueing a request that could be in time elsewhere.
    for name in ("a", "b"):
        allocator.ask(online(name), 0)
    refused = allocator.ask(online("c", 1_600, slack_ms=200), 0)
    assert verdicts(refused) == [SlotDecision.FULL]


def test_a_repeated_ask_holds_one_slot(allocator):
    # Guards against a second hold when the answer to a request is lost.
    allocator.ask(online("a"), 0)
    assert verdicts(allocator.ask(online("a"), 25)) == [SlotDecision.GRANTED]
    assert allocator.state().online == 1


def test_a_lost_release_is_found_by_the_report(allocator):
    # Guards against a slot leak when the release datagram is lost.
    allocator.ask(online("a"), 0)
    allocator.report(frozenset({"a"}), 0, 100)
    allocator.report(NO_RUNS, 0, START_GRACE_MS)
    assert allocator.state().online == 1
    allocator.report(NO_RUNS, 0, START_GRACE_MS + 1)
    assert allocator.state().online == 0


def test_a_dead_entrys_slots_are_freed(allocator):
    allocator.ask(online("a"), 0)
    allocator.renew(["a"], "e1", 1_000)
    running = frozenset({"a"})
    allocator.report(running, 0, 1_000 + HOLD_TTL_MS)
    assert allocator.state().online == 1
    allocator.report(NO_RUNS, 0, 1_001 + HOLD_TTL_MS)
    assert allocator.state().online == 0


def test_another_entrys_renewal_keeps_nothing(allocator):
    allocator.ask(online("a"), 0)
    allocator.renew(["a"], "e2", HOLD_TTL_MS)
    allocator.report(frozenset({"a"}), 0, HOLD_TTL_MS + 1)
    # The run still counts as taken, although its hold has expired.
    assert allocator.state().online == 1
    assert verdicts(allocator.ask(batch("b"), HOLD_TTL_MS + 2)) == [
        SlotDecision.GRANTED
    ]


def test_runs_from_before_a_restart_are_counted(allocator):
    # Guards against overfilling a replica whose agent lost its holds.
    allocator.report(frozenset({"x", "y"}), 0, 0)
    assert verdicts(allocator.ask(batch("a"), 1)) == [SlotDecision.FULL]
    assert verdicts(allocator.ask(online("b"), 1)) == [SlotDecision.FULL]


def test_a_revoked_run_is_not_counted_while_it_ends(allocator):
    allocator.ask(batch("i"), 0)
    allocator.ask(online("a"), 0)
    allocator.report(frozenset({"i", "a"}), 0, 50)
    allocator.ask(online("b"), 60)
    allocator.report(frozenset({"i", "a"}), 1, 80)
    assert allocator.state().online == 2


def test_a_queued_ask_is_refused_when_its_time_is_over(allocator):
    for name in ("a", "b"):
        allocator.ask(online(name), 0)
    allocator.ask(online("c", 400), 0)
    effects = allocator.report(frozenset({"a", "b"}), 0, 401)
    assert verdicts(effects) == [SlotDecision.FULL]
    assert allocator.state().waiting == 0


def test_an_absent_replica_grants_nothing(allocator):
    allocator.away = True
    assert verdicts(allocator.ask(online("a"), 0)) == [SlotDecision.AWAY]


@pytest.mark.parametrize(
    "kept", [True, False], ids=["allocator", "own_counts"]
)
def test_a_wave_through_many_entries(kept):
    # Guards against overload by entries that count only their own requests,
    # which the second case shows.
    allocator = SlotAllocator(slots=2)
    for name in ("i1", "i2"):
        allocator.ask(batch(name), 0)
    inside = 2
    for entry in range(9):
        asked = allocator.ask(online(f"r{entry}", requester=entry), 10)
        if not kept or SlotDecision.GRANTED in verdicts(asked):
            inside += 1 - len(revoked(asked) if kept else ())
    assert (inside <= 2) is kept


@pytest.mark.parametrize(
    "recent_ms", [0, BATCH_COOLDOWN_MS], ids=["off", "on"]
)
def test_batch_does_not_chase_the_gaps_of_a_wave(monkeypatch, recent_ms):
    # Guards against an item that is granted and revoked in each short gap
    # between two online requests and makes no progress.
    monkeypatch.setattr(slot_allocator, "BATCH_COOLDOWN_MS", recent_ms)
    allocator = SlotAllocator(slots=2)
    allocator.ask(online("r0"), 0)
    allocator.ask(online("r1"), 50)
    revokes = 0
    for step in range(30):
        now_ms = 100 * step + 100
        allocator.release(f"r{step}", now_ms)
        allocator.ask(batch(f"i{step}"), now_ms + 5)
        effects = allocator.ask(online(f"r{step + 2}"), now_ms + 20)
        revokes += len(revoked(effects))
    assert revokes == (30 if recent_ms == 0 else 0)
    allocator.release("r30", 10_000)
    allocator.release("r31", 10_000)
    assert verdicts(allocator.ask(batch("late"), 10_000 + recent_ms)) == [
        SlotDecision.GRANTED
    ]


def test_the_more_urgent_goes_first_among_those_that_wait(allocator):
    """Guards against ignoring the rank of queued requests."""
    for name in ("a", "b"):
        allocator.ask(online(name), 0)
    for name, rank in (("lax", 2), ("usual", 1), ("urgent", 0)):
        allocator.ask(online(name, 2_000, slack_ms=2_000, rank=rank), 1)
    order = [allocator.release(name, 10)[0].attempt_id for name in ("a", "b")]
    assert order == ["urgent", "usual"]


SATURATED_MS = 60_000
HELD_MS = 80
LOW_WORKSPACES = 3


def saturate(allocator):
    """Offer twice the capacity; return counts served and sent by workspace.

    Half of the requests are urgent; the others are of low priority, spread
    over `LOW_WORKSPACES`.
    """
    sent, served, ends = {}, {}, {}
    gap_ms = HELD_MS // (2 * allocator.slots)
    for number, now_ms in enumerate(range(0, SATURATED_MS, gap_ms)):
        for name in [n for n, at_ms in ends.items() if at_ms <= now_ms]:
            del ends[name]
            record(allocator.release(name, now_ms), served, ends, now_ms)
        is_urgent = number % 2 == 0
        workspace = "u" if is_urgent else f"l{number // 2 % LOW_WORKSPACES}"
        sent[workspace] = sent.get(workspace, 0) + 1
        ask = online(
            f"{workspace} {number}", 300, "e", 300, 0 if is_urgent else 2
        )
        record(allocator.ask(ask, now_ms), served, ends, now_ms)
    return served, sent


def record(effects, served, ends, now_ms):
    for effect in effects:
        if effect.verdict is SlotDecision.GRANTED:
            workspace = effect.attempt_id.split()[0]
            served[workspace] = served.get(workspace, 0) + 1
            ends[effect.attempt_id] = now_ms + HELD_MS


def test_under_saturation_the_less_urgent_do_not_starve():
    """Guards against starvation of low-priority workspaces."""
    served, sent = saturate(SlotAllocator(slots=4, hold_ms=HELD_MS))
    share = {
        workspace: served[workspace] / sent[workspace] for workspace in sent
    }
    mean = sum(served.values()) / sum(sent.values())
    low_priority = [share[f"l{n}"] for n in range(LOW_WORKSPACES)]
    assert share["u"] >= max(low_priority)
    assert min(low_priority) >= mean / 4


def test_a_restarted_replica_holds_nothing_of_before(allocator):
    # Guards against slots that stay taken by runs of an earlier incarnation.
    allocator.report(frozenset({"unknown"}), 0, 0)
    allocator.ask(online("a"), 10)
    allocator.ask(online("waits", wait_ms=900), 20)
    allocator.ask(batch("late"), 30)
    effects = allocator.replica_restarted(7, 3, 40, 50)
    assert verdicts(effects) == [SlotDecision.GRANTED]
    assert allocator.held == ("waits",)
    assert (allocator.state().born_ms, allocator.state().slots) == (7, 3)


def test_grants_for_the_new_incarnation_stay_at_a_restart(allocator):
    # Guards against a slot that is granted twice after a restart.
    allocator.ask(online("before"), 10)
    allocator.ask(online("after"), 60)
    allocator.replica_restarted(7, 2, 50, 100)
    assert allocator.held == ("after",)
