"""Refusals on the platform's path never break the promise "has not run"."""

import asyncio

import pytest

from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http1 import open_connection
from dahliashunt.forwarding.relayed_status import NOT_RUN_STATUSES
from dahliashunt.platform.names import SIGNATURE
from dahliashunt.platform.standins.caller import caller_request
from dahliashunt.platform.standins.caller import exchange
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.tests.conftest import Answer

ONCE = route_fields(kind="non_idempotent", resumable=False)
STREAM_ONCE = route_fields(resumable=False)
IDEMPOTENT = route_fields(kind="idempotent", resumable=False)
RESET = {"reset_unanswered": True}
LATE_REFUSAL = (
    b"HTTP/1.1 503 X\r\ndahliashunt-request-id: earlier\r\n"
    b"dahliashunt-not-executed: 1\r\nContent-Length: 4\r\n\r\nlate"
)


def runs(p):
    return sum(len(replica.arrivals) for replica in p.replicas)


def follow_script(p, *steps):
    """Let all replicas together take one step after the other."""
    for step in steps:
        p.replicas[0].then(**step)
    for replica in p.replicas[1:]:
        replica.steps = p.replicas[0].steps


def promises_nothing(answer):
    return (
        answer.status not in NOT_RUN_STATUSES
        and (answer.head is None or answer.head.get("retry-after") is None)
        and (
            answer.head is None
            or answer.head.get("dahliashunt-not-executed") is None
        )
    )


def is_signed(answer):
    return answer.head.get(SIGNATURE) is not None


def test_a_changed_status_carries_no_signature(platform):
    """Guards against a signature of the replica on a status not its own."""

    async def scenario(p):
        follow_script(p, {"status": 503}, {"status": 500})
        assert not is_signed(await p.call())
        assert is_signed(await p.call(request_id="r2"))

    platform(scenario, ONCE, replicas=1)


@pytest.mark.parametrize("route", [ONCE, STREAM_ONCE], ids=["once", "stream"])
@pytest.mark.parametrize(
    ("step", "status"),
    [
        ({"status": 503}, 502),
        ({"status": 429}, 502),
        ({"status": 408}, 502),
        ({"status": 500}, 500),
        ({"status": 504}, 504),
        ({"status": 500, "not_run": True}, 500),
        ({"status": 504, "not_run": True}, 504),
        (RESET, 502),
        ({"events": 3, "cut_after": 0}, 502),
        ({"cut_body_at": 2}, 502),
        ({"head_ms": 60_000}, 504),
    ],
    ids=lambda value: str(value),
)
def test_a_request_that_may_have_run_gets_no_promise(
    platform, route, step, status
):
    """Guards against a caller that repeats a request which has run."""

    async def scenario(p):
        for replica in p.replicas:
            replica.then(**step)
        answer = await p.call(budget_ms=800)
        assert (answer.status, runs(p)) == (status, 1)
        assert promises_nothing(answer)

    platform(scenario, route, replicas=2)


@pytest.mark.parametrize("route", [ONCE, STREAM_ONCE], ids=["once", "stream"])
@pytest.mark.parametrize("status", NOT_RUN_STATUSES)
def test_a_marked_refusal_goes_on_to_another_replica(platform, route, status):
    """Guards against an error for a request that nobody has run."""

    async def scenario(p):
        follow_script(p, {"status": status, "not_run": True}, {"events": 2})
        assert (await p.call()).status == 200
        p.replicas[0].then(status=status, not_run=True)
        p.replicas[0].steps.popleft()
        answer = await p.call(request_id="r2")
        assert answer.status == 503
        assert float(answer.head.get("retry-after")) > 0

    platform(scenario, route, replicas=2)


@pytest.mark.parametrize(
    "last",
    [
        {"status": 503, "not_run": True},
        {"status": 421, "not_run": True},
        {"status": 503},
        {"status": 429},
    ],
    ids=lambda value: str(value),
)
def test_a_refusal_of_a_repeated_request_does_not_hide_its_first_run(
    platform, last
):
    """Guards against the last replica's refusal after another one's run."""

    async def scenario(p):
        follow_script(p, RESET, last)
        answer = await p.call()
        assert (answer.status, runs(p)) == (502, 2)
        assert promises_nothing(answer)

    platform(scenario, IDEMPOTENT, replicas=2)


def test_no_connection_after_a_run_is_no_refusal(platform):
    """Guards against a promise when the second replica is unreachable."""

    async def scenario(p):
        for replica in p.replicas:
            replica.then(head_ms=60_000)
        call = asyncio.create_task(p.call(budget_ms=1500))
        await p.until(lambda: runs(p) == 1)
        for replica in p.replicas:
            await replica.stop()
        answer = await call
        assert answer.status == 502
        assert promises_nothing(answer)

    platform(scenario, IDEMPOTENT, replicas=2)


