"""Concurrent owners of one job, and writes with unknown outcomes."""

import asyncio

import pytest
import structlog

from dahliashunt.adapters.objects.memory import MemoryObjectStore
from dahliashunt.adapters.table.memory import MemoryTableService
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.ids import JobId
from dahliashunt.ids import NodeId
from dahliashunt.jobs import Item
from dahliashunt.jobs import Job
from dahliashunt.jobs import JobLedger
from dahliashunt.jobs import JobState
from dahliashunt.jobs import JobView
from dahliashunt.jobs import Outcome
from dahliashunt.jobs import Owner
from dahliashunt.jobs.ledger import Finished
from dahliashunt.jobs.ledger import OwnershipLost

MAX_ROW_BYTES = 65_536
MAX_TRANSACTION_BYTES = 1_000_000
"""Limits of the store; rows are sent in base64."""

LOG = structlog.get_logger()
FIRST = Owner(NodeId("a"), "1")
SECOND = Owner(NodeId("b"), "1")
JOB = Job(
    job_id=JobId("j"),
    route="r",
    host="h",
    items=(Item("x", 10), Item("y", 20)),
    payload="object",
    accepted_ms=0,
    accepted_by=FIRST,
)


@pytest.fixture
def table():
    return MemoryTableService()


@pytest.fixture
def objects():
    return MemoryObjectStore()


@pytest.fixture
def make_ledger(table, objects):
    """Return a function that makes an owner's ledger with its own view."""
    return lambda owner: JobLedger(table, objects, JobView(LOG), owner, LOG)


def done(index, text="text"):
    return Finished(index, Outcome.DONE, text)


async def results(ledger):
    job = await ledger.find(JOB.job_id, fresh=True)
    await ledger.refresh_progress(job)
    return [(r.item_id, r.text) for r in await ledger.results(job, 0)]


def test_a_former_owner_hands_in_what_it_had_done(make_ledger):
    # Guards against an item that two nodes finish and list twice.
    async def main():
        old, new = make_ledger(FIRST), make_ledger(SECOND)
        await old.accept(JOB, b"payload", 0)
        await new.find(JOB.job_id)
        assert await new.take_over(JOB)
        await new.list_results(JOB, [done(0, "new")])
        both = [done(0, "old"), done(1, "old")]
        with pytest.raises(PlatformUnavailable):
            await old.list_as_former_owner(JOB, both)
        await old.list_as_former_owner(JOB, both)
        with pytest.raises(PlatformUnavailable):
            await new.list_results(JOB, [done(1, "new")])
        await new.list_results(JOB, [done(1, "new")])
        assert await results(new) == [("x", "new"), ("y", "old")]

    asyncio.run(main())


def test_a_replaced_owner_lists_nothing(make_ledger):
    # Guards against an item listed twice after an owner was suspended.
    async def main():
        old, new = make_ledger(FIRST), make_ledger(SECOND)
        await old.accept(JOB, b"payload", 0)
        await new.find(JOB.job_id)
        assert await new.take_over(JOB)
        await new.list_results(JOB, [done(0, "new")])
        with pytest.raises(PlatformUnavailable):
            await old.list_results(JOB, [done(0, "old"), done(1, "old")])
        with pytest.raises(OwnershipLost):
            await old.list_results(JOB, [done(0, "old"), done(1, "old")])
        assert await results(new) == [("x", "new")]

    asyncio.run(main())


def test_of_two_takers_one_gets_the_job(make_ledger):
    async def main():
        await make_ledger(FIRST).accept(JOB, b"payload", 0)
        takers = [make_ledger(SECOND), make_ledger(Owner(NodeId("c"), "1"))]
        for taker in takers:
            await taker.find(JOB.job_id)
        taken = [await taker.take_over(JOB) for taker in takers]
        assert taken == [True, False]

    asyncio.run(main())


@pytest.mark.parametrize("applied", [True, False])
def test_a_listing_without_answer_is_listed_once(make_ledger, table, applied):
    async def main():
        ledger = make_ledger(FIRST)
        await ledger.accept(JOB, b"payload", 0)
        if applied:
            table.drop_answers = 1
        else:
            table.lose_writes = 1
        with pytest.raises(PlatformUnavailable):
            await ledger.list_results(JOB, [done(0)])
        await ledger.list_results(JOB, [done(0), done(1)])
        assert await results(ledger) == [("x", "text"), ("y", "text")]

    asyncio.run(main())


def test_a_long_text_comes_back_whole(make_ledger):
    async def main():
        ledger = make_ledger(FIRST)
        await ledger.accept(JOB, b"payload", 0)
        text = "".join(chr(0x100 + n % 5000) for n in range(100_000))
        await ledger.list_results(JOB, [done(1, text), done(0, "")])
        assert await results(ledger) == [("y", text), ("x", "")]

    asyncio.run(main())


@pytest.mark.parametrize("character", ["a", "\u0101", "\x01", "\U0001f33a"])
def test_results_fit_the_stores_limits(make_ledger, table, character):
    """Guards against results that the store refuses and nobody can list."""

    def check(writes):
        sizes = [len((write.value or "").encode()) for write in writes]
        assert max(sizes) <= MAX_ROW_BYTES
        assert sum(sizes) * 4 / 3 <= MAX_TRANSACTION_BYTES

    async def main():
        ledger = make_ledger(FIRST)
        await ledger.accept(JOB, b"payload", 0)
        table.before_transact = check
        text = character * 100_000
        finished = [done(0, text), done(1, text)]
        listed = await ledger.list_results(JOB, finished)
        if listed < len(finished):
            await ledger.list_results(JOB, finished)
        assert await results(ledger) == [("x", text), ("y", text)]

    asyncio.run(main())


