"""Authentication of callers by API keys, on every path to a replica."""

import json

import pytest
from structlog.testing import capture_logs

from dahliashunt.platform.operator import decode_catalog
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.standins.settings import workspace_fields
from dahliashunt.platform.tests.test_jobs import job_body
from dahliashunt.platform.tests.test_jobs import read
from dahliashunt.platform.tests.test_jobs import read_all
from dahliashunt.platform.tests.test_jobs import ROUTE as JOB_ROUTE
from dahliashunt.platform.tests.test_jobs import submit

OUR_KEY = "Token k-ours"
OUR_SECOND_KEY = "token k-ours-2"
THEIR_KEY = "Token k-theirs"
WORKSPACE_HEADER = "dahliashunt-tenant"

WORKSPACES = (
    workspace_fields("ours", "k-ours", "k-ours-2"),
    workspace_fields("theirs", "k-theirs"),
)
ROUTES = (
    route_fields(kind="idempotent", resumable=False),
    route_fields(name="r-2", prefix="/s/"),
    route_fields(name="open", prefix="/o/", kind="idempotent", public=True),
    JOB_ROUTE,
)


@pytest.fixture
def run_with_keys(platform):
    """Return ``run(scenario)`` under a configuration with workspaces."""

    def run(scenario, workspaces=WORKSPACES, **kwargs):
        config = config_fields(ROUTES, engine=False, workspaces=workspaces)
        return platform(scenario, config=config, **kwargs)

    return run


def reconfigure(p, *workspaces):
    """Write configuration 2; return a condition that holds once applied."""
    p.store.configure(
        config_fields(ROUTES, version=2, engine=False, workspaces=workspaces)
    )
    return lambda: all(e.node.catalog.revision == 2 for e in p.entries)


def received_requests(p):
    return [a for r in p.replicas for a in r.arrivals]


def test_a_replica_is_told_the_workspace_and_never_the_key(run_with_keys):
    """Guards against replicas given keys or a caller's workspace name."""

    async def scenario(p):
        answer = await p.call(authorization=OUR_SECOND_KEY, workspace="theirs")
        assert answer.status == 200
        (arrival,) = received_requests(p)
        assert arrival.headers[WORKSPACE_HEADER] == "ours"
        assert "authorization" not in arrival.headers

    run_with_keys(scenario)


@pytest.mark.parametrize(
    "headers",
    [{}, {"authorization": "Token no"}, {"authorization": "Bearer k-ours"}],
)
def test_an_unknown_key_is_refused_with_a_challenge(run_with_keys, headers):
    """Guards against unauthenticated requests that run."""

    async def scenario(p):
        for target in ("/a/x", "/s/x", "/j/j1"):
            answer = await p.call("POST", target, job_body("a"), **headers)
            assert answer.status == 401
            assert answer.head.get("www-authenticate") == "Token"
            assert answer.head.get("retry-after") is None
        assert received_requests(p) == []

    run_with_keys(scenario)


def test_a_public_route_needs_no_key(run_with_keys):
    """Guards against a public route that asks for keys or passes them."""

    async def scenario(p):
        assert (await p.call(target="/o/1", workspace="x")).status == 200
        assert (
            await p.call(target="/o/2", authorization="Token no")
        ).status == 200
        assert (
            await p.call(target="/o/3", authorization=OUR_KEY)
        ).status == 200
        names = [
            arrival.headers.get(WORKSPACE_HEADER)
            for arrival in received_requests(p)
        ]
        assert names == [None, None, "ours"]
        assert all(
            "authorization" not in a.headers for a in received_requests(p)
        )

    run_with_keys(scenario)


def test_without_workspaces_no_key_is_asked_for(platform):
    """Guards against authentication in deployments without workspaces."""

    async def scenario(p):
        answer = await p.call(authorization="Basic abc", workspace="x")
        assert answer.status == 200
        (arrival,) = received_requests(p)
        assert arrival.headers["authorization"] == "Basic abc"
        assert WORKSPACE_HEADER not in arrival.headers

    platform(scenario, ROUTES[0])


