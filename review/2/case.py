"""Sound items are held back after one item with a long prompt."""

import asyncio
import pathlib
import sys
import time

from common.fleet import main

HOST = "lots.example"
PREFIX = "/lots/"
LONG_JOB = "7c41e09b52d6a3f8"
SHORT_JOB = "89113170c97405f7"
LONG_ITEM = "b" * 16
SHORT_ITEMS = 20
SHARED = "a1:100"
KV_TOKENS = 147_261
READ_TOKENS_PER_MS = 85.2
"""Memory and speed of an engine, from the sheet."""

EVENTS = 100
EVENT_S = 0.01
SECOND_JOB_S = 20
TRAFFIC_S = 24
FINISH_S = 18
CALM_S = 5


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


def item(item_id, prompt_tokens):
    """Return an item whose prompt begins with the shared part."""
    return {
        "id": item_id,
        "tokens": prompt_tokens + 200,
        "usage": f"{prompt_tokens},200",
        "parts": f"{SHARED},{item_id}:{prompt_tokens - 100}",
    }


async def scenario(fleet, troubled):
    """Submit a job with the long prompt, and later one of short ones."""
    texts = [f"w{number}" for number in range(EVENTS)]
    last_end_s = [0.0]

    async def run(replica, request, writer):
        item_id = request.headers["dahliashunt-request-id"]
        usage = request.headers["dahliashunt-token-usage"]
        fleet.note(f"{replica.replica_id} runs {item_id} of {usage} tokens")
        try:
            read_s = int(usage.split(",")[0]) / READ_TOKENS_PER_MS / 1000
            await asyncio.sleep(read_s)
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
    long = [item(LONG_ITEM, 140_000 if troubled else 250)]
    short = [item(f"{n:016x}", 250) for n in range(1, SHORT_ITEMS + 1)]
    for job_id, items, at_s in (
        (LONG_JOB, long, 0),
        (SHORT_JOB, short, SECOND_JOB_S),
    ):
        await asyncio.sleep(max(0, began_s + at_s - time.monotonic()))
        answer = await fleet.submit("front-1", HOST, PREFIX, job_id, items)
        if answer.status != 202:
            return [f"the job {job_id} was answered {answer.status}"]
    while time.monotonic() < began_s + TRAFFIC_S + FINISH_S:
        await asyncio.sleep(1)
        page = await fleet.results("front-2", HOST, SHORT_JOB)
        if page and len(page["results"]) == SHORT_ITEMS:
            return []
    return await _judge(fleet, last_end_s[0])


async def _judge(fleet, last_end_s):
    """Apply the rule to the short job at the end of finish-s."""
    quiet_s = time.monotonic() - last_end_s
    running = sum(len(replica.running) for replica in fleet.replicas)
    fleet.note(f"{running} running, last run ended {quiet_s:.1f} s ago")
    for name, fields in fleet.events("part_lost", "trial_claimed"):
        fleet.note(f"log of {name}: {fields}")
    page = await fleet.results("front-2", HOST, SHORT_JOB)
    left = SHORT_ITEMS - len(page["results"])
    if quiet_s < CALM_S or running:
        return []
    return [
        f"LOST: {left} of {SHORT_ITEMS} items of job {SHORT_JOB}, which is"
        f" open, are listed neither as done nor as dead; no replica had one"
        f" of them for {quiet_s:.1f} s, and all slots are free"
    ]


if __name__ == "__main__":
    sys.exit(main(scenario, str(pathlib.Path(__file__).parent)))
