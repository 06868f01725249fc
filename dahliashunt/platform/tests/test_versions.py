"""Tests of streams while replicas of several software versions serve."""

import asyncio

import pytest

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.jobs.keys import shard_of
from dahliashunt.platform.standins.caller import caller_request
from dahliashunt.platform.standins.caller import decode_page
from dahliashunt.platform.standins.caller import encode_job
from dahliashunt.platform.standins.caller import JobItem
from dahliashunt.platform.standins.caller import results_target
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.tests.conftest import TIMEOUT_S

EVENTS = 6

ITEM_EVENTS = 14
SAVED_EVENTS = 12
"""Events of an item, and those after which it stalls; ten are saved."""

CALLS = 8
"""Streams of a test; one that goes on anywhere is seen at one of them."""


def events(answer):
    """Return the numbers of the answer's events."""
    lines = answer.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def versions_by_request(replicas):
    """Return the versions of the replicas that each request reached."""
    found = {}
    for replica in replicas:
        for arrival in replica.arrivals:
            ids = found.setdefault(arrival.request_id, set())
            ids.add(replica.version)
    return found


def cut_each_stream(replicas):
    """Make each replica break off the first stream that reaches it."""
    for replica in replicas:
        replica.then(events=EVENTS, cut_after=3).then(events=EVENTS)


def test_a_broken_stream_goes_on_at_a_replica_of_its_version(platform):
    # Guards against events of two software versions in one answer.
    async def scenario(p):
        for number in range(CALLS):
            cut_each_stream(p.replicas)
            request_id = f"r{number}"
            body = request_id.encode()
            answer = await p.call(request_id=request_id, body=body)
            assert answer.whole
            assert events(answer) == list(range(1, EVENTS + 1))
            assert len(versions_by_request(p.replicas)[request_id]) == 1
            for replica in p.replicas:
                replica.steps.clear()

    platform(scenario, versions=("v1", "v2", "v1", "v2"))


def test_a_broken_stream_ends_at_once_without_its_version(platform):
    # Guards against waiting for a replica that does not exist.
    async def scenario(p):
        cut_each_stream(p.replicas)
        began_s = p.now_s()
        answer = await p.call(budget_ms=5_000)
        assert not answer.whole
        assert events(answer) == [1, 2, 3]
        assert p.now_s() - began_s < 1

    platform(scenario, versions=("v1", "v2"))


def test_a_stream_without_length_or_chunks_ends_with_its_connection(platform):
    # Guards against a whole stream that looks broken off.
    async def scenario(p):
        p.replicas[0].then(events=EVENTS, unframed=True)
        answer = await p.call()
        assert answer.whole
        assert events(answer) == list(range(1, EVENTS + 1))

    platform(scenario)


def test_a_stream_that_closes_inside_an_event_was_broken_off(platform):
    # Guards against a part of a stream that looks whole, since its answer
    # had neither length nor chunks.
    async def scenario(p):
        for replica in p.replicas:
            replica.then(events=EVENTS, cut_after=3, unframed=True)
            replica.then(events=EVENTS, unframed=True)
        answer = await p.call()
        assert answer.whole
        assert events(answer) == list(range(1, EVENTS + 1))
        assert [len(r.arrivals) for r in p.replicas] == [1, 1]

    platform(scenario, versions=("v1", "v1"))


def test_an_item_that_closes_inside_an_event_was_broken_off(platform):
    # Guards against a result that misses the end of its text.
    async def scenario(p):
        p.replicas[0].then(events=EVENTS, cut_after=3, unframed=True)
        p.replicas[0].then(events=EVENTS, unframed=True)
        (result,) = (await run_items(p, count=1)).values()
        assert len(result.text.splitlines()) == EVENTS

    platform(scenario, ITEMS)


def test_streams_of_replicas_without_a_version_are_not_joined(platform):
    # Guards against taking two unknown versions for the same one.
    async def scenario(p):
        cut_each_stream(p.replicas)
        answer = await p.call()
        assert not answer.whole
        assert events(answer) == [1, 2, 3]

    platform(scenario, versions=(None, None))


async def read_first_events(p, entry, request_id):
    """Begin a stream that stalls; return its connection after 3 events."""
    for replica in p.replicas:
        replica.then(events=EVENTS, silent_after=3)
    connection = await p.dial(entry)
    box = connection.start(
        caller_request(request_id=request_id, body=request_id.encode())
    )
    received = b""
    while received.count(b"\n\n") < 3:
        for part in await box.take(TIMEOUT_S * 1000):
            if isinstance(part, bytes):
                connection.taken(len(part))
                received += part
    for replica in p.replicas:
        replica.steps.clear()
        replica.then(events=EVENTS)
    return connection


