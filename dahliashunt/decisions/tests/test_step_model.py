import random

import pytest

from dahliashunt.decisions.step_model import StepModel


def train(model, truth, samples, seed=1, max_running=40):
    rng = random.Random(seed)
    for _ in range(samples):
        running = rng.randint(1, max_running)
        kv = running * rng.randint(100, 900)
        model.observe(int(truth(running, kv) + rng.random()), running, kv)
    return model


def step_time(running, kv):
    return 22 + 0.7 * running + 0.2 * kv / 1000


def test_learns_from_whole_milliseconds():
    model = train(StepModel(), step_time, 600)
    assert model.predict(30, 15_000) == pytest.approx(
        step_time(30, 15_000), rel=0.03
    )


def test_follows_a_change_of_the_engine():
    model = train(StepModel(), step_time, 2_000)
    train(model, lambda n, kv: 2 * step_time(n, kv), 4_000, 2)
    assert model.predict(20, 8_000) == pytest.approx(
        2 * step_time(20, 8_000), rel=0.1
    )


def test_pause_of_the_agent_is_treated_as_an_outlier():
    # An unclipped pause, seen as one step of 30 s, stops batch for minutes.
    model = train(StepModel(), step_time, 2_000)
    model.observe(30_000, 10, 4_000)
    assert model.predict(20, 8_000) == pytest.approx(
        step_time(20, 8_000), rel=0.1
    )


def test_constant_load_does_not_inflate_the_covariance():
    # After hours of constant load one outlier must not set the stream cost.
    model = train(StepModel(), step_time, 1_000)
    for _ in range(50_000):
        model.observe(step_time(20, 8_000), 20, 8_000)
    model.observe(step_time(21, 8_000) + 2, 21, 8_000)
    assert model.predict(45, 18_000) == pytest.approx(
        step_time(45, 18_000), rel=0.1
    )


def test_costs_are_never_negative():
    model = StepModel()
    for n in range(500):
        model.observe(40 - n % 20, 1 + n % 20, 0)
    assert model.per_stream_ms >= 0 and model.per_kv_ms >= 0


@pytest.mark.parametrize("seed", [7, 8, 11, 15, 20])
def test_outliers_do_not_make_the_costs_diverge(seed):
    # Clamping a negative cost at zero makes the correlated costs diverge.
    rng = random.Random(seed)
    model = StepModel()
    for n in range(140):
        running = rng.randint(32, 36) if n < 25 else rng.randint(46, 55)
        if n >= 65:
            running = max(10, 34 - (n - 65) // 2)
        kv = running * rng.randint(530, 700)
        truth = 18 + 0.6 * running + 0.1 * kv / 1000
        outlier = 8 if n in (2, 21, 30, 45) else 0
        model.observe(int(truth + outlier + rng.random()), running, kv)
        if n > 80:
            step = model.predict(running, kv)
            assert step == pytest.approx(truth, rel=0.05)
