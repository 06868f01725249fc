"""HTTP routes of online requests: models, completions, plain services."""

import asyncio
from dataclasses import dataclass

from blacksheep import Content
from blacksheep import Response
from blacksheep import StreamedContent

from dahliashunt.adapters.wire.gen.link.ttypes import Open
from dahliashunt.adapters.wire.gen.link.ttypes import Priority
from dahliashunt.decisions.events import OnlineRequest
from dahliashunt.entry.answers import answered
from dahliashunt.entry.answers import current_request_id
from dahliashunt.entry.answers import error_body
from dahliashunt.entry.answers import json_response
from dahliashunt.entry.bodies import read_body
from dahliashunt.entry.calls import Failed
from dahliashunt.entry.calls import Finished
from dahliashunt.entry.calls import OnlineCall
from dahliashunt.entry.calls import Piece
from dahliashunt.entry.held_requests import parsing
from dahliashunt.entry.messages import Arrive
from dahliashunt.entry.messages import CallerGone
from dahliashunt.entry.messages import CaughtUp
from dahliashunt.entry.openai_requests import CHAT_PATH
from dahliashunt.entry.openai_requests import COMPLETIONS_PATH
from dahliashunt.entry.openai_requests import fingerprint
from dahliashunt.entry.openai_requests import parse_model_call
from dahliashunt.entry.sse import DONE
from dahliashunt.entry.sse import drop_usage
from dahliashunt.entry.sse import error_event
from dahliashunt.entry.sse import whole_answer
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.ids import ModelId
from dahliashunt.records.callers import Caller

__all__ = ["add_online_routes"]

SERVICE_PREFIX = "service:"
EVENT_STREAM = b"text/event-stream"


@dataclass(frozen=True, slots=True)
class Asked:
    """What an online route needs to send a request on."""

    caller: Caller
    model: ModelId
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    prompt_tokens: int
    max_tokens: int
    prefix_keys: tuple[int, ...]
    may_repeat: bool
    key: str
    raw: bytes


def add_online_routes(app, context) -> None:
    """Add the routes to a blacksheep application.

    Parameters
    ----------
    app : blacksheep.Application
    context : EntryContext
    """
    routes = _OnlineRoutes(context)
    app.router.add_get("/v1/models", routes.models)
    app.router.add_post(CHAT_PATH, routes.chat)
    app.router.add_post(COMPLETIONS_PATH, routes.completions)
    for method in ("GET", "POST", "PUT", "PATCH", "DELETE"):
        app.router.add(method, "/services/{name}", routes.service)
        app.router.add(method, "/services/{name}/*", routes.service)