async def go_on(p, entry, request_id, first):
    """Take up the stream that `first` began, after its third event."""
    return await p.call(
        entry=entry,
        request_id=request_id,
        body=first.encode(),
        last_event=3,
        resumes=first,
    )


async def hear_agents(p, entry):
    """Wait until `entry` knows the load of each replica."""
    await p.until(lambda: p.hears_agents(entry))


async def lose_entry(p, first):
    """Begin a stream at a new entry, and kill the entry."""
    entry = await p.add_entry()
    await hear_agents(p, entry)
    connection = await read_first_events(p, entry, first)
    await p.kill(entry)
    connection.abort()


def test_a_caller_goes_on_elsewhere_at_the_version_that_began(platform):
    # Guards against events of two versions in the stream of a caller whose
    # entry was killed, and against refusing such callers.
    async def scenario(p):
        async with p.agent():
            other = p.entries[0]
            await hear_agents(p, other)
            for number in range(CALLS):
                first, second = f"r{number}", f"s{number}"
                await lose_entry(p, first)
                answer = await go_on(p, other, second, first)
                assert answer.whole
                assert events(answer) == [4, 5, 6]
                reached = versions_by_request(p.replicas)
                assert reached[second] == reached[first]

    platform(scenario, engine=True, versions=("v1", "v2", "v1", "v2"))


def test_a_stream_of_an_unknown_version_is_refused_at_once(platform):
    # Guards against guessing the version, and against keeping callers
    # waiting for an answer that cannot come.
    async def scenario(p):
        async with p.agent():
            await hear_agents(p, p.entries[0])
            began_s = p.now_s()
            answer = await go_on(p, p.entries[0], "s", "never-begun")
            assert p.now_s() - began_s < 1
        assert answer.status == 503
        assert answer.head.get("retry-after") is None
        assert b"not known" in answer.body
        assert versions_by_request(p.replicas) == {}

    platform(scenario, engine=True, versions=("v1", "v2"))


def test_a_stream_is_refused_once_its_version_is_gone(platform):
    # Guards against going on at the version that has replaced it.
    async def scenario(p):
        async with p.agent():
            await hear_agents(p, p.entries[0])
            connection = await read_first_events(p, p.entries[0], "r")
            connection.abort()
            (version,) = versions_by_request(p.replicas)["r"]
            (old,) = (r for r in p.replicas if r.version == version)
            p.store.unlist_replica(old.replica_id)
            registry = p.entries[0].node.registry
            await p.until(lambda: registry.get(old.replica_id) is None)
            answer = await go_on(p, p.entries[0], "s", "r")
        assert answer.status == 503
        assert "s" not in versions_by_request(p.replicas)

    platform(scenario, engine=True, versions=("v1", "v2"))


async def start_anew(p, gone, first):
    """Begin a stream, kill all entries and start one, which is returned.

    Unlist the replica that began the stream before or after the kill.
    """
    await hear_agents(p, p.entries[0])
    connection = await read_first_events(p, p.entries[0], first)
    (version,) = versions_by_request(p.replicas)[first]
    (old,) = (r for r in p.replicas if r.version == version)
    if gone == "before":
        p.store.unlist_replica(old.replica_id)
        registry = p.entries[0].node.registry
        await p.until(lambda: registry.get(old.replica_id) is None)
    await p.kill(p.entries[0])
    connection.abort()
    if gone == "after":
        p.store.unlist_replica(old.replica_id)
    entry = await p.add_entry(wait=False)
    listed = len(p.replicas) - (gone is not None)
    await p.until(
        lambda: entry.node.ready and len(entry.node.registry.all()) == listed
    )
    return entry


@pytest.mark.parametrize("gone", [None, "before", "after"])
@pytest.mark.parametrize("has_notes", [True, False])
def test_an_entry_that_has_just_started_joins_no_versions(
    platform, gone, has_notes
):
    # Guards against taking the versions that are listed at the start for all
    # that there were, once all entries were killed.
    async def scenario(p):
        async with p.agent():
            entry = await start_anew(p, gone, "r")
            first = "r" if has_notes else "of-lost-notes"
            answer = await go_on(p, entry, "s", first)
        reached = versions_by_request(p.replicas)
        if has_notes and gone is None:
            assert events(answer) == [4, 5, 6]
            assert reached["s"] == reached["r"]
        else:
            assert answer.status == 503
            assert "s" not in reached

    platform(scenario, engine=True, versions=("v1", "v2"))


ITEMS = route_fields(
    **{
        "kind": "batch",
        "prefix": "/j/",
        "completion-target-ms": 18_000,
        "max-wait-s": 60,
        "max-attempts": 2,
        "cap": 1000,
    }
)


