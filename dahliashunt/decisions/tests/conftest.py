"""Fixtures for tests of the entry's decisions."""

import random

import pytest

from dahliashunt.decisions.entry import EntryDecisions
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.events import EndpointInfo
from dahliashunt.decisions.events import OnlineRequest


@pytest.fixture
def make_request():
    """Return a factory of requests named r1, r2..."""
    count = 0

    def make(**fields):
        nonlocal count
        count += 1
        defaults = {
            "request_id": f"r{count}",
            "caller": "c",
            "model": "m",
            "prompt_tokens": 100,
            "max_tokens": 100,
            "prefix_keys": (),
            "first_token_by_ms": 1_000,
            "may_repeat": True,
            "fingerprint": f"f{count}",
        }
        return OnlineRequest(**(defaults | fields))

    return make


@pytest.fixture
def make_entry():
    """Return a factory of entries in data centre a."""

    def make(endpoints=("a1", "a2", "b1"), **settings):
        policy = EntryPolicy(**({"default_service_ms": 400} | settings))
        entry = EntryDecisions(policy, random.Random(1), "a")
        for name in endpoints:
            info = EndpointInfo(name, name[0], frozenset({"m"}))
            assert entry.endpoint_up(0, info) == []
        return entry

    return make
