"""Crowds that submit jobs, or read results and bodies, at an entry."""

import asyncio

from tests.crowds.clients import connect_many
from tests.crowds.clients import send_once
from tests.crowds.clients import send_until_served
from tests.crowds.fleet import BODY_BYTES
from tests.crowds.jobs import job_body
from tests.crowds.jobs import submission

RESULT_CHARACTERS = 200_000


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
