"""A success without the replica's seal is passed on to the client."""

import asyncio
import pathlib
import sys

from common.fleet import main
from common.http import answer_bytes

HOST = "cards.example"
REQUESTS = 450
PER_S = 60
SPOILT_EVERY = 34
"""Every 34th answer of one of two replicas: share 0.5, x 0.0294."""

BODY = b"job card 17: porcelain head, two cracks"


def config():
    """Return a configuration with one idempotent route."""
    route = {
        "name": "cards",
        "host": HOST,
        "prefix": "/cards/",
        "kind": "idempotent",
        "timeout-ms": 2500,
        "goal-ms": 150,
        "service": "app",
        "max-attempts": 3,
        "priority": 2,
    }
    service = {"name": "app", "health-path": "/health", "max-conns": 110}
    return {"version": 3, "routes": [route], "services": [service]}


async def scenario(fleet, troubled):
    """Send lookups while one replica spoils some of its answers."""
    counts = {"i-1": 0, "i-2": 0}

    async def run(replica, request, writer):
        request_id = request.headers["dahliashunt-request-id"]
        await asyncio.sleep(0.045)
        counts[replica.replica_id] += 1
        number = counts[replica.replica_id]
        spoils = troubled and replica.replica_id == "i-2"
        if spoils and number % SPOILT_EVERY == 0:
            # Bytes that are not a response of a replica: no seal, no id.
            fleet.note(f"{replica.replica_id} spoils {request_id}")
            writer.write(answer_bytes(200, (), b"\x00\x01 not a response"))
            return True
        fleet.note(f"{replica.replica_id} runs {request_id}")
        writer.write(answer_bytes(200, replica.sealed(request), BODY))
        return True

    await fleet.open(config())
    for replica_id in counts:
        await fleet.add_replica(replica_id, "app", 6, run)
    for name in ("front-1", "front-2"):
        fleet.add_entry(name)
    await fleet.until_ready()
    broken = []
    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(_ask(fleet, number, broken)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    return broken


async def _ask(fleet, number, broken):
    request_id = f"{number:016x}"
    headers = [
        ("Host", HOST),
        ("Dahliashunt-Request-Id", request_id),
        ("Dahliashunt-Request-Timeout-Ms", "2500"),
    ]
    entry = ("front-1", "front-2")[number % 2]
    answer = await fleet.call(
        entry, "POST", f"/cards/{number}", headers, b"{}", 3
    )
    seal = answer.headers.get("dahliashunt-response-seal")
    if 200 <= answer.status < 300 and seal is None:
        broken.append(
            f"MIXED: request {request_id} got {answer.status} without a seal,"
            f" body {answer.body!r}"
        )


if __name__ == "__main__":
    sys.exit(main(scenario, str(pathlib.Path(__file__).parent)))
