"""Write the table of error codes in docs/operators/callers.md anew.

Run as ``python -m docs.build_errors``; a test compares.
"""

import pathlib

from dahliashunt.errors import ANSWERS
from dahliashunt.errors import ErrorKind

__all__ = ["PAGE", "page"]

PAGE = pathlib.Path(__file__).parent / "operators" / "callers.md"
BEGIN = "<!-- error codes: made by docs.build_errors -->\n"
END = "<!-- end of error codes -->\n"

_MEANING_BY_KIND = {
    ErrorKind.BAD_REQUEST: "the body, a field or a header is wrong; `param`"
    " names it where it can",
    ErrorKind.UNAUTHENTICATED: "no bearer key, or one that nobody has",
    ErrorKind.NOT_PERMITTED: "the caller's record does not permit this",
    ErrorKind.UNKNOWN_MODEL: "no record of such a model",
    ErrorKind.NOT_FOUND: "no such file, job or service for this caller",
    ErrorKind.CONFLICT: "the state of the file, job or record forbids it",
    ErrorKind.KEY_REUSED: "the idempotency key stands for another request",
    ErrorKind.STILL_RUNNING: "the first request under this key has not ended",
    ErrorKind.TOO_LARGE: "the body or file is over the limit",
    ErrorKind.OVER_LIMIT: "the caller's own limit is used up",
    ErrorKind.OVERLOADED: "no place in time; come back when the header says",
    ErrorKind.NO_ENDPOINT: "no endpoint serves the model now, or this entry"
    " has no records yet",
    ErrorKind.NOT_CONTINUABLE: "the stream can't go on: the software version"
    " that began it is unknown or gone; send the request anew",
    ErrorKind.LEAVING: "the endpoint is leaving",
    ErrorKind.CONVICTED: "the request has crashed endpoints and is refused"
    " for a time",
    ErrorKind.ENDPOINT_LOST: "the endpoint was lost",
    ErrorKind.ENDPOINT_FAILED: "the endpoint ended the request without an"
    " answer",
    ErrorKind.OUTCOME_UNKNOWN: "a non-idempotent request may have run; it is"
    " not sent again",
    ErrorKind.TIMED_OUT: "the request took longer than it may",
    ErrorKind.CANCELLED: "the caller went away, or the work was cancelled",
    ErrorKind.STORE_UNAVAILABLE: "the platform's store is out",
    ErrorKind.INTERNAL: "a fault of the program; it is in the entry's log",
}


def table() -> str:
    """Return the table of all error kinds."""
    rows = ["| `code` | status | Retry-After | meaning |", "|---|---|---|---|"]
    for kind in ErrorKind:
        answer = ANSWERS[kind]
        retry = "where known" if answer.retry else "never"
        meaning = _MEANING_BY_KIND[kind]
        rows.append(
            f"| `{kind.value}` | {answer.status} | {retry} | {meaning} |"
        )
    return "\n".join(rows) + "\n"


def page() -> str:
    """Return the whole page with a fresh table."""
    before, _, rest = PAGE.read_text().partition(BEGIN)
    _, _, after = rest.partition(END)
    return before + BEGIN + table() + END + after


if __name__ == "__main__":
    PAGE.write_text(page())
