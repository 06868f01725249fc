"""Deployments of various shapes.

Guards against code that assumes the names, paths, counts or kinds of service
of a particular deployment.
"""

import asyncio
from dataclasses import dataclass
import json

import pytest

from dahliashunt.decisions.partners import MAX_PARTNERS
from dahliashunt.platform.standins.settings import replica_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.tests.test_jobs import job_body
from dahliashunt.platform.tests.test_jobs import output


@dataclass(frozen=True)
class Shape:
    """A deployment.

    Attributes
    ----------
    services : dict of str to bool
        By service name, whether its replicas are engines.
    slots : int
    jobs : int
        Number of items in the submitted job; 0 submits none.
    """

    services: dict
    host: str = "desk.workshop.example"
    prefix: str = "/v9/ask/"
    entries: int = 2
    replicas: int = 2
    slots: int = 3
    jobs: int = 5


SHAPES = {
    "one of each": Shape({"m": True}, entries=1, replicas=1, slots=1, jobs=1),
    "plain only": Shape({"records": False}, entries=3, jobs=0),
    "two models, one plain": Shape({"a": True, "b": True, "c": False}),
    "wide slots": Shape({"m": True}, replicas=1, slots=64, jobs=12),
    "more replicas than partners": Shape(
        {"m": True}, replicas=MAX_PARTNERS + 6, slots=1, jobs=20
    ),
    "more entries than replicas": Shape({"m": True}, entries=6, replicas=1),
    "another host and path": Shape({"m": True}, host="a.b.c", prefix="/"),
}

KINDS = ("stream", "idempotent", "non_idempotent")


def build_config(shape):
    """Return the operator's configuration of `shape`."""
    routes = []
    services = []
    for name, engine in shape.services.items():
        fields = {"name": name, "health-path": "/up", "max-conns": 200}
        if engine:
            fields["engine"] = {"slots": shape.slots}
        services.append(fields)
        for kind in KINDS:
            routes.append(
                route_fields(
                    **{
                        "name": f"{name}-{kind}",
                        "host": shape.host,
                        "prefix": f"{shape.prefix}{name}/{kind}/",
                        "kind": kind,
                        "service": name,
                        "resumable": kind == "stream",
                    }
                )
            )
    first = next(iter(shape.services))
    routes.append(
        route_fields(
            **{
                "name": "lots",
                "host": shape.host,
                "prefix": "/j/",
                "kind": "batch",
                "service": first,
                "completion-target-ms": 9_000,
                "max-wait-s": 30,
                "cap": 1_000_000,
            }
        )
    )
    return {"version": 1, "routes": routes, "services": services}


async def deploy(p, shape):
    """List the replicas of each service and add the entries."""
    for name in shape.services:
        for _ in range(shape.replicas):
            replica = await p.add_replica()
            replica.then(events=4)
            fields = replica_fields(
                replica.address, service=name, slots=shape.slots
            )
            p.store.list_replica(replica.replica_id, fields)
    for _ in range(shape.entries - 1):
        await p.add_entry()


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
def test_a_deployment_of_another_shape_is_served(platform, shape):
    async def scenario(p):
        await deploy(p, shape)
        names = [
            (name, kind, entry)
            for name in shape.services
            for kind in KINDS
            for entry in p.entries
        ]
        answers = await asyncio.gather(
            *(
                call_until_served(
                    p,
                    target=f"{shape.prefix}{name}/{kind}/{number}",
                    entry=entry,
                    request_id=f"r{number}",
                    host=shape.host,
                )
                for number, (name, kind, entry) in enumerate(names)
            )
        )
        assert {(a.status, a.whole) for a in answers} == {(200, True)}
        assert {a.body.count(b"data: text") for a in answers} == {4}
        if shape.jobs:
            await check_job_is_taken_over(p, shape)

    platform(scenario, replicas=0, config=build_config(shape))


async def call_until_served(p, **call):
    """Retry a request after each refusal's Retry-After until it is served.

    Refusals are expected: without agents, an entry limits its own load.
    """
    async with asyncio.timeout(20):
        while True:
            answer = await p.call(**call)
            if answer.status != 503:
                return answer
            await asyncio.sleep(float(answer.head.get("retry-after")))


async def check_job_is_taken_over(p, shape):
    """Submit a job, kill its entry if there are others, and read it."""
    body = job_body(*(f"i{number}" for number in range(shape.jobs)))
    accepted = await p.call(
        "POST", "/j/job", body, request_id="job", host=shape.host
    )
    assert accepted.status == 202
    if len(p.entries) > 1:
        await p.kill(p.entries[0])
    results = []
    async with asyncio.timeout(30):
        while len(results) < shape.jobs:
            page = await p.call(
                "GET",
                f"/api/lots/job?after={len(results)}",
                wait_ms=500,
                host=shape.host,
            )
            results += page.json()["results"]
    assert len({result["id"] for result in results}) == shape.jobs
    assert {result["output"] for result in results} == {output(4)}


def test_a_configuration_that_says_less_is_served(platform):
    # Guards against optional fields treated as required, and against unknown
    # fields treated as errors.
    route = {
        "name": "r",
        "host": "x",
        "prefix": "/",
        "kind": "idempotent",
        "timeout-ms": 2_000,
        "service": "s",
        "colour": "red",
    }
    service = {"name": "s", "health-path": "/h", "since": 3}
    config = {"version": 1, "routes": [route], "services": [service]}

    async def scenario(p):
        replica = await p.add_replica()
        fields = replica_fields(replica.address, service="s")
        for name in ("zone", "slots", "cold-left-ms", "seq"):
            del fields[name]
        p.store.list_replica(replica.replica_id, json.dumps(fields))
        await p.until(lambda: p.entries[0].node.registry.of_service("s"))
        assert (await p.call(target="/", host="x")).status == 200

    platform(scenario, replicas=0, config=config)
