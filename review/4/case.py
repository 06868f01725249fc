"""A result's text loses what follows U+2028 and other separators."""

import asyncio
import pathlib
import sys
import time

from common.fleet import main

HOST = "lots.example"
PREFIX = "/lots/"
JOB = "7c41e09b52d6a3f8"
FINISH_S = 18

SEPARATORS = {
    "e000000000000001": "\u2028",
    "e000000000000002": "\x85",
    "e000000000000003": "\x0c",
    "e000000000000004": "",
}
"""Character within the output of each item; the last one has none."""


def outputs(item_id, troubled):
    """Return the data of the events of an item."""
    mark = SEPARATORS[item_id] if troubled else ""
    texts = [f"w{number} " for number in range(20)]
    texts[7] = f"before{mark}after "
    return texts


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
        "cap": 1_000_000,
        "priority": 2,
        "sticky": True,
        "resumable": True,
    }
    service = {
        "name": "llm",
        "health-path": "/health",
        "max-conns": 370,
        "engine": {"slots": 8, "kv-capacity": 100_000},
    }
    return {"version": 3, "routes": [route], "services": [service]}


async def scenario(fleet, troubled):
    """Submit one job of four items and compare its results."""

    async def run(replica, request, writer):
        item_id = request.headers["dahliashunt-request-id"]
        fleet.note(f"{replica.replica_id} runs {item_id}")
        texts = outputs(item_id, troubled)
        return await replica.stream(request, writer, texts, 0.01)

    await fleet.open(config())
    for replica_id in ("i-1", "i-2"):
        await fleet.add_replica(replica_id, "llm", 8, run, agent=True)
    for name in ("front-1", "front-2"):
        fleet.add_entry(name)
    await fleet.until_ready()
    items = [
        {"id": item_id, "tokens": 500, "parts": f"a1:100,{item_id}:200"}
        for item_id in SEPARATORS
    ]
    answer = await fleet.submit("front-1", HOST, PREFIX, JOB, items)
    if answer.status != 202:
        return [f"the job was answered {answer.status}"]
    until_s = time.monotonic() + FINISH_S
    page = None
    while time.monotonic() < until_s:
        page = await fleet.results("front-2", HOST, JOB)
        if page and len(page["results"]) == len(items):
            break
        await asyncio.sleep(0.5)
    return list(_broken(fleet, page, troubled))


def _broken(fleet, page, troubled):
    for result in page["results"] if page else ():
        whole = "\n".join(outputs(result["id"], troubled))
        fleet.note(f"replica's output of {result['id']}: {whole!r}")
        fleet.note(f"listed {result['state']}: {result['output']!r}")
        if result["state"] == "done" and result["output"] != whole:
            yield (
                f"MIXED: item {result['id']} is done, and its text isn't the"
                f" item's whole output: {len(result['output'])} characters of"
                f" {len(whole)}"
            )


if __name__ == "__main__":
    sys.exit(main(scenario, str(pathlib.Path(__file__).parent)))
