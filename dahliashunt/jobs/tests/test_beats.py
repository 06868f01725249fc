"""Failure detection of job owners by heartbeat rows."""

import asyncio

import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.table.memory import MemoryTableService
from dahliashunt.ids import NodeId
from dahliashunt.jobs.beats import BeatReader
from dahliashunt.jobs.beats import BeatWriter
from dahliashunt.jobs.beats import HEARTBEAT_MS
from dahliashunt.jobs.beats import SILENCE_TIMEOUT_MS
from dahliashunt.jobs.model import Owner

LOG = structlog.get_logger()
OWNER = Owner(NodeId("a"), "first")
WATCHER = Owner(NodeId("b"), "first")


@pytest.fixture
def clock():
    return VirtualClock()


@pytest.fixture
def table():
    return MemoryTableService()


@pytest.fixture
def reader(table, clock):
    return BeatReader(table, WATCHER, clock, LOG)


async def poll_for(reader, clock, span_ms, owners, renew_row=None):
    """Poll once a period for `span_ms`, each time after `renew_row`."""
    for _ in range(span_ms // HEARTBEAT_MS):
        if renew_row is not None:
            await renew_row()
        await reader.poll(owners)
        await clock.advance(HEARTBEAT_MS)


def test_an_owner_that_renews_is_never_gone(table, clock, reader):
    async def main():
        writer = BeatWriter(table, OWNER, LOG)
        await poll_for(reader, clock, 20_000, {OWNER}, writer.renew_row)
        assert not reader.is_gone(OWNER)

    asyncio.run(main())


def test_an_owner_that_stops_is_gone_after_the_term(table, clock, reader):
    async def main():
        writer = BeatWriter(table, OWNER, LOG)
        await poll_for(reader, clock, 3_000, {OWNER}, writer.renew_row)
        await poll_for(reader, clock, 2_000, {OWNER})
        assert not reader.is_gone(OWNER)
        await poll_for(reader, clock, SILENCE_TIMEOUT_MS, {OWNER})
        assert reader.is_gone(OWNER)

    asyncio.run(main())


def test_a_row_that_stood_still_without_jobs_is_no_sign(table, clock, reader):
    # Guards against a takeover from an owner that had no job to renew for.
    async def main():
        writer = BeatWriter(table, OWNER, LOG)
        await writer.renew_row()
        other = Owner(NodeId("c"), "x")
        await poll_for(reader, clock, 10_000, {other})
        await reader.poll({OWNER})
        assert not reader.is_gone(OWNER)

    asyncio.run(main())


def test_another_boot_ends_the_former_life_at_once(table, clock, reader):
    # Guards against a wait for the timeout after a restart of all nodes.
    async def main():
        await BeatWriter(table, OWNER, LOG).renew_row()
        await reader.poll({OWNER})
        await BeatWriter(table, Owner(NodeId("a"), "second"), LOG).renew_row()
        await reader.poll({OWNER})
        assert reader.is_gone(OWNER)
        assert reader.is_gone(Owner(WATCHER.node_id, "before"))

    asyncio.run(main())


def test_an_owner_that_has_left_is_gone_at_once(table, clock, reader):
    # Guards against a wait for the timeout in a rolling restart.
    async def main():
        writer = BeatWriter(table, OWNER, LOG)
        await poll_for(reader, clock, 3_000, {OWNER}, writer.renew_row)
        assert await writer.leave()
        await reader.poll({OWNER})
        assert reader.is_gone(OWNER)

    asyncio.run(main())
