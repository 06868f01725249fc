"""Who is taken for gone, and when."""

import asyncio

import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.table.memory import MemoryTableService
from dahliashunt.ids import NodeId
from dahliashunt.jobs.beats import BEAT_MS
from dahliashunt.jobs.beats import BeatReader
from dahliashunt.jobs.beats import BeatWriter
from dahliashunt.jobs.beats import TERM_MS
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


async def look_for(reader, clock, span_ms, owners, beat=None):
    """Look once a period for `span_ms`, renewing by `beat` before."""
    for _ in range(span_ms // BEAT_MS):
        if beat is not None:
            await beat()
        await reader.look(owners)
        await clock.advance(BEAT_MS)


def test_an_owner_that_renews_is_never_gone(table, clock, reader):
    async def main():
        writer = BeatWriter(table, OWNER, LOG)
        await look_for(reader, clock, 20_000, {OWNER}, writer.beat)
        assert not reader.is_gone(OWNER)

    asyncio.run(main())


def test_an_owner_that_stops_is_gone_after_the_term(table, clock, reader):
    async def main():
        writer = BeatWriter(table, OWNER, LOG)
        await look_for(reader, clock, 3_000, {OWNER}, writer.beat)
        await look_for(reader, clock, 2_000, {OWNER})
        assert not reader.is_gone(OWNER)
        await look_for(reader, clock, TERM_MS, {OWNER})
        assert reader.is_gone(OWNER)

    asyncio.run(main())


def test_a_row_that_stood_still_without_jobs_is_no_sign(table, clock, reader):
    # A job is run by one node after the other, a takeover every half
    # second, and its items are due before any ends. The owner wrote its
    # row at its start and had no job for ten seconds; when it accepts one
    # the others see a row that was unchanged for longer than the term.
    async def main():
        writer = BeatWriter(table, OWNER, LOG)
        await writer.beat()
        other = Owner(NodeId("c"), "x")
        await look_for(reader, clock, 10_000, {other})
        await reader.look({OWNER})
        assert not reader.is_gone(OWNER)

    asyncio.run(main())


def test_another_boot_ends_the_former_life_at_once(table, clock, reader):
    # All processes are killed and restarted: jobs of the lives before
    # must not wait for a term.
    async def main():
        await BeatWriter(table, OWNER, LOG).beat()
        await reader.look({OWNER})
        await BeatWriter(table, Owner(NodeId("a"), "second"), LOG).beat()
        await reader.look({OWNER})
        assert reader.is_gone(OWNER)
        assert reader.is_gone(Owner(WATCHER.node_id, "before"))

    asyncio.run(main())


def test_an_owner_that_has_left_is_gone_at_once(table, clock, reader):
    # Machines are restarted one after the other. Their jobs waited for the
    # term, though each of them knew that it was leaving.
    async def main():
        writer = BeatWriter(table, OWNER, LOG)
        await look_for(reader, clock, 3_000, {OWNER}, writer.beat)
        assert await writer.leave()
        await reader.look({OWNER})
        assert reader.is_gone(OWNER)

    asyncio.run(main())
