"""Encode requests and decode answers as callers of the platform do."""

import asyncio
import base64
from dataclasses import dataclass
import json

from dahliashunt.adapters.http1 import encode_request
from dahliashunt.adapters.http1 import End
from dahliashunt.platform.names import AUTHORIZATION
from dahliashunt.platform.names import BUDGET
from dahliashunt.platform.names import LAST_EVENT
from dahliashunt.platform.names import POLL_WAIT
from dahliashunt.platform.names import PROMPT_PARTS
from dahliashunt.platform.names import REQUEST_ID
from dahliashunt.platform.names import RESUMES
from dahliashunt.platform.names import TOKENS
from dahliashunt.platform.names import WORKSPACE

__all__ = [
    "JobItem",
    "JobPage",
    "JobResult",
    "body_target",
    "caller_request",
    "decode_page",
    "encode_job",
    "exchange",
    "results_target",
]

_NAME_BY_FIELD = {
    "request_id": REQUEST_ID,
    "budget_ms": BUDGET,
    "wait_ms": POLL_WAIT,
    "last_event": LAST_EVENT,
    "resumes": RESUMES,
    "prompt_parts": PROMPT_PARTS,
    "authorization": AUTHORIZATION,
    "workspace": WORKSPACE,
    "tokens": TOKENS,
}


@dataclass(frozen=True, slots=True)
class JobItem:
    """An item of a submitted job."""

    item_id: str
    path: str
    tokens: int
    body: bytes = b"{}"
    prompt_parts: str = ""
    token_usage: str = ""


@dataclass(frozen=True, slots=True)
class JobResult:
    """A result of a job's item."""

    item_id: str
    done: bool
    text: str


@dataclass(frozen=True, slots=True)
class JobPage:
    """A page of results.

    Attributes
    ----------
    total : int
        Number of items in the job.
    results : tuple of JobResult
        Results from the requested position on.
    """

    total: int
    results: tuple[JobResult, ...]


def caller_request(
    method: str = "POST",
    target: str = "/a/x",
    body: bytes = b"",
    host: str = "a.example",
    **fields,
) -> bytes:
    """Return a request's bytes; `fields` become the platform's headers.

    Parameters
    ----------
    **fields
        ``request_id``, ``budget_ms``, ``wait_ms``, ``last_event``,
        ``resumes``, ``prompt_parts``, ``authorization``, ``workspace``,
        ``tokens``.
    """
    fields = {"request_id": "r1", "budget_ms": "3000", **fields}
    headers = [("Host", host)]
    headers += [
        (_NAME_BY_FIELD[name], str(value)) for name, value in fields.items()
    ]
    return encode_request(method, target, headers, body)


async def exchange(
    connection, request: bytes, limit_ms: int, keep: bool = False
) -> list | None:
    """Send `request`; return the answer's events, or None on a timeout.

    The connection is closed afterwards, but for a whole answer with `keep`.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + limit_ms / 1000
    box = connection.start(request)
    events = []
    done = False
    try:
        while not (events and isinstance(events[-1], End)):
            left_ms = int((until_s - loop.time()) * 1000)
            taken = await box.take(left_ms) if left_ms > 0 else None
            if not taken:
                return None
            for event in taken:
                if isinstance(event, bytes):
                    connection.taken(len(event))
            events += taken
        done = True
        return events
    finally:
        if not (keep and done):
            connection.abort()


def results_target(job_id: str, after: int) -> str:
    """Return the request target of results from position `after` on."""
    return f"/api/lots/{job_id}?after={after}"


def body_target(job_id: str, item_id: str) -> str:
    """Return the request target of an item's body."""
    return f"/api/items/{job_id}?id={item_id}"


def encode_job(items: list[JobItem]) -> bytes:
    """Return the body of a job's submission."""
    return json.dumps({"requests": [_item(item) for item in items]}).encode()


def _item(item):
    headers = {PROMPT_PARTS: item.prompt_parts, TOKENS: item.token_usage}
    headers = {name: value for name, value in headers.items() if value}
    return {
        "id": item.item_id,
        "path": item.path,
        "headers": headers,
        "body": base64.b64encode(item.body).decode(),
        "tokens": item.tokens,
    }


def decode_page(body: bytes) -> JobPage:
    """Return the page of results in an answer's body."""
    fields = json.loads(body)
    results = tuple(
        JobResult(each["id"], each["state"] == "done", each["output"])
        for each in fields["results"]
    )
    return JobPage(fields["total"], results)
