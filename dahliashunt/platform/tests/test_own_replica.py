"""An agent whose replica restarts beside rows of other writers."""

import asyncio
import json
import random

import pytest
import structlog
from structlog.testing import capture_logs

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.platform.operator import REPLICAS_PREFIX
from dahliashunt.platform.own_replica import CHECK_INTERVAL_MS
from dahliashunt.platform.own_replica import CHECKS_AFTER_SIGN_MS
from dahliashunt.platform.own_replica import LATE_ROW_INTERVAL_MS
from dahliashunt.platform.own_replica import OwnReplica
from dahliashunt.platform.standins.settings import replica_fields
from dahliashunt.ports.table import Changes
from dahliashunt.ports.table import Row

ADDRESS = ("10.0.0.1", 80)
ROUND_MS = 2 * sum(CHECKS_AFTER_SIGN_MS)


class Store:
    """List of replicas in memory.

    Attributes
    ----------
    reads : int
        Number of calls of both kinds.
    outage : bool
    """

    def __init__(self):
        self._row_by_key = {}
        self._version = 0
        self.reads = 0
        self.outage = False

    def put(self, name, value):
        self._version += 1
        key = f"{REPLICAS_PREFIX}{name}"
        text = value if isinstance(value, str) else json.dumps(value)
        self._row_by_key[key] = Row(key, text, self._version)

    def drop(self, name):
        del self._row_by_key[f"{REPLICAS_PREFIX}{name}"]

    async def read(self, key):
        self._count()
        return self._row_by_key.get(key)

    async def snapshot(self, prefix):
        self._count()
        rows = tuple(self._row_by_key.values())
        return Changes(rows, (), self._version)

    def _count(self):
        self.reads += 1
        if self.outage:
            raise PlatformUnavailable


@pytest.fixture
def run_watched():
    """Return ``run(scenario)`` with the watched row of the replica i-1."""

    def run(scenario):
        async def main():
            clock, store, restarts = VirtualClock(), Store(), []
            for number, text in enumerate(("[" * 100_000, "", "null")):
                store.put(f"foreign-{number}", text)
            store.put("i-1", replica_fields(ADDRESS, born=1))
            own = OwnReplica(
                store, ADDRESS, clock, random.Random(1), structlog.get_logger()
            )
            assert (await own.find()).replica_id == "i-1"
            task = asyncio.create_task(
                own.watch(lambda *found: restarts.append(found))
            )
            await clock.advance(1)
            try:
                await scenario(own, store, clock, restarts)
            finally:
                task.cancel()

        asyncio.run(main())

    return run


def found(restarts):
    return [(one.replica_id, one.born_ms, since) for one, since in restarts]


def test_a_restart_whose_row_comes_late_is_noticed(run_watched):
    # Guards against an agent that announces the earlier incarnation.
    async def scenario(own, store, clock, restarts):
        own.note_sign()
        sign_ms = clock.now_ms()
        await clock.advance(1_000)
        assert restarts == []
        store.put("i-1", replica_fields(ADDRESS, born=2, slots=4))
        await clock.advance(ROUND_MS)
        assert found(restarts) == [("i-1", 2, sign_ms)]
        assert own.current.slots == 4

    run_watched(scenario)


def test_a_reported_start_precedes_its_row(run_watched):
    # Guards against an agent that announces the earlier incarnation since it
    # started before its replica had written its row: no entry then
    # continued a stream or an item there for up to 45 s.
    async def scenario(own, store, clock, restarts):
        assert own.note_born(2) == 0
        assert own.current.born_ms == 2
        await clock.advance(ROUND_MS + 3 * LATE_ROW_INTERVAL_MS)
        assert own.note_born(2) is None
        assert restarts == []
        store.put("i-2", replica_fields(ADDRESS, born=2, slots=4))
        await clock.advance(2 * LATE_ROW_INTERVAL_MS)
        assert found(restarts) == [("i-2", 2, 0)]
        assert own.current.slots == 4

    run_watched(scenario)


