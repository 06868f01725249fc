"""A job's items are listed as dead by an entry that misses its route."""

import asyncio
import pathlib
import random
import signal
import time

from review.common_2.fleet import batch_route
from review.common_2.fleet import config
from review.common_2.fleet import is_troubled
from review.common_2.fleet import main
from review.common_2.jobs import job_body
from review.common_2.jobs import read_all

OLD = batch_route("r-old", "/pule252/")
NEW = batch_route("r-new", "/wexa417/")
MAX_WAIT_S = NEW["max-wait-s"]


async def case(fleet):
    """Return what broke the rule, or None."""
    await fleet.start(config(7, [OLD]))
    first, second = fleet.entries
    # Both serve the route that is there from the start.
    body = job_body("a1", "/pule252/", 4, 600)
    found = await fleet.call(
        second, "POST", "/pule252/a1", body=body, request_id="a1"
    )
    assert found is not None and found.status == 202
    assert len(await read_all(fleet, second, "a1", 15)) == 4
    # Two versions, at any moment of the loops of the entries.
    await asyncio.sleep(1 + random.random())
    fleet.store.put("op", "config", config(8, [OLD]))
    fleet.record("configured", version=8)
    if is_troubled():
        link = fleet.link_by_name[second.name]
        await link.silence_next(b"/api/rows-feed?table=op&")
        fleet.record("silent", channel="feed of op", machine=second.name)
    fleet.store.put("op", "config", config(9, [OLD, NEW]))
    fleet.record("configured", version=9)
    await asyncio.sleep(0.05)
    sent = time.monotonic()
    body = job_body("b2", "/wexa417/", 10, 600)
    found = await fleet.call(
        first, "POST", "/wexa417/b2", body=body, request_id="b2"
    )
    assert found is not None and found.status == 202
    first.signal(signal.SIGTERM)
    fleet.record("sigterm", machine=first.name)
    results = await read_all(fleet, second, "b2", 30)
    took_s = time.monotonic() - sent
    dead = [each["id"] for each in results if each["state"] == "dead"]
    if dead and took_s < MAX_WAIT_S:
        return (
            f"MIXED: {len(dead)} of 10 accepted items are dead after"
            f" {took_s:.1f} s of {MAX_WAIT_S} s, and the route is there"
        )
    if len(results) < 10:
        return f"LOST: {len(results)} of 10 items are listed"
    return None


if __name__ == "__main__":
    main(case, pathlib.Path(__file__).parent)
