"""Resumption of a job's unfinished items by its next owner."""

import asyncio
import json

import pytest

from dahliashunt.jobs.keys import shard_of
from dahliashunt.jobs.partials import Partial
from dahliashunt.platform.tests.test_jobs import job_body
from dahliashunt.platform.tests.test_jobs import output
from dahliashunt.platform.tests.test_jobs import read
from dahliashunt.platform.tests.test_jobs import read_all
from dahliashunt.platform.tests.test_jobs import ROUTE
from dahliashunt.platform.tests.test_jobs import submit

EVENTS = 40
EVENTS_BEFORE_STALL = 25
"""Events that an item's first owner receives before its replica stalls."""


def partial_rows(p):
    return [name for name in p.store.names() if name[0] == "partials"]


def put_partial(p, job, index, value):
    p.store.put("partials", f"{job}/{index:05d}", value, str(shard_of(job)))


async def start_item(p):
    """Submit a job of one item; return once a partial text is saved."""
    p.replicas[0].then(events=EVENTS, silent_after=EVENTS_BEFORE_STALL)
    assert (await submit(p, body=job_body("a"))).status == 202
    await p.until(lambda: partial_rows(p))
    p.replicas[0].steps.clear()
    p.replicas[0].then(events=EVENTS)


def test_an_item_goes_on_where_a_killed_owner_was(platform):
    # Guards against a next owner that restarts items from their first event.
    async def scenario(p):
        other = await p.add_entry()
        await start_item(p)
        await p.kill(p.entries[0])
        (result,) = await read_all(p, entry=other)
        assert result["output"] == output(EVENTS)
        last = p.replicas[0].arrivals[-1]
        assert last.headers["last-event-id"] == str(EVENTS_BEFORE_STALL)

    platform(scenario, ROUTE)


def test_an_entry_that_leaves_hands_its_jobs_over(platform):
    # Guards against a shutdown that others notice only by a lost heartbeat.
    async def scenario(p):
        leaving, other = p.entries[0], await p.add_entry()
        await start_item(p)
        leave = asyncio.create_task(leaving.leave())
        (result,) = await read_all(p, entry=other)
        assert result["output"] == output(EVENTS)
        last = p.replicas[0].arrivals[-1]
        assert last.headers["last-event-id"] == str(EVENTS_BEFORE_STALL)
        assert not leaving.jobs.unfinished
        await leave

    platform(scenario, ROUTE)


def test_a_leaving_entry_without_the_store_runs_on(platform):
    # Guards against items released while no other entry can take them over.
    async def scenario(p):
        leaving, other = p.entries[0], await p.add_entry()
        replica = p.replicas[0].then(
            events=EVENTS, silent_after=EVENTS_BEFORE_STALL
        )
        assert (await submit(p, body=job_body("a"))).status == 202
        await p.until(lambda: replica.running)
        p.store.trouble.status = 503
        leave = asyncio.create_task(leaving.leave())
        await p.until(lambda: leaving.node.leaving.is_set())
        replica.steps.clear()
        replica.then(events=EVENTS)
        await p.until(lambda: not leaving.jobs.unfinished)
        p.store.trouble.status = None
        (result,) = await read_all(p, entry=other)
        assert result["output"] == output(EVENTS)
        await leave

    platform(scenario, ROUTE)


def test_a_listed_item_is_not_run_again_for_an_older_text(platform):
    # Guards against a late partial text that makes the next owner run or
    # list an already listed item again.
    async def scenario(p):
        replica = p.replicas[0].then(events=2).then(events=2, silent_after=1)
        other = await p.add_entry()
        assert (await submit(p)).status == 202
        first = (await read(p)).json()["results"]
        listed = 0 if first[0]["id"] == "a" else 1
        put_partial(p, "j1", listed, [1, "text 1"])
        await p.until(lambda: len(replica.arrivals) == 2)
        await p.kill(p.entries[0])
        replica.steps.clear()
        replica.then(events=2)
        results = await read_all(p, entry=other)
        assert results[0] == first[0]
        assert [r["output"] for r in results] == [output(2)] * 2

    platform(scenario, ROUTE)


@pytest.mark.parametrize(
    "value",
    [
        "{",
        "[1]",
        '["1", "x"]',
        "[2, 3]",
        '[1, "x", "2"]',
        '[1, "x", 2, "3"]',
        '[1, "x", 2, 3, 4]',
    ],
    ids=str,
)
def test_a_text_that_cannot_be_read_only_costs_a_new_start(platform, value):
    async def scenario(p):
        p.replicas[0].then(events=3, silent_after=1)
        other = await p.add_entry()
        assert (await submit(p, body=job_body("a"))).status == 202
        await p.until(lambda: p.replicas[0].arrivals)
        put_partial(p, "j1", 0, value)
        await p.kill(p.entries[0])
        p.replicas[0].steps.clear()
        p.replicas[0].then(events=3)
        (result,) = await read_all(p, entry=other)
        assert result["output"] == output(3)

    platform(scenario, ROUTE)


def test_what_was_kept_goes_when_its_item_is_listed(platform):
    async def scenario(p):
        await start_item(p)
        await read_all(p)
        assert partial_rows(p) == []

    platform(scenario, ROUTE)


def test_a_store_that_is_away_costs_no_item(platform):
    # Guards against partial texts lost after a failed save.
    async def scenario(p):
        partials = p.entries[0].jobs.partials
        text = Partial("j9", 0, 1, "text")
        p.store.trouble.status = 503
        assert await partials.save([text]) == []
        p.store.trouble.status = None
        assert await partials.save([text]) == [text]
        failed = Partial("j9", 1, 0, "", failures=2)
        assert await partials.save([failed]) == [failed]
        found = await partials.load("j9", 2)
        assert found == {0: text, 1: failed}
        assert json.loads(
            p.store.value("partials", "j9/00000", str(shard_of("j9")))
        ) == [1, "text"]

    platform(scenario, ROUTE)
