"""A result that doesn't fit into one transaction holds up its whole job."""

import asyncio
import pathlib
import sys
import time

from common.fleet import main

HOST = "lots.example"
PREFIX = "/lots/"
JOB = "7c41e09b52d6a3f8"
SHORT_ITEMS = 10
TRAFFIC_S = 12
FINISH_S = 18
CALM_S = 5
EVENT_BYTES = 2_000
LARGE = "b" * 16


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
        "engine": {"slots": 8, "kv-capacity": 147_261},
    }
    return {"version": 3, "routes": [route], "services": [service]}


async def scenario(fleet, troubled):
    """Submit one job with one long output among short ones."""
    last_end_s = [0.0]
    whole = set()

    async def run(replica, request, writer):
        item_id = request.headers["dahliashunt-request-id"]
        fleet.note(f"{replica.replica_id} runs {item_id}")
        texts = [f"w{number}" for number in range(100)]
        gap_s = 0.03
        if item_id == LARGE:
            count = 400 if troubled else 100
            texts = ["x" * EVENT_BYTES for _ in range(count)]
            gap_s = 0.004
        try:
            done = await replica.stream(request, writer, texts, gap_s)
            whole.add(item_id)
            return done
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
    ids = [LARGE, *(f"{n:016x}" for n in range(1, SHORT_ITEMS + 1))]
    items = [
        {
            "id": item_id,
            "tokens": 130_300 if item_id == LARGE else 500,
            "usage": "300,130000" if item_id == LARGE else "300,200",
            "parts": f"a1:100,{item_id}:200",
        }
        for item_id in ids
    ]
    answer = await fleet.submit("front-1", HOST, PREFIX, JOB, items)
    if answer.status != 202:
        return [f"the job was answered {answer.status}"]
    page = None
    while time.monotonic() < began_s + TRAFFIC_S + FINISH_S:
        await asyncio.sleep(1)
        page = await fleet.results("front-2", HOST, JOB)
        if page and len(page["results"]) == len(items):
            return []
    return _judge(fleet, page, len(items), last_end_s[0], whole)


def _judge(fleet, page, count, last_end_s, whole):
    quiet_s = time.monotonic() - last_end_s
    running = sum(len(replica.running) for replica in fleet.replicas)
    fleet.note(f"{len(whole)} items finished at replicas: {sorted(whole)}")
    fleet.note(f"the store refused {fleet.store.refused[:3]}")
    left = count - len(page["results"])
    if quiet_s < CALM_S or running:
        return []
    return [
        f"LOST: {left} of {count} items of job {JOB}, which is open, are"
        f" listed neither as done nor as dead; {len(whole)} were finished at"
        f" replicas, the last one {quiet_s:.1f} s ago"
    ]


if __name__ == "__main__":
    sys.exit(main(scenario, str(pathlib.Path(__file__).parent)))
