"""Model engine over HTTP, in the OpenAI dialect."""

from collections.abc import AsyncIterator
from dataclasses import asdict
import json
import ssl
from urllib.parse import quote

from dahliashunt.adapters.engine.dialects import DIALECTS
from dahliashunt.adapters.engine.dialects import ENGINE_LIMITS
from dahliashunt.adapters.engine.exchange import EngineExchange
from dahliashunt.adapters.engine.exchange import request_headers
from dahliashunt.adapters.engine.exchange import response_headers
from dahliashunt.adapters.table.sessions import HttpLimits
from dahliashunt.adapters.table.sessions import read_body
from dahliashunt.errors import EngineError
from dahliashunt.errors import EngineLost
from dahliashunt.errors import StaleFence
from dahliashunt.errors import StreamUnknown
from dahliashunt.ids import AttemptId
from dahliashunt.ports.engine import CacheEvent
from dahliashunt.ports.engine import EngineCall
from dahliashunt.ports.engine import EngineEvents
from dahliashunt.ports.engine import EngineLoad
from dahliashunt.ports.engine import EngineState
from dahliashunt.ports.engine import LoadedModel
from dahliashunt.ports.engine import Order

__all__ = ["HttpEngine", "complete_events"]

MAX_EVENT_BYTES = 1_048_576
"""Longest event of a stream; honest ones have some 300 bytes."""

_SSE = "text/event-stream"
_BLANK_LINE = b"\n\n"
_LAST_EVENT = b"data: [DONE]\n\n"
_NOT_FOUND = 404
_CONFLICT = 409


@DIALECTS.register("openai")
class HttpEngine:
    """`Engine` over HTTP.

    Parameters
    ----------
    base_url : str
    limits : HttpLimits, optional
    tls : ssl.SSLContext, optional
    """

    def __init__(
        self,
        base_url: str,
        limits: HttpLimits | None = None,
        tls: ssl.SSLContext | None = None,
    ):
        self._exchange = EngineExchange(base_url, limits or ENGINE_LIMITS, tls)

    async def call(
        self, call: EngineCall, timeout_ms: int
    ) -> AsyncIterator[EngineEvents]:
        """Send `call`; yield its response as it arrives.

        Raises
        ------
        EngineUnreachable
            Nothing was sent.
        EngineLost
            The stream ended before its last event, ``[DONE]``.
        """
        async with self._exchange.send(
            call.method,
            call.path,
            timeout_ms,
            data=call.body,
            headers=request_headers(call, content_type="application/json"),
        ) as response:
            async for events in _response_events(response):
                yield events

    async def resume(
        self, attempt_id: AttemptId, offset: int, timeout_ms: int
    ) -> AsyncIterator[EngineEvents]:
        """Yield the stream of `attempt_id` from event `offset`.

        Raises
        ------
        StreamUnknown
            The engine does not know the stream.
        EngineUnreachable, EngineLost
            As for `call`; the stream may be resumed again.
        """
        path = f"{_stream_path(attempt_id)}?from={offset}"
        async with self._exchange.send("GET", path, timeout_ms) as response:
            if response.status == _NOT_FOUND:
                raise StreamUnknown(attempt_id)
            if response.status != 200:
                raise EngineLost(f"resume: answered {response.status}")
            async for events in _response_events(response):
                yield events

    async def streams(self) -> tuple[AttemptId, ...]:
        """Return the attempts whose streams the engine still holds."""
        found = await self._call_management("GET", "/engine/streams")
        return tuple(found["streams"])

    async def cancel(self, attempt_id: AttemptId) -> None:
        """Stop a stream; do nothing if it is gone."""
        await self._call_management(
            "DELETE", _stream_path(attempt_id), _NOT_FOUND
        )

    async def export_kv(self, attempt_id: AttemptId) -> str | None:
        """Stop a stream; return a handle to its kept KV cache, or None."""
        path = f"{_stream_path(attempt_id)}/export"
        found = await self._call_management("POST", path, _NOT_FOUND)
        return found and found["handle"]

    async def load(self) -> EngineLoad:
        """Return the engine's load report, which may lag."""
        return EngineLoad(**await self._call_management("GET", "/engine/load"))

    async def state(self) -> EngineState:
        """Return the engine's role and models."""
        found = await self._call_management("GET", "/engine/state")
        return EngineState(
            incarnation=found["incarnation"],
            role=found["role"],
            models=_models(found["models"]),
            loading=_models(found["loading"]),
            fence=found["fence"],
            checks_fence=found["checks_fence"],
        )

    async def order(self, order: Order) -> None:
        """Request an end state.

        Raises
        ------
        StaleFence
            The engine checks fence tokens and has seen a newer one.
        """
        answer = await self._call_management(
            "POST", "/engine/orders", _CONFLICT, json=asdict(order)
        )
        if answer is None:
            raise StaleFence(f"engine refused stale fence {order.fence}")

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return cache events with ``seq > after``; some may be missing."""
        path = f"/engine/cache_events?after={after}"
        found = await self._call_management("GET", path)
        return tuple(CacheEvent(**each) for each in found["events"])

    async def close(self):
        """Close all connections that no call is using."""
        await self._exchange.close()

    async def _call_management(self, method, path, none_status=0, **content):
        """Make a management call; return its JSON, None on `none_status`.

        Raises
        ------
        EngineError
            The status or the body is not as expected.
        """
        async with self._exchange.send(method, path, **content) as response:
            data = await read_body(response)
            if response.status == none_status:
                return None
            if response.status != 200:
                raise EngineError(f"{path}: answered {response.status}")
        try:
            return json.loads(data)
        except ValueError as error:
            raise EngineError(f"{path}: {error}") from error


async def _response_events(response) -> AsyncIterator[EngineEvents]:
    """Yield a stream by its events, any other response in one piece."""
    headers = response_headers(response.headers)
    is_stream = response.content_type == _SSE
    if 200 <= response.status < 300 and not (
        is_stream and response.status == 200
    ):
        raise EngineLost(
            f"answered {response.status} with {response.content_type} instead"
            " of an event stream"
        )
    if not is_stream:
        data = await read_body(response)
        yield EngineEvents(data, 1, response.status, headers)
        return
    async for data in complete_events(response.content):
        count = data.count(_BLANK_LINE)
        yield EngineEvents(data, count, response.status, headers)


async def complete_events(content) -> AsyncIterator[bytes]:
    """Yield the complete events of each read.

    The rest of a read is prepended to the next one.

    Parameters
    ----------
    content : aiohttp.StreamReader

    Raises
    ------
    EngineLost
        The body ended before ``[DONE]``, so the response is truncated, or
        an event exceeds `MAX_EVENT_BYTES`.
    """
    rest = b""
    last = b""
    async for data in content.iter_any():
        whole, blank_line, rest = (rest + data).rpartition(_BLANK_LINE)
        if blank_line:
            last = whole + blank_line
            yield last
        if len(rest) > MAX_EVENT_BYTES:
            raise EngineLost(f"an event exceeds {MAX_EVENT_BYTES} bytes")
    if rest or not last.endswith(_LAST_EVENT):
        raise EngineLost("the stream ended before its [DONE] event")


def _stream_path(attempt_id: AttemptId) -> str:
    return f"/engine/streams/{quote(attempt_id, safe='')}"


def _models(found) -> tuple[LoadedModel, ...]:
    return tuple(
        LoadedModel(each["model"], each["version"], tuple(each["adapters"]))
        for each in found
    )
