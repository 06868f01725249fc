"""Tests of the agent's decisions against a simulated engine."""

from dataclasses import replace
import random

import pytest

from dahliashunt.decisions.agent import AgentDecisions
from dahliashunt.decisions.agent_policy import HARM_FIRST
from dahliashunt.decisions.agent_policy import THROUGHPUT_FIRST
from dahliashunt.decisions.events import AttemptRequest
from dahliashunt.decisions.events import Priority
from dahliashunt.decisions.tests.engine_simulation import EngineParameters
from dahliashunt.decisions.tests.engine_simulation import EngineSimulation
from dahliashunt.decisions.tests.engine_simulation import RequestMix

SECOND = 1_000
# Batch throughput of the engine with all slots on batch.
FULL_BATCH_TOKENS_S = 900


def make_simulation(
    policy=THROUGHPUT_FIRST, shape=None, with_batch=True, prompt=500
):
    agent = AgentDecisions(policy, random.Random(3))
    source = RequestMix(7, prompt, 200).batch() if with_batch else None
    return EngineSimulation(agent, shape, source)


def offer(simulation, rate_s, from_ms, until_ms, prefix="o", seed=5):
    for arrival in RequestMix(seed).arrivals(
        prefix, rate_s, from_ms, until_ms
    ):
        simulation.offer_at(*arrival)


def p95(values):
    values = sorted(values)
    return values[int(0.95 * (len(values) - 1))]


def first_tokens(simulation):
    return [s.first_token_ms for s in simulation.online() if s.token_ms]


def gaps(simulation):
    return [
        later - earlier
        for trace in simulation.online()
        for earlier, later in zip(
            trace.token_ms, trace.token_ms[1:], strict=False
        )
    ]


def refused(simulation):
    return [trace for trace in simulation.online() if trace.turned_away]


def test_idle_engine_is_filled_within_a_second():
    simulation = make_simulation()
    simulation.run(3 * SECOND)
    before = simulation.batch_tokens
    simulation.run(13 * SECOND)
    assert simulation.batch_tokens - before > 0.9 * FULL_BATCH_TOKENS_S * 10


def test_batch_uses_idle_time_between_online_work():
    simulation = make_simulation()
    for begin in range(0, 30, 5):
        offer(
            simulation,
            6,
            begin * SECOND,
            (begin + 2) * SECOND,
            f"o{begin}-",
            begin,
        )
    simulation.run(30 * SECOND)
    assert simulation.batch_tokens > 0.6 * FULL_BATCH_TOKENS_S * 30
    assert not refused(simulation)


@pytest.mark.parametrize("burst", [1, 3, 6])
def test_burst_does_not_wait_behind_batch(burst):
    # Without preemption a burst waits seconds until batch answers end.
    simulation = make_simulation()
    offer(simulation, 1.5, 0, 10 * SECOND)
    offer(simulation, 1.5 * burst, 10 * SECOND, 13 * SECOND, "x", 6)
    simulation.run(20 * SECOND)
    assert not refused(simulation)
    assert p95(first_tokens(simulation)) < 760


def test_burst_waits_without_preemption():
    policy = replace(THROUGHPUT_FIRST, gate="no_preemption")
    simulation = make_simulation(policy)
    offer(simulation, 12, 10 * SECOND, 12 * SECOND, "x", 6)
    simulation.run(20 * SECOND)
    assert refused(simulation) or p95(first_tokens(simulation)) > 760


def test_batch_recovers_after_a_burst():
    simulation = make_simulation()
    offer(simulation, 12, 5 * SECOND, 7 * SECOND, "x", 6)
    simulation.run(12 * SECOND)
    before = simulation.batch_tokens
    simulation.run(17 * SECOND)
    assert simulation.batch_tokens - before > 0.85 * FULL_BATCH_TOKENS_S * 5


