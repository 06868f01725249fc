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
    """
    mailbox = connection.start(request)
    until_ms = clock.now_ms() + limit_ms
    head = None
    parts = []
    size = 0
    while True:
        events = await mailbox.take(max(1, until_ms - clock.now_ms()))
        if not events:
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
