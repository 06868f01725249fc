"""Responses that are not the replica's never reach a caller or an item."""

import pytest

from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.tests.test_jobs import job_body
from dahliashunt.platform.tests.test_jobs import output
from dahliashunt.platform.tests.test_jobs import read_all
from dahliashunt.platform.tests.test_jobs import ROUTE
from dahliashunt.platform.tests.test_jobs import submit
from dahliashunt.platform.tests.test_online import expected_lines

IDEMPOTENT = route_fields(kind="idempotent", resumable=False)
ONCE = route_fields(kind="non_idempotent", resumable=False)
NOT_RESUMABLE = route_fields(resumable=False)

SPOILT = {"unsigned": True, "body": b"\x00\x01 not a response"}
SEAL = "dahliashunt-response-seal"


def script(p, *steps):
    """Let the requests at any replica take one step after the other."""
    for replica in p.replicas:
        replica.steps = p.replicas[0].steps
    for step in steps:
        p.replicas[0].then(**step)


def arrivals(p):
    return sum(len(replica.arrivals) for replica in p.replicas)


@pytest.mark.parametrize("status", [200, 201, 202, 206, 299, 302, 404, 500])
@pytest.mark.parametrize("step", [{}, {"cut_body_at": 3}, {"extra": b"x"}])
def test_a_response_that_is_not_the_replicas_is_retried(
    platform, status, step
):
    """Guards against foreign bytes that reach a caller as a success."""

    async def scenario(p):
        script(p, {**SPOILT, "status": status, **step}, {})
        answer = await p.call()
        assert (answer.status, answer.body) == (200, b"answer")
        assert answer.head.get(SEAL) is not None
        assert arrivals(p) == 2

    platform(scenario, IDEMPOTENT, replicas=2)


@pytest.mark.parametrize("status", [200, 404, 503])
@pytest.mark.parametrize("route", [IDEMPOTENT, ONCE, NOT_RESUMABLE], ids=repr)
def test_no_caller_gets_a_response_that_is_not_the_replicas(
    platform, status, route
):
    """Guards against a promise or a result that no replica has given."""

    async def scenario(p):
        for replica in p.replicas:
            replica.then(status=status, **SPOILT)
        answer = await p.call()
        assert answer.status == 502
        assert b"not a response" not in answer.body
        assert answer.head.get("retry-after") is None
        assert arrivals(p) == (2 if route is IDEMPOTENT else 1)

    platform(scenario, route, replicas=2)


@pytest.mark.parametrize("spoilt_first", [True, False])
@pytest.mark.parametrize("spoilt", [{"events": 6}, SPOILT], ids=repr)
def test_a_stream_has_no_unsigned_events(platform, spoilt_first, spoilt):
    """Guards against unsigned events at the begin or after a resumption."""
    steps = [{**spoilt, "unsigned": True}, {"events": 6, "cut_after": 3}]
    if not spoilt_first:
        steps.reverse()

    async def scenario(p):
        script(p, *steps, {"events": 6}, {"events": 6})
        for replica in p.replicas:
            replica.event = _event_by(replica)
        answer = await p.call()
        assert answer.status == 200
        assert answer.head.get(SEAL) is not None
        if answer.whole:
            lines = answer.body.decode().split("\n")
            assert [each for each in lines if each[:4] == "data"] == (
                expected_lines(6)
            )
        assert b"not a response" not in answer.body

    def _event_by(replica):
        def event(number):
            # The first step is consumed before its events are made.
            is_spoilt = len(replica.steps) == (3 if spoilt_first else 2)
            text = "not a response" if is_spoilt else "text"
            return b"id: %d\ndata: %s %d\n\n" % (
                number,
                text.encode(),
                number,
            )

        return event

    route = route_fields(**{"max-attempts": 4})
    platform(scenario, route, replicas=3)


@pytest.mark.parametrize(
    "spoilt",
    [
        {"events": 3, "unsigned": True},
        {"events": 2, "unsigned": True, "cut_after": 1},
        *({"status": status, **SPOILT} for status in (200, 204, 422, 500)),
    ],
    ids=repr,
)
def test_an_item_has_no_unsigned_text(platform, spoilt):
    """Guards against a result of bytes that no replica has signed."""

    async def scenario(p):
        replica = p.replicas[0]
        for _ in range(3):
            replica.then(**spoilt)
        replica.then(events=3)
        replica.event = lambda number: (
            f"id: {number}\ndata: foreign\n\n".encode()
            if len(replica.steps) > 1
            else b"id: %d\ndata: text %d\n\n" % (number, number)
        )
        await submit(p, body=job_body("a"))
        (result,) = await read_all(p)
        assert (result["state"], result["output"]) == ("done", output(3))

    platform(scenario, ROUTE)


@pytest.mark.parametrize("status", [301, 404, 429, 502, 503, 504])
def test_other_statuses_than_500_and_422_give_no_item_up(platform, status):
    """Guards against an item that is dead before its attempts have failed."""

    async def scenario(p):
        replica = p.replicas[0]
        for _ in range(3):
            replica.then(status=status, body=b"")
        replica.then(events=2)
        await submit(p, body=job_body("a"))
        (result,) = await read_all(p)
        assert (result["state"], result["output"]) == ("done", output(2))

    platform(scenario, ROUTE)


@pytest.mark.parametrize("status", [0, 99, 600, 999])
def test_a_status_that_is_none_is_no_response(platform, status):
    # Guards against such a status that reaches a caller, or is waited on as
    # an interim response until the caller's time is over.
    async def scenario(p):
        wrong = {"status": status, "body": b"x"}
        for route, expected in (("/i/", 200), ("/o/", 502)):
            p.replicas[0].steps.clear()
            script(p, wrong, {})
            began_s = p.now_s()
            answer = await p.call(target=f"{route}x")
            assert answer.status == expected
            assert p.now_s() - began_s < 1

    platform(
        scenario,
        {**IDEMPOTENT, "name": "i", "prefix": "/i/"},
        {**ONCE, "name": "o", "prefix": "/o/"},
        replicas=2,
    )
