"""Stand-in of a model engine: the OpenAI dialect and its own calls."""

import asyncio
from collections.abc import Callable

from blacksheep import Application
from blacksheep import json
from blacksheep import Request
from blacksheep import Response
from blacksheep import Router
from blacksheep import StreamedContent

from dahliashunt.standins.engine_answer import whole_answer
from dahliashunt.standins.engine_core import EngineCore
from dahliashunt.standins.engine_management import EngineManagement
from dahliashunt.standins.engine_options import CRASH_MARK
from dahliashunt.standins.engine_options import EngineOptions
from dahliashunt.standins.engine_options import HOPELESS_MARK
from dahliashunt.standins.engine_orders import EngineOrders
from dahliashunt.standins.engine_orders import parse_models
from dahliashunt.standins.engine_request import CompletionRequest
from dahliashunt.standins.engine_request import parse_completion
from dahliashunt.standins.engine_request import UnreadableRequest
from dahliashunt.standins.engine_streams import Stream
from dahliashunt.standins.engine_streams import StreamBook
from dahliashunt.standins.engine_streams import StreamState
from dahliashunt.standins.faults import exit_process
from dahliashunt.standins.faults import Faults
from dahliashunt.standins.faults import StandinApp
from dahliashunt.standins.roles import parse_options
from dahliashunt.standins.roles import ROLES
from dahliashunt.standins.routes import add_routes
from dahliashunt.standins.routes import error_answer
from dahliashunt.standins.text import parse_vocabulary

__all__ = ["EngineStandin", "create_engine"]

_EVENTS_A_WRITE = 256


class _Refused(Exception):
    """A completion request is answered with an error."""

    def __init__(self, status, code, message):
        super().__init__(message)
        self.status = status
        self.code = code


@ROLES.register("engine")
def create_engine(options, clock, rng) -> StandinApp:
    """Return the engine's application."""
    parsed = parse_options(EngineOptions, options)
    standin = EngineStandin(parsed, clock, rng)
    app = StandinApp(standin.app, clock, faults=standin.faults)
    if parsed.crash == "restart":
        standin.on_crash = app.drop_connections
    return app


class EngineStandin:
    """Routes of the engine.

    Parameters
    ----------
    options : EngineOptions
    clock : Clock
    rng : random.Random

    Attributes
    ----------
    on_crash : callable
        Called when a request crashes the engine.
    """

    def __init__(self, options: EngineOptions, clock, rng):
        self.faults = Faults()
        self.on_crash: Callable[[], None] = exit_process
        self._options = options
        self._vocabulary = parse_vocabulary(options.vocabulary)
        self._book = StreamBook(
            clock, options.keep_ms, options.keep_streams, options.count_ids
        )
        self._core = EngineCore(
            options, self._book, clock, self.faults, options.orphan_ms
        )
        self._orders = EngineOrders(
            parse_models(options.models),
            options.role,
            options.checks_fence,
            options.weights,
            options.load_ms,
            clock,
        )
        self._management = EngineManagement(
            options, self._core, self._orders, clock, rng
        )
        self._tasks = ()
        self.app = Application(router=Router())
        self.app.on_start += self._start
        self.app.on_stop += self._stop
        add_routes(self.app, self._routes())
        add_routes(self.app, self._management.routes())

    def _routes(self):
        return {
            "GET /v1/models": self._models,
            "POST /v1/completions": self._complete,
            "POST /v1/chat/completions": self._complete_chat,
            "GET /engine/streams/:id": self._resume,
        }

    async def _start(self, app):
        self._tasks = (
            asyncio.create_task(self._core.run()),
            asyncio.create_task(self._management.watch()),
        )

    async def _stop(self, app):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._orders.close()

    async def _models(self, request: Request):
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "-"}
            for name in self._orders.names()
        ]
        return json({"object": "list", "data": data})

    async def _complete(self, request: Request):
        return await self._answer(request, chat=False)

    async def _complete_chat(self, request: Request):
        return await self._answer(request, chat=True)

    async def _answer(self, request, chat):
        data = await request.read() or b""
        if CRASH_MARK in data:
            self._crash()
        try:
            asked = self._parse(data, chat)
            stream = self._begin(request, asked)
        except _Refused as refused:
            return error_answer(refused.status, str(refused), refused.code)
        connection = request.scope["connection"]
        if asked.stream:
            return self._streamed(stream, 0, connection)
        return await self._whole(stream, connection)

    def _parse(self, data, chat) -> CompletionRequest:
        if HOPELESS_MARK in data:
            raise _Refused(400, "cannot_be_done", "this item is hopeless")
        hashed_length = self._options.hashed_length
        try:
            asked = parse_completion(
                data, chat, hashed_length, self._vocabulary
            )
        except UnreadableRequest as error:
            raise _Refused(400, "bad_request", str(error)) from error
        if asked.model not in self._orders.names():
            raise _Refused(404, "model_not_found", f"no model {asked.model}")
        return asked

    def _begin(self, request, asked) -> Stream:
        stream_id = _header(request, b"x-request-id")
        if stream_id and self._book.get(stream_id):
            self._book.counts.totals["duplicates"] += 1
            raise _Refused(409, "duplicate_id", f"{stream_id} is known")
        origin_id = _header(request, b"x-origin-request-id")
        stream = self._core.start(stream_id, origin_id, asked)
        if stream is None:
            raise _Refused(400, "too_long", "the request never fits")
        return stream

    async def _whole(self, stream, connection):
        async for _ in self._read(stream, 0, connection):
            pass
        if stream.state is not StreamState.FINISHED:
            return error_answer(499, "the stream was stopped", "cancelled")
        cached = stream.in_model.cached_tokens
        return json(whole_answer(stream.stream_id, stream.request, cached))

    def _streamed(self, stream: Stream, first: int, connection) -> Response:
        async def events():
            async for data in self._read(stream, first, connection):
                yield data

        return Response(
            200,
            [(b"cache-control", b"no-cache")],
            StreamedContent(b"text/event-stream", events),
        )

    async def _read(self, stream, first, connection):
        """Yield the events of a stream until its end or the reader's."""
        more = asyncio.Event()
        connection.watch(more.set)
        stream.readers.add(more)
        position = first
        try:
            while not connection.lost:
                more.clear()
                last = min(stream.ready, position + _EVENTS_A_WRITE)
                if position < last:
                    cached = stream.in_model.cached_tokens
                    yield stream.writer.write(position, last, cached)
                    position = last
                elif stream.is_open:
                    await more.wait()
                else:
                    return
        finally:
            connection.unwatch(more.set)
            self._core.release(stream, more)

    def _crash(self):
        """Crash; a restarted engine answers nothing that was under way."""
        self._core.reset()
        self._orders.reset()
        self.on_crash()
        raise ConnectionResetError

    async def _resume(self, request: Request):
        stream = self._book.get(request.route_values["id"])
        if stream is None:
            return error_answer(404, "no such stream", "stream_unknown")
        first = int((request.query.get("from") or ["0"])[0])
        self._book.counts.totals["resumes"] += 1
        return self._streamed(stream, first, request.scope["connection"])


def _header(request, name) -> str:
    return (request.get_first_header(name) or b"").decode()
