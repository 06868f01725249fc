"""Requests to entries: several tried in turn, writes safe to repeat."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
from dataclasses import field
import http.client
import json
import ssl
from typing import Any
import urllib.parse

from dahliashunt.cli.bounded_response import BoundedResponse
from dahliashunt.cli.bounded_response import read_body
from dahliashunt.cli.exits import CommandError
from dahliashunt.cli.exits import Exit
from dahliashunt.cli.exits import EXIT_BY_KIND
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.row_fields import parse_json

__all__ = ["Ask", "Client"]

TIMEOUT_S = 30.0
ROUNDS = 3
"""Times that all entries are tried before a command gives up."""

MAX_WAIT_S = 5.0

MAX_ERROR_BYTES = 1_048_576
"""Longest body of an error; honest ones name a few hundred conflicts."""

_PASSING = {
    ErrorKind.STORE_UNAVAILABLE,
    ErrorKind.OVERLOADED,
    ErrorKind.NO_ENDPOINT,
    ErrorKind.LEAVING,
    ErrorKind.OUTCOME_UNKNOWN,
}
"""Errors after which the same request may succeed elsewhere or later."""

_SETTLES = {ErrorKind.CONFLICT, ErrorKind.KEY_REUSED}
"""Refusals that hold whatever became of an earlier send: an entry reads
the change id before it says either, and a record never returns to the
revision that the change was made from."""

_KIND_BY_STATUS = {
    401: ErrorKind.NOT_PERMITTED,
    403: ErrorKind.NOT_PERMITTED,
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.NOT_FOUND,
    502: ErrorKind.OUTCOME_UNKNOWN,
    503: ErrorKind.OUTCOME_UNKNOWN,
    504: ErrorKind.OUTCOME_UNKNOWN,
}
"""Kinds of errors that are not in the system's form."""


@dataclass(frozen=True, slots=True)
class Ask:
    """One request, the same over all its repeats.

    Attributes
    ----------
    body : dict, optional
        Sent as JSON.
    pieces : callable, optional
        Returns the pieces of another body, afresh for each send.
    repeatable : bool
        Whether a second send has no second effect: reads, and writes
        that carry a change id or a job key.
    """

    method: str
    path: str
    query: dict[str, Any] = field(default_factory=dict)
    body: dict[str, Any] | None = None
    pieces: Callable[[], Iterable[bytes]] | None = None
    headers: dict[str, str] = field(default_factory=dict)
    repeatable: bool = True


@dataclass(slots=True)
class _Refusal:
    """The last error of an entry, and whether any send may have run."""

    error: CommandError | None = None
    retry_after_s: float = 1.0
    maybe_ran: bool = False


