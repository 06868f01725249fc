"""Stand-in of a plain service, some of whose calls may not be repeated."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
import hashlib

from blacksheep import Application
from blacksheep import json
from blacksheep import Request
from blacksheep import Router

from dahliashunt.ports.clock import Clock
from dahliashunt.standins.faults import exit_process
from dahliashunt.standins.faults import StandinApp
from dahliashunt.standins.roles import parse_options
from dahliashunt.standins.roles import ROLES
from dahliashunt.standins.routes import add_routes

__all__ = [
    "SERVICE_CRASH_MARK",
    "ServiceOptions",
    "ServiceStandin",
    "create_service",
    "expected_answer",
]

SERVICE_CRASH_MARK = b"CRASH-SERVICE"
"""A call with this in its body crashes the service."""

_STAMP = "/stamp/"
_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


def expected_answer(method: str, path: str, body: bytes) -> dict:
    """Return the JSON object with which a call is answered.

    Examples
    --------
    >>> expected_answer("GET", "/parts/7", b"")["path"]
    '/parts/7'
    """
    digest = hashlib.sha256(body).hexdigest()
    key = path.removeprefix(_STAMP) if path.startswith(_STAMP) else None
    return {"method": method, "path": path, "key": key, "sha256": digest}


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """Habits of the service.

    Attributes
    ----------
    delay_ms : int
        Of each call, after it took effect.
    crash : str
        ``exit`` ends the process; ``restart`` drops all connections.
    """

    delay_ms: int = 0
    crash: str = "exit"


@ROLES.register("service")
def create_service(options, clock, rng) -> StandinApp:
    """Return the service's application."""
    parsed = parse_options(ServiceOptions, options)
    standin = ServiceStandin(parsed, clock)
    app = StandinApp(standin.app, clock, lambda method, path: method != "GET")
    if parsed.crash == "restart":
        standin.on_crash = app.drop_connections
    return app


class ServiceStandin:
    """Routes of the service.

    Parameters
    ----------
    options : ServiceOptions
    clock : Clock

    Attributes
    ----------
    on_crash : callable
        Called when a call crashes the service.
    """

    def __init__(self, options: ServiceOptions, clock: Clock):
        self.on_crash: Callable[[], None] = exit_process
        self._delay_ms = options.delay_ms
        self._clock = clock
        self._calls = Counter()
        self._stamps = Counter()
        self._finished = Counter()
        self.app = Application(router=Router())
        routes = {f"{method} /*": self._answer for method in _METHODS}
        add_routes(self.app, {"GET /standin/counts": self._counts, **routes})

    async def _answer(self, request: Request):
        body = await request.read() or b""
        if SERVICE_CRASH_MARK in body:
            self.on_crash()
            raise ConnectionResetError
        path = request.path
        answer = expected_answer(request.method, path, body)
        self._calls[path] += 1
        if answer["key"] is not None and request.method == "POST":
            self._stamps[answer["key"]] += 1
        if self._delay_ms:
            await self._clock.sleep_ms(self._delay_ms)
        self._finished[path] += 1
        return json(answer)

    async def _counts(self, request: Request):
        return json(
            {
                "calls": dict(self._calls),
                "finished": dict(self._finished),
                "stamps": dict(self._stamps),
            }
        )
