from dataclasses import replace
import random

import pytest

from dahliashunt.decisions.agent import AgentDecisions
from dahliashunt.decisions.agent_policy import HARM_FIRST
from dahliashunt.decisions.agent_policy import PROFILES
from dahliashunt.decisions.agent_policy import THROUGHPUT_FIRST
from dahliashunt.decisions.events import AttemptRequest
from dahliashunt.decisions.events import Preempt
from dahliashunt.decisions.events import PreemptMode
from dahliashunt.decisions.events import Priority
from dahliashunt.decisions.events import RefuseAttempt
from dahliashunt.decisions.events import Start
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.ports.engine import EngineLoad

FOREVER = 1 << 60


def online(name, prompt=100, start_by=700, max_tokens=100, **more):
    return AttemptRequest(
        name, Priority.ONLINE, "c", prompt, max_tokens, start_by, True, **more
    )


def batch(name, prompt=100, max_tokens=100, **more):
    return AttemptRequest(
        name, Priority.BATCH, "a", prompt, max_tokens, FOREVER, True, **more
    )


def ids_of(kind, decisions):
    return [d.attempt_id for d in decisions if isinstance(d, kind)]


def make(policy=THROUGHPUT_FIRST, **settings):
    return AgentDecisions(replace(policy, **settings), random.Random(1))


def make_filled(count, **settings):
    """Return an agent with `count` decoding batch streams."""
    agent = make(idle_prefill_ms=1e9, **settings)
    for n in range(count):
        assert ids_of(Start, agent.offer(0, batch(f"b{n}"))) == [f"b{n}"]
    for n in range(count):
        agent.tokens(50, f"b{n}", 1)
    return agent


def test_online_starts_at_once_beside_batch():
    agent = make_filled(20)
    assert ids_of(Start, agent.offer(60, online("o"))) == ["o"]


def test_online_preempts_batch_when_slots_are_full():
    agent = make_filled(10, max_running=10, reserve_slots=0)
    decisions = agent.offer(60, online("o"))
    (stop,) = decisions
    assert isinstance(stop, Preempt)
    assert ids_of(Preempt, agent.tick(61)) == []
    decisions = agent.preempted(90, stop.attempt_id, stop.how, 1)
    assert ids_of(Start, decisions) == ["o"]


def test_stream_with_least_loss_is_preempted_first():
    agent = make_filled(
        3, max_running=3, reserve_slots=0, engine_exports_kv=False
    )
    for step in range(1, 80):
        agent.tokens(50 + 20 * step, "b0", 1)
        if step < 50:
            agent.tokens(50 + 20 * step, "b2", 1)
    decisions = agent.offer(1_700, online("o", start_by=2_400))
    assert ids_of(Preempt, decisions) == ["b1"]


def test_batch_restarts_in_the_call_that_frees_the_slot():
    agent = make_filled(4, max_running=4, reserve_slots=0)
    agent.offer(55, batch("w"))
    (stop,) = agent.offer(60, online("o"))
    agent.preempted(90, stop.attempt_id, stop.how, 1)
    # A preempted stream goes before one that has waited longer.
    assert agent.ended(500, "o") == [Start(stop.attempt_id, stop.how)]


def test_preempted_stream_does_not_expire():
    # It started in time, and a refusal would lose its work.
    agent = make(max_running=1, reserve_slots=0)
    work = AttemptRequest("b", Priority.BATCH, "a", 100, 100, 100, True)
    assert ids_of(Start, agent.offer(0, work)) == ["b"]
    (stop,) = agent.offer(60, online("o"))
    agent.preempted(90, "b", stop.how, 1)
    assert agent.tick(200) == []
    assert ids_of(Start, agent.ended(300, "o")) == ["b"]


def test_preemptions_rotate_between_streams():
    agent = make_filled(2, max_running=2, reserve_slots=0)
    for step in range(20):
        agent.tokens(70 + 20 * step, "b0", 1)
    stopped = []
    for n in range(5, 9):
        (stop,) = agent.offer(100 * n + 60, online(f"o{n}", start_by=9_000))
        stopped.append(stop.attempt_id)
        agent.preempted(100 * n + 90, stop.attempt_id, stop.how, 1)
        agent.ended(100 * n + 91, f"o{n}")
        agent.tokens(100 * n + 130, stop.attempt_id, 1)
    assert sorted(stopped) == ["b0", "b0", "b1", "b1"]


def test_preempted_stream_is_not_reported_as_not_run():
    agent = make_filled(1, max_running=1, reserve_slots=0)
    (stop,) = agent.offer(60, online("o"))
    agent.preempted(90, stop.attempt_id, stop.how, 1)
    agent.offer(95, batch("never"))
    ran = {d.attempt_id: d.ran for d in agent.leaving(100)}
    assert ran == {"b0": Ran.YES, "never": Ran.NO}