class Client:
    """Asks entries in turn.

    Parameters
    ----------
    entries : list of str
        URLs; another one is asked when one cannot answer.
    key : str
        Bearer key of the caller or operator.
    sleep : callable
        Takes seconds.
    timeout_s : float
        For a connection and for each read.
    """

    def __init__(
        self,
        entries: list[str],
        key: str,
        sleep: Callable[[float], None],
        timeout_s: float = TIMEOUT_S,
    ):
        self._entries = [_parsed(entry) for entry in entries]
        self._key = key
        self._sleep = sleep
        self._timeout_s = timeout_s

    def get(self, path: str, **query) -> dict[str, Any]:
        """Return the JSON answer of a read."""
        given = {k: v for k, v in query.items() if v is not None}
        return self.ask(Ask("GET", path, given))

    def post(self, path: str, body: dict) -> dict[str, Any]:
        """Return the JSON answer of a write that may be repeated."""
        return self.ask(Ask("POST", path, body=body))

    def ask(self, ask: Ask) -> dict[str, Any]:
        """Return the JSON answer to a request.

        Raises
        ------
        CommandError
            With what is known of whether the request took effect.
        """
        with self._open(ask, whole=True) as (_, text):
            pass
        try:
            answer = parse_json(text)
        except ValueError:
            answer = None
        if not isinstance(answer, dict):
            raise CommandError(Exit.INTERNAL, "the answer is not JSON")
        return answer

    def stream(self, path: str) -> Iterator[bytes]:
        """Yield the content of a file; raises if it is cut."""
        with self._open(Ask("GET", path), whole=False) as (response, _):
            bounded = response.chunked or response.length is not None
            try:
                while piece := response.read_piece():
                    yield piece
            except (OSError, http.client.HTTPException):
                bounded = False
            # Failure: a connection that closes early ends a read of known
            # length without an exception, and a cut file looks whole. What
            # is still missing of the length tells.
            if not bounded or response.length:
                raise CommandError(
                    Exit.UNAVAILABLE, "the content was cut; ask for it again"
                )

    @contextlib.contextmanager
    def _open(self, ask, whole):
        """Yield a good answer, and its content if it is wanted whole."""
        refusal = _Refusal()
        for place in range(ROUNDS * len(self._entries)):
            if place and place % len(self._entries) == 0:
                self._sleep(min(refusal.retry_after_s, MAX_WAIT_S))
            url = self._entries[place % len(self._entries)]
            connection = self._connection(url)
            try:
                answer = self._send(connection, url, ask, whole, refusal)
                if answer is not None:
                    yield answer
                    return
            finally:
                connection.close()
            if refusal.maybe_ran and not ask.repeatable:
                break
        raise _final(refusal)

    def _send(self, connection, url, ask, whole, refusal):
        """Return a good answer; otherwise note why there is none."""
        try:
            connection.connect()
        except OSError as error:
            refusal.error = _unreachable(url, error)
            return None
        try:
            self._write(connection, url, ask)
            response = connection.getresponse()
            if response.status < 400:
                return response, read_body(response) if whole else b""
            self._refused(response, ask, refusal)
        except (OSError, http.client.HTTPException) as error:
            # Failure: the entry was lost after it took the request. A
            # read does no harm; a write may have taken effect, which only
            # its repeat with the same id can tell.
            refusal.maybe_ran |= ask.method != "GET"
            refusal.error = _unreachable(url, error)
        return None

    def _refused(self, response, ask, refusal):
        error, kind = _error(response)
        after = response.headers.get("Retry-After", "1")
        refusal.retry_after_s = float(after) if after.isdecimal() else 1.0
        if ask.method == "GET":
            error.ran = Ran.NO
            if error.exit_code is Exit.OUTCOME_UNKNOWN:
                error.exit_code = Exit.UNAVAILABLE
        refusal.error = error
        if error.details.get("try_another_entry"):
            return
        if kind in _SETTLES:
            raise error
        if kind not in _PASSING:
            raise _final(refusal)
        refusal.maybe_ran |= error.ran is not Ran.NO

    def _write(self, connection, url, ask):
        path = url.path.rstrip("/") + ask.path
        if ask.query:
            path += "?" + urllib.parse.urlencode(ask.query)
        headers = {"Accept": "application/json", **ask.headers}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        body = None
        if ask.body is not None:
            body = json.dumps(ask.body).encode()
            headers["Content-Type"] = "application/json"
        elif ask.pieces is not None:
            body = ask.pieces()
        connection.request(ask.method, path, body=body, headers=headers)

    def _connection(self, url):
        if url.scheme == "https":
            connection = http.client.HTTPSConnection(
                url.hostname,
                url.port,
                timeout=self._timeout_s,
                context=ssl.create_default_context(),
            )
        else:
            connection = http.client.HTTPConnection(
                url.hostname, url.port, timeout=self._timeout_s
            )
        connection.response_class = BoundedResponse
        return connection


def _parsed(entry):
    try:
        url = urllib.parse.urlsplit(entry)
        valid = url.scheme in ("http", "https") and url.hostname
        _ = url.port
    except ValueError:
        valid = False
    if not valid:
        raise CommandError(Exit.USAGE, f"not the URL of an entry: {entry!r}")
    return url


def _error(response):
    """Return the error of an answer and its kind."""
    try:
        details = parse_json(read_body(response, MAX_ERROR_BYTES))["error"]
        kind = ErrorKind(details["code"])
        ran = Ran(details.get("ran", "unknown"))
        message = str(details["message"])
    except (ValueError, KeyError, TypeError):
        # Answers of the platform's balancer are not in our form; one that
        # found no entry is worth another try.
        kind = _KIND_BY_STATUS.get(response.status, ErrorKind.INTERNAL)
        message = f"HTTP status {response.status}"
        refused = kind in (ErrorKind.NOT_FOUND, ErrorKind.NOT_PERMITTED)
        details, ran = {}, Ran.NO if refused else Ran.UNKNOWN
    return CommandError(EXIT_BY_KIND[kind], message, ran, details), kind


def _unreachable(url, error):
    where = f"{url.hostname}:{url.port or ''}".rstrip(":")
    reason = getattr(error, "strerror", None) or str(error) or "no answer"
    return CommandError(
        Exit.UNAVAILABLE, f"entry {where} cannot be reached: {reason}"
    )


def _final(refusal):
    error = refusal.error
    if not refusal.maybe_ran:
        return error
    return CommandError(
        Exit.OUTCOME_UNKNOWN,
        f"it is not known whether this took effect: {error.message}",
        Ran.UNKNOWN,
        error.details,
    )
