"""Decode and encode the JSON bodies of requests about batch jobs."""

import base64
import binascii
from dataclasses import dataclass
import json
import re

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.call import Call
from dahliashunt.ids import RequestId
from dahliashunt.jobs.ledger import Result
from dahliashunt.jobs.model import Item
from dahliashunt.jobs.model import ItemId
from dahliashunt.jobs.model import Job
from dahliashunt.json_memory import parsing_bytes
from dahliashunt.json_memory import TooManyValues
from dahliashunt.platform.names import AUTHORIZATION
from dahliashunt.platform.names import PROMPT_PARTS
from dahliashunt.platform.names import REQUEST_ID
from dahliashunt.platform.names import TOKENS
from dahliashunt.platform.prompts import prompt_and_output
from dahliashunt.platform.prompts import shared_parts
from dahliashunt.platform.prompts import shared_tokens
from dahliashunt.row_fields import header_field
from dahliashunt.row_fields import parse_json

__all__ = [
    "PlatformPayloadReader",
    "SubmittedItem",
    "decode_submission",
    "decoding_bytes",
    "encode_results",
]

_TOKEN = re.compile(r"[0-9A-Za-z!#$%&'*+.^_`|~-]+")
"""Names of headers, by RFC 9110."""

MAX_JOB_ITEMS = 200
"""Maximum number of items in one job, as the platform's API defines it."""


@dataclass(frozen=True, slots=True)
class SubmittedItem:
    """An item of a submitted job with its HTTP request."""

    item: Item
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def decoding_bytes(payload: bytes) -> int:
    """Return the memory that decoding a submission takes at most.

    Raises
    ------
    RequestError
        There are more values than the items of a job may have.
    """
    try:
        return parsing_bytes(payload)
    except TooManyValues as error:
        raise _bad_request(f"not a job: {error}") from None


def decode_submission(payload: bytes) -> list[SubmittedItem]:
    """Return the items of a submitted job.

    Raises
    ------
    RequestError
        The payload is malformed; the message names the item and the cause.
    """
    try:
        fields = parse_json(payload)
        requests = fields["requests"]
    except (KeyError, TypeError, ValueError) as error:
        raise _bad_request(f"not a job: {error!r}") from None
    if not isinstance(requests, list) or not requests:
        raise _bad_request("requests: a list of items is wanted")
    if len(requests) > MAX_JOB_ITEMS:
        raise _bad_request(
            f"requests: at most {MAX_JOB_ITEMS} items are taken"
        )
    items = [_item(number, each) for number, each in enumerate(requests)]
    if len({each.item.item_id for each in items}) < len(items):
        raise _bad_request("requests: an id stands twice")
    return items


def _item(number, fields):
    try:
        tokens = fields["tokens"]
        if type(tokens) is not int or tokens < 0:
            raise ValueError("tokens")
        return SubmittedItem(
            item=Item(ItemId(header_field(str(fields["id"]))), tokens),
            path=_path(str(fields["path"])),
            headers=tuple(
                (_header_name(name), header_field(str(value)))
                for name, value in (fields.get("headers") or {}).items()
            ),
            body=base64.b64decode(fields.get("body") or "", validate=True),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        binascii.Error,
    ) as error:
        raise _bad_request(f"requests[{number}]: {error!r}") from None


def _path(text):
    if " " in header_field(text) or "\t" in text:
        raise ValueError("path")
    return text


def _header_name(text):
    if not _TOKEN.fullmatch(text):
        raise ValueError("the name of a header")
    return text


def _bad_request(message):
    return RequestError(ErrorKind.BAD_REQUEST, message)


class PlatformPayloadReader:
    """Implement `PayloadReader` for jobs in the platform's JSON format."""

    def calls(self, job: Job, payload: bytes) -> list[Call]:
        """Return the calls of the job's items, in the order submitted."""
        return [_call(job, each) for each in decode_submission(payload)]


def _call(job, submitted):
    by_name = {name.lower(): value for name, value in submitted.headers}
    item_id = submitted.item.item_id
    own = (("Host", job.host), (REQUEST_ID, item_id))
    dropped = {"host", REQUEST_ID}
    if job.workspace:
        dropped.add(AUTHORIZATION)
    prompt_tokens, output_tokens = prompt_and_output(by_name.get(TOKENS, ""))
    return Call(
        request_id=RequestId(item_id),
        method="POST",
        target=submitted.path,
        headers=(
            *own,
            *(h for h in submitted.headers if h[0].lower() not in dropped),
        ),
        body=submitted.body,
        arrived_ms=0,
        shared_parts=shared_parts(by_name.get(PROMPT_PARTS, "")),
        shared_tokens=shared_tokens(by_name.get(PROMPT_PARTS, "")),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        tokens=submitted.item.tokens,
        workspace=job.workspace,
    )


def encode_results(total: int, first: int, results: list[Result]) -> bytes:
    """Return the response body with a page of results."""
    return json.dumps(
        {
            "total": total,
            # Position of the next page.
            "next": first + len(results),
            "results": [
                {
                    "id": each.item_id,
                    "state": each.outcome.value,
                    "output": each.text,
                }
                for each in results
            ],
        }
    ).encode()
