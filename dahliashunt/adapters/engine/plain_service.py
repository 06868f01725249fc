"""Plain service behind an agent, which only handles calls."""

from collections.abc import AsyncIterator
import ssl

from dahliashunt.adapters.engine.dialects import DIALECTS
from dahliashunt.adapters.engine.dialects import SERVICE_LIMITS
from dahliashunt.adapters.engine.exchange import EngineExchange
from dahliashunt.adapters.engine.exchange import request_headers
from dahliashunt.adapters.engine.exchange import response_headers
from dahliashunt.adapters.table.sessions import HttpLimits
from dahliashunt.errors import StreamUnknown
from dahliashunt.ids import AttemptId
from dahliashunt.ids import FenceToken
from dahliashunt.ports.engine import CacheEvent
from dahliashunt.ports.engine import EngineCall
from dahliashunt.ports.engine import EngineEvents
from dahliashunt.ports.engine import EngineLoad
from dahliashunt.ports.engine import EngineState
from dahliashunt.ports.engine import Order

__all__ = ["PlainService"]


@DIALECTS.register("plain")
class PlainService:
    """`Engine` over a service without streams, models or orders.

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
        self._exchange = EngineExchange(
            base_url, limits or SERVICE_LIMITS, tls
        )
        self._running = 0

    async def call(
        self, call: EngineCall, timeout_ms: int
    ) -> AsyncIterator[EngineEvents]:
        """Send `call` once; yield the body of its response in chunks.

        An empty body yields one empty chunk, which carries the status.
        """
        self._running += 1
        try:
            async with self._exchange.send(
                call.method,
                call.path,
                timeout_ms,
                data=call.body,
                headers=request_headers(call),
                skip_auto_headers=("Content-Type",),
            ) as response:
                async for events in _body_chunks(response):
                    yield events
        finally:
            self._running -= 1

    async def resume(
        self, attempt_id: AttemptId, offset: int, timeout_ms: int
    ) -> AsyncIterator[EngineEvents]:
        """Raise `StreamUnknown`, since a service keeps no responses."""
        raise StreamUnknown(f"plain service cannot resume {attempt_id}")
        yield  # makes this an asynchronous generator, as the port requires

    async def streams(self) -> tuple[AttemptId, ...]:
        """Return no attempts."""
        return ()

    async def cancel(self, attempt_id: AttemptId) -> None:
        """Do nothing: a service offers no way to cancel a call."""

    async def export_kv(self, attempt_id: AttemptId) -> str | None:
        """Return None."""
        return None

    async def load(self) -> EngineLoad:
        """Return a load report with the calls in progress here."""
        return EngineLoad(
            running=self._running,
            waiting=0,
            kv_used_tokens=0,
            kv_total_tokens=0,
            step_ms=0.0,
            age_ms=0,
        )

    async def state(self) -> EngineState:
        """Return a state without role or models."""
        return EngineState(
            incarnation="",
            role="",
            models=(),
            loading=(),
            fence=FenceToken(0),
            checks_fence=False,
        )

    async def order(self, order: Order) -> None:
        """Do nothing: a service has no models."""

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return no events."""
        return ()

    async def close(self):
        """Close all connections that no call is using."""
        await self._exchange.close()


async def _body_chunks(response) -> AsyncIterator[EngineEvents]:
    status = response.status
    headers = response_headers(response.headers)
    empty = True
    async for data in response.content.iter_any():
        empty = False
        yield EngineEvents(data, 1, status, headers)
    if empty:
        yield EngineEvents(b"", 1, status, headers)
