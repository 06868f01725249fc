"""Faults that a test can order from any stand-in."""

import asyncio
from collections.abc import Callable
import os

from blacksheep import Application
from blacksheep import json
from blacksheep import Request

from dahliashunt.ports.clock import Clock
from dahliashunt.standins.connections import Connection
from dahliashunt.standins.connections import newest_connection
from dahliashunt.standins.routes import add_routes
from dahliashunt.standins.routes import read_json

__all__ = ["CRASH_STATUS", "Faults", "StandinApp", "exit_process"]

_FAULTS = frozenset(
    {"outage", "slow_ms", "slow_factor", "drop_answers", "silent", "freeze"}
)

CRASH_STATUS = 3
"""Exit status of a stand-in that a request crashed."""


def exit_process():
    """End the process at once, as a crash does."""
    os._exit(CRASH_STATUS)


class Faults:
    """What is wrong with a stand-in now.

    Attributes
    ----------
    outage : bool
        Every call is answered 503 at once.
    slow_ms : int
        Delay of every answer.
    slow_factor : float
        Slows an engine's steps.
    drop_answers : int
        So many writes more take effect and lose their connection.
    """

    def __init__(self):
        self.outage = False
        self.slow_ms = 0
        self.slow_factor = 1.0
        self.drop_answers = 0
        self._silent_up_to = 0
        self._thawed = asyncio.Event()
        self._thawed.set()

    def set(self, wanted: dict):
        """Take over the members that `wanted` names.

        ``silent`` makes the connections that are open now silent for
        good, while later ones work; ``freeze`` stops everything until it
        is set to false.

        Raises
        ------
        ValueError
            There is no such fault.
        """
        unknown = set(wanted) - _FAULTS
        if unknown:
            raise ValueError(f"no faults {sorted(unknown)}")
        self.outage = bool(wanted.get("outage", self.outage))
        self.slow_ms = int(wanted.get("slow_ms", self.slow_ms))
        self.slow_factor = float(wanted.get("slow_factor", self.slow_factor))
        self.drop_answers = int(wanted.get("drop_answers", self.drop_answers))
        if wanted.get("silent"):
            self._silent_up_to = newest_connection()
        if wanted.get("freeze"):
            self._thawed.clear()
        elif "freeze" in wanted:
            self._thawed.set()

    async def thawed(self) -> bool:
        """Wait while the stand-in is frozen; return whether it was."""
        was_frozen = not self._thawed.is_set()
        await self._thawed.wait()
        return was_frozen

    async def pass_bytes(self, connection: Connection):
        """Wait while nothing gets through on `connection`.

        Raises
        ------
        ConnectionResetError
            The peer gave up a connection on which nothing passes.
        """
        await self.thawed()
        if connection.number <= self._silent_up_to:
            lost = asyncio.Event()
            connection.watch(lost.set)
            await lost.wait()
            raise ConnectionResetError

    def loses_answer(self) -> bool:
        """Return whether to lose the answer of a write; counts it."""
        if self.drop_answers <= 0:
            return False
        self.drop_answers -= 1
        return True


class StandinApp:
    """ASGI application of one stand-in, seen through its faults.

    Parameters
    ----------
    app : Application
    clock : Clock
    is_write : callable, optional
        Whether the method and path of a call are a write.

    Attributes
    ----------
    app : Application
    faults : Faults
        The same that ``POST /standin/faults`` sets.
    """

    def __init__(
        self,
        app: Application,
        clock: Clock,
        is_write: Callable[[str, str], bool] | None = None,
        faults: Faults | None = None,
    ):
        self.app = app
        self.faults = faults or Faults()
        self._clock = clock
        self._is_write = is_write or (lambda method, path: False)
        self._connections = set()
        add_routes(app, {"POST /standin/faults": self._set_faults})

    def drop_connections(self):
        """Drop every connection, as the end of the process would."""
        for connection in tuple(self._connections):
            connection.abort()

    async def __call__(self, scope, receive, send):
        """Serve one request, or the application's lifespan."""
        is_control = scope.get("path", "").startswith("/standin/")
        if scope["type"] != "http" or is_control:
            await self.app(scope, receive, send)
            return
        try:
            await self._serve(scope, receive, send)
        except ConnectionResetError:
            scope["connection"].abort()

    async def _serve(self, scope, receive, send):
        connection = scope["connection"]
        if connection not in self._connections:
            self._connections.add(connection)
            connection.watch(lambda: self._connections.discard(connection))
        await self.faults.pass_bytes(connection)
        if self.faults.slow_ms:
            await self._clock.sleep_ms(self.faults.slow_ms)
        if self.faults.outage:
            await _answer_outage(send)
            return
        write = self._is_write(scope["method"], scope["path"])
        await self.app(scope, receive, self._sender(connection, write, send))

    def _sender(self, connection, write, send):
        """Return a `send` that lets through what the faults let through."""

        async def send_if_passing(message):
            await self.faults.pass_bytes(connection)
            took_effect = write and message.get("status", 500) < 300
            if took_effect and self.faults.loses_answer():
                connection.abort()
                raise ConnectionResetError
            await send(message)

        return send_if_passing

    async def _set_faults(self, request: Request):
        try:
            self.faults.set(await read_json(request))
        except ValueError as error:
            return json({"error": str(error)}, status=400)
        return json({})


async def _answer_outage(send):
    await send({"type": "http.response.start", "status": 503, "headers": []})
    await send({"type": "http.response.body", "body": b""})
