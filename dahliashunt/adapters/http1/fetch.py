"""One request and its whole answer, within a time limit."""

from dataclasses import dataclass

from dahliashunt.adapters.http1.connection import End
from dahliashunt.adapters.http1.connection import HttpConnection
from dahliashunt.adapters.http1.connection import ResponseHead
from dahliashunt.ports import Clock

__all__ = ["HttpResponse", "exchange_whole"]


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An answer with its complete body."""

    head: ResponseHead
    body: bytes


async def exchange_whole(
    connection: HttpConnection, request: bytes, clock: Clock, limit_ms: int
) -> HttpResponse | None:
    """Send `request`; return the answer, or None if none came whole.

    A connection that gave no whole answer in `limit_ms` is closed: what
    it may still deliver would be taken for the answer to a later request.
    """
    mailbox = connection.start(request)
    until_ms = clock.now_ms() + limit_ms
    head = None
    parts = []
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