def test_a_resumed_stream_runs_for_the_same_workspace(run_with_keys):
    """Guards against a second attempt without the workspace's name."""

    async def scenario(p):
        for replica in p.replicas:
            replica.then(events=6, cut_after=3).then(events=6)
        answer = await p.call(target="/s/x", authorization=THEIR_KEY)
        assert answer.whole
        assert [a.headers[WORKSPACE_HEADER] for a in received_requests(p)] == [
            "theirs",
            "theirs",
        ]
        assert all(
            "authorization" not in a.headers for a in received_requests(p)
        )

    run_with_keys(scenario, replicas=2)


def test_a_key_taken_away_stops_requests_on_open_connections(run_with_keys):
    """Guards against revoked keys that stay valid on open connections."""

    async def scenario(p):
        assert (await p.call(authorization=OUR_KEY)).status == 200
        theirs = WORKSPACES[1]
        kept = workspace_fields("ours", "k-ours-2")
        moved = workspace_fields("theirs", "k-theirs", "k-ours")
        await p.until(reconfigure(p, kept, theirs))
        assert (await p.call(authorization=OUR_KEY)).status == 401
        assert (await p.call(authorization=OUR_SECOND_KEY)).status == 200
        p.store.configure(
            config_fields(
                ROUTES, version=3, engine=False, workspaces=(kept, moved)
            )
        )
        await p.until(lambda: p.entries[0].node.catalog.revision == 3)
        assert (await p.call(authorization=OUR_KEY)).status == 200
        assert received_requests(p)[-1].headers[WORKSPACE_HEADER] == "theirs"

    run_with_keys(scenario)


def test_without_a_configuration_nobody_is_called_a_stranger(run_with_keys):
    """Guards against a final refusal by an entry that has just started."""

    async def scenario(p):
        node = p.entries[0].node
        catalog, node.catalog = node.catalog, None
        node._started_ms -= 10_000
        for target in ("/a/x", "/j/j1"):
            answer = await p.call("POST", target, authorization="Token no")
            assert answer.status == 503
            assert float(answer.head.get("retry-after")) > 0
        answer = await read(p, authorization="Token no")
        assert answer.status == 503
        node.catalog = catalog

    run_with_keys(scenario)


def test_an_entry_without_the_store_calls_nobody_a_stranger(run_with_keys):
    """Guards against 401 for a key that a newer revision added."""

    async def scenario(p):
        p.entries[0].node.config_read_ms = lambda: None
        assert (await p.call(authorization="Token new")).status == 503
        assert (await p.call(authorization=OUR_KEY)).status == 200

    run_with_keys(scenario)


def test_an_unreadable_workspace_harms_only_itself(run_with_keys):
    """Guards against one malformed workspace that rejects all callers."""
    broken = workspace_fields("bad", "k-bad", **{"rate-per-s": "many"})
    no_keys = {"name": "worse", "api-keys": 7}

    async def scenario(p):
        assert (await p.call(authorization=OUR_KEY)).status == 200
        assert (await p.call(authorization="Token k-bad")).status == 503
        assert (await p.call(authorization="Token no")).status == 503
        await p.until(reconfigure(p, *WORKSPACES, broken))
        assert (await p.call(authorization="Token k-bad")).status == 503
        assert (await p.call(authorization="Token no")).status == 401

    run_with_keys(scenario, workspaces=(*WORKSPACES, broken, no_keys, "k-odd"))


