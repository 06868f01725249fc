"""Tests of which of a lost request's parts is held back."""

import pytest

from dahliashunt.decisions.prompt_parts import is_held_back
from dahliashunt.decisions.prompt_parts import PartHistory


@pytest.fixture
def history():
    """Return a history of 1,000 requests.

    All have the part "all", half of them "half", ten of them "ten".
    """
    history = PartHistory()
    for number in range(1_000):
        parts = ["all", *["half"][number % 2 :], *["ten"][number % 100 :]]
        history.note_served(number, parts)
    return history


def test_a_part_that_was_never_served_is_held_back(history):
    # Guards against sparing the part that crashes replicas.
    assert is_held_back("bad", ["all"], 0, history)


def test_a_rare_part_beside_a_rarer_one_is_spared(history):
    # Guards against holding back a sound part of a small share, for which
    # no others need to have been served, for the guilty part beside it.
    assert not is_held_back("ten", ["bad"], 1_000, history)
    assert is_held_back("ten", ["all"], 1_000, history)


def test_a_popular_part_with_nothing_beside_it_is_spared(history):
    # Guards against holding back a sound part that racks took with them, in
    # requests that have no other part in common.
    assert not is_held_back("half", [], 4, history)
    assert is_held_back("half", [], 5, history)
