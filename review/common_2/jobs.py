"""Batch jobs as clients send and read them."""

import asyncio
import base64
import json

__all__ = ["job_body", "read_all"]


def job_body(job_id, prefix, items, tokens, work="20 5"):
    """Return the body of a submission whose items all do `work`."""
    requests = [
        {
            "id": f"{job_id}-{number}",
            "path": f"{prefix}3/{number}",
            "headers": {
                "Dahliashunt-Model": "m",
                "Dahliashunt-Token-Usage": f"{tokens - 100},100",
            },
            "body": base64.b64encode(work.encode()).decode(),
            "tokens": tokens,
        }
        for number in range(items)
    ]
    return json.dumps({"requests": requests}).encode()


async def read_all(fleet, entry, job_id, limit_s):
    """Read results about twice a second until all are listed."""
    results = []
    total = None
    loop = asyncio.get_running_loop()
    until = loop.time() + limit_s
    while loop.time() < until and (total is None or len(results) < total):
        target = f"/api/lots/{job_id}?after={len(results)}"
        found = await fleet.call(entry, "GET", target)
        if found is not None and found.status == 200:
            page = found.json()
            total = page["total"]
            results += page["results"]
            for each in page["results"]:
                fleet.record("result", id=each["id"], state=each["state"])
        await asyncio.sleep(0.5)
    return results
