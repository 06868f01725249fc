"""An entry and an agent of the platform as processes, with small limits."""

import asyncio
import contextlib
import json
import random
import socket

from dahliashunt.platform.standins import StoreStandin
from dahliashunt.platform.standins.settings import agent_fields
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import entry_fields
from dahliashunt.platform.standins.settings import job_route
from dahliashunt.platform.standins.settings import replica_fields
from dahliashunt.platform.standins.settings import route_fields
from tests.crowds.clients import head
from tests.crowds.clients import is_served
from tests.crowds.clients import send_once
from tests.crowds.clients import send_until_served
from tests.crowds.processes import check_limits
from tests.crowds.processes import MB
from tests.crowds.processes import Program
from tests.crowds.replica import CrowdReplica

__all__ = ["BODY_BYTES", "HEADER_BYTES", "CrowdFleet", "route"]

HOST = "127.0.0.1"
BODY_BYTES = 4_194_304
HEADER_BYTES = 16_384
SLOTS = 2_000

PORTS = (10_000, 32_000)
"""Below the ephemeral range."""

POLL_S = 0.02
LEAVE_S = 0.3

LIMITS = {
    "max-header-bytes": HEADER_BYTES,
    "max-body-bytes": BODY_BYTES,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 15_000,
}


def route(name="r-1", prefix="/a/", timeout_ms=20_000):
    """Return a route of requests that may be repeated."""
    return route_fields(
        name=name,
        prefix=prefix,
        kind="idempotent",
        resumable=False,
        **{"timeout-ms": timeout_ms, "goal-ms": 1_000, "max-attempts": 1},
    )


JOBS = {**job_route("/j/", 60_000, 2), "cap": 0}


class CrowdFleet:
    """Store and replica in this process, entry and agent in their own.

    Parameters
    ----------
    folder : pathlib.Path
    memory_mb, fds : int
        Limits of each process.

    Attributes
    ----------
    entry, agent : Program
    port, ready_port, metrics_port, agent_metrics_port : int
    replica : CrowdReplica
    others : list
        Further servers to be stopped with the fleet.
    store : StoreStandin
    """

    def __init__(self, folder, memory_mb, fds):
        self.memory_mb = memory_mb
        self.fds = fds
        self.store = StoreStandin()
        self.replica = CrowdReplica()
        self.others = []
        self._folder = folder
        self.store_address = None
        ports = _free_ports(6)
        self.port, self.ready_port, self.metrics_port = ports[:3]
        self.agent_metrics_port, self._first, self._agent_first = ports[3:]
        self.entry = self._program("entry", self.metrics_port)
        self.agent = self._program("agent", self.agent_metrics_port)

    def _program(self, role, metrics_port):
        module = ["-m", "dahliashunt.platform", role]
        options = ["--metrics-port", str(metrics_port)]
        path = str(self._folder / f"{role}.json")
        return Program(
            self._folder,
            role,
            [*module, *options],
            {"DAHLIASHUNT_CONFIG": path},
        )

    async def start(self):
        """Start all; return once a request and the agent are served."""
        self.store_address = await self.store.start()
        await self.replica.start()
        self.configure([route(), JOBS])
        self.store.list_replica(
            "i-1", replica_fields(self.replica.address, slots=SLOTS)
        )
        entry = entry_fields(
            self.store_address,
            "front-1",
            HOST,
            (self._first, self._first + 1),
            self.port,
            self.ready_port,
        )
        self._write_settings("entry", entry)
        self.write_agent_settings()
        await self.entry.start()
        await self.entry.until_logged("started")
        await send_until_served(self.port, self.ordinary())

    def write_agent_settings(self):
        """Write the settings of the agent beside the replica."""
        agent = agent_fields(
            self.store_address,
            "side-1",
            HOST,
            (self._agent_first, self._agent_first + 1),
            self.replica.address[1],
        )
        self._write_settings("agent", agent)

    def _write_settings(self, role, fields):
        limits = {"memory-mb": self.memory_mb, "fds": self.fds}
        fields["limits"] = {**fields["limits"], **limits}
        (self._folder / f"{role}.json").write_text(json.dumps(fields))

    async def start_agent(self):
        """Start the agent, which most crowds never meet."""
        await self.agent.start()
        await self.agent.until_logged("started")

    def configure(self, routes, version=1):
        """Put a configuration into force."""
        fields = config_fields(routes, version=version, engine=False)
        self.store.configure({**fields, "limits": LIMITS})

    def ordinary(self, path="/a/x", body=b"x" * 100):
        """Return an ordinary request."""
        return head(path, len(body)) + body

    async def serves(self, path="/a/x", body=b"x" * 100):
        """Return whether one ordinary request is served at once."""
        reply = await send_once(self.port, self.ordinary(path, body))
        if not is_served(reply):
            print(reply, "\n".join(self.entry.text().splitlines()[-20:]))
        return is_served(reply)

    def check(self, program=None):
        """Check that a process lives within its limits."""
        program = program or self.entry
        assert program.is_alive, program.text()[-2_000:]
        check_limits(program.pid, self.memory_mb * MB, self.fds)
        assert "Traceback" not in program.text()

    async def check_beside(self, clients):
        """Check ordinary requests beside a crowd, and one after it."""
        for _ in range(3):
            assert await self.serves()
        self.check()
        await self.check_without(clients)

    async def check_without(self, clients, path="/a/x"):
        """Close the crowd's connections; check what is left."""
        for client in clients:
            client.leave()
        await asyncio.sleep(LEAVE_S)
        assert await self.serves(path)
        self.check()

    async def until(self, condition):
        """Wait until `condition` holds."""
        async with asyncio.timeout(20):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)

    async def stop(self):
        """End what was started."""
        await self.entry.stop()
        await self.agent.stop()
        for server in (self.replica, *self.others, self.store):
            await server.stop()


def _free_ports(count):
    """Return ports that no outgoing connection takes meanwhile.

    A crowd's own connections use ports of the system's ephemeral range.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            if not any(abs(port - other) < 3 for other in ports):
                ports.append(port)
    return ports
