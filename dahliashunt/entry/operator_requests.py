"""Reading what operators' requests carry; what is wrong is refused."""

import dataclasses
import json
import re
from typing import Any

from blacksheep import Request

from dahliashunt.entry.bodies import read_body
from dahliashunt.entry.held_requests import parsing
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.ids import Revision
from dahliashunt.records import Document
from dahliashunt.records import RecordKey
from dahliashunt.records import Schemas
from dahliashunt.records.kinds.common import NAME

__all__ = [
    "body_of",
    "change_id_of",
    "check_spec",
    "flag",
    "key_of",
    "keys_of",
    "number",
    "parse_key",
    "revision_of",
    "string",
    "text",
    "with_bases",
]

MAX_BODY_BYTES = 8_000_000

MAX_BODY_MS = 60_000
"""Longest time that a call's body may take to arrive."""

_CHANGE_ID = re.compile(r"[A-Za-z0-9._:-]{8,100}")
_REQUIRED = object()


async def body_of(request: Request) -> dict[str, Any]:
    """Return the JSON object that a request carries."""
    data = await read_body(request, MAX_BODY_BYTES, MAX_BODY_MS)
    try:
        with parsing(request, data):
            body = json.loads(data)
    except (ValueError, RecursionError):
        raise _bad("", "the body must be JSON") from None
    if not isinstance(body, dict):
        raise _bad("", "the body must be a JSON object")
    return body


def change_id_of(body: dict) -> str:
    """Return the change id, which only the sender can make."""
    change_id = string(body, "change_id")
    if not _CHANGE_ID.fullmatch(change_id):
        raise _bad("change_id", "must be 8 to 100 of A-Z a-z 0-9 . _ : -")
    return change_id


def string(body: dict, name: str, default=_REQUIRED) -> str:
    """Return a text of the body."""
    value = body.get(name, default)
    if not isinstance(value, str):
        raise _bad(name, "must be a text")
    return value


def flag(body: dict, name: str) -> bool:
    """Return a truth value of the body, by default False."""
    value = body.get(name, False)
    if not isinstance(value, bool):
        raise _bad(name, "must be true or false")
    return value


def text(request: Request, name: str) -> str | None:
    """Return a parameter of the query."""
    values = request.query.get(name)
    return values[0] if values else None


def number(request: Request, name: str) -> int | None:
    """Return a whole number of the query."""
    value = text(request, name)
    if value is None:
        return None
    if not re.fullmatch(r"[0-9]{1,15}", value):
        raise _bad(name, "must be a whole number")
    return int(value)


def revision_of(request: Request) -> Revision:
    """Return the revision that the path names."""
    value = request.route_values["revision"]
    if not re.fullmatch(r"[0-9]{1,15}", value):
        raise _bad("revision", "must be a whole number")
    return Revision(int(value))


def key_of(request: Request, kind: str | None = None) -> RecordKey:
    """Return the record that the path names."""
    name = request.route_values["name"]
    return _key(kind or request.route_values["kind"], name)


def parse_key(value: str) -> RecordKey:
    """Return the record written as kind/name."""
    kind, slash, name = value.partition("/")
    if not slash:
        raise _bad("record", "must be kind/name")
    return _key(kind, name)


def keys_of(body: dict) -> tuple[RecordKey, ...]:
    """Return the records that the body names."""
    names = body.get("records", [])
    if not isinstance(names, list) or not all(
        isinstance(name, str) for name in names
    ):
        raise _bad("records", "must be a list of kind/name")
    return tuple(parse_key(name) for name in names)


def with_bases(
    documents: tuple[Document, ...], body: dict
) -> tuple[Document, ...]:
    """Return the documents with the base revisions that the body names."""
    bases = body.get("base_revisions", {})
    if not isinstance(bases, dict) or not all(
        type(base) is int for base in bases.values()
    ):
        raise _bad("base_revisions", "must map kind/name to a revision")
    return tuple(
        dataclasses.replace(
            document,
            base=Revision(bases.get(str(document.key), document.base)),
        )
        for document in documents
    )


def check_spec(document: Document, schemas: Schemas) -> None:
    """Refuse a document made here whose spec is not valid."""
    if document.spec is None:
        return
    found = schemas.problems(
        document.key.kind, document.schema_version, document.spec
    )
    if found:
        field = ".".join(str(part) for part in found[0].path)
        raise _bad(field, found[0].reason)


def _key(kind, name):
    if not re.fullmatch(r"[A-Za-z]{1,60}", kind):
        raise _bad("kind", "must be a kind of record")
    for problem in NAME.problems(name, ("name",)):
        raise _bad("name", problem.reason)
    return RecordKey(kind, name)


def _bad(param, reason):
    what = f"{param} {reason}" if param else reason
    return RequestError(ErrorKind.BAD_REQUEST, what, param=param or None)