@pytest.mark.parametrize(("runs_before", "status"), [(0, 503), (1, 504)])
def test_a_connection_that_comes_after_the_deadline_sends_nothing(
    platform, monkeypatch, runs_before, status
):
    """Guards against a run after the refusal, and a refusal after a run."""

    async def scenario(p):
        addresses = {replica.address for replica in p.replicas}

        async def take(pool, address, idle_ms=0):
            if address in addresses and runs(p) == runs_before:
                until_s = p.now_s() + 0.6
                await p.until(lambda: p.now_s() >= until_s)
            return await open_connection(*address, 1000)

        monkeypatch.setattr(ConnectionPool, "take", take)
        for replica in p.replicas:
            replica.then(**RESET)
        answer = await p.call(budget_ms=600)
        assert (answer.status, runs(p)) == (status, runs_before)
        assert promises_nothing(answer) == bool(runs_before)

    platform(scenario, IDEMPOTENT, replicas=2)


def test_no_slot_until_the_deadline_after_a_run_is_no_refusal(platform):
    """Guards against a promise when the wait for a second slot ends."""

    async def scenario(p):
        for replica in p.replicas:
            replica.then(head_ms=60_000)
        async with p.agent() as agent:
            await p.until(lambda: p.hears_agents(p.entries[0]))
            call = asyncio.create_task(p.call(budget_ms=1000))
            await p.until(lambda: runs(p) == 1)
            agent.allocator.slots = 0
            for replica in p.replicas:
                replica.cut_all()
            answer = await call
        assert (answer.status, runs(p)) == (502, 1)
        assert promises_nothing(answer)

    platform(scenario, IDEMPOTENT, replicas=2, engine=True)


@pytest.mark.parametrize("route", [ONCE, STREAM_ONCE], ids=["once", "stream"])
def test_an_entry_stopped_during_an_attempt_promises_nothing(platform, route):
    """Guards against a refusal by a process that ends while a request runs."""

    async def scenario(p):
        p.replicas[0].then(head_ms=60_000)
        connection = await p.dial()
        call = asyncio.create_task(
            exchange(connection, caller_request(), 10_000)
        )
        await p.until(lambda: runs(p) == 1)
        server = p.entries[0]._servers[0]._server
        await p.kill(p.entries[0])
        # The end of the process cancels the requests in progress.
        for task in list(server.server_state.tasks):
            task.cancel()
        answer = Answer(await call)
        assert answer.status in (None, 500, 502, 504)
        assert promises_nothing(answer)

    platform(scenario, route)


def test_a_request_refused_at_the_crash_guard_has_not_run(platform):
    """Guards against a refusal of a request that waits and is sent later."""

    async def scenario(p):
        for replica in p.replicas:
            replica.then(reset_unanswered=True)
        for number in range(3):
            await p.call(body=b"bad", request_id=f"r{number}")
        for replica in p.replicas:
            replica.steps.clear()
            replica.then(head_ms=60_000)
        trial = asyncio.create_task(
            p.call(body=b"bad", request_id="trial", budget_ms=4000)
        )
        await p.until(lambda: runs(p) == 4)
        answer = await p.call(body=b"bad", request_id="next", budget_ms=300)
        ids = {a.request_id for r in p.replicas for a in r.arrivals}
        assert answer.status == 503
        assert "next" not in ids
        trial.cancel()
        await asyncio.gather(trial, return_exceptions=True)

    platform(scenario, ONCE, replicas=2)


def test_a_late_refusal_of_an_earlier_request_is_not_this_ones(platform):
    """Guards against a second run after another request's late refusal."""

    async def scenario(p):
        follow_script(p, {}, {"late": LATE_REFUSAL})
        await p.call(request_id="earlier")
        answer = await p.call(request_id="r2")
        assert (answer.status, answer.body, runs(p)) == (200, b"answer", 2)

    platform(scenario, ONCE)


def test_a_refusal_that_names_no_request_proves_nothing_on_an_old_connection(
    platform,
):
    """Guards against a second run if it is the refusal of another request."""

    async def scenario(p):
        refusal = {"status": 503, "not_run": True, "anonymous": True}
        follow_script(p, {}, refusal, {})
        for number in range(2):
            answer = await p.call(request_id=f"r{number}")
        assert (answer.status, runs(p)) == (502, 2)
        assert promises_nothing(answer)

    platform(scenario, ONCE)


def test_a_request_that_is_too_large_is_tried_at_one_replica(platform):
    """Guards against one large request that goes through all replicas."""

    async def scenario(p):
        for replica in p.replicas:
            replica.then(status=413, not_run=True, body=b"too large")
        answer = await p.call()
        assert (answer.status, answer.body) == (413, b"too large")
        assert runs(p) == 1

    platform(scenario, IDEMPOTENT, replicas=3)