class _OnlineRoutes:
    """Handlers; one object so that they share the context."""

    def __init__(self, context):
        self._context = context
        self._http = context.settings.http

    @property
    def models(self):
        """Handler of the list of models."""

        @answered
        async def models(request):
            caller = self._context.access.caller(request)
            listed = [
                {
                    "id": model,
                    "object": "model",
                    "created": 0,
                    "owned_by": "dahliashunt",
                }
                for model in self._context.access.models(caller)
            ]
            return json_response({"object": "list", "data": listed})

        return models

    @property
    def chat(self):
        """Handler of chat completions."""
        return self._model_route(CHAT_PATH)

    @property
    def completions(self):
        """Handler of completions."""
        return self._model_route(COMPLETIONS_PATH)

    def _model_route(self, path):
        @answered
        async def call_model(request):
            caller = self._context.access.caller(request)
            raw = await read_body(
                request, self._http.body_limit, self._http.body_ms
            )
            with parsing(request, raw):
                model_call = parse_model_call(path, raw)
            self._context.access.check_model(caller, model_call.model)
            asked = Asked(
                caller=caller,
                model=model_call.model,
                method="POST",
                path=path,
                body=model_call.body,
                headers={"Content-Type": "application/json"},
                prompt_tokens=model_call.prompt_tokens,
                max_tokens=model_call.max_tokens,
                prefix_keys=model_call.prefix_keys,
                may_repeat=_may_repeat(request, True),
                key=_idempotency_key(request),
                raw=raw,
            )
            if not asked.may_repeat and asked.key:
                whole = await self._claimed(asked)
                return _claimed_response(whole, model_call)
            if model_call.streamed:
                return await self._streamed(request, asked, model_call)
            return await self._whole(request, asked)

        return call_model

    @property
    def service(self):
        """Handler of calls of plain services."""

        @answered
        async def call_service(request):
            caller = self._context.access.caller(request)
            name = request.route_values["name"]
            path = _service_path(request, name)
            default = self._context.access.check_service(
                caller, name, request.method, path
            )
            raw = await read_body(
                request, self._http.body_limit, self._http.body_ms
            )
            asked = Asked(
                caller=caller,
                model=ModelId(SERVICE_PREFIX + name),
                method=request.method,
                path=path,
                body=raw,
                headers=_service_headers(request),
                prompt_tokens=1,
                max_tokens=1,
                prefix_keys=(),
                may_repeat=_may_repeat(request, default),
                key=_idempotency_key(request),
                raw=raw,
            )
            if not asked.may_repeat and asked.key:
                return _response(await self._claimed(asked))
            return await self._whole(request, asked)

        return call_service

    # Sending on.

    def _call(self, asked, streamed):
        context = self._context
        now = context.clock.now_ms()
        request_id = current_request_id()
        digest = fingerprint(asked.caller.caller_id, asked.path, asked.raw)
        request = OnlineRequest(
            request_id=request_id,
            caller=asked.caller.caller_id,
            model=asked.model,
            prompt_tokens=asked.prompt_tokens,
            max_tokens=asked.max_tokens,
            prefix_keys=asked.prefix_keys,
            first_token_by_ms=now + self._http.first_token_ms,
            may_repeat=asked.may_repeat,
            fingerprint=digest,
        )
        opening = Open(
            request_id=request_id,
            caller=asked.caller.caller_id,
            model=asked.model,
            priority=Priority.ONLINE,
            method=asked.method,
            path=asked.path,
            body=asked.body,
            idempotent=asked.may_repeat,
            timeout_ms=self._http.request_ms,
            fingerprint=digest,
            prompt_tokens=asked.prompt_tokens,
            max_tokens=asked.max_tokens,
            alone=False,
            start_within_ms=self._http.first_token_ms,
            headers=asked.headers,
        )
        limits = asked.caller.profile.limits
        call = OnlineCall(request, opening, streamed, limits)
        context.measures.arrived(call, now)
        context.dispatcher.mailbox.put(Arrive(call))
        return call

    async def _claimed(self, asked) -> Finished:
        """Run a call at most once, over resends to any entry."""

        async def run() -> Finished:
            call = self._call(asked, streamed=False)
            return await self._end_of(call)

        if self._context.once is None:
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE,
                "this entry has no store to claim the request in",
            )
        return await self._context.once.run(
            asked.caller.caller_id,
            asked.key,
            (asked.method, asked.path, asked.raw),
            run,
        )

    async def _whole(self, request, asked):
        call = self._call(asked, streamed=False)
        watch = self._watch(request, call)
        try:
            return _response(await self._end_of(call))
        finally:
            self._let_go(watch, call)

    def _watch(self, request, call):
        """Watch for the caller's going away while it is answered."""
        return asyncio.create_task(self._watch_caller(request, call))

    async def _watch_caller(self, request, call):
        receive = request.content.receive
        while (await receive())["type"] != "http.disconnect":
            pass
        self._context.dispatcher.mailbox.put(CallerGone(call))
        gone = RequestError(ErrorKind.CANCELLED, "the caller is gone")
        call.replies.put(Failed(gone))

    def _let_go(self, watch, call):
        """End a call; whatever still runs for it is cancelled."""
        watch.cancel()
        self._context.dispatcher.mailbox.put(CallerGone(call))

    async def _end_of(self, call) -> Finished:
        while True:
            for reply in await call.replies.take():
                if isinstance(reply, Failed):
                    raise reply.error
                if isinstance(reply, Finished):
                    return reply

    async def _streamed(self, request, asked, model_call):
        """Answer with a stream once the first events are there.

        Until then an error can still be an answer with its own status.
        """
        call = self._call(asked, streamed=True)
        watch = self._watch(request, call)
        try:
            first = await call.replies.take()
            if isinstance(first[0], Failed):
                raise first[0].error
            if isinstance(first[0], Piece) and first[0].status != 200:
                return await self._engine_refused(call, first)
        except BaseException:
            self._let_go(watch, call)
            raise

        async def pieces():
            try:
                async for data in self._pieces(call, first):
                    if not model_call.wants_usage:
                        data = drop_usage(data)
                    if data:
                        yield data
            finally:
                self._let_go(watch, call)

        return Response(
            200,
            [(b"Cache-Control", b"no-cache")],
            StreamedContent(EVENT_STREAM, pieces),
        )

    async def _engine_refused(self, call, replies):
        """Pass on an engine's own error answer, such as a bad field."""
        pieces = [r for r in replies if isinstance(r, Piece)]
        while not any(isinstance(r, Finished | Failed) for r in replies):
            replies = await call.replies.take()
            pieces += [r for r in replies if isinstance(r, Piece)]
        data = b"".join(piece.data for piece in pieces)
        return json_response(data, pieces[0].status)

    async def _pieces(self, call, replies):
        while True:
            for reply in replies:
                if isinstance(reply, Finished):
                    return
                if isinstance(reply, Failed):
                    # The answer is cut: its caller must see an error and
                    # no end mark, never a clean end.
                    yield error_event(error_body(reply.error))
                    return
                yield reply.data
                self._taken(call, reply)
            replies = await call.replies.take()

    def _taken(self, call, piece):
        call.unread_bytes -= len(piece.data)
        if call.paused and not call.replies:
            self._context.dispatcher.mailbox.put(CaughtUp(call))


