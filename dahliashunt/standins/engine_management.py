"""The calls by which an agent manages a stand-in engine."""

from dataclasses import asdict
import random

from blacksheep import json
from blacksheep import Request

from dahliashunt.errors import StaleFence
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.engine import LoadedModel
from dahliashunt.ports.engine import Order
from dahliashunt.standins.engine_core import EngineCore
from dahliashunt.standins.engine_core import kv_handle
from dahliashunt.standins.engine_options import EngineOptions
from dahliashunt.standins.engine_orders import EngineOrders
from dahliashunt.standins.engine_reports import CacheEventLog
from dahliashunt.standins.engine_reports import LoadReporter
from dahliashunt.standins.engine_streams import StreamState
from dahliashunt.standins.routes import error_answer
from dahliashunt.standins.routes import Handler
from dahliashunt.standins.routes import read_json

__all__ = ["EngineManagement"]

_WATCH_MS = 50


class EngineManagement:
    """Streams, reports and orders of one engine as routes.

    Parameters
    ----------
    options : EngineOptions
    core : EngineCore
    orders : EngineOrders
    clock : Clock
    rng : random.Random
        Decides which cache events are lost.
    """

    def __init__(
        self,
        options: EngineOptions,
        core: EngineCore,
        orders: EngineOrders,
        clock: Clock,
        rng: random.Random,
    ):
        self._options = options
        self._core = core
        self._orders = orders
        self._clock = clock
        self._loads = LoadReporter(core, clock, options.load_lag_ms)
        self._cache_log = CacheEventLog(
            clock, rng, options.cache_lag_ms, options.cache_loss
        )

    def routes(self) -> dict[str, Handler]:
        """Return the handler of each route."""
        return {
            "GET /engine/streams": self._list_streams,
            "DELETE /engine/streams/:id": self._cancel,
            "POST /engine/streams/:id/export": self._export,
            "GET /engine/load": self._load,
            "GET /engine/state": self._state,
            "POST /engine/orders": self._order,
            "GET /engine/cache_events": self._cache_events,
            "GET /standin/counts": self._counts,
        }

    async def watch(self):
        """Note load and cache as time passes, for the late reports."""
        while True:
            self._loads.sample()
            self._cache_log.take(self._core)
            await self._clock.sleep_ms(_WATCH_MS)

    async def _list_streams(self, request: Request):
        return json({"streams": self._core.book.ids()})

    async def _cancel(self, request: Request):
        stream = self._core.book.get(request.route_values["id"])
        if stream is None:
            return error_answer(404, "no such stream", "stream_unknown")
        self._core.stop(stream, StreamState.CANCELLED)
        return json({})

    async def _export(self, request: Request):
        stream = self._core.book.get(request.route_values["id"])
        if stream is None or not stream.is_open:
            return error_answer(404, "no such open stream", "stream_unknown")
        if not self._options.exports_kv:
            return error_answer(404, "no KV cache is exported", "no_export")
        self._core.stop(stream, StreamState.EXPORTED)
        handle = kv_handle(stream.request, stream.in_model.made)
        return json({"handle": handle})

    async def _load(self, request: Request):
        return json(asdict(self._loads.latest()))

    async def _state(self, request: Request):
        return json(asdict(self._orders.state()))

    async def _order(self, request: Request):
        fields = await read_json(request)
        models = tuple(
            LoadedModel(
                each["model"],
                each.get("version", ""),
                tuple(each.get("adapters", ())),
            )
            for each in fields["models"]
        )
        try:
            self._orders.take(Order(fields["role"], models, fields["fence"]))
        except StaleFence as error:
            return error_answer(409, str(error), "stale_fence")
        return json({})

    async def _cache_events(self, request: Request):
        self._cache_log.take(self._core)
        after = int((request.query.get("after") or ["0"])[0])
        found = self._cache_log.after(after)
        return json({"events": [asdict(each) for each in found]})

    async def _counts(self, request: Request):
        counts = self._core.book.counts.as_json()
        return json({**counts, "orders": dict(self._orders.counts)})
