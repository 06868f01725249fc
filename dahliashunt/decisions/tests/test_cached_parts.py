"""Belief of an entry about the prompt parts that replicas have cached."""

import pytest

from dahliashunt.decisions.cached_parts import CachedParts
from dahliashunt.decisions.cached_parts import HALF_LIFE_MS
from dahliashunt.decisions.cached_parts import MAX_PREFIXES
from dahliashunt.decisions.cached_parts import MAX_REPLICAS
from dahliashunt.decisions.cached_parts import relevant_prefixes

LONG = relevant_prefixes([("system", 150), ("manual", 32_000)], 2_500)
SHORT = relevant_prefixes([("system", 150)], 2_500)


@pytest.fixture
def parts():
    return CachedParts(100_000)


def test_the_belief_halves_with_age(parts):
    parts.sent(("a", 1), LONG, 0)
    assert parts.expected_tokens(("a", 1), LONG, 0) == 32_150
    late = parts.expected_tokens(("a", 1), LONG, HALF_LIFE_MS)
    assert late == pytest.approx(16_075)


def test_a_restart_under_the_same_id_has_nothing_cached(parts):
    # Guards against a choice for a cache that a restart has emptied.
    parts.sent(("a", 1), LONG, 0)
    assert parts.expected_tokens(("a", 2), LONG, 0) == 0
    parts.keep_only({("a", 2)})
    assert len(parts) == 0


def test_what_exceeds_the_memory_is_forgotten_oldest_first(parts):
    prompts = [
        relevant_prefixes([(f"manual{i}", 32_000)], 2_500) for i in range(4)
    ]
    for now_ms, prefixes in enumerate(prompts):
        parts.sent(("a", 1), prefixes, now_ms)
    expected = [parts.expected_tokens(("a", 1), each, 4) for each in prompts]
    assert expected[0] == 0
    assert min(expected[1:]) > 31_000


def test_the_number_of_prefixes_is_bounded(parts):
    # Guards against memory that grows with the callers' prompts.
    for i in range(1_000):
        prefixes = relevant_prefixes([(f"part{i}", 2_500)], 2_500)
        parts.sent(("a", 1), prefixes, i)
        long_chain = [(f"{i}.{n}", 1) for n in range(9)]
        prefixes = relevant_prefixes([("big", 2_500), *long_chain], 2_500)
        parts.sent(("a", 1), prefixes, i)
    assert len(parts) <= MAX_PREFIXES
    for i in range(1_000):
        parts.sent((f"b{i}", 1), LONG, i)
    assert len(parts) == MAX_REPLICAS


def test_short_parts_are_not_kept(parts):
    parts.sent(("a", 1), SHORT, 0)
    assert len(parts) == 0
