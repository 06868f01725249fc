"""An item larger than a replica's memory holds up the items of other jobs."""

import asyncio
import pathlib
import sys
import time

from common.fleet import main

HOST = "lots.example"
PREFIX = "/lots/"
KV_TOKENS = 100_000
FIRST_JOB = "7c41e09b52d6a3f8"
SECOND_JOB = "89113170c97405f7"
SECOND_ITEMS = 60
EVENTS = 200
EVENT_S = 0.01
TRAFFIC_S = 18
FINISH_S = 18
CALM_S = 5
QUIET_S = 3


def config():
    """Return a configuration with one batch route."""
    route = {
        "name": "lots",
        "host": HOST,
        "prefix": PREFIX,
        "kind": "batch",
        "timeout-ms": 15000,
        "goal-ms": 400,
        "gap-aim-ms": 400,
        "service": "llm",
        "max-attempts": 3,
        "completion-target-ms": 18000,
        "max-wait-s": 60,
        "cap": 2_200_000,
        "priority": 2,
        "sticky": True,
        "resumable": True,
    }
    service = {
        "name": "llm",
        "health-path": "/health",
        "max-conns": 370,
        "engine": {"slots": 8, "kv-capacity": KV_TOKENS},
    }
    return {"version": 3, "routes": [route], "services": [service]}


def item(item_id, output_tokens):
    """Return an item with a prompt of 300 tokens."""
    return {
        "id": item_id,
        "tokens": 300 + output_tokens,
        "usage": f"300,{output_tokens}",
        "parts": f"a1:100,{item_id}:200",
    }


async def scenario(fleet, troubled):
    """Submit a job with a large item, then a job of usual ones."""
    texts = [f"w{number}" for number in range(EVENTS)]
    last_end_s = [0.0]

    async def run(replica, request, writer):
        item_id = request.headers["dahliashunt-request-id"]
        fleet.note(f"{replica.replica_id} runs {item_id}")
        try:
            return await replica.stream(request, writer, texts, EVENT_S)
        finally:
            last_end_s[0] = time.monotonic()
            fleet.note(f"{replica.replica_id} ends {item_id}")

    await fleet.open(config())
    for replica_id in ("i-1", "i-2"):
        await fleet.add_replica(replica_id, "llm", 8, run, agent=True)
    for name in ("front-1", "front-2"):
        fleet.add_entry(name)
    await fleet.until_ready()
    began_s = time.monotonic()
    large = 120_000 if troubled else 200
    first = [item("a" * 16, 200), item("b" * 16, large)]
    second = [item(f"{n:016x}", 200) for n in range(1, SECOND_ITEMS + 1)]
    for job_id, items in ((FIRST_JOB, first), (SECOND_JOB, second)):
        answer = await fleet.submit("front-1", HOST, PREFIX, job_id, items)
        if answer.status != 202:
            return [f"the job {job_id} was answered {answer.status}"]
        await asyncio.sleep(0.5)
    until_s = began_s + TRAFFIC_S + FINISH_S
    while time.monotonic() < until_s:
        await asyncio.sleep(1)
        page = await fleet.results("front-2", HOST, SECOND_JOB)
        if page and len(page["results"]) == SECOND_ITEMS:
            return []
    return await _judge(fleet, last_end_s[0])


async def _judge(fleet, last_end_s):
    """Apply the rule to the second job at the end of finish-s."""
    quiet_s = time.monotonic() - last_end_s
    running = sum(len(replica.running) for replica in fleet.replicas)
    fleet.note(f"{running} running, last run ended {quiet_s:.1f} s ago")
    page = await fleet.results("front-2", HOST, SECOND_JOB)
    left = SECOND_ITEMS - len(page["results"])
    if quiet_s < max(CALM_S, QUIET_S) or running:
        return []
    return [
        f"LOST: {left} items of job {SECOND_JOB}, which is open, are listed"
        f" neither as done nor as dead; no replica had one of them for"
        f" {quiet_s:.1f} s, and all {8 * len(fleet.replicas)} slots are free"
    ]


if __name__ == "__main__":
    sys.exit(main(scenario, str(pathlib.Path(__file__).parent)))