@pytest.mark.parametrize("prompt", [500, 2_000])
def test_gaps_stay_near_the_target_beside_batch(prompt):
    # A long batch prompt stalls every stream in the engine.
    simulation = make_simulation(prompt=prompt)
    offer(simulation, 2.5, 0, 40 * SECOND)
    simulation.run(40 * SECOND)
    target = THROUGHPUT_FIRST.token_gap_target_ms
    assert p95(gaps(simulation)) <= 1.1 * target
    assert simulation.batch_tokens > 0


def test_harm_first_preserves_the_tail_of_gaps():
    tails = []
    for with_batch in (False, True):
        simulation = make_simulation(HARM_FIRST, with_batch=with_batch)
        offer(simulation, 3, 0, 60 * SECOND)
        simulation.run(60 * SECOND)
        tails.append(p95(gaps(simulation)))
    assert tails[1] <= 1.08 * tails[0]


@pytest.mark.parametrize("with_batch", [False, True])
@pytest.mark.parametrize("rate_s", [2, 8])
def test_kv_memory_never_overflows(rate_s, with_batch):
    # An overflow as answers grow evicts streams, which callers see as gaps.
    shape = EngineParameters(kv_total=8_000)
    policy = replace(THROUGHPUT_FIRST, kv_total_tokens=8_000)
    simulation = make_simulation(policy, shape, with_batch)
    offer(simulation, rate_s, 0, 30 * SECOND)
    simulation.run(30 * SECOND)
    assert simulation.evictions == 0
    assert with_batch == (simulation.batch_tokens > 1_000)


def test_long_prompts_do_not_hold_up_short_ones():
    # A long prompt that must wait must not block the batch queue.
    sizes = RequestMix(7, 200, 200)
    count = iter(range(1 << 30))

    def item():
        n = next(count)
        prompt, answer = sizes.sizes()
        prompt = 6_000 if n % 4 == 0 else prompt
        work = AttemptRequest(
            f"b{n}", Priority.BATCH, "a", prompt, 480, 1 << 60, True
        )
        return work, answer

    policy = replace(THROUGHPUT_FIRST, long_stall_ms=0.0, longest_stall_ms=0.0)
    agent = AgentDecisions(policy, random.Random(3))
    simulation = EngineSimulation(agent, EngineParameters(), item)
    offer(simulation, 3, 0, 30 * SECOND)
    simulation.run(30 * SECOND)
    assert simulation.batch_tokens > 0.3 * FULL_BATCH_TOKENS_S * 30


def test_saturation_keeps_targets_of_admitted_requests():
    simulation = make_simulation()
    offer(simulation, 24, 0, 30 * SECOND)
    simulation.run(31 * SECOND)
    refusals = refused(simulation)
    # Refused on arrival, not at the deadline 700 ms later.
    at_once = [s for s in refusals if s.turned_away_ms - s.offered_ms < 100]
    assert len(refusals) > 100
    assert len(at_once) >= 0.9 * len(refusals)
    assert p95(first_tokens(simulation)) < 760
    answered = sum(1 for s in simulation.online() if s.ended_ms)
    assert answered > 0.85 * 8 * 30


def test_preemption_does_not_thrash():
    simulation = make_simulation()
    offer(simulation, 3, 0, 60 * SECOND)
    simulation.run(60 * SECOND)
    assert len(simulation.preempts) < 180
    assert simulation.lost_tokens < 0.01 * simulation.batch_tokens


def test_estimated_costs_match_the_engine():
    simulation = make_simulation()
    offer(simulation, 3, 0, 60 * SECOND)
    simulation.run(60 * SECOND)
    model, shape = simulation.agent.model, simulation.shape
    for running, kv in ((10, 5_000), (40, 20_000), (60, 30_000)):
        truth = shape.step_ms(running, kv)
        assert model.predict(running, kv) == pytest.approx(truth, rel=0.03)
    assert model.prefill_ms_per_token == pytest.approx(
        shape.prefill_ms, rel=0.25
    )
