"""Stand-in of the platform's instance list."""

from collections import deque
from dataclasses import dataclass

from blacksheep import Application
from blacksheep import json
from blacksheep import Request
from blacksheep import Router

from dahliashunt.adapters.instances import instance_fields
from dahliashunt.adapters.instances import parse_instance
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.instances import Instance
from dahliashunt.standins.faults import StandinApp
from dahliashunt.standins.roles import parse_options
from dahliashunt.standins.roles import ROLES
from dahliashunt.standins.routes import add_routes
from dahliashunt.standins.routes import read_json

__all__ = ["InstancesOptions", "InstancesStandin", "create_instances"]


@dataclass(frozen=True, slots=True)
class InstancesOptions:
    """How far the list lags."""

    lag_ms: int = 2000


@dataclass(frozen=True, slots=True)
class _Version:
    since_ms: int
    instances: tuple[Instance, ...]


@ROLES.register("instances")
def create_instances(options, clock, rng) -> StandinApp:
    """Return the instance list's application."""
    standin = InstancesStandin(parse_options(InstancesOptions, options), clock)
    return StandinApp(standin.app, clock)


class InstancesStandin:
    """Routes of the instance list.

    Parameters
    ----------
    options : InstancesOptions
    clock : Clock
    """

    def __init__(self, options: InstancesOptions, clock: Clock):
        self._lag_ms = options.lag_ms
        self._clock = clock
        self._reads = 0
        self._versions = deque([_Version(clock.now_ms(), ())])
        self.app = Application(router=Router())
        add_routes(
            self.app,
            {
                "GET /instances": self._read,
                "POST /standin/instances": self._set,
                "GET /standin/counts": self._answer_counts,
            },
        )

    async def _read(self, request: Request):
        self._reads += 1
        seen_ms = self._clock.now_ms() - self._lag_ms
        versions = self._versions
        while len(versions) > 1 and versions[1].since_ms <= seen_ms:
            versions.popleft()
        listed = versions[0].instances
        return json([instance_fields(each) for each in listed])

    async def _set(self, request: Request):
        fields = await read_json(request)
        listed = tuple(parse_instance(each) for each in fields)
        self._versions.append(_Version(self._clock.now_ms(), listed))
        return json({})

    async def _answer_counts(self, request: Request):
        return json({"reads": self._reads})
