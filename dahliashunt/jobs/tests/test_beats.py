"""Failure detection of job owners by heartbeat rows."""

import asyncio

import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.table.memory import MemoryTableService
from dahliashunt.errors import PlatformUnavailable
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


class FailingTable:
    """A table whose reads fail at every third poll."""

    def __init__(self, table):
        self._table = table
        self._polls = 0

    async def read_range(self, start, end, limit):
        self._polls += 1
        if self._polls % 3 == 0:
            raise PlatformUnavailable("reset")
        return await self._table.read_range(start, end, limit)


def test_single_failed_polls_do_not_hide_that_an_owner_is_gone(table, clock):
    # Guards against jobs that nobody takes over, since each reset connection
    # begins their owner's timeout anew.
    async def main():
        reader = BeatReader(FailingTable(table), WATCHER, clock, LOG)
        await BeatWriter(table, OWNER, LOG).renew_row()
        await poll_for(reader, clock, 4 * SILENCE_TIMEOUT_MS, {OWNER})
        await reader.poll({OWNER})
        if not reader.is_gone(OWNER):
            await reader.poll({OWNER})
        assert reader.is_gone(OWNER)

    asyncio.run(main())


def test_an_owner_that_renews_is_not_gone_beside_failed_polls(table, clock):
    # Guards against a takeover from an owner that could not renew its row
    # for as long as the table was away.
    async def main():
        reader = BeatReader(FailingTable(table), WATCHER, clock, LOG)
        writer = BeatWriter(table, OWNER, LOG)
        await poll_for(reader, clock, 10_000, {OWNER}, writer.renew_row)
        away = FailingTable(table)
        away.read_range = _refuse
        reader._table = away
        await poll_for(reader, clock, 20_000, {OWNER})
        reader._table = table
        await poll_for(reader, clock, 2_000, {OWNER})
        assert not reader.is_gone(OWNER)
        await poll_for(reader, clock, 10_000, {OWNER}, writer.renew_row)
        assert not reader.is_gone(OWNER)

    asyncio.run(main())


async def _refuse(start, end, limit):
    raise PlatformUnavailable("away")
