"""Rows of jobs that other programs wrote."""

import asyncio
import contextlib
import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.objects.memory import MemoryObjectStore
from dahliashunt.adapters.table.memory import MemoryTableService
from dahliashunt.errors import RequestError
from dahliashunt.ids import JobId
from dahliashunt.ids import NodeId
from dahliashunt.jobs import Item
from dahliashunt.jobs import Job
from dahliashunt.jobs import JobLedger
from dahliashunt.jobs import JobView
from dahliashunt.jobs import Outcome
from dahliashunt.jobs import Owner
from dahliashunt.jobs.beats import BeatReader
from dahliashunt.jobs.beats import SILENCE_TIMEOUT_MS
from dahliashunt.jobs.keys import job_key
from dahliashunt.jobs.keys import partial_key
from dahliashunt.jobs.keys import progress_key
from dahliashunt.jobs.keys import quota_key
from dahliashunt.jobs.keys import result_key
from dahliashunt.jobs.ledger import Finished
from dahliashunt.jobs.model import decode_job
from dahliashunt.jobs.model import decode_progress
from dahliashunt.jobs.model import encode_job
from dahliashunt.jobs.model import encode_progress
from dahliashunt.jobs.model import ListedResult
from dahliashunt.jobs.model import Progress
from dahliashunt.jobs.model import UnreadableRow
from dahliashunt.jobs.partials import PartialTexts
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import Write

LOG = structlog.get_logger()
OWNER = Owner(NodeId("a"), "first")
JOB = Job(JobId("j"), "r", "h", (Item("x", 10),), "object", 0, OWNER)
PROGRESS = Progress(OWNER, (ListedResult(0, Outcome.DONE, 1, 4),))
STEADY = settings(derandomize=True, deadline=None, max_examples=200)

DEEP = "[" * 100_000
BROKEN = ["", DEEP, "null", "{}", "[]", "[NaN, NaN]", '[{"a": []}, 1]']
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=4)
    | st.sampled_from([10**400, "\ud800", "open", "done", [["i", 1]]])
)
ANY_JSON = st.recursive(
    LEAVES, lambda inner: st.lists(inner, max_size=4), max_leaves=5
)


@st.composite
def damaged(draw, text):
    """Draw the JSON in `text` with one field replaced."""
    fields = json.loads(text)
    name = draw(st.sampled_from(sorted(fields)))
    return json.dumps({**fields, name: draw(ANY_JSON)})


@STEADY
@given(st.text() | damaged(encode_job(JOB)))
def test_any_row_of_a_job_is_applied_or_skipped(text):
    # Guards against an error that ends the follower of the jobs.
    with contextlib.suppress(UnreadableRow):
        job = decode_job(text)
        view = JobView(LOG)
        view.changed(Row(job_key(job.job_id), text, 1))
        assert view.finished_tokens(job.route, job.workspace) == 0


@STEADY
@given(st.text() | damaged(encode_progress(PROGRESS)))
def test_any_row_of_progress_is_applied_or_skipped(text):
    # Guards against an error that ends the follower of the progress.
    with contextlib.suppress(UnreadableRow):
        progress = decode_progress(text)
        view = JobView(LOG)
        view.update_job(JOB, 1)
        view.changed(Row(progress_key(JOB.job_id), text, 1))
        assert view.progress(JOB) == progress
        assert view.finished_tokens(JOB.route, JOB.workspace) >= 0


@pytest.mark.parametrize("text", BROKEN)
def test_broken_rows_do_not_end_the_view(text):
    # Guards against a RecursionError that is no `UnreadableRow`.
    view = JobView(LOG)
    for key in (job_key(JOB.job_id), progress_key(JOB.job_id)):
        view.changed(Row(key, text, 1))
    assert view.jobs() == []


def test_a_row_under_another_jobs_key_changes_nothing():
    # Guards against a row that replaces a job by its newer version.
    view = JobView(LOG)
    view.update_job(JOB, 1)
    view.changed(Row("jobs//other", encode_job(JOB), 9))
    assert view.job_by_id[JOB.job_id].version == 1


@pytest.mark.parametrize("text", BROKEN)
def test_a_broken_heartbeat_neither_renews_nor_ends_an_owner(text):
    # Guards against an error that ends the search for lost owners.
    async def main():
        table, clock = MemoryTableService(), VirtualClock()
        watcher = Owner(NodeId("b"), "first")
        reader = BeatReader(table, watcher, clock, LOG)
        await table.transact((Write("beats//a", text),))
        await reader.poll({OWNER})
        assert not reader.is_gone(OWNER)
        assert reader.owners == 0
        await clock.advance(SILENCE_TIMEOUT_MS + 1)
        await reader.poll({OWNER})
        assert reader.is_gone(OWNER)

    asyncio.run(main())


@pytest.mark.parametrize("text", [*BROKEN, '[1, "\\ud800"]', "[-1, 2]"])
def test_a_broken_partial_text_is_left_out(text):
    # Guards against a row that ends its job's owner, or can't be saved again.
    async def main():
        table = MemoryTableService()
        texts = ((0, text), (1, '[3, "abc"]'))
        for index, value in texts:
            await table.transact((Write(partial_key("j", index), value),))
        found = await PartialTexts(table, LOG).load(JobId("j"), 9)
        assert found.keys() == {1}

    asyncio.run(main())


@pytest.mark.parametrize("text", BROKEN)
def test_broken_rows_of_the_ledger_are_told_apart_from_faults(text):
    # Guards against errors of other types in requests and in the owner.
    async def main():
        table, objects = MemoryTableService(), MemoryObjectStore()
        ledger = JobLedger(table, objects, JobView(LOG), OWNER, LOG)
        await table.transact((Write(quota_key("r", ""), text),))
        assert await ledger.accept(JOB, b"payload", 100)
        await ledger.list_results(JOB, [Finished(0, Outcome.DONE, "text")])
        foreign = Write(result_key("j", 0, 0) + "-x", text)
        await table.transact((foreign,))
        (result,) = await ledger.results(JOB, 0)
        assert result.text == "text"
        for key in (result_key("j", 0, 0), job_key("j"), progress_key("j")):
            await table.transact((Write(key, text),))
        with pytest.raises(RequestError):
            await ledger.results(JOB, 0)
        with pytest.raises(RequestError):
            await ledger.find(JOB.job_id, fresh=True)
        with pytest.raises(RequestError):
            await ledger.refresh_progress(JOB)

    asyncio.run(main())
