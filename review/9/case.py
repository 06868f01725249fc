"""A replica that has left the list gets requests after its time."""

import asyncio
import pathlib
import random
import time

from review.common_2.fleet import BOUNDS
from review.common_2.fleet import config
from review.common_2.fleet import is_troubled
from review.common_2.fleet import main
from review.common_2.fleet import stream_route

PREFIX = "/lohu930/"
CLIENTS = 16
DRAIN_S = BOUNDS["drain-ms"] / 1000
CONTACT_S = BOUNDS["contact-ms"] / 1000


async def _client(fleet, entry, number, sent_by_id):
    """Send one request after another, each on a new channel."""
    for count in range(10_000):
        name = f"s{number}-{count}"
        sent_by_id[name] = time.monotonic()
        await fleet.call(
            entry,
            "POST",
            f"{PREFIX}{name}",
            body=b"10 20",
            request_id=name,
            tokens="450,10",
            budget_ms="5000",
        )
        await asyncio.sleep(random.uniform(0.05, 0.15))


async def case(fleet):
    """Return what broke the rule, or None."""
    await fleet.start(config(7, [stream_route("r-notes", PREFIX)]))
    entry, _ = fleet.entries
    sent_by_id = {}
    clients = [
        asyncio.create_task(_client(fleet, entry, number, sent_by_id))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(3)
    broken = None
    # The replicas are emptied one after the other; two stay.
    for leaver in fleet.replicas[2:]:
        await asyncio.sleep(random.random())
        broken = broken or await _leave(fleet, entry, leaver, sent_by_id)
    for each in clients:
        each.cancel()
    return broken


async def _leave(fleet, entry, leaver, sent_by_id):
    """Take a replica away; return what broke the rule, or None."""
    in_touch_from = 0.0
    if is_troubled():
        link = fleet.link_by_name[entry.name]
        await link.reset_next(b"/api/rows-feed?table=servers&")
        in_touch_from = time.monotonic() + CONTACT_S
        fleet.record("reset", channel="feed of servers", machine=entry.name)
    await asyncio.sleep(0.6)
    leaver.leave_list()
    left = time.monotonic()
    fleet.record("left-the-list", replica=leaver.name)
    await asyncio.sleep(3.6)
    late = [
        run
        for run in leaver.runs
        if run["at"] > left + DRAIN_S and sent_by_id[run["id"]] > in_touch_from
    ]
    if not late:
        return None
    return (
        f"DRAIN: {len(late)} requests reached {leaver.name}, the last"
        f" {late[-1]['at'] - left:.2f} s after it had left the list"
    )


if __name__ == "__main__":
    main(case, pathlib.Path(__file__).parent, replicas=12)
