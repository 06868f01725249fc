"""Items that get no slot hold up no items that would."""

import pytest

from dahliashunt.platform.standins.caller import encode_job
from dahliashunt.platform.standins.caller import JobItem
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.tests.test_jobs import output
from dahliashunt.platform.tests.test_jobs import read
from dahliashunt.platform.tests.test_jobs import read_all
from dahliashunt.platform.tests.test_jobs import ROUTE
from dahliashunt.platform.tests.test_jobs import submit

OTHER_ROUTE = {
    **ROUTE,
    "name": "other",
    "prefix": "/k/",
    "service": "missing",
}


def job_of(prefix, *names, usage="10,20"):
    items = [
        JobItem(name, f"{prefix}{name}", 1, token_usage=usage)
        for name in names
    ]
    return encode_job(items)


@pytest.mark.parametrize(
    ("target", "usage"),
    [("/j/", "100,120000"), ("/j/", "100000,1"), ("/k/", "10,20")],
    ids=["long output", "long prompt", "no replica"],
)
def test_items_behind_one_that_cannot_run_are_done(platform, target, usage):
    """Guards against sound items left behind one that is always refused."""
    config = config_fields([route_fields(), ROUTE, OTHER_ROUTE])
    config["services"].append({**config["services"][0], "name": "missing"})

    async def scenario(p):
        p.replicas[0].then(events=2)
        async with p.agent():
            names = [f"l{number}" for number in range(12)]
            body = job_of(target, *names, usage=usage)
            await p.call("POST", f"{target}j1", body, request_id="j1")
            await submit(p, "j2", job_of("/j/", "a", "b", "c"))
            results = await read_all(p, "j2")
            assert {each["output"] for each in results} == {output(2)}
            assert (await read(p, "j1")).json()["results"] == []
            metrics = p.entries[0].node.metrics.text()
            assert (
                'items_refused_total{node="front-0",reason="unasked"}'
                in metrics
            )

    platform(scenario, config=config)
