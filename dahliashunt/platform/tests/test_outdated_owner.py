"""Jobs at an owner whose configuration is older than their routes."""

import asyncio
import json

import pytest

from dahliashunt.platform.operator import decode_catalog
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.tests.test_jobs import job_body
from dahliashunt.platform.tests.test_jobs import output
from dahliashunt.platform.tests.test_jobs import read_all
from dahliashunt.platform.tests.test_jobs import ROUTE
from dahliashunt.platform.tests.test_jobs import submit

ONLINE = route_fields(name="online", prefix="/a/")
UNREADABLE = {**ROUTE, "max-attempts": "many"}
READS_S = 2.5
"""Time in which two reads of the configuration begin and end."""

HIDDEN = {**UNREADABLE, "name": 7}


async def hand_over(p, other):
    """Stop the job's owner; return once `other` runs the job.

    The replica stalled the items of the first owner, and serves from now on.
    """
    first = p.entries[0]
    await first.jobs.hand_over(0)
    await p.kill(first)
    await p.until(lambda: other.jobs.worker.job_run("j1"))
    p.replicas[0].steps.clear()
    p.replicas[0].then(events=2)


async def accept_on_new_route(p, unreadable=False):
    """Let the first entry alone learn a route, and accept a job on it."""
    other = await p.add_entry()
    first = p.entries[0]
    config = config_fields((ONLINE, ROUTE), version=2, engine=False)
    if unreadable:
        p.store.configure("{")
    else:
        p.store.trouble.silent_feed_of = "op"
        p.store.configure(config)
    first.node.adopt(decode_catalog(json.dumps(config)))
    assert (await submit(p)).status == 202
    return other


@pytest.mark.parametrize("unreadable", [False, True])
def test_a_job_on_a_route_that_its_next_owner_has_not_read_is_done(
    platform, unreadable
):
    # Guards against items listed as dead because a stale copy of the
    # configuration lacks their route, or the newer one can't be decoded.
    async def scenario(p):
        p.replicas[0].then(events=1, silent_after=0)
        other = await accept_on_new_route(p, unreadable)
        await hand_over(p, other)
        await asyncio.sleep(READS_S)
        assert not other.jobs.view.progress(other.jobs.view.job("j1")).listed
        p.store.trouble.silent_feed_of = ""
        p.store.configure(config_fields((ONLINE, ROUTE), 3, engine=False))
        results = await read_all(p, entry=other)
        assert [each["output"] for each in results] == [output(2)] * 2

    platform(scenario, ONLINE)


def test_a_job_waits_for_the_first_configuration_of_its_next_owner(platform):
    # Guards against a job that fails at a node without any configuration.
    async def scenario(p):
        p.replicas[0].then(events=1, silent_after=0)
        assert (await submit(p)).status == 202
        p.store.trouble.refuse_reads_of = "op"
        other = await p.add_entry(wait=False)
        await hand_over(p, other)
        await asyncio.sleep(0.5)
        assert other.jobs.worker.restarts == 0
        p.store.trouble.refuse_reads_of = ""
        await p.until(lambda: other.node.ready)
        results = await read_all(p, entry=other)
        assert [each["output"] for each in results] == [output(2)] * 2

    platform(scenario, ROUTE)


@pytest.mark.parametrize("unreadable", [UNREADABLE, HIDDEN])
def test_a_job_waits_while_its_route_cannot_be_read(platform, unreadable):
    # Guards against a time limit of 0 ms for the items of a job whose owner
    # starts it while the route can't be decoded.
    async def scenario(p):
        p.replicas[0].then(events=1, silent_after=0)
        other = await p.add_entry()
        assert (await submit(p)).status == 202
        p.store.configure(config_fields([unreadable], 2, engine=False))
        await p.until(lambda: other.node.catalog.revision == 2)
        await hand_over(p, other)
        await asyncio.sleep(0.5)
        p.store.configure(config_fields([ROUTE], 3, engine=False))
        results = await read_all(p, entry=other)
        assert [each["output"] for each in results] == [output(2)] * 2

    platform(scenario, ROUTE)


def test_a_failed_item_keeps_its_attempts_while_its_route_is_unreadable(
    platform,
):
    # Guards against one failure being taken for all attempts of a route.
    async def scenario(p):
        p.replicas[0].then(status=500, body=b"no", head_ms=300).then(events=2)
        assert (await submit(p, body=job_body("a"))).status == 202
        await p.until(lambda: p.replicas[0].arrivals)
        p.store.configure(config_fields([UNREADABLE], 2, engine=False))
        await asyncio.sleep(1)
        p.store.configure(config_fields([ROUTE], 3, engine=False))
        (result,) = await read_all(p)
        assert result["output"] == output(2)

    platform(scenario, ROUTE)


def test_a_job_whose_route_was_removed_ends(platform):
    # Guards against a wait without end for a route that is gone.
    async def scenario(p):
        p.replicas[0].then(events=1, silent_after=0)
        other = await p.add_entry()
        assert (await submit(p)).status == 202
        p.store.configure(config_fields([ONLINE], 2, engine=False))
        await p.until(lambda: other.node.catalog.revision == 2)
        await hand_over(p, other)
        results = await read_all(p, entry=other)
        assert [each["state"] for each in results] == ["dead"] * 2

    platform(scenario, ROUTE)