def limit_transactions(table):
    """Refuse what exceeds the limits of the store."""

    def check(writes):
        sizes = [len((write.value or "").encode()) for write in writes]
        if sum(sizes) * 4 / 3 > MAX_TRANSACTION_BYTES or len(writes) > 100:
            raise PlatformUnavailable("the transaction is too large")

    table.before_transact = check


@pytest.mark.parametrize("character", "a\x01\u20ac\U0001f600")
def test_a_result_larger_than_a_transaction_is_listed(
    make_ledger, table, character
):
    # Guards against a long result that is never listed, and that holds up
    # all other results of its job.
    async def main():
        ledger = make_ledger(FIRST)
        await ledger.accept(JOB, b"payload", 0)
        limit_transactions(table)
        text = character * 1_048_576
        finished = [done(0, text), done(1)]
        assert await ledger.list_results(JOB, finished) == 1
        assert await ledger.list_results(JOB, finished) == 1
        job = await ledger.find(JOB.job_id, fresh=True)
        (short,) = await ledger.results(job, 0)
        (long,) = await ledger.results(job, 1)
        assert (short.item_id, short.text) == ("y", "text")
        assert (long.item_id, long.text) == ("x", text)

    asyncio.run(main())


@pytest.mark.parametrize("kept", range(1, 4))
def test_a_long_result_that_was_written_in_part_is_overwritten(
    make_ledger, table, kept
):
    # Guards against pieces of an owner that ended in another result's text.
    async def main():
        old, new = make_ledger(FIRST), make_ledger(SECOND)
        await old.accept(JOB, b"payload", 0)
        await new.find(JOB.job_id)
        limit_transactions(table)
        check, left = table.before_transact, [kept]

        def end_later(writes):
            check(writes)
            left[0] -= 1
            if left[0] < 0:
                raise PlatformUnavailable("the owner ends here")

        table.before_transact = end_later
        with pytest.raises(PlatformUnavailable):
            await old.list_results(JOB, [done(0, "\x01" * 1_048_576)])
        table.before_transact = check
        await new.refresh_progress(JOB)
        assert await new.take_over(JOB)
        with pytest.raises(PlatformUnavailable):
            await old.list_as_former_owner(JOB, [done(0, "a" * 1_048_576)])
        await new.list_results(JOB, [done(1, "new")])
        await new.list_results(JOB, [done(0, "text")])
        assert await results(new) == [("y", "new"), ("x", "text")]

    asyncio.run(main())


def test_an_acceptance_without_trace_is_never_called_not_run(
    make_ledger, table
):
    # Guards against "not run" for a transaction that may still be applied.
    async def main():
        ledger = make_ledger(FIRST)
        table.lose_writes = 1
        with pytest.raises(RequestError) as raised:
            await ledger.accept(JOB, b"payload", 0)
        assert raised.value.ran is Ran.UNKNOWN

    asyncio.run(main())


def test_an_acceptance_whose_answer_was_lost_stands(make_ledger, table):
    async def main():
        ledger = make_ledger(FIRST)
        table.drop_answers = 1
        await ledger.accept(JOB, b"payload", 0)
        assert await make_ledger(SECOND).find(JOB.job_id) == JOB

    asyncio.run(main())


def test_ending_twice_frees_the_tokens_once(make_ledger):
    async def main():
        ledger = make_ledger(FIRST)
        await ledger.accept(JOB, b"payload", 30)
        for _ in range(2):
            assert await ledger.set_state(JOB.job_id, JobState.ENDED)
        await ledger.accept(_other("k"), b"payload", 30)
        with pytest.raises(RequestError):
            await ledger.accept(_other("l"), b"payload", 30)
        assert not await ledger.set_state(JobId("none"), JobState.ENDED)

    asyncio.run(main())


def _other(name):
    fields = {f: getattr(JOB, f) for f in Job.__slots__}
    return Job(**{**fields, "job_id": JobId(name)})


def test_a_conflict_that_cannot_be_resolved_promises_nothing(
    make_ledger, table, monkeypatch
):
    """Guards against "not run" for a job that its other copy has accepted."""
    transact, ledger = table.transact, make_ledger(SECOND)

    async def read_nothing(key, ran):
        raise RequestError(ErrorKind.STORE_UNAVAILABLE, "", ran=ran)

    async def transact_after_the_other_copy(writes):
        monkeypatch.setattr(table, "transact", transact)
        await make_ledger(FIRST).accept(JOB, b"payload", 0)
        monkeypatch.setattr(ledger, "_read", read_nothing)
        return await transact(writes)

    async def main():
        with pytest.raises(RequestError) as refusal:
            await ledger.accept(JOB, b"payload", 0)
        assert refusal.value.ran is Ran.UNKNOWN

    monkeypatch.setattr(table, "transact", transact_after_the_other_copy)
    asyncio.run(main())
