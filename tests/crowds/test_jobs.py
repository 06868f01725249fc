"""Crowds that submit jobs, or read results and bodies, at an entry."""

import asyncio
import base64
import json

import structlog

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.ids import NodeId
from dahliashunt.jobs.ledger import Finished
from dahliashunt.jobs.ledger import JobLedger
from dahliashunt.jobs.model import Outcome
from dahliashunt.jobs.model import Owner
from dahliashunt.jobs.view import JobView
from dahliashunt.metrics import Metrics
from dahliashunt.platform.standins.caller import body_target
from dahliashunt.platform.standins.caller import results_target
from dahliashunt.platform.store import PlatformStore
from tests.crowds.clients import connect_many
from tests.crowds.clients import head
from tests.crowds.clients import is_served
from tests.crowds.clients import send_once
from tests.crowds.clients import send_until_served
from tests.crowds.fleet import BODY_BYTES
from tests.crowds.jobs import ITEMS
from tests.crowds.jobs import job_body
from tests.crowds.jobs import submission

RESULT_CHARACTERS = 200_000


async def crowd_reads(fleet, target, count):
    """Request `target` on many connections; read no answer."""
    clients = await connect_many(fleet.port, count, receive_bytes=4_096)
    for client in clients:
        await client.send(head(target, method="GET"))
    await asyncio.sleep(2)
    return clients


def test_a_submission_of_many_values_is_not_parsed(crowd):
    """Guards against JSON that takes many times its bytes once parsed."""

    async def scenario(fleet):
        values = b",".join([b"[]"] * ((BODY_BYTES - 1_000) // 3))
        body = b'{"requests":[' + values + b"]}"
        reply = await send_once(fleet.port, submission("hostile", body))
        assert reply is None or 400 <= reply.status < 600
        assert await fleet.serves()
        fleet.check()

    crowd(scenario)


def test_large_submissions_at_once_are_bounded(crowd):
    """Guards against jobs whose bodies and parsed items sum up."""

    async def scenario(fleet):
        body = job_body(BODY_BYTES - 50_000)
        clients = await connect_many(fleet.port, 24)
        sending = [
            asyncio.create_task(each.send(submission(f"j{number}", body)))
            for number, each in enumerate(clients)
        ]
        await asyncio.wait(sending, timeout=15)
        await asyncio.sleep(1)
        for task in sending:
            task.cancel()
        assert await fleet.serves()
        small = job_body(20_000)
        await send_until_served(fleet.port, submission("small", small))
        fleet.check()
        await fleet.check_without(clients)

    crowd(scenario)


def test_accepted_jobs_are_bounded(crowd):
    """Guards against large jobs that wait at their owner in memory."""

    async def scenario(fleet):
        body = job_body(BODY_BYTES - 50_000)
        for number in range(30):
            request = submission(f"j{number}", body)
            reply = await send_once(fleet.port, request)
            assert reply.status in (202, 429, 503)
        await asyncio.sleep(2)
        assert await fleet.serves()
        small = job_body(20_000, path="/j/done")
        await send_until_served(fleet.port, submission("small", small))
        fleet.check()

    crowd(scenario)


def test_bodies_of_items_read_at_once_are_bounded(crowd):
    """Guards against reads that each load the whole job."""

    async def scenario(fleet):
        body = job_body(BODY_BYTES - 50_000)
        await send_until_served(fleet.port, submission("large", body))
        clients = await crowd_reads(fleet, body_target("large", "i1"), 80)
        assert await fleet.serves()
        fleet.check()
        target = head(body_target("large", "i1"), method="GET")
        reply = await send_until_served(fleet.port, target)
        sent = json.loads(body)["requests"][1]["body"]
        assert reply.body == base64.b64decode(sent)
        await fleet.check_without(clients)

    crowd(scenario)


async def list_results(fleet, job_id):
    """List a long result for the items of a job, as their owner does."""
    clock, log = SystemClock(), structlog.get_logger()
    store = PlatformStore(
        fleet.store_address, ConnectionPool(clock), clock, Metrics("other")
    )
    owner = Owner(NodeId("other"), "1")
    ledger = JobLedger(store, store, JobView(log), owner, log)
    job = await ledger.find(job_id)
    await ledger.refresh_progress(job)
    assert await ledger.take_over(job)
    text = "x" * RESULT_CHARACTERS
    for index in range(ITEMS // 10):
        finished = [Finished(index, Outcome.DONE, text)]
        assert await ledger.list_results(job, finished)


def test_pages_of_results_read_at_once_are_bounded(crowd):
    """Guards against pages that nobody reads, each as long as it may be."""

    async def scenario(fleet):
        body = job_body(20_000)
        await send_until_served(fleet.port, submission("done", body))
        await list_results(fleet, "done")
        clients = await crowd_reads(fleet, results_target("done", 0), 400)
        assert await fleet.serves()
        fleet.check()
        target = head(results_target("done", 0), method="GET")
        reply = await send_until_served(fleet.port, target)
        results = json.loads(reply.body)["results"]
        assert results[0]["output"] == "x" * RESULT_CHARACTERS
        assert is_served(reply)
        await fleet.check_without(clients)

    crowd(scenario)
