"""A planned stop of an entry in calm, with requests late in its grace."""

import asyncio

from dahliashunt.platform.standins.settings import at_most_once_route
from tests.crowds.clients import connect
from tests.crowds.clients import head
from tests.crowds.fleet import JOBS
from tests.crowds.fleet import route

ONCE = at_most_once_route("/once/", 20_000)
GRACE_S = 8
"""Grace of the stand-in's settings."""

LATE_S = 4.5
"""Time after SIGTERM at which the last body is complete."""


async def replies(clients):
    """Return the replies of clients by name, None for a cut request."""
    waits = {
        name: asyncio.create_task(client.reply())
        for name, client in clients.items()
    }
    async with asyncio.timeout(GRACE_S + 5):
        await asyncio.wait(waits.values())
    return {name: wait.result() for name, wait in waits.items()}


def statuses(reply_by_name):
    return {
        name: reply and reply.status for name, reply in reply_by_name.items()
    }


def test_no_request_is_cut_without_an_answer(crowd):
    """Guards against requests that are passed on and cut at the end."""

    async def scenario(fleet):
        fleet.configure([route(), JOBS, ONCE], version=2)
        await asyncio.sleep(0.5)
        clients = {}

        async def send(name, path, budget_ms, size=0):
            clients[name] = await connect(fleet.port)
            await clients[name].send(head(path, size, budget_ms=budget_ms))

        await send("begun", "/a/slow-5", 20_000)
        await asyncio.sleep(0.3)
        fleet.entry.terminate()
        await asyncio.sleep(1)
        await send("once short", "/once/x", 3_000)
        await send("once long", "/once/slow-9", 15_000)
        await send("repeatable", "/a/slow-8", 15_000)
        await send("late once", "/once/slow-6", 15_000, size=4)
        await send("late", "/a/slow-7", 15_000, size=4)
        await asyncio.sleep(LATE_S - 1)
        await clients["late once"].send(b"body")
        await clients["late"].send(b"body")
        found = await replies(clients)
        assert await fleet.entry.ended() == 0
        assert statuses(found) == {
            "begun": 200,
            "once short": 200,
            "once long": 503,
            "repeatable": 502,
            "late once": 503,
            "late": 503,
        }
        for name in ("once long", "late once", "late"):
            assert float(found[name].header_by_name["retry-after"]) > 0
        # What was answered 503 has not run.
        reached = set(fleet.replica.paths)
        assert not {"/once/slow-9", "/once/slow-6", "/a/slow-7"} & reached

    crowd(scenario)
