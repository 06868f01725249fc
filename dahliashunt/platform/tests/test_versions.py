"""Tests of streams while replicas of several software versions serve."""

EVENTS = 6

MAX_CALLS = 60
"""Requests by which streams have begun at each of two versions."""


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
        went_on = {}
        for number in range(MAX_CALLS):
            cut_each_stream(p.replicas)
            request_id = f"r{number}"
            body = request_id.encode()
            answer = await p.call(request_id=request_id, body=body)
            (version,) = versions_by_request(p.replicas)[request_id]
            went_on[version] = answer.whole
            assert went_on[version] == (version == "v1")
            if answer.whole:
                assert events(answer) == list(range(1, EVENTS + 1))
            for replica in p.replicas:
                replica.steps.clear()
            if len(went_on) == 2:
                return
        raise AssertionError(f"streams began at {set(went_on)} only")

    platform(scenario, versions=("v1", "v2", "v1"))


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


def test_streams_of_replicas_without_a_version_are_not_joined(platform):
    # Guards against taking two unknown versions for the same one.
    async def scenario(p):
        cut_each_stream(p.replicas)
        answer = await p.call()
        assert not answer.whole
        assert events(answer) == [1, 2, 3]

    platform(scenario, versions=(None, None))
