"""Memory of replicas on the platform's path."""

import asyncio
import contextlib
import json

import pytest
import structlog

from dahliashunt.platform.dialect import decode_report
from dahliashunt.platform.names import TOKENS
from dahliashunt.platform.serve_agent import _Agent
from dahliashunt.platform.settings import load_settings
from dahliashunt.platform.standins.caller import results_target
from dahliashunt.platform.standins.settings import agent_fields
from dahliashunt.platform.standins.settings import job_route
from dahliashunt.platform.standins.settings import route_fields

IDEMPOTENT = route_fields(kind="idempotent", resumable=False)
REPORT = {"num-running": 1, "num-waiting": 0}


@pytest.mark.parametrize("odd", [None, "9", -1, True, [], 1.5, float("nan")])
def test_a_report_with_odd_token_counts_is_read(odd):
    """Guards against a replica that counts as away for one odd field."""
    runs = [["r", odd, 0, 0], ["s"]]
    fields = {**REPORT, "runs": runs, "kv-total": odd, "kv-used": odd}
    report = decode_report(json.dumps(fields).encode())
    assert report.running == {"r", "s"}
    assert (report.kv_total, report.kv_used) == (0, 0)
    assert set(report.tokens_by_run.values()) == {0}


def test_a_request_larger_than_each_replica_is_refused_at_once(platform):
    """Guards against a wait, a retry or a run of what can't fit."""

    async def scenario(p):
        async with p.agent():
            await p.until(lambda: p.hears_agents(p.entries[0]))
            answer = await p.call(tokens="99000,1001")
            fits = await p.call(tokens="99000,1000", request_id="r2")
        assert answer.status == 503
        assert b"not run" in answer.body
        assert fits.status == 200
        assert [a.request_id for a in p.replicas[0].arrivals] == ["r2"]

    platform(scenario, IDEMPOTENT, engine=True)


def test_an_agent_grants_no_more_than_the_reported_memory(platform, tmp_path):
    """Guards against a replica that crashes while slots are free."""

    @contextlib.asynccontextmanager
    async def agent(p):
        host, port = p.replicas[0].address
        ports = (p._agent_port, p._agent_port + 1)
        fields = agent_fields(p._store_address, "agent", host, ports, port)
        path = tmp_path / "agent.json"
        path.write_text(json.dumps(fields))
        agent = _Agent(load_settings(str(path)), structlog.get_logger())
        task = asyncio.create_task(agent.run())
        try:
            yield agent
        finally:
            task.cancel()
            agent.stop()

    async def scenario(p):
        runs = [["x", 50_000, 3, 0]]
        fields = {**REPORT, "runs": runs, "kv-used": 1, "kv-total": 90_000}
        p.replicas[0].then(body=json.dumps(fields).encode())
        known = p.entries[0].known_replicas
        replica = p.entries[0].node.registry.get("i-0")
        async with agent(p) as running:
            await p.until(lambda: known.free_tokens(replica) > 0)
            free = known.free_tokens(replica)
            large = await p.call(tokens="39000,1001")
            small = await p.call(tokens="39000,1000", request_id="r2")
            lines = "".join(running.metrics.text())
        assert 39_000 < free <= 40_000
        assert (large.status, small.status) == (503, 200)
        ids = {each.request_id for each in p.replicas[0].arrivals}
        assert "r1" not in ids
        assert "memory_total_tokens" in lines

    platform(scenario, IDEMPOTENT, engine=True)


def test_an_item_larger_than_each_replica_keeps_its_time(platform):
    """Guards against an item given up before its time limit or a run."""
    item = {
        "id": "i",
        "path": "/j/i",
        "headers": {TOKENS: "99000,1001"},
        "body": "e30=",
        "tokens": 100,
    }

    async def scenario(p):
        body = json.dumps({"requests": [item]}).encode()
        async with p.agent():
            await p.until(lambda: p.hears_agents(p.entries[0]))
            submitted = await p.call("POST", "/j/j1", body, request_id="j1")
            assert submitted.status == 202
            gauges = p.entries[0].node.metrics.gauges_by_name
            await p.until(lambda: gauges.get(("items_waiting", ())) == 1)
            page = await p.call("GET", results_target("j1", 0), wait_ms=200)
        assert page.json()["results"] == []
        assert p.replicas[0].arrivals == []

    platform(scenario, job_route("/j/", 18_000, 2), engine=True)