def test_saturation_refuses_at_once_and_spreads_retries():
    # Guards against refusals at the deadline and simultaneous retries.
    agent = make(max_running=4)
    for n in range(4):
        agent.offer(0, online(f"o{n}"))
    refusals = []
    for n in range(20):
        refusals += [
            d
            for d in agent.offer(10, online(f"x{n}", start_by=400))
            if isinstance(d, RefuseAttempt)
        ]
    assert len(refusals) == 20
    assert {d.kind for d in refusals} == {ErrorKind.OVERLOADED}
    waits = [d.retry_after_ms for d in refusals]
    assert waits[-1] > 3 * waits[0]
    assert len(set(waits)) == 20


def test_request_that_can_start_in_time_waits():
    agent = make(max_running=4)
    for n in range(4):
        agent.offer(0, online(f"o{n}"))
    assert agent.offer(10, online("w", start_by=60_000)) == []
    assert ids_of(Start, agent.ended(900, "o0")) == ["w"]


def test_waiting_request_expires_at_wake_ms():
    agent = make(max_running=1)
    agent.offer(0, online("o"))
    agent.offer(1, online("w", start_by=60_000))
    # wake_ms may be too early after streams started, but not too late.
    assert agent.tick(agent.wake_ms()) == []
    assert agent.wake_ms() == 60_001
    assert ids_of(RefuseAttempt, agent.tick(60_001)) == ["w"]
    assert agent.wake_ms() is None


def test_kv_memory_is_not_overcommitted():
    agent = make(kv_total_tokens=1_000, kv_reserve=0.0)
    agent.offer(0, batch("b0", prompt=600))
    assert agent.offer(1, batch("b1", prompt=600)) == []
    decisions = agent.offer(2, online("o", prompt=600))
    assert ids_of(Preempt, decisions) == ["b0"] and len(decisions) == 1
    decisions = agent.preempted(30, "b0", PreemptMode.RESTART, 0)
    assert ids_of(Start, decisions) == ["o"]


def test_engine_with_fewer_slots_than_configured_is_detected():
    # Otherwise online work queues behind batch inside the engine.
    agent = make()
    for n in range(5):
        agent.offer(0, batch(f"b{n}"))
    for n in range(4):
        agent.tokens(30, f"b{n}", 1)
    report = EngineLoad(4, 1, 500, 100_000, 25.0, 100)
    decisions = agent.engine_load(1_000, report)
    assert len(ids_of(Preempt, decisions)) == 1
    decisions = agent.offer(1_001, online("o", start_by=1_700))
    assert len(ids_of(Preempt, decisions)) == 1


def test_wait_for_the_step_boundary_is_not_taken_for_queueing():
    # Otherwise a report taken before the boundary lowers max_running.
    agent = make()
    agent.offer(0, online("o0"))
    agent.tokens(30, "o0", 1)
    agent.offer(990, online("o1"))
    agent.engine_load(1_000, EngineLoad(1, 1, 100, 100_000, 25.0, 5))
    decisions = agent.offer(1_001, online("o2", start_by=1_700))
    assert ids_of(Start, decisions) == ["o2"]


def test_report_from_a_long_step_does_not_lower_max_running():
    # A report from the middle of a long step shows too few running streams.
    agent = make()
    for n in range(5):
        agent.offer(0, online(f"o{n}", start_by=9_000))
        agent.tokens(30, f"o{n}", 1)
    agent.engine_load(500, EngineLoad(5, 0, 500, 100_000, 25.0, 5))
    for n in range(5):
        agent.ended(600, f"o{n}")
    for n in range(5):
        agent.offer(700, online(f"p{n}", start_by=9_000))
    agent.engine_load(1_600, EngineLoad(2, 3, 500, 100_000, 25.0, 5))
    decisions = agent.offer(1_601, online("q", start_by=2_300))
    assert ids_of(Start, decisions) == ["q"]


@pytest.mark.parametrize("decoding", [0, 8])
@pytest.mark.parametrize("reported", [0, 1])
def test_report_from_a_first_step_does_not_refuse_online(decoding, reported):
    # Guards against refusals beside batch because of a report that was taken
    # before the engine admitted the streams that were sent to it.
    agent = make_filled(decoding, max_running=32)
    for n in range(16):
        agent.offer(60, batch(f"w{n}", prompt=2))
    load = EngineLoad(reported, 2, 6 * reported, 200_000, 20.0, 500)
    agent.engine_load(700, load)
    for n in range(6):
        decisions = agent.offer(750, online(f"o{n}", start_by=1_500))
        assert ids_of(Start, decisions) == [f"o{n}"]


