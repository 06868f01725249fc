"""Speed of a replica, observed over simulated reports."""

import itertools
import random

import pytest

from dahliashunt.decisions.replica_speed import FORGET_MS
from dahliashunt.decisions.replica_speed import ReplicaSpeed
from dahliashunt.decisions.replica_speed import RunProgress


class Reports:
    """Reports of eight runs that begin and end at random."""

    def __init__(self, seed=1):
        self.speed = ReplicaSpeed()
        self.now_ms = 0
        self._rng = random.Random(seed)
        self._tokens_by_id = {}
        self._count = 0

    def play(self, length_ms, token_ms, runs=8):
        """Report for `length_ms`; return the published values."""
        published = []
        for _ in range(length_ms // 100):
            interval_ms = self._rng.randint(90, 110)
            self.now_ms += interval_ms
            for run_id in list(self._tokens_by_id):
                if self._rng.random() < 0.15 or not runs:
                    del self._tokens_by_id[run_id]
                else:
                    self._tokens_by_id[run_id] += interval_ms / token_ms
            while len(self._tokens_by_id) < runs:
                self._count += 1
                # It began within the interval, and has read its prompt.
                part = self._rng.random() * interval_ms / token_ms
                self._tokens_by_id[f"r{self._count}"] = part
            report = {
                run_id: RunProgress(400 + int(tokens), int(tokens))
                for run_id, tokens in self._tokens_by_id.items()
            }
            self.speed.report(report, self.now_ms)
            published.append(self.speed.token_us)
        return published


@pytest.fixture
def reports():
    return Reports()


def test_runs_that_begin_and_end_do_not_spoil_the_speed(reports):
    # Guards against prompts of 400 tokens that count as produced tokens.
    published = reports.play(5_000, 2.0)[5:]
    assert 1_750 < min(published) <= max(published) < 2_250


def test_a_steady_replica_publishes_few_changes(reports):
    # Guards against a message to every entry at each report.
    published = reports.play(20_000, 2.0)[5:]
    changes = sum(a != b for a, b in itertools.pairwise(published))
    assert changes < 10


def test_a_slow_phase_is_seen_and_forgotten_in_some_hundred_ms(reports):
    reports.play(5_000, 2.0)
    assert reports.play(400, 5.0)[-1] > 3_800
    assert reports.play(400, 2.0)[-1] < 2_800


def test_a_replica_that_is_slow_for_minutes_and_recovers(reports):
    reports.play(5_000, 2.0)
    assert 4_400 < reports.play(120_000, 5.0)[-1] < 5_600
    assert reports.play(1_000, 2.0)[-1] < 2_400


def test_an_idle_replica_is_tried_again_after_a_slow_phase(reports):
    # Guards against a replica without requests that stays slow for ever.
    reports.play(20_000, 2.0)
    reports.play(500, 5.0)
    assert reports.play(2_000, 2.0, runs=0)[-1] < 2_700


def test_a_slow_replica_stays_slow_while_idle_until_forgotten(reports):
    reports.play(30_000, 4.0)
    assert reports.play(3_000, 4.0, runs=0)[-1] > 3_500
    assert reports.play(FORGET_MS, 4.0, runs=0)[-1] == 0


def test_long_prompts_show_the_reading_speed():
    speed = ReplicaSpeed()
    for step in range(3):
        speed.report({"r": RunProgress(14_000 * step, 0)}, 100 * step)
    assert speed.read_tokens_per_ms == pytest.approx(140, rel=0.1)
    assert speed.token_us == 0
