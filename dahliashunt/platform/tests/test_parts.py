"""Tests of prompt parts that crash each replica that runs them."""

import asyncio

from dahliashunt.decisions.loss_counts import MAX_LOSSES
from dahliashunt.platform.standins.caller import decode_page
from dahliashunt.platform.standins.caller import encode_job
from dahliashunt.platform.standins.caller import JobItem
from dahliashunt.platform.standins.caller import results_target
from dahliashunt.platform.standins.settings import route_fields

ROUTE = route_fields(**{"max-attempts": 2})
ITEMS = route_fields(
    **{
        "kind": "batch",
        "prefix": "/j/",
        "completion-target-ms": 18_000,
        "max-wait-s": 60,
        "cap": 10_000,
    }
)

FREE_CRASHES = 5
LATE_REQUESTS = 3
"""Requests with a part that crashes replicas, which may reach them: up to
the fifth crash, and later than the entries can know of it."""

GUILTY = "bad"
FIRST = "first"


async def ask(p, number, middle, entry=None):
    """Send a request of its own; return whether it was served."""
    answer = await p.call(
        entry=entry or p.entries[number % len(p.entries)],
        request_id=f"{middle}-{number}",
        body=f"body {number} {middle}".encode(),
        prompt_parts=f"{FIRST}:100,{middle}:90,own{number}:20",
    )
    return answer.whole and answer.status == 200


def guilty_runs(p):
    """Return how many requests with the guilty part reached replicas."""
    return sum(
        GUILTY in arrival.parts
        for replica in p.replicas
        for arrival in replica.arrivals
    )


async def serve_sound_ones(p, count):
    """Let each entry serve some requests; all have the same first part."""
    for number in range(count):
        for entry in p.entries:
            assert await ask(p, number, f"sound{number}", entry)


def test_requests_with_a_part_that_crashes_replicas_are_held_back(platform):
    # Guards against a crash for each request of a kind, no two of them alike.
    async def scenario(p):
        await p.add_entry()
        for replica in p.replicas:
            replica.crashing_part = GUILTY
            replica.then(events=2)
        await serve_sound_ones(p, 10)
        for number in range(30):
            await ask(p, number, GUILTY)
            await asyncio.sleep(0.02)
        assert guilty_runs(p) <= FREE_CRASHES + LATE_REQUESTS

    platform(scenario, ROUTE, replicas=4)


def test_sound_requests_beside_a_guilty_part_are_served(platform):
    # Guards against refusing the first part, the route or the caller.
    async def scenario(p):
        await p.add_entry()
        for replica in p.replicas:
            replica.crashing_part = GUILTY
            replica.then(events=2)
        await serve_sound_ones(p, 10)
        served = []
        for number in range(40):
            await ask(p, number, GUILTY)
            if number >= 20:
                served.append(await ask(p, number, f"other{number}"))
            await asyncio.sleep(0.02)
        assert sum(served) >= 0.9 * len(served)

    platform(scenario, ROUTE, replicas=4)


def test_a_part_that_crashes_replicas_late_is_held_back(platform):
    # Guards against counting only crashes before the first event.
    async def scenario(p):
        for replica in p.replicas:
            replica.crashing_part = GUILTY
            replica.crash_ms = 60
            replica.then(events=20, gap_ms=20)
        await serve_sound_ones(p, 3)
        for number in range(20):
            await ask(p, number, GUILTY)
        assert guilty_runs(p) <= FREE_CRASHES + LATE_REQUESTS

    platform(scenario, ROUTE, replicas=4)


async def run_item(p, job, parts):
    """Run a job of one item; return its result's id."""
    body = encode_job([JobItem(job, f"/j/{job}", 100, b"", parts)])
    await p.call("POST", f"/j/{job}", body, request_id=job)
    page = None
    while page is None or not page.results:
        target = results_target(job, 0)
        answer = await p.call("GET", target, wait_ms=1000)
        page = decode_page(answer.body)
    return page.results[0].item_id


def test_items_with_a_part_that_crashes_replicas_are_held_back(platform):
    # Guards against a crash for each item of a job whose prompts share it.
    async def scenario(p):
        replica = p.replicas[0].then(events=2)
        replica.crashing_part = GUILTY
        names = [f"i{n}" for n in range(12)]
        items = [
            JobItem(name, f"/j/{name}", 100, b"", f"{GUILTY}:9,{name}:9")
            for name in names
        ]
        await p.call("POST", "/j/j", encode_job(items), request_id="j")
        await p.until(lambda: replica.crashes >= MAX_LOSSES)
        assert await run_item(p, "sound", "other:9,own:9") == "sound"
        assert replica.crashes <= FREE_CRASHES + LATE_REQUESTS
        assert len(p.entries[0].jobs.unfinished) == len(items)

    platform(scenario, ITEMS)