@pytest.mark.parametrize("priority", [online, batch])
def test_alone_runs_with_nothing_beside_it(priority):
    agent = make_filled(2)
    stops = agent.offer(60, priority("suspect", alone=True))
    assert sorted(ids_of(Preempt, stops)) == ["b0", "b1"]
    agent.preempted(80, "b0", stops[0].how, 1)
    decisions = agent.preempted(81, "b1", stops[1].how, 1)
    assert ids_of(Start, decisions) == ["suspect"]
    assert agent.offer(82, batch("b9")) == []
    assert agent.batch_room() == 0
    assert len(ids_of(Start, agent.ended(200, "suspect"))) >= 2


def test_alone_batch_is_preempted_for_online():
    agent = make()
    assert ids_of(Start, agent.offer(0, batch("suspect", alone=True)))
    decisions = agent.offer(10, online("o"))
    assert ids_of(Preempt, decisions) == ["suspect"] and len(decisions) == 1
    decisions = agent.preempted(20, "suspect", PreemptMode.RESTART, 0)
    assert ids_of(Start, decisions) == ["o"]


def test_batch_goes_on_while_alone_batch_waits_for_online_to_end():
    # A waiting suspect item must not stop all batch beside online work.
    agent = make()
    agent.offer(0, online("o"))
    agent.tokens(30, "o", 1)
    assert agent.offer(40, batch("suspect", alone=True)) == []
    assert agent.batch_room() > 0
    assert ids_of(Start, agent.offer(50, batch("b"))) == ["b"]


def test_leaving_refuses_waiting_and_new_attempts():
    agent = make_filled(2, max_running=2, reserve_slots=0)
    agent.offer(60, batch("w"))
    assert ids_of(RefuseAttempt, agent.leaving(70)) == ["w"]
    (refusal,) = agent.offer(71, online("late"))
    assert refusal.kind is ErrorKind.LEAVING and refusal.ran is Ran.NO
    assert agent.ended(90, "b0") == []
    assert agent.status().running_batch == 1


def test_cancelled_attempt_holds_its_slot_until_it_ends():
    agent = make_filled(2, max_running=2, reserve_slots=0)
    agent.offer(60, batch("w"))
    assert agent.cancel(61, "b0") == []
    assert agent.status().running_batch == 2
    assert ids_of(Start, agent.ended(70, "b0")) == ["w"]
    agent.offer(71, batch("v"))
    agent.cancel(72, "v")
    assert agent.status().waiting_batch == 0


def test_stream_cancelled_while_being_preempted_is_not_restarted():
    agent = make_filled(1, max_running=1, reserve_slots=0)
    (stop,) = agent.offer(60, online("o"))
    assert agent.cancel(70, "b0") == []
    agent.preempted(90, "b0", stop.how, 1)
    assert agent.ended(200, "o") == []
    assert agent.status().waiting_batch == 0


def test_burst_preempts_for_all_requests_at_once():
    # One preemption a step would delay the last request by eight steps.
    agent = make_filled(20, max_running=20, reserve_slots=0)
    stops = []
    for n in range(8):
        stops += agent.offer(60, online(f"o{n}"))
    assert len(ids_of(Preempt, stops)) == 8


def test_resent_attempt_starts_once():
    agent = make()
    assert ids_of(Start, agent.offer(0, online("o"))) == ["o"]
    assert agent.offer(1, online("o")) == []
    assert agent.status().running_online == 1


@pytest.mark.parametrize("name", PROFILES)
def test_occupancy_returns_to_zero(name):
    agent = make(PROFILES[name])
    for n in range(8):
        agent.offer(n, batch(f"b{n}"))
    agent.offer(9, online("o"))
    for n in range(8):
        agent.ended(20, f"b{n}")
    agent.ended(21, "o")
    status = agent.status()
    assert status.running_batch == status.running_online == 0
    assert status.kv_used_tokens == 0


def test_harm_first_bounds_the_step_below_throughput_first():
    rooms = []
    for policy in (THROUGHPUT_FIRST, HARM_FIRST):
        agent = make(policy)
        agent.offer(0, online("o"))
        for step in range(1, 200):
            agent.tokens(20 * step, "o", 1)
        rooms.append(agent.batch_room())
    assert rooms[1] < rooms[0]


def test_long_prompts_do_not_fill_the_batch_queue():
    # A queue full of long prompts that don't fit would stop batch.
    agent = make(HARM_FIRST)
    agent.offer(0, online("o"))
    agent.tokens(30, "o", 1)
    refusals = []
    for n in range(40):
        decisions = agent.offer(40 + n, batch(f"b{n}", prompt=6_000))
        refusals += [d for d in decisions if isinstance(d, RefuseAttempt)]
    assert len(refusals) == 40 - HARM_FIRST.max_held_items // 2
    assert {d.retry_after_ms for d in refusals} == {HARM_FIRST.long_retry_ms}
    assert agent.batch_room() > 0
