"""A model replica with slots, a queue, a report and bad days."""

import asyncio
import collections

from dahliashunt.platform.names import AUTHORIZATION
from dahliashunt.platform.names import WORKSPACE
from dahliashunt.platform.standins import ReplicaStandin
from dahliashunt.platform.standins.replica import report_answer
from dahliashunt.platform.standins.replica import Step
from tests.soak.workspaces import workspace_of

__all__ = ["EVENTS", "SLOTS", "SoakReplica", "answer_text"]

EVENTS = 12
GAP_MS = 12
HEAD_MS = 45
SLOTS = 4
QUEUE = 8

REFUSED = Step(status=503, not_run=True, body=b"")


def answer_text(first=1):
    """Return the whole stream's text from event `first` on."""
    return "".join(f"text {n}" for n in range(first, EVENTS + 1))


class SoakReplica(ReplicaStandin):
    """Streams `EVENTS` events; refuses beyond its slots and its queue.

    Attributes
    ----------
    step_by_chance : list of (float, Step)
        What goes wrong, and for which share of requests.
    runs_by_request : Counter
        How often each request began to run here.
    misnamed : list of str
        Requests that ran in another name than their caller's, or that came
        with its key.
    """

    def __init__(self, replica_id, rng):
        super().__init__(replica_id)
        self.rng = rng
        self.step_by_chance = []
        self.runs_by_request = collections.Counter()
        self.misnamed = []
        self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._held = []

    async def start_at(self, host, port):
        """Listen at an address of its own."""
        self._server = await asyncio.start_server(self._connected, host, port)

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
        return await super()._answer(arrival, step, writer)