async def run_items(p, job="j", count=CALLS):
    """Submit a job; return its results by item, and the versions reached."""
    names = [f"{job}-{n}" for n in range(count)]
    body = encode_job([JobItem(n, f"/j/{n}", 100) for n in names])
    await p.call("POST", f"/j/{job}", body, request_id=job)
    page = None
    async with asyncio.timeout(TIMEOUT_S):
        while page is None or len(page.results) < count:
            target = results_target(job, 0)
            answer = await p.call("GET", target, wait_ms=1000)
            page = decode_page(answer.body)
    return {each.item_id: each for each in page.results}


def test_a_broken_item_goes_on_at_a_replica_of_its_version(platform):
    # Guards against a result with events of two software versions.
    async def scenario(p):
        for replica in p.replicas:
            for _ in range(CALLS):
                replica.then(events=EVENTS, cut_after=3)
            replica.then(events=EVENTS)
        results = await run_items(p)
        text = "\n".join(f"text {n}" for n in range(1, EVENTS + 1))
        assert {each.text for each in results.values()} == {text}
        reached = versions_by_request(p.replicas)
        assert [len(reached[name]) for name in results] == [1] * CALLS

    platform(scenario, ITEMS, versions=("v1", "v2", "v1", "v2"))


async def kill_with_text(p):
    """Kill the owner of an item whose text is saved; return its version."""
    for replica in p.replicas:
        replica.then(events=ITEM_EVENTS, silent_after=SAVED_EVENTS)
    owner = p.entries[0]
    body = encode_job([JobItem("j-0", "/j/j-0", 100)])
    await p.call("POST", "/j/j", body, request_id="j", entry=owner)
    await p.until(
        lambda: any(name[0] == "partials" for name in p.store.names())
    )
    await p.kill(owner)
    for replica in p.replicas:
        replica.steps.clear()
        replica.then(events=ITEM_EVENTS)
    (version,) = versions_by_request(p.replicas)["j-0"]
    return version


def last_events(p):
    """Return the events after which the item's runs were to begin."""
    return {
        arrival.headers.get("last-event-id")
        for replica in p.replicas
        for arrival in replica.arrivals
    }


def test_a_new_owner_goes_on_with_a_text_at_its_version(platform):
    # Guards against a result of two versions after its owner was killed,
    # and against texts that no owner ever continues.
    async def scenario(p):
        await p.add_entry()
        version = await kill_with_text(p)
        (result,) = (await run_items(p, count=1)).values()
        assert len(result.text.splitlines()) == ITEM_EVENTS
        assert versions_by_request(p.replicas)["j-0"] == {version}
        assert last_events(p) == {None, str(SAVED_EVENTS)}

    platform(scenario, ITEMS, versions=("v1", "v2", "v1", "v2"))


@pytest.mark.parametrize("origin", [[], [0, 12345]])
def test_a_text_that_no_replica_can_continue_is_begun_anew(platform, origin):
    # Guards against going on with the text of an earlier release, which
    # names no version, or with that of a version that is gone.
    async def scenario(p):
        await p.add_entry()
        await kill_with_text(p)
        row = [SAVED_EVENTS, "text", *origin]
        p.store.put("partials", "j/00000", row, str(shard_of("j")))
        (result,) = (await run_items(p, count=1)).values()
        assert len(result.text.splitlines()) == ITEM_EVENTS
        assert last_events(p) == {None}

    platform(scenario, ITEMS, versions=("v1", "v2"))


def test_an_item_that_waits_for_its_version_holds_up_no_other(
    platform, monkeypatch
):
    # Guards against a batch at a standstill while replicas of one version
    # are full and those of another are free.
    async def scenario(p):
        selector = p.entries[0].jobs.worker.replica_selector
        find = selector.find
        waiting = []

        async def find_unless_bound(requirements, *rest):
            if requirements.version is not None:
                waiting.append(requirements.version)
                raise RequestError(ErrorKind.OVERLOADED, "full")
            return await find(requirements, *rest)

        for replica in p.replicas:
            replica.then(events=EVENTS, cut_after=3).then(events=EVENTS)
        monkeypatch.setattr(selector, "find", find_unless_bound)
        body = encode_job([JobItem("bound", "/j/bound", 100)])
        await p.call("POST", "/j/b", body, request_id="b")
        await p.until(lambda: waiting)
        for replica in p.replicas:
            replica.steps.clear()
            replica.then(events=EVENTS)
        assert len(await run_items(p)) == CALLS
        monkeypatch.setattr(selector, "find", find)
        await p.until(lambda: not p.entries[0].jobs.unfinished)
        assert last_events(p) == {None, "3"}

    platform(scenario, ITEMS, versions=("v1", "v2"))
