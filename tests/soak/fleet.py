"""Entries and agents as processes, each at a loopback address of its own."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import sys

from dahliashunt.platform.standins import StoreStandin
from dahliashunt.platform.standins.settings import agent_fields
from dahliashunt.platform.standins.settings import at_most_once_route
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import entry_fields
from dahliashunt.platform.standins.settings import job_route
from dahliashunt.platform.standins.settings import replica_fields
from dahliashunt.platform.standins.settings import stream_route
from tests.soak.proxy import Proxy
from tests.soak.replica import SLOTS
from tests.soak.replica import SoakReplica
from tests.soak.replica import VERSIONS
from tests.soak.workspaces import WORKSPACES

__all__ = ["BUDGET_MS", "GRACE_S", "Fleet", "Machine"]

CLOCK = pathlib.Path(__file__).parent / "clock"
BUDGET_MS = 4_000
GRACE_S = 8
JUMP_MS = 5_000
BUNCHED_SHARE = 0.9
"""Share of new connections that one entry gets while they are bunched."""

JOB_RUNS = 4
"""Answers of 500 after which an item may be given up."""

ROUTES = (
    stream_route("/a/", BUDGET_MS, most_runs=3),
    at_most_once_route("/once/", BUDGET_MS),
    job_route("/j/", due_ms=10_000, most_runs=JOB_RUNS),
)


class Machine:
    """One process at one address, which comes back as itself."""

    def __init__(self, role, name, host, folder, skew_ms):
        self.role = role
        self.name = name
        self.host = host
        self.process = None
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._skew_ms = skew_ms
        self._starting = asyncio.Lock()
        self._log_from = 0

    def write_settings(self, fields):
        """Write the settings that the next start reads."""
        self._settings.write_text(json.dumps(fields))

    @property
    def is_up(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def start(self):
        """Start the process unless it runs: two faults may both want to."""
        async with self._starting:
            if not self.is_up:
                await self._start()

    def log_text(self):
        """Return all that its processes have written."""
        if not self._log.exists():
            return ""
        return self._log.read_text(errors="replace")

    def has_started(self):
        """Tell whether the process that was started last has listened."""
        return '"event": "started"' in self.log_text()[self._log_from :]

    async def _start(self):
        self._log_from = len(self.log_text())
        environment = {
            **os.environ,
            "DAHLIASHUNT_CONFIG": str(self._settings),
            "PYTHONPATH": str(CLOCK),
            "SOAK_SKEW_MS": str(self._skew_ms),
            "SOAK_JUMP_MS": str(JUMP_MS),
        }
        log = os.open(self._log, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
        try:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "dahliashunt.platform",
                self.role,
                stdout=log,
                stderr=log,
                env=environment,
            )
        finally:
            os.close(log)

    def send(self, number):
        """Send a signal if the process runs.

        `Process.send_signal` would reap a process that has just ended, and
        its exit code would be lost to `wait`.
        """
        if self.is_up:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def leave(self):
        """Ask the process to leave; return its exit code, None if late."""
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                return await self.process.wait()
        except TimeoutError:
            return None


class Fleet:
    """Store, replicas, agents, entries and the proxies between them.

    Parameters
    ----------
    folder : pathlib.Path
        For settings and logs.
    rng : random.Random
    entries, replicas : int

    Attributes
    ----------
    send_crashes : coroutine function
        Sends a request that crashes replicas to all entries at once.
    """

    def __init__(self, folder, rng, entries=3, replicas=3):
        self.store = StoreStandin()
        self.replicas = [
            SoakReplica(f"i-{n}", rng, VERSIONS[n % len(VERSIONS)])
            for n in range(replicas)
        ]
        self.agents = []
        self.entries = []
        self.store_link_by_name = {}
        self.replica_links = []
        self.caller_links = []
        self.revision = 0
        self.exits = []
        self.bunched_entry = None
        self.send_crashes = None
        self._returns = set()
        self._replacing = asyncio.Lock()
        self._replaced = itertools.count()
        self._counts = (entries, replicas)
        self._folder = folder
        self._rng = rng
        # A net of its own for each fleet: several play side by side.
        self._net = f"127.{rng.randint(1, 250)}.{os.getpid() % 250 + 1}"
        self._ports = _free_ports(self._net)
        self._range = (self._ports["first"], self._ports["first"] + 3)

    async def start(self):
        """Start everything; nothing is waited for."""
        self._store_address = await self.store.start()
        self.configure()
        entries, replicas = self._counts
        for number in range(replicas):
            await self._add_replica(number)
        for number in range(entries):
            await self._add_entry(number)
        for machine in (*self.agents, *self.entries):
            await machine.start()

    def pick_entry(self, rng):
        """Return the entry that gets a caller's new connection."""
        bunched = self.bunched_entry
        is_up = bunched is not None and self.entries[bunched].is_up
        if is_up and rng.random() < BUNCHED_SHARE:
            return bunched
        return rng.randrange(len(self.caller_links))

    def configure(self):
        """Put a new revision of the configuration into force."""
        self.revision += 1
        self.store.configure(
            config_fields(
                ROUTES, self.revision, slots=SLOTS, workspaces=WORKSPACES
            )
        )

    def list_replica(self, number, state="ready"):
        """Write a replica's row."""
        address = (self.agents[number].host, self._ports["replica"])
        replica = self.replicas[number]
        fields = replica_fields(
            address, slots=SLOTS, state=state, version=replica.version
        )
        self.store.list_replica(replica.replica_id, fields)

    async def replace_replica(self, number, version, drain_s):
        """Drain a replica, and start one of `version` at its address."""
        async with self._replacing:
            self.list_replica(number, "draining")
            await asyncio.sleep(drain_s)
            self._start_another(number, version)

    def _start_another(self, number, version):
        replica = self.replicas[number]
        self.store.unlist_replica(replica.replica_id)
        name = f"i-{number}-{next(self._replaced)}"
        replica.restart(name, version)
        self.list_replica(number)

    def _return_later(self, replica, down_s):
        """List a replica that has crashed as another one once it is back."""
        task = asyncio.create_task(self._return(replica, down_s))
        self._returns.add(task)
        task.add_done_callback(self._returns.discard)

    async def _return(self, replica, down_s):
        await asyncio.sleep(down_s)
        async with self._replacing:
            number = self.replicas.index(replica)
            self._start_another(number, replica.version)

    async def _add_replica(self, number):
        host = f"{self._net}.{100 + number}"
        replica = self.replicas[number]
        replica.on_crash = self._return_later
        inner = (f"{self._net}.{200 + number}", self._ports["replica"])
        await replica.start_at(*inner)
        link = Proxy(lambda: inner)
        outer = (host, self._ports["replica"])
        await link.start(*outer)
        self.replica_links.append(link)
        name = f"agent-{number}"
        store = await self._link_to_store(name)
        fields = agent_fields(
            store, name, host, self._range, self._ports["replica"]
        )
        self.agents.append(self._machine("agent", name, host, fields))
        self.list_replica(number)

    async def _add_entry(self, number):
        host = f"{self._net}.{10 + number}"
        callers = (host, self._ports["callers"])
        link = Proxy(lambda: callers)
        link.address = await link.start()
        self.caller_links.append(link)
        name = f"entry-{number}"
        store = await self._link_to_store(name)
        fields = entry_fields(
            store,
            name,
            host,
            self._range,
            self._ports["callers"],
            self._ports["ready"],
        )
        self.entries.append(self._machine("entry", name, host, fields))

    async def _link_to_store(self, name):
        """Return the address at which one machine finds the store."""
        link = Proxy(lambda: self._store_address)
        self.store_link_by_name[name] = link
        return await link.start()

    def _machine(self, role, name, host, fields):
        skew_ms = self._rng.randint(-3_000, 3_000)
        machine = Machine(role, name, host, self._folder, skew_ms)
        machine.write_settings(fields)
        return machine

    def links(self):
        """Return every proxy."""
        return [
            *self.store_link_by_name.values(),
            *self.replica_links,
            *self.caller_links,
        ]

    async def stop(self):
        """End every process that was started here, and all servers."""
        for task in self._returns:
            task.cancel()
        for machine in (*self.entries, *self.agents):
            machine.send(signal.SIGCONT)
            await machine.kill()
        for link in self.links():
            await link.stop()
        for replica in self.replicas:
            await replica.stop()
        await self.store.stop()


def _free_ports(net):
    """Return ports, all different, that are free in `net`."""
    with contextlib.ExitStack() as stack:
        taken = [stack.enter_context(socket.socket()) for _ in range(3)]
        taken.append(
            stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            )
        )
        for each in taken:
            each.bind((f"{net}.1", 0))
        numbers = [each.getsockname()[1] for each in taken]
    ports = dict(zip(("replica", "callers", "ready"), numbers, strict=False))
    # The range of four that starts here must end below the last port.
    ports["first"] = min(numbers[3], 65_000)
    return ports
