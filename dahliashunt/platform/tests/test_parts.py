"""Tests of prompt parts that crash each replica that runs them."""

import asyncio

from dahliashunt.platform.standins.settings import route_fields

ROUTE = route_fields(**{"max-attempts": 2})

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
