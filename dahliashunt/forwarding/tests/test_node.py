"""Tests of a node that has just started, with and without the store."""

import asyncio
import random

import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.decisions.retry_delay import OUTAGE_RETRY_BOUNDS_MS
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.catalog import Catalog
from dahliashunt.forwarding.catalog import IngressLimits
from dahliashunt.forwarding.node import FIRST_READ_MS
from dahliashunt.forwarding.node import Node
from dahliashunt.metrics import Metrics

EMPTY = Catalog(1, (), (), IngressLimits())
LIMIT_S = 10


@pytest.fixture
def clock():
    return VirtualClock()


@pytest.fixture
def node(clock):
    log = structlog.get_logger()
    return Node(clock, random.Random(1), Metrics("n"), log, registry=None)


def retry_ms(node):
    with pytest.raises(RequestError) as caught:
        node.route("h", "/a/")
    assert caught.value.kind is ErrorKind.STORE_UNAVAILABLE
    return caught.value.retry_after_ms


def test_a_request_waits_for_the_first_configuration(node):
    # Guards against refusals between an entry's start and its first read.
    async def main():
        asyncio.get_running_loop().call_later(0.01, node.adopt, EMPTY)
        async with asyncio.timeout(LIMIT_S):
            await node.wait_until_configured()
        assert node.catalog is EMPTY

    asyncio.run(main())


def test_without_the_store_requests_do_not_wait_longer(node, clock):
    async def main():
        await clock.advance(FIRST_READ_MS)
        async with asyncio.timeout(LIMIT_S):
            await node.wait_until_configured()

    asyncio.run(main())
    assert node.catalog is None


def test_retry_after_grows_with_the_outage(node, clock):
    # Guards against callers that use up their retries in an outage.
    least_ms, most_ms = OUTAGE_RETRY_BOUNDS_MS
    assert retry_ms(node) == least_ms
    asyncio.run(clock.advance(1_000))
    assert least_ms < retry_ms(node) < most_ms
    asyncio.run(clock.advance(4_000))
    assert retry_ms(node) == most_ms
