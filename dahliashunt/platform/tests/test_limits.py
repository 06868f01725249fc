"""Rate limits of workspaces, on an entry between stand-ins."""

import asyncio

import pytest

from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.standins.settings import workspace_fields

ROUTES = (route_fields(kind="idempotent", resumable=False),)
LIMITED = workspace_fields("w", "k", **{"rate-per-s": 1, "burst": 3})
FREE = workspace_fields("free", "f", **{"rate-per-s": 0, "burst": 3})
KEY = "Token k"


@pytest.fixture
def run_limited(platform):
    """Return ``run(scenario)`` with two workspaces, one of them limited."""

    def run(scenario, engine=True):
        config = config_fields(
            ROUTES, engine=engine, workspaces=(LIMITED, FREE)
        )
        return platform(scenario, config=config)

    return run


async def with_agent(p, scenario):
    """Run `scenario` with a slot server in place of the replica's agent."""
    async with p.agent() as server:
        await scenario(server)


async def send(p, count, key=KEY):
    """Send requests at once; return the answers."""
    calls = [
        p.call(request_id=f"r{n}", authorization=key) for n in range(count)
    ]
    return await asyncio.gather(*calls)


def test_beyond_its_burst_a_workspace_is_told_when_to_come_back(run_limited):
    """Guards against requests beyond the burst and synchronised retries."""

    async def scenario(p):
        async def burst(server):
            answers = await send(p, 9)
            refused = [a for a in answers if a.status == 429]
            assert sum(a.status == 200 for a in answers) == 3
            waits = [float(a.head.get("retry-after")) for a in refused]
            assert len(waits) == 6
            assert all(0.5 < wait <= 5.0 for wait in waits)
            assert len({round(wait) for wait in waits}) > 3
            assert len(p.replicas[0].arrivals) == 3

        await with_agent(p, burst)

    run_limited(scenario)


def test_a_workspace_without_a_rate_is_not_limited(run_limited):
    """Guards against a rate of 0 that refuses every request."""

    async def scenario(p):
        for number in range(9):
            (answer,) = await send(p, 1, "Token f")
            assert answer.status == 200, number

    run_limited(scenario)


def test_without_any_agent_an_entry_goes_by_its_share(run_limited):
    """Guards against callers that wait for absent meters."""

    async def scenario(p):
        answers = await send(p, 9)
        assert sum(a.status == 200 for a in answers) == 3
        assert sum(a.status == 429 for a in answers) == 6

    run_limited(scenario, engine=False)


def test_a_request_that_did_not_run_is_not_counted(run_limited):
    """Guards against requests refused by replicas that use up the limit."""

    async def scenario(p):
        async def run_refused_first(server):
            p.replicas[0].then(status=503, not_run=True, body=b"")
            for number in range(8):
                answer = await p.call(
                    request_id=f"n{number}", authorization=KEY
                )
                assert answer.status == 503
            p.replicas[0].steps.clear()
            answers = await send(p, 3)
            assert [a.status for a in answers] == [200] * 3

        await with_agent(p, run_refused_first)

    run_limited(scenario)
