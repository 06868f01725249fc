import asyncio
import contextlib

import pytest

from dahliashunt.adapters.table import HttpLimits
from dahliashunt.adapters.table import HttpTableService
from dahliashunt.adapters.table import MemoryTableService
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import Write
from dahliashunt.standins import run_steadily
from dahliashunt.standins import serve_role

SHORT_LIMITS = HttpLimits(connect_ms=200, idle_ms=100, total_ms=500)


@contextlib.asynccontextmanager
async def http_table(**options):
    async with serve_role("table", **options) as standin:
        table = HttpTableService(standin.url, SHORT_LIMITS)
        yield table, standin.app.faults
        await table.close()


@contextlib.asynccontextmanager
async def memory_table():
    table = MemoryTableService()
    yield table, table


@pytest.fixture(params=[http_table, memory_table], ids=["http", "memory"])
def on_table(request):
    """Run a test's coroutine on each table adapter."""

    def run(test):
        async def body():
            async with request.param() as (table, faults):
                await test(table, faults)

        run_steadily(body())

    return run


def test_rows_are_read_back_in_order_of_key(on_table):
    async def test(table, faults):
        writes = tuple(Write(key, key.upper()) for key in "cab")
        assert await table.transact(writes) == (1, 1, 1)
        assert await table.read("a") == Row("a", "A", 1)
        assert await table.read("z") is None
        found = await table.read_range("a", "c", 5)
        assert [row.key for row in found] == ["a", "b"]
        assert len(await table.read_range("a", "z", 2)) == 2

    on_table(test)


def test_versions_count_up_and_deleted_rows_are_absent(on_table):
    async def test(table, faults):
        await table.transact((Write("a", "1", MustBe.ABSENT),))
        assert await table.transact((Write("a", "2", 1),)) == (2,)
        check = Write("a", None, 2, check_only=True)
        assert await table.transact((check, Write("b", "1"))) == (2, 1)
        assert await table.transact((Write("a", None, 2),)) == (0,)
        assert await table.read("a") is None
        await table.transact((Write("a", "3", MustBe.ABSENT),))

    on_table(test)


@pytest.mark.parametrize(
    "write",
    [
        Write("a", "x", MustBe.ABSENT),
        Write("a", "x", 7),
        Write("none", "x", 1),
        Write("none", None, 1, check_only=True),
    ],
)
def test_one_failed_condition_leaves_every_row_as_it_was(on_table, write):
    async def test(table, faults):
        await table.transact((Write("a", "1"),))
        with pytest.raises(TransactionConflict) as caught:
            await table.transact((Write("b", "1"), write))
        assert caught.value.failed == (write.key,)
        assert await table.read("b") is None
        assert await table.read("a") == Row("a", "1", 1)

    on_table(test)


def test_an_outage_has_no_effect(on_table):
    async def test(table, faults):
        faults.outage = True
        for call in (
            table.read("a"),
            table.read_range("a", "b", 1),
            table.transact((Write("a", "1"),)),
        ):
            with pytest.raises(PlatformUnavailable):
                await call
        faults.outage = False
        assert await table.read("a") is None

    on_table(test)


def test_a_lost_answer_leaves_the_outcome_unknown(on_table):
    # Guards against reporting a write that took effect as failed.
    async def test(table, faults):
        faults.drop_answers = 1
        with pytest.raises(WriteOutcomeUnknown):
            await table.transact((Write("a", "1"),))
        assert await table.read("a") == Row("a", "1", 1)
        assert await table.transact((Write("a", "2", 1),)) == (2,)

    on_table(test)


def test_over_its_limit_the_table_refuses_without_effect():
    async def test():
        limits = {"writes_per_s": 0.001, "reads_per_s": 0.001}
        async with http_table(**limits) as (table, _):
            await table.transact((Write("a", "1"),))
            with pytest.raises(PlatformUnavailable):
                await table.transact((Write("a", "2", 1),))
            assert (await table.read("a")).value == "1"
            with pytest.raises(PlatformUnavailable):
                await table.read("a")

    run_steadily(test())


def test_a_table_that_is_gone_is_unavailable():
    async def test():
        async with serve_role("table") as standin:
            url = standin.url
        table = HttpTableService(url, SHORT_LIMITS)
        with pytest.raises(PlatformUnavailable):
            await table.transact((Write("a", "1"),))
        with pytest.raises(PlatformUnavailable):
            await table.read("a")
        await table.close()

    run_steadily(test())


def test_after_a_silence_the_next_call_uses_a_new_connection():
    # Guards against calls that time out one after the other on pooled
    # connections whose state a firewall has dropped.
    async def test():
        async with http_table() as (table, faults):
            calls = [table.read("a") for _ in range(5)]
            await asyncio.gather(*calls)
            faults.set({"silent": True})
            with pytest.raises(PlatformUnavailable):
                await table.read("a")
            assert await table.transact((Write("a", "1"),)) == (1,)
            faults.set({"silent": True})
            with pytest.raises(WriteOutcomeUnknown):
                await table.transact((Write("a", "2", 1),))
            assert await table.read("a") == Row("a", "1", 1)

    run_steadily(test())


def test_a_frozen_table_leaves_reads_unavailable_and_writes_unknown():
    async def test():
        async with http_table() as (table, faults):
            faults.set({"freeze": True})
            with pytest.raises(PlatformUnavailable):
                await table.read("a")
            with pytest.raises(WriteOutcomeUnknown):
                await table.transact((Write("a", "1"),))
            faults.set({"freeze": False})
            assert await table.read("b") is None

    run_steadily(test())


def test_a_race_hook_runs_before_the_conditions():
    async def test():
        table = MemoryTableService()
        table.before_transact = lambda writes: table.rows.transact(
            (Write("a", "other"),)
        )
        with pytest.raises(TransactionConflict):
            await table.transact((Write("a", "1", MustBe.ABSENT),))
        table.before_transact = None
        table.lose_writes = 1
        with pytest.raises(WriteOutcomeUnknown):
            await table.transact((Write("a", "1"),))
        assert (await table.read("a")).value == "other"
        assert (table.transactions, table.conflicts) == (2, 1)

    run_steadily(test())
