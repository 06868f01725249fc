"""Send one request and read its complete response within a time limit."""

from dataclasses import dataclass

from dahliashunt.adapters.http1.bounds import Bound
from dahliashunt.adapters.http1.connection import End
from dahliashunt.adapters.http1.connection import HttpConnection
from dahliashunt.adapters.http1.connection import ResponseHead
from dahliashunt.ports import Clock

__all__ = ["HttpResponse", "exchange_whole"]

MAX_BODY_BYTES = 1_048_576
"""Longest body, unless the caller sets another bound. Reports and health
checks have some 100 KB at most."""

LATE_TIMER_MS = 20
"""Lateness of a timer from which this process counts as not having run. On a
busy machine a process was held up for 100 to 1,900 ms without CPU time."""

EXTENSION_MS = 150
"""Longest extension of a limit that ended while this process did not run: as
long as the shortest limit of a read of the store."""

MAX_EXTENSIONS = 3
"""Most extensions of one limit, which bound the wait on a machine that holds
this process up again and again."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Response with its complete body."""

    head: ResponseHead
    body: bytes


async def exchange_whole(
    connection: HttpConnection,
    request: bytes,
    clock: Clock,
    limit_ms: int,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> HttpResponse | None:
    """Send `request`; return its response, or None if it is incomplete.

    On a timeout the connection is closed, so that a late response is not
    read as the answer to a later request. It is closed as well at a body
    that is, or is stated to be, longer than `max_body_bytes`; the
    connection's attribute `exceeded` tells.

    A limit that ended while this process did not run is extended, by
    `MAX_EXTENSIONS` times `EXTENSION_MS` at most: the silence may be its own
    or that of a peer on the same machine.
    """
    mailbox = connection.start(request)
    until_ms = clock.now_ms() + limit_ms
    extensions = 0
    head = None
    parts = []
    size = 0
    while True:
        asked_ms = clock.now_ms()
        wait_ms = max(1, until_ms - asked_ms)
        events = await mailbox.take(wait_ms)
        if not events:
            now_ms = clock.now_ms()
            late_ms = now_ms - asked_ms - wait_ms
            if late_ms >= LATE_TIMER_MS and extensions < MAX_EXTENSIONS:
                extensions += 1
                until_ms = now_ms + min(limit_ms, EXTENSION_MS)
                continue
            connection.abort()
            return None
        for event in events:
            if isinstance(event, ResponseHead):
                head = event
            elif isinstance(event, End):
                if event is End.BROKEN or head is None:
                    return None
                return HttpResponse(head, b"".join(parts))
            else:
                connection.taken(len(event))
                parts.append(event)
                size += len(event)
            if max(size, head.stated_bytes() or 0) > max_body_bytes:
                connection.exceed(Bound.BODY)
                return None
