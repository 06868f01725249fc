"""Stand-in of the platform's rate-limited weight store."""

import asyncio
from collections import Counter
from dataclasses import dataclass
import itertools

from blacksheep import Application
from blacksheep import json
from blacksheep import Request
from blacksheep import Response
from blacksheep import Router

from dahliashunt.ports.clock import Clock
from dahliashunt.standins.faults import StandinApp
from dahliashunt.standins.roles import parse_options
from dahliashunt.standins.roles import ROLES
from dahliashunt.standins.routes import add_routes
from dahliashunt.standins.routes import read_json
from dahliashunt.standins.shared_rate import SharedRate

__all__ = ["WeightsOptions", "WeightsStandin", "create_weights"]


@dataclass(frozen=True, slots=True)
class WeightsOptions:
    """What the weight store holds and how fast it is.

    Attributes
    ----------
    sizes : str
        ``name:bytes``, separated by commas.
    rate : int
        Bytes a second that all fetches share.
    """

    sizes: str = "model-a:1000000000"
    rate: int = 1_000_000_000


@ROLES.register("weights")
def create_weights(options, clock, rng) -> StandinApp:
    """Return the weight store's application."""
    standin = WeightsStandin(parse_options(WeightsOptions, options), clock)
    return StandinApp(standin.app, clock)


class WeightsStandin:
    """Routes of the weight store.

    Parameters
    ----------
    options : WeightsOptions
    clock : Clock
    """

    def __init__(self, options: WeightsOptions, clock: Clock):
        self._rate = options.rate
        self._size_by_name = _parse_sizes(options.sizes)
        self._clock = clock
        self._shared = SharedRate(options.rate, clock.now_ms())
        self._done_by_key: dict[str, asyncio.Event] = {}
        self._keys = itertools.count()
        self._changed = asyncio.Event()
        self._fetches = Counter()
        self._most_at_once = 0
        self._task = None
        self.app = Application(router=Router())
        self.app.on_start += self._start
        self.app.on_stop += self._stop
        add_routes(
            self.app,
            {
                "GET /sizes": self._sizes,
                "GET /rate": self._answer_rate,
                "POST /fetch": self._fetch,
                "POST /standin/sizes": self._set_sizes,
                "GET /standin/counts": self._counts,
            },
        )

    async def _start(self, app):
        self._task = asyncio.create_task(self._run())

    async def _stop(self, app):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _sizes(self, request: Request):
        return json({"sizes": self._size_by_name})

    async def _answer_rate(self, request: Request):
        return json({"rate": self._rate})

    async def _set_sizes(self, request: Request):
        self._size_by_name = dict(await read_json(request))
        return json({})

    async def _fetch(self, request: Request):
        name = (await read_json(request))["name"]
        if name not in self._size_by_name:
            return Response(404)
        self._fetches[name] += 1
        await self._transfer(name, request.scope["connection"])
        return json({"bytes": self._size_by_name[name]})

    async def _transfer(self, name, connection):
        """Wait for the time of one transfer, or until its client is gone."""
        key = f"{name} {next(self._keys)}"
        ended = self._done_by_key[key] = asyncio.Event()
        connection.watch(ended.set)
        self._finish_due()
        self._shared.add(key, self._size_by_name[name])
        self._most_at_once = max(self._most_at_once, len(self._shared))
        self._changed.set()
        try:
            await ended.wait()
        finally:
            connection.unwatch(ended.set)
            self._finish_due()
            self._shared.remove(key)
            self._done_by_key.pop(key, None)
            self._changed.set()

    def _finish_due(self):
        for key in self._shared.advance(self._clock.now_ms()):
            self._done_by_key[key].set()

    async def _run(self):
        while True:
            self._finish_due()
            self._changed.clear()
            waits = [asyncio.create_task(self._changed.wait())]
            if len(self._shared):
                due = self._clock.sleep_ms(self._shared.next_ms())
                waits.append(asyncio.create_task(due))
            try:
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for wait in waits:
                    wait.cancel()

    async def _counts(self, request: Request):
        return json(
            {
                "fetches": dict(self._fetches),
                "most_at_once": self._most_at_once,
            }
        )


def _parse_sizes(text) -> dict[str, int]:
    size_by_name = {}
    for each in text.split(","):
        name, _, size = each.rpartition(":")
        size_by_name[name] = int(size)
    return size_by_name
