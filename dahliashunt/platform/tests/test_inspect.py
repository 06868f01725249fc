"""Tests of the operator's commands against running nodes."""

import asyncio
import contextlib
import json

import pytest

from dahliashunt.adapters.http_server import HttpServer
from dahliashunt.cli.exits import Exit
from dahliashunt.cli.main import main
from dahliashunt.metrics import Metrics
from dahliashunt.platform.inspect_page import InspectPage
from dahliashunt.platform.metrics_page import MetricsPage
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.standins.settings import workspace_fields
from dahliashunt.platform.tests.conftest import free_port
from dahliashunt.recent_lines import RecentLines

ROUTES = (
    route_fields(name="ask", prefix="/a/"),
    route_fields(name="note", prefix="/a/note/", service="none"),
    route_fields(name="twin", prefix="/a/"),
)


@contextlib.asynccontextmanager
async def serve_inspection(entry, recent=None):
    """Serve an entry's inspection page; yield its address."""
    recent = recent or RecentLines()
    metrics = MetricsPage(Metrics("x"))
    page = InspectPage(entry.explainer, recent, metrics, entry.workspaces)
    server = HttpServer(page, "127.0.0.1", 0, lifespan=False)
    await server.start()
    try:
        yield f"127.0.0.1:{server.port}"
    finally:
        await server.stop_now()


@pytest.fixture
def run_command(capsys):
    """Return a coroutine function that runs a command of the operator."""

    async def ask(*words):
        code = await asyncio.to_thread(main, list(words))
        out = capsys.readouterr()
        return code, out.out, out.err

    return ask


def test_a_route_is_explained_as_it_serves_now(platform, run_command):
    # Guards against an explanation that differs from how requests are routed.
    async def scenario(p):
        async with serve_inspection(p.entries[0]) as node:
            words = ("route", "explain", "--node", node)
            code, out, _ = await run_command(*words, "A.example", "/a/x")
            assert code == Exit.OK
            assert "route ask: /a/ is the longest prefix" in out
            assert "service llm (weight 1): 1 replicas (1 in north)" in out
            assert "version 1, in force for" in out
            code, out, _ = await run_command(*words, "a.example", "/a/note/7")
            assert "passed over: ask /a/, shorter" in out
            assert "refused: the service has no replica" in out
            code, out, _ = await run_command(
                *words, "a.example", "/a/x", "--output", "json"
            )
            found = json.loads(out[out.index("{\n") :])
            assert found["route"]["name"] == "ask"
            assert found["services"][0]["usable"] in (0, 1)
            assert found["version"] == 1

    platform(scenario, *ROUTES)


@pytest.mark.parametrize(
    ("host", "path", "why"),
    [
        ("b.example", "/a/x", "no route has the host b.example"),
        ("a.example", "/b/x", "no prefix of a.example begins /b/x"),
        ("a.example", "a", "it must begin with a slash"),
    ],
)
def test_an_unmatched_request_is_explained(
    platform, run_command, host, path, why
):
    async def scenario(p):
        async with serve_inspection(p.entries[0]) as node:
            code, out, _ = await run_command(
                "route", "explain", host, path, "--node", node
            )
            assert code == Exit.NOT_FOUND
            assert why in out

    platform(scenario, *ROUTES)


def test_nodes_with_different_revisions_are_shown(platform, run_command):
    # Guards against hiding that a node without the store has old routes.
    async def scenario(p):
        one, other = p.entries[0], await p.add_entry()
        other.jobs.store.address = ("127.0.0.1", free_port())
        changed = [route_fields(name="new", prefix="/a/")]
        await p.until(lambda: not other.node.ready)
        p.store.configure(config_fields(changed, version=2, engine=False))
        await p.until(lambda: one.node.catalog.revision == 2)
        async with (
            serve_inspection(one) as first,
            serve_inspection(other) as second,
        ):
            words = ["route", "explain", "a.example", "/a/x"]
            words += ["--node", first, "--node", second]
            code, out, _ = await run_command(*words)
            assert code == Exit.OK
            assert "2 nodes give 2 answers" in out
            assert "route new" in out
            assert "route ask" in out
            code, out, _ = await run_command(
                "route", "list", "--node", first, "--changes"
            )
            assert "version 2 after 1" in out
            assert "added" in out
            assert "removed" in out

    platform(scenario, *ROUTES)


def test_routes_that_do_not_serve_are_listed(platform, run_command):
    async def scenario(p):
        async with serve_inspection(p.entries[0]) as node:
            code, out, _ = await run_command("route", "list", "--node", node)
            assert code == Exit.OK
            assert "3 routes" in out
            assert "its service none has no replica" in out
            assert "ask has the same host and prefix" in out
            code, out, _ = await run_command(
                "route", "list", "--all", "--node", node
            )
            assert "/a/note/" in out

    platform(scenario, *ROUTES)


