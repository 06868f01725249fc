"""Items of a job, how they end, and the lines they leave behind."""

from dataclasses import dataclass
import enum
import json
from typing import Protocol

from dahliashunt.errors import ErrorKind
from dahliashunt.ids import CallerId
from dahliashunt.ids import JobId
from dahliashunt.ids import ModelId
from dahliashunt.ids import Revision

__all__ = [
    "BadItem",
    "BatchItem",
    "ItemEnd",
    "ItemOutcome",
    "ItemRef",
    "ItemRunner",
    "custom_id_of",
    "error_line",
    "parse_item",
    "response_line",
]


@dataclass(frozen=True, slots=True, order=True)
class ItemRef:
    """Place of an item in its job: its chunk and its line there."""

    chunk: int
    index: int


@dataclass(frozen=True, slots=True)
class BatchItem:
    """One item to run.

    Attributes
    ----------
    request_id : str
        The same over all tries of the item, by whichever node.
    attempt : int
        Tries before this one that may have run.
    body : bytes
        JSON body of the request to `url`.
    revision : Revision
        Of the records that the job was accepted with; 0 if unknown.
    """

    job_id: JobId
    caller: CallerId
    ref: ItemRef
    request_id: str
    custom_id: str
    url: str
    model: ModelId
    body: bytes
    attempt: int = 0
    revision: Revision = Revision(0)


class ItemEnd(enum.Enum):
    """How one try of an item ended."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ItemOutcome:
    """End of one try.

    Attributes
    ----------
    end : ItemEnd
    status, body
        Of the answer, if `end` is DONE; the body is JSON.
    kind, message
        Why, for the other ends. FAILED with ``CANCELLED`` says that the
        try was preempted: it is repeated and not counted as an attempt.
    """

    end: ItemEnd
    status: int = 200
    body: bytes = b""
    kind: ErrorKind | None = None
    message: str = ""


class ItemRunner(Protocol):
    """Runs items on the fleet; batch only ever gets what is idle."""

    async def run(self, item: BatchItem) -> ItemOutcome:
        """Run one try; cancelling the task ends the engine's stream."""

    def room(self) -> dict[ModelId, int]:
        """Return by model how many more items could start now."""


class BadItem(ValueError):
    """A line of an input file is not a request that can be run."""


def parse_item(
    line: bytes,
    job_id: JobId,
    caller: CallerId,
    ref: ItemRef,
    endpoint: str,
    model: ModelId,
) -> BatchItem:
    """Return the item that an input line asks for.

    All items of a job name one model, as its callers' dialect has it: the
    job was permitted and is placed by that model.

    Raises
    ------
    BadItem
        The text says which member is wrong; it ends the item, not the job.
    """
    fields = _fields(line)
    custom_id, body = fields.get("custom_id"), fields.get("body")
    if not isinstance(custom_id, str):
        raise BadItem("custom_id must be a string")
    if fields.get("method") != "POST":
        raise BadItem("method must be POST")
    if fields.get("url") != endpoint:
        raise BadItem(f"url must be the batch's endpoint, {endpoint}")
    if not isinstance(body, dict) or not isinstance(body.get("model"), str):
        raise BadItem("body must be an object that names a model")
    if body["model"] != model:
        raise BadItem(f"model must be the batch's, {model}")
    return BatchItem(
        job_id=job_id,
        caller=caller,
        ref=ref,
        request_id=_request_id(job_id, ref),
        custom_id=custom_id,
        url=endpoint,
        model=model,
        body=json.dumps(body, separators=(",", ":")).encode(),
    )


def response_line(
    job_id: JobId, ref: ItemRef, custom_id: str, outcome: ItemOutcome
) -> bytes:
    """Return the line of an item that got an answer."""
    try:
        body = json.loads(outcome.body)
    except ValueError:
        body = outcome.body.decode(errors="replace")
    request_id = _request_id(job_id, ref)
    response = {
        "status_code": outcome.status,
        "request_id": request_id,
        "body": body,
    }
    return _line(request_id, custom_id, response, None)


def error_line(
    job_id: JobId, ref: ItemRef, custom_id: str, kind: ErrorKind, message: str
) -> bytes:
    """Return the line of an item that ended without an answer."""
    error = {"code": kind.value, "message": message}
    return _line(_request_id(job_id, ref), custom_id, None, error)


def custom_id_of(line: bytes) -> str:
    """Return the custom id of an input line that may be wrong, or ''."""
    try:
        custom_id = _fields(line).get("custom_id")
    except BadItem:
        return ""
    return custom_id if isinstance(custom_id, str) else ""


def _fields(line):
    try:
        fields = json.loads(line)
    except (ValueError, RecursionError):
        raise BadItem("the line is not JSON") from None
    if not isinstance(fields, dict):
        raise BadItem("the line is not a JSON object")
    return fields


def _request_id(job_id, ref):
    return f"{job_id}-{ref.chunk}-{ref.index}"


def _line(request_id, custom_id, response, error):
    fields = {
        "id": request_id,
        "custom_id": custom_id,
        "response": response,
        "error": error,
    }
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"
