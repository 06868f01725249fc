"""Estimates of how long callers waited, from their remaining patience."""

import random

from dahliashunt.decisions.caller_wait import CallerWaits
from dahliashunt.decisions.caller_wait import MIN_CALLERS
from dahliashunt.decisions.caller_wait import WINDOW_CALLERS

USUAL_MS = 5_000
LIMIT_MS = 8_000


def arrive(waits, left_ms):
    return waits.waited_ms("r", left_ms, LIMIT_MS)


def test_callers_returning_after_an_outage_are_told_from_new_ones():
    # Two in three callers return after an outage of up to 1.5 s.
    rng = random.Random(1)
    waits = CallerWaits()
    for _ in range(WINDOW_CALLERS):
        arrive(waits, USUAL_MS)
    for _ in range(100):
        assert arrive(waits, USUAL_MS) == 0
        for _ in range(2):
            left_ms = USUAL_MS - rng.randint(300, 1_500)
            assert arrive(waits, left_ms) == USUAL_MS - left_ms


def test_some_patient_callers_do_not_make_the_others_late():
    rng = random.Random(2)
    waits = CallerWaits()
    for _ in range(500):
        if rng.random() < 0.04:
            assert arrive(waits, 2 * USUAL_MS) == 0
        else:
            assert (
                arrive(waits, USUAL_MS) == 0
                or len(waits._window_by_route["r"]) <= MIN_CALLERS
            )


def test_a_new_usual_time_is_learned():
    # Guards against a shortened route limit that counts as waiting.
    waits = CallerWaits()
    for _ in range(WINDOW_CALLERS):
        waits.waited_ms("r", USUAL_MS, LIMIT_MS)
    assert waits.waited_ms("r", 2_000, 2_000) == 0
    for _ in range(WINDOW_CALLERS):
        arrive(waits, 3_000)
    assert arrive(waits, 3_000) == 0


def test_before_any_caller_the_route_limit_is_used():
    waits = CallerWaits()
    assert waits.waited_ms("r", 3_600, USUAL_MS) == 1_400
    assert waits.waited_ms("r", USUAL_MS, USUAL_MS) == 0