def test_a_long_list_comes_in_pages_and_of_one_version(platform, run_command):
    async def scenario(p):
        async with serve_inspection(p.entries[0]) as node:
            words = ("route", "list", "--node", node, "--all")
            code, out, _ = await run_command(*words, "--output", "json")
            found = json.loads(out[out.index("{\n") :])
            assert code == Exit.OK
            assert len(found["routes"]) == 2_500
            assert len({r["name"] for r in found["routes"]}) == 2_500

    many = [
        route_fields(name=f"r{n}", prefix=f"/a/{n}/") for n in range(2_500)
    ]
    platform(scenario, *many)


def test_a_request_is_found_in_a_nodes_last_lines(platform, run_command):
    async def scenario(p):
        recent = RecentLines()
        for number, event in enumerate(("attempt_ended", "served")):
            line = {"event": event, "node": "front-0", "request_id": "abc"}
            line["timestamp"] = f"2026-01-01T00:00:0{number}Z"
            recent.add(json.dumps(line))
        async with serve_inspection(p.entries[0], recent) as node:
            code, out, _ = await run_command(
                "request", "trace", "abc", "--node", node
            )
            assert code == Exit.OK
            assert out.index("attempt_ended") < out.index("served")
            code, _, err = await run_command(
                "request", "trace", "other", "--node", node
            )
            assert code == Exit.NOT_FOUND
            assert "no line names other" in err

    platform(scenario, *ROUTES)


def test_a_node_that_has_dropped_lines_says_so(platform, run_command):
    async def scenario(p):
        recent = RecentLines(most_characters=10)
        recent.add("0123456789")
        recent.add("0123456789")
        async with serve_inspection(p.entries[0], recent) as node:
            _, _, err = await run_command(
                "request", "trace", "x", "--node", node
            )
            assert "has dropped 1 older ones: look in its logs" in err

    platform(scenario, *ROUTES)


def test_a_node_that_does_not_answer_is_one_clear_line(platform, run_command):
    async def scenario(p):
        node = f"127.0.0.1:{free_port()}"
        for words in (
            ("route", "explain", "a.example", "/a/x", "--node", node),
            ("route", "list", "--node", node),
            ("request", "trace", "abc", "--node", node),
        ):
            code, _, err = await run_command(*words)
            assert code == Exit.UNAVAILABLE
            assert f"node {node} does not answer" in err
            assert err.count("\n") == 1
        async with serve_inspection(p.entries[0]) as live:
            code, out, _ = await run_command(
                *("route", "explain", "a.example", "/a/x"),
                *("--node", node, "--node", live),
            )
            assert code == Exit.UNAVAILABLE
            assert "route ask" in out

    platform(scenario, *ROUTES)


def test_bad_questions_are_refused(platform, run_command):
    async def scenario(p):
        async with serve_inspection(p.entries[0]) as node:
            code, _, err = await run_command(
                "request", "trace", "x" * 300, "--node", node
            )
            assert code == Exit.UNAVAILABLE
            assert "answered 400" in err
            code, _, err = await run_command(
                "route", "list", "--node", "nowhere"
            )
            assert code == Exit.USAGE

    platform(scenario, *ROUTES)


KEYED = config_fields(
    (route_fields(kind="idempotent", resumable=False),),
    engine=False,
    workspaces=(
        workspace_fields("quiet", "k-1", priority=1),
        workspace_fields("hot", "k-2", **{"rate-per-s": 1, "burst": 2}),
        workspace_fields("bad", "k-3", **{"rate-per-s": "x"}),
    ),
)


def test_workspaces_are_listed_by_use(platform, run_command):
    """Guards against a busy workspace that is not listed first."""

    async def scenario(p):
        for number in range(4):
            await p.call(request_id=f"r{number}", authorization="Token k-2")
        async with serve_inspection(p.entries[0]) as node:
            code, out, _ = await run_command(
                "workspace", "list", "--node", node
            )
        assert code == Exit.OK
        lines = [line.split() for line in out.splitlines()]
        first = lines.index(["hot", "1.0", "2.0", "-", "2", "2"])
        assert lines[first + 1] == ["quiet", "0.0", "0.0", "1", "0", "0"]
        assert "can't be read: bad (ValueError)" in out

    platform(scenario, config=KEYED)


def test_a_refused_workspace_is_explained(platform, run_command):
    """Guards against a refusal that is not explained to the operator."""

    async def scenario(p):
        for number in range(4):
            await p.call(request_id=f"r{number}", authorization="Token k-2")
        words = ("workspace", "explain", "--node")
        async with serve_inspection(p.entries[0]) as node:
            code, out, _ = await run_command(*words, node, "hot")
            assert code == Exit.OK
            assert "1 requests a second, burst 2" in out
            assert "2 let in, 2 refused" in out
            assert "of this node's share, a part in 1" in out
            code, out, _ = await run_command(*words, node, "none")
            assert code == Exit.NOT_FOUND
            assert "no such workspace" in out

    platform(scenario, config=KEYED)