def test_a_job_is_its_workspaces_alone(run_with_keys):
    """Guards against a job that another workspace reads or ends."""

    async def scenario(p):
        p.replicas[0].then(events=2)
        assert (await submit(p, authorization=OUR_KEY)).status == 202
        await read_all(p, authorization=OUR_KEY)
        for target in ("/api/lots/j1", "/api/items/j1?id=a"):
            answer = await p.call("GET", target, authorization=THEIR_KEY)
            assert answer.status == 404
            assert (await p.call("GET", target)).status == 401
        ended = await p.call("DELETE", "/api/lots/j1", authorization=THEIR_KEY)
        assert ended.status == 404
        kept = workspace_fields("ours", "k-new")
        await p.until(reconfigure(p, kept, WORKSPACES[1]))
        assert (await read(p, authorization=OUR_KEY)).status == 401
        answer = await read(p, authorization="Token k-new")
        assert len(answer.json()["results"]) == 2
        arrivals = [
            a for a in received_requests(p) if a.target.startswith("/j/")
        ]
        assert {a.headers[WORKSPACE_HEADER] for a in arrivals} == {"ours"}

    run_with_keys(scenario)


def test_an_items_own_headers_name_no_workspace(run_with_keys):
    """Guards against item headers that forge another workspace."""
    forged = {"Dahliashunt-Tenant": "theirs", "Authorization": THEIR_KEY}
    fields = json.loads(job_body("a"))
    fields["requests"][0]["headers"].update(forged)

    async def scenario(p):
        p.replicas[0].then(events=1)
        body = json.dumps(fields).encode()
        await submit(p, body=body, authorization=OUR_KEY)
        await read_all(p, authorization=OUR_KEY)
        (arrival,) = [a for a in received_requests(p) if a.request_id == "a"]
        assert arrival.headers[WORKSPACE_HEADER] == "ours"
        assert "authorization" not in arrival.headers

    run_with_keys(scenario)


def test_waiting_tokens_are_capped_for_each_workspace(run_with_keys):
    """Guards against a waiting-token cap shared by all workspaces."""

    async def scenario(p):
        p.replicas[0].then(events=1, gap_ms=60_000)
        full = job_body(*(f"i{n}" for n in range(10)))
        assert (
            await submit(p, "j1", full, authorization=OUR_KEY)
        ).status == 202
        refused = await submit(p, "j2", authorization=OUR_SECOND_KEY)
        assert refused.status == 429
        assert float(refused.head.get("retry-after")) > 0
        assert (await submit(p, "j3", authorization=THEIR_KEY)).status == 202
        ended = await p.call("DELETE", "/api/lots/j1", authorization=OUR_KEY)
        assert ended.status == 200
        assert (await submit(p, "j2", authorization=OUR_KEY)).status == 202

    run_with_keys(scenario)


def test_no_key_is_ever_written_anywhere(run_with_keys):
    """Guards against keys in logs, metrics, pages and error texts."""

    async def scenario(p):
        answers = [
            await p.call(authorization="Token k-nobody"),
            await p.call(authorization=OUR_KEY),
            await submit(p, authorization=OUR_KEY),
            await p.call(target="/none/", authorization=OUR_KEY),
        ]
        entry = p.entries[0]
        texts = [a.body.decode("latin-1") for a in answers]
        texts += [str(a.head.headers) for a in answers]
        texts.append(entry.node.metrics.text())
        texts.append(json.dumps(entry.explainer.explain("a.example", "/a/")))
        texts.append(json.dumps(entry.explainer.routes(0)))
        texts.append(json.dumps(entry.workspaces.workspaces()))
        texts.append(json.dumps(entry.workspaces.explain("ours")))
        texts.append(repr(entry.node.catalog))
        return texts

    odd = {"name": "odd", "api-keys": ["k-odd"], "priority": "k-mixed-up"}
    with capture_logs() as lines:
        texts = run_with_keys(scenario, workspaces=(*WORKSPACES, odd))
    texts += [repr(line) for line in lines]
    for key in ("k-ours", "k-theirs", "k-nobody", "k-odd", "k-mixed-up"):
        assert not [text for text in texts if key in text], key


def test_of_two_workspaces_with_one_key_every_entry_takes_the_same():
    """Guards against entries that map one key to different workspaces."""
    for order in ((0, 1), (1, 0)):
        both = [workspace_fields(name, "k") for name in ("b", "a")]
        fields = config_fields((), workspaces=[both[n] for n in order])
        catalog = decode_catalog(json.dumps(fields))
        assert catalog.workspaces.find_by_key("k").workspace_id == "a"
