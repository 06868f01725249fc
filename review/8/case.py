"""A stream after which its replica sends more bytes lacks its last event."""

import asyncio
import pathlib
import re

from review.common_2.fleet import config
from review.common_2.fleet import is_troubled
from review.common_2.fleet import main
from review.common_2.fleet import stream_route

PREFIX = "/lohu930/"
EVENTS = 35
SECOND_ANSWER = (
    b"HTTP/1.1 200 OK\r\n"
    b"Dahliashunt-Request-Id: s4\r\n"
    b"Content-Type: text/event-stream\r\n\r\n"
    b"id: 1\ndata: 1 of s4\n\n"
)


async def case(fleet):
    """Return what broke the rule, or None."""
    await fleet.start(config(7, [stream_route("r-notes", PREFIX)]))
    first, _ = fleet.entries
    await asyncio.sleep(2)
    # Whichever replica runs the next stream takes them, and only that one.
    extras = []
    for replica in fleet.replicas:
        replica.unframed = True
        replica.extras = extras
    broken = None
    for number in range(10):
        if is_troubled() and number == 4:
            extras.append(SECOND_ANSWER)
        found = await fleet.call(
            first,
            "POST",
            f"{PREFIX}{number}",
            body=b"%d 20" % EVENTS,
            request_id=f"s{number}",
            tokens=f"450,{EVENTS}",
            budget_ms="5000",
        )
        if found is None or found.status != 200 or not found.whole:
            fleet.record("not-whole", request_id=f"s{number}")
            continue
        ids = [int(each) for each in re.findall(rb"id: (\d+)\n", found.body)]
        texts = [
            int(each) for each in re.findall(rb"data: (\d+) ", found.body)
        ]
        fleet.record("whole", request_id=f"s{number}", ids=ids, texts=texts)
        if found.headers.get("dahliashunt-response-seal") is None:
            continue
        missing = [n for n in range(1, EVENTS + 1) if n not in texts]
        if missing or len(texts) != EVENTS:
            broken = (
                f"ORDER: stream s{number} ended whole without events {missing}"
            )
    return broken


if __name__ == "__main__":
    main(case, pathlib.Path(__file__).parent)
