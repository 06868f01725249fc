"""A model replica with slots, a queue, a report and bad days."""

import asyncio
import collections

from dahliashunt.platform.names import AUTHORIZATION
from dahliashunt.platform.names import BUDGET
from dahliashunt.platform.names import WORKSPACE
from dahliashunt.platform.standins import ReplicaStandin
from dahliashunt.platform.standins.replica import report_answer
from dahliashunt.platform.standins.replica import Step
from tests.soak.workspaces import workspace_of

__all__ = [
    "CRASH_PATH",
    "EVENTS",
    "SLOTS",
    "STATUS_BY_ENDING",
    "VERSIONS",
    "SoakReplica",
    "event_bytes",
]

EVENTS = 12
GAP_MS = 12
HEAD_MS = 45
SLOTS = 4
QUEUE = 8

REFUSED = Step(status=503, not_run=True, body=b"")

CRASH_PATH = "/a/crash"
"""Requests to this path take down each replica that runs them."""

STATUS_BY_ENDING = {"-500": 500, "-422": 422}
"""Items whose ids end so are always answered with the status."""

FAIL_MS = 700
"""Time of a run that fails: long enough for faults between two of them."""

DOWN_S = (0.3, 1.5)


VERSIONS = ("v1", "v2")
"""Software versions, whose texts do not fit together."""


def event_bytes(number, version):
    """Return an event of a stream; its data names the version."""
    return f"id: {number}\ndata: text {number} {version}\n\n".encode()


class SoakReplica(ReplicaStandin):
    """Streams `EVENTS` events; refuses beyond its slots and its queue.

    A request to `CRASH_PATH` resets all of its connections, `crash_after_s`
    after it began to run, and keeps it down for `DOWN_S`.

    Attributes
    ----------
    step_by_chance : list of (float, Step)
        What goes wrong, and for which share of requests.
    runs_by_request : Counter
        How often each request began to run here.
    misnamed : list of str
        Requests that ran in another name than their caller's, or that came
        with its key.
    statuses_by_item : defaultdict of Counter
        Answers to items that fail at each run.
    crash_after_s : float
    crashes : list of float
        Time of each crash.
    crashing_runs : list of (float, str)
        Time and request of each run that was to crash it.
    budgets_by_request : defaultdict of list
        Time of arrival, and the time handed on in milliseconds.
    on_crash : callable
        Gets the replica and the seconds after which it is back.
    """

    def __init__(self, replica_id, rng, version):
        super().__init__(replica_id, version)
        self.rng = rng
        self.step_by_chance = []
        self.runs_by_request = collections.Counter()
        self.misnamed = []
        self.statuses_by_item = collections.defaultdict(collections.Counter)
        self.crash_after_s = 0.0
        self.crashes = []
        self.crashing_runs = []
        self.budgets_by_request = collections.defaultdict(list)
        self.on_crash = lambda replica, down_s: None
        self._down_until_s = 0.0
        self._writers = set()
        self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._held = []

    def event(self, number):
        """Return an event of this replica's version."""
        return event_bytes(number, self.version)

    def go_down(self):
        """Break all connections, and refuse new ones for a while."""
        now_s = asyncio.get_running_loop().time()
        self._down_until_s = now_s + self.rng.uniform(*DOWN_S)
        for writer in self._writers:
            writer.transport.abort()
        self.on_crash(self, self._down_until_s - now_s)

    def restart(self, replica_id, version):
        """Become another replica at the same address."""
        self.replica_id = replica_id
        self.version = version
        for writer in self._writers:
            writer.transport.abort()

    async def start_at(self, host, port):
        """Listen at an address of its own."""
        self._server = await asyncio.start_server(self._connected, host, port)

    async def _connected(self, reader, writer):
        if asyncio.get_running_loop().time() < self._down_until_s:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            await super()._connected(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _crash(self, request_id):
        loop = asyncio.get_running_loop()
        self.crashing_runs.append((loop.time(), request_id))
        crashes = len(self.crashes)
        await asyncio.sleep(self.crash_after_s)
        if len(self.crashes) > crashes:
            # Another run has crashed it meanwhile.
            return
        self.crashes.append(loop.time())
        self.go_down()

    def _note_budget(self, arrival):
        now_s = asyncio.get_running_loop().time()
        self.budgets_by_request[arrival.request_id].append(
            (now_s, int(arrival.headers.get(BUDGET, "-1")))
        )

    async def _run(self, arrival, reader, writer):
        if arrival.asks_report:
            writer.write(report_answer(self._held, self._waiting))
            await writer.drain()
            return True
        if self._waiting >= QUEUE:
            return await self._answer(arrival, REFUSED, writer)
        self._waiting += 1
        request_id = arrival.request_id
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._held.append(request_id)
        try:
            return await super()._run(arrival, reader, writer)
        finally:
            self._held.remove(request_id)
            self._slots.release()

    def _check_name(self, arrival):
        name = arrival.headers.get(WORKSPACE)
        is_right = name == workspace_of(arrival.request_id)
        if not is_right or AUTHORIZATION in arrival.headers:
            self.misnamed.append(f"{arrival.request_id} ran as {name}")

    def _step(self):
        for chance, step in self.step_by_chance:
            if self.rng.random() < chance:
                return step
        return Step(events=EVENTS, gap_ms=GAP_MS, head_ms=HEAD_MS)

    async def _answer(self, arrival, step, writer):
        if not step.not_run:
            self.runs_by_request[arrival.request_id] += 1
            self._check_name(arrival)
            self._note_budget(arrival)
            if arrival.target == CRASH_PATH:
                await self._crash(arrival.request_id)
            status = STATUS_BY_ENDING.get(arrival.request_id[-4:])
            if status is not None:
                return await self._fail(arrival, status, writer)
        return await super()._answer(arrival, step, writer)

    async def _fail(self, arrival, status, writer):
        step = Step(status=status, body=b"no", head_ms=FAIL_MS)
        keeps = await super()._answer(arrival, step, writer)
        self.statuses_by_item[arrival.request_id][status] += 1
        return keeps
