"""Memory that requests hold at an entry, and refusals for want of it."""

import contextlib
import json
import uuid

from dahliashunt.adapters.held_memory import held_request
from dahliashunt.adapters.held_memory import HeldMemory
from dahliashunt.adapters.http_server import HttpBounds
from dahliashunt.adapters.http_server import Refusal
from dahliashunt.adapters.listener_reports import ListenerReports
from dahliashunt.adapters.write_backlog import ReadBacklog
from dahliashunt.adapters.write_backlog import WriteBacklog
from dahliashunt.entry.answers import error_body
from dahliashunt.entry.answers import REQUEST_ID_HEADER
from dahliashunt.errors import ANSWERS
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.json_memory import parsing_bytes
from dahliashunt.json_memory import TooManyValues
from dahliashunt.metrics import Metrics
from dahliashunt.process_shares import ProcessShares

__all__ = ["entry_bounds", "parsing"]

RETRY_S = 1
"""Retry-After of a request that found no memory: room is made in less, and
the dialect has whole seconds."""

BODY_COPIES = 4
"""Copies of a whole body: as it came, with the fields that the engine needs,
in the frame to the agent and in its connection's write buffer."""


def entry_bounds(
    shares: ProcessShares, metrics: Metrics, log, max_header_s: float
) -> HttpBounds:
    """Return the bounds of the listener for callers and operators."""
    reports = ListenerReports(metrics, log)
    return HttpBounds(
        header_timeout_s=max_header_s,
        on_exceeded=reports.exceeded,
        backlog=WriteBacklog(shares.unread_bytes, ReadBacklog(), reports.slow),
        memory=HeldMemory(
            shares.held_bytes,
            shares.caller_connections,
            on_ended=reports.ended,
        ),
        refusal=_refuse,
        body_copies=BODY_COPIES,
    )


def _refuse(headers):
    """Return the refusal of a request, whose id is new as in each answer."""
    error = _no_room()
    body = json.dumps(error_body(error)).encode()
    fields = (
        ("content-type", "application/json"),
        ("retry-after", str(RETRY_S)),
        (REQUEST_ID_HEADER.decode(), uuid.uuid4().hex),
    )
    return Refusal(ANSWERS[error.kind].status, fields, body)


def _no_room():
    return RequestError(
        ErrorKind.OVERLOADED,
        "this entry holds too many unfinished or large requests",
        retry_after_ms=RETRY_S * 1000,
    )


@contextlib.contextmanager
def parsing(request, data: bytes):
    """Hold the memory that parsing a request's JSON body takes.

    Raises
    ------
    RequestError
        There is no room, or the body has too many values.
    """
    try:
        size = parsing_bytes(data)
    except TooManyValues as error:
        text = f"the body has {error}"
        raise RequestError(ErrorKind.BAD_REQUEST, text) from None
    held = held_request(request.scope or {})
    if held is not None and not held.reserve(size):
        raise _no_room()
    try:
        yield
    finally:
        if held is not None:
            held.release(size)
