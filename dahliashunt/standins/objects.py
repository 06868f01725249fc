"""Stand-in of the platform's object store."""

from dataclasses import asdict
from dataclasses import dataclass

from blacksheep import Application
from blacksheep import Content
from blacksheep import json
from blacksheep import Request
from blacksheep import Response
from blacksheep import Router

from dahliashunt.standins.faults import StandinApp
from dahliashunt.standins.limits import RateLimit
from dahliashunt.standins.roles import parse_options
from dahliashunt.standins.roles import ROLES
from dahliashunt.standins.routes import add_routes

__all__ = ["ObjectsOptions", "ObjectsStandin", "create_objects"]


@dataclass(frozen=True, slots=True)
class ObjectsOptions:
    """Limits of the object store, in calls a second."""

    writes_per_s: float = 400
    reads_per_s: float = 2000


@dataclass(slots=True)
class ObjectCounts:
    """Calls and bytes so far."""

    puts: int = 0
    gets: int = 0
    deletes: int = 0
    refused: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


@ROLES.register("objects")
def create_objects(options, clock, rng) -> StandinApp:
    """Return the object store's application."""
    standin = ObjectsStandin(parse_options(ObjectsOptions, options), clock)
    return StandinApp(
        standin.app, clock, lambda method, path: method in ("PUT", "DELETE")
    )


class ObjectsStandin:
    """Routes of the object store over a dict."""

    def __init__(self, options: ObjectsOptions, clock):
        self._by_name: dict[str, bytes] = {}
        self._counts = ObjectCounts()
        self._reads = RateLimit(options.reads_per_s, clock)
        self._writes = RateLimit(options.writes_per_s, clock)
        self.app = Application(router=Router())
        add_routes(
            self.app,
            {
                "PUT /o/{path:name}": self._put,
                "GET /o/{path:name}": self._get,
                "DELETE /o/{path:name}": self._delete,
                "GET /standin/counts": self._answer_counts,
                "GET /standin/dump": self._dump,
            },
        )

    async def _put(self, request: Request):
        name = request.route_values["name"]
        if not self._writes.take():
            return self._refuse()
        data = await request.read() or b""
        self._counts.puts += 1
        self._counts.bytes_in += len(data)
        self._by_name[name] = data
        return json({})

    async def _get(self, request: Request):
        name = request.route_values["name"]
        if not self._reads.take():
            return self._refuse()
        self._counts.gets += 1
        data = self._by_name.get(name)
        if data is None:
            return Response(404)
        self._counts.bytes_out += len(data)
        return Response(200, None, Content(b"application/octet-stream", data))

    async def _delete(self, request: Request):
        name = request.route_values["name"]
        if not self._writes.take():
            return self._refuse()
        self._counts.deletes += 1
        self._by_name.pop(name, None)
        return json({})

    def _refuse(self):
        self._counts.refused += 1
        return Response(429)

    async def _answer_counts(self, request: Request):
        return json(asdict(self._counts))

    async def _dump(self, request: Request):
        return json({name: len(data) for name, data in self._by_name.items()})