def _may_repeat(request, default):
    value = request.headers.get_first(b"dahliashunt-idempotent")
    if value is None:
        return default
    text = value.strip().lower()
    if text not in (b"true", b"false"):
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            "Dahliashunt-Idempotent must be true or false",
            param="Dahliashunt-Idempotent",
        )
    return text == b"true"


def _idempotency_key(request):
    value = request.headers.get_first(b"idempotency-key")
    return "" if value is None else value.decode("latin-1")


def _service_path(request, name):
    path = request.url.path.decode("latin-1")
    rest = path[len(f"/services/{name}") :] or "/"
    query = request.url.query
    return f"{rest}?{query.decode('latin-1')}" if query else rest


def _service_headers(request):
    value = request.headers.get_first(b"content-type")
    if value is None:
        return {}
    return {"Content-Type": value.decode("latin-1")}


def _response(finished):
    """Return a whole answer; a model's events are joined into one."""
    data = b"".join(finished.pieces)
    headers = {k.lower(): v for k, v in finished.headers.items()}
    kind = headers.get("content-type", "application/octet-stream")
    if finished.status == 200 and kind.startswith("text/event-stream"):
        return json_response(whole_answer(data))
    content = Content(kind.encode("latin-1"), data)
    return Response(finished.status, None, content)


def _claimed_response(finished, model_call):
    if not model_call.streamed or finished.status != 200:
        return _response(finished)
    data = b"".join(finished.pieces)
    if not data.endswith(DONE):
        whole_answer(data)
    if not model_call.wants_usage:
        data = drop_usage(data)
    return Response(200, None, Content(EVENT_STREAM, data))