def test_grants_since_the_last_report_before_a_restart_are_kept(run_watched):
    # Guards against holds of the new incarnation that are dropped.
    async def scenario(own, store, clock, restarts):
        assert own.note_born(1) is None
        reported_ms = clock.now_ms()
        await clock.advance(100)
        own.note_sign()
        assert own.note_born(2) == reported_ms
        store.put("i-1", replica_fields(ADDRESS, born=2))
        await clock.advance(ROUND_MS)
        assert found(restarts) == [("i-1", 2, reported_ms)]

    run_watched(scenario)


def test_a_row_without_a_start_leaves_the_reported_one(run_watched):
    # Guards against reads of the list without end beside such a row.
    async def scenario(own, store, clock, restarts):
        store.put("i-1", replica_fields(ADDRESS))
        own.note_born(2)
        await clock.advance(ROUND_MS)
        assert own.current.born_ms == 2
        before = store.reads
        await clock.advance(10 * CHECK_INTERVAL_MS)
        assert store.reads - before <= 20

    run_watched(scenario)


def test_a_report_without_a_start_has_the_row_read_again(run_watched):
    # Guards against the row before a restart, found at the agent's start.
    async def scenario(own, store, clock, restarts):
        assert own.note_born(0) is None
        store.put("i-1", replica_fields(ADDRESS, born=2))
        await clock.advance(ROUND_MS)
        assert own.current.born_ms == 2
        before = store.reads
        for _ in range(50):
            own.note_born(0)
            await clock.advance(100)
        assert store.reads - before <= 1

    run_watched(scenario)


def test_a_new_id_at_the_address_is_noticed(run_watched):
    # Guards against an agent that keeps to the row of an id that has ended.
    async def scenario(own, store, clock, restarts):
        store.put("i-2", replica_fields(ADDRESS, born=2))
        own.note_sign()
        await clock.advance(ROUND_MS)
        assert [one[:2] for one in found(restarts)] == [("i-2", 2)]
        store.drop("i-1")
        store.drop("i-2")
        store.put("i-3", replica_fields(ADDRESS, born=3))
        own.note_sign()
        await clock.advance(ROUND_MS)
        assert own.current.replica_id == "i-3"

    run_watched(scenario)


def test_a_row_that_cannot_be_decoded_is_no_restart(run_watched):
    # Guards against dropping held slots for a row of another writer.
    async def scenario(own, store, clock, restarts):
        store.put("i-1", "[" * 100_000)
        own.note_sign()
        await clock.advance(ROUND_MS)
        store.outage = True
        own.note_sign()
        await clock.advance(ROUND_MS)
        assert restarts == []
        store.outage = False
        store.put("i-1", replica_fields(ADDRESS, born=2))
        await clock.advance(2 * CHECK_INTERVAL_MS)
        assert own.current.born_ms == 2

    run_watched(scenario)


def test_an_agent_rarely_reads_the_store_without_a_sign(run_watched):
    # Guards against store calls that grow with the number of replicas.
    async def scenario(own, store, clock, restarts):
        before = store.reads
        await clock.advance(20 * CHECK_INTERVAL_MS)
        assert store.reads - before <= 40
        before = store.reads
        own.note_sign()
        await clock.advance(ROUND_MS)
        assert store.reads - before <= len(CHECKS_AFTER_SIGN_MS) + 2

    run_watched(scenario)


def test_a_replica_that_is_not_listed_is_named_at_a_bounded_rate():
    """Guards against an agent that waits for ever without a word."""

    async def main():
        clock = VirtualClock()
        own = OwnReplica(
            Store(), ADDRESS, clock, random.Random(1), structlog.get_logger()
        )
        with capture_logs() as lines:
            finding = asyncio.create_task(own.find())
            await clock.advance(4_000)
            assert not lines
            await clock.advance(120_000)
            finding.cancel()
        assert {line["event"] for line in lines} == {"replica_not_listed"}
        assert {line["replica"] for line in lines} == {"10.0.0.1:80"}
        assert 3 <= len(lines) <= 5

    asyncio.run(main())
