"""Fixtures that run entries against stand-ins of the platform."""

import asyncio
import contextlib
import json
import socket

import pytest
import structlog

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.http1 import End
from dahliashunt.adapters.http1 import open_connection
from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.adapters.slots.server import SlotServer
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.metrics import Metrics
from dahliashunt.platform.serve_agent import serve_agent
from dahliashunt.platform.serve_entry import Entry
from dahliashunt.platform.settings import LaunchOptions
from dahliashunt.platform.settings import load_settings
from dahliashunt.platform.standins import ReplicaStandin
from dahliashunt.platform.standins import settings_fields
from dahliashunt.platform.standins import StoreStandin
from dahliashunt.platform.standins.caller import caller_request
from dahliashunt.platform.standins.caller import exchange
from dahliashunt.platform.standins.settings import agent_fields
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import replica_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.process import Signals

LAST_PORT = 65_535

TIMEOUT_S = 20
"""Timeout of a condition, longer than any wait of a correct entry."""


def free_port():
    """Return a UDP port that nothing is bound to."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Answer:
    """Response that a caller received.

    Attributes
    ----------
    head : ResponseHead or None
    body : bytes
    whole : bool
    """

    def __init__(self, events):
        heads = [e for e in events if isinstance(e, ResponseHead)]
        self.head = heads[0] if heads else None
        self.body = b"".join(e for e in events if isinstance(e, bytes))
        self.whole = events[-1] is End.WHOLE

    @property
    def status(self):
        return self.head.status if self.head else None

    def json(self):
        return json.loads(self.body)


class Platform:
    """Stand-ins, one entry or more, and a caller.

    Attributes
    ----------
    store : StoreStandin
    replicas : list of ReplicaStandin
    entries : list of Entry
    """

    def __init__(self, folder):
        self.store = StoreStandin()
        self.replicas = []
        self.entries = []
        self._folder = folder
        self._tasks = {}
        self._store_address = None
        # Entries need free ports above it.
        self._agent_port = min(free_port() for _ in range(8))

    async def open(
        self,
        routes,
        replicas=1,
        engine=False,
        config=None,
        slots=2,
        versions=(),
    ):
        self._store_address = await self.store.start()
        self._slots = slots
        for version in versions or ("v1",) * replicas:
            await self.add_replica(version)
        if config is None:
            config = config_fields(routes, engine=engine)
        self.store.configure(config)
        return await self.add_entry()

    async def add_replica(self, version="v1"):
        replica = ReplicaStandin(f"i-{len(self.replicas)}", version)
        await replica.start()
        self.replicas.append(replica)
        fields = replica_fields(
            replica.address, slots=self._slots, version=version
        )
        self.store.list_replica(replica.replica_id, fields)
        return replica

    async def add_entry(self, wait=True):
        name = f"front-{len(self.entries)}"
        path = self._folder / f"{name}.json"
        port = free_port()
        while port <= self._agent_port:
            port = free_port()
        changed = {"node-name": name, "port-range": [self._agent_port, port]}
        fields = settings_fields(self._store_address, **changed)
        path.write_text(json.dumps(fields))
        entry = Entry(load_settings(str(path)), structlog.get_logger())
        await entry.start()
        self._tasks[entry] = [
            asyncio.create_task(loop) for loop in entry.loops()
        ]
        self.entries.append(entry)
        if wait:
            await self.until(lambda: self.is_up(entry))
        return entry

    def is_up(self, entry):
        return entry.node.ready and len(entry.node.registry.all()) == len(
            self.replicas
        )

    @contextlib.asynccontextmanager
    async def agent(self):
        """Run a slot server in place of the replicas' agents."""
        server = SlotServer(
            SlotAllocator(8),
            SystemClock(),
            Metrics("agent"),
            structlog.get_logger(),
        )
        await server.start("127.0.0.1", self._agent_port)
        try:
            yield server
        finally:
            server.stop()

    @contextlib.asynccontextmanager
    async def run_agent(self, replica):
        """Run an agent beside `replica`."""
        path = self._folder / "agent.json"
        ports = (self._agent_port, LAST_PORT)
        host, port = replica.address
        fields = agent_fields(self._store_address, "agent", host, ports, port)
        path.write_text(json.dumps(fields))
        options = LaunchOptions(str(path), load_settings(str(path)))
        signals = Signals()
        agent = asyncio.create_task(
            serve_agent(options, signals, structlog.get_logger())
        )
        try:
            yield
        finally:
            signals.leave.set()
            await agent

    def hears_agents(self, entry):
        """Tell whether an entry knows the load of each replica."""
        known = entry.known_replicas
        return all(map(known.load, entry.node.registry.all()))

    async def kill(self, entry):
        """Stop an entry abruptly, without a notice to other nodes."""
        for task in self._tasks.pop(entry):
            task.cancel()
        self.entries.remove(entry)
        await entry.stop()

    async def close(self):
        for entry in list(self.entries):
            await self.kill(entry)
        for replica in self.replicas:
            await replica.stop()
        await self.store.stop()

    def now_s(self):
        return asyncio.get_running_loop().time()

    async def until(self, condition):
        """Wait until `condition` holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def dial(self, entry=None, port=0):
        entry = entry or self.entries[0]
        return await open_connection("127.0.0.1", entry.ports[port], 1000)

    async def call(
        self,
        method="POST",
        target="/a/x",
        body=b"",
        entry=None,
        port=0,
        **headers,
    ):
        """Send one request to an entry; return the `Answer`.

        Port 0 serves callers, port 1 readiness.
        """
        connection = await self.dial(entry, port)
        request = caller_request(method, target, body, **headers)
        events = await exchange(connection, request, TIMEOUT_S * 1000)
        assert events is not None, "the response did not end in time"
        return Answer(events)


@pytest.fixture
def platform(tmp_path):
    """Return a function that runs a scenario on an opened `Platform`."""

    def run_scenario(scenario, *routes, **how):
        async def main():
            platform = Platform(tmp_path)
            routes_ = routes or (route_fields(),)
            await platform.open(routes_, **how)
            try:
                return await scenario(platform)
            finally:
                await platform.close()

        return asyncio.run(main())

    return run_scenario
