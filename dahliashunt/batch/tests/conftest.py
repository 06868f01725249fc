"""Fakes at the ports: a table and an object store that can fail."""

import asyncio
from collections import Counter
from dataclasses import replace
import json
import random

import pytest

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.batch.front import NewJob
from dahliashunt.batch.items import ItemEnd
from dahliashunt.batch.items import ItemOutcome
from dahliashunt.batch.order_port import Grant
from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.batch.results import ResultKind
from dahliashunt.batch.service import BatchService
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Row

HUNG_S = 60


class FakeTable:
    """The table service in a dict, with faults by hand.

    `out` makes every call fail; `lose` is asked for each transaction
    whether its answer gets lost after the effect.
    """

    def __init__(self):
        self.rows = {}
        self.out = False
        self.lose = lambda writes: False
        self.before_write = None
        self.reads = 0
        self.writes = 0

    def _check(self):
        if self.out:
            raise PlatformUnavailable("out")

    async def read(self, key):
        self._check()
        self.reads += 1
        return self.rows.get(key)

    async def read_range(self, start, end, limit):
        self._check()
        self.reads += 1
        keys = sorted(key for key in self.rows if start <= key < end)
        return tuple(self.rows[key] for key in keys[:limit])

    async def transact(self, writes):
        if self.before_write is not None:
            await self.before_write(writes)
        self._check()
        versions = self.apply(writes)
        if self.lose(writes):
            raise WriteOutcomeUnknown("lost")
        return versions

    def apply(self, writes):
        failed = [write.key for write in writes if not self._holds(write)]
        if failed:
            raise TransactionConflict(failed)
        return tuple(self._apply(write) for write in writes)

    def _holds(self, write):
        row = self.rows.get(write.key)
        if write.expect is MustBe.ANY:
            return True
        if write.expect is MustBe.ABSENT:
            return row is None
        return row is not None and row.version == write.expect

    def _apply(self, write):
        row = self.rows.get(write.key)
        version = 0 if row is None else row.version
        if write.check_only:
            return version
        self.writes += 1
        if write.value is None:
            self.rows.pop(write.key, None)
            return 0
        self.rows[write.key] = Row(write.key, write.value, version + 1)
        return version + 1


class FakeObjects:
    """The object store in a dict; names are never written twice."""

    def __init__(self):
        self.data = {}
        self.out = False

    def _check(self):
        if self.out:
            raise PlatformUnavailable("out")

    async def put(self, name, data):
        self._check()
        assert self.data.setdefault(name, data) == data
        await asyncio.sleep(0)

    async def get(self, name):
        self._check()
        await asyncio.sleep(0)
        return self.data.get(name)

    async def delete(self, name):
        self._check()
        self.data.pop(name, None)


class FakeRunner:
    """Answers every item after a while; counts starts and ends.

    `outcome` may be replaced to answer otherwise; `gate`, when cleared,
    keeps items running, and the start of number `hold_from` clears it.
    """

    def __init__(self, clock, rooms=8, item_ms=10):
        self.clock = clock
        self.rooms = rooms
        self.item_ms = item_ms
        self.gate = asyncio.Event()
        self.gate.set()
        self.starts = Counter()
        self.cancelled = Counter()
        self.running = 0
        self.started = 0
        self.hold_from = None
        self.outcome = self.answer

    def answer(self, item):
        text = json.dumps({"echo": json.loads(item.body)["n"]})
        return ItemOutcome(ItemEnd.DONE, 200, text.encode())

    def room(self):
        return {"m": self.rooms - self.running}

    async def run(self, item):
        self.starts[item.custom_id] += 1
        self.running += 1
        self.started += 1
        if self.started == self.hold_from:
            self.gate.clear()
        try:
            await self.gate.wait()
            await self.clock.sleep_ms(self.item_ms)
            return self.outcome(item)
        except asyncio.CancelledError:
            self.cancelled[item.custom_id] += 1
            raise
        finally:
            self.running -= 1


class FirstCome:
    """The baseline order: jobs in order of their first mention."""

    def __init__(self):
        self.shape_by_job = {}
        self.failed = Counter()

    def job(self, now, shape):
        self.shape_by_job[shape.job_id] = shape

    def remove_job(self, job_id):
        self.shape_by_job.pop(job_id, None)

    def choose(self, now, room_by_model):
        room = dict(room_by_model)
        for shape in self.shape_by_job.values():
            items = min(shape.items_left, room.get(shape.model, 0))
            if items:
                room[shape.model] -= items
                yield Grant(shape.job_id, items)

    def item_failed(self, now, job_id):
        self.failed[job_id] += 1


class Node:
    """One entry's batch service over shared fakes."""

    def __init__(self, world, name, seed):
        self.runner = FakeRunner(world.clock)
        self.table = world.table_of(name)
        self.service = BatchService(
            self.table,
            world.objects,
            world.clock,
            random.Random(seed),
            name,
            self.runner,
            FirstCome(),
            world.policy,
        )
        self.task = None

    def start(self):
        self.task = asyncio.get_running_loop().create_task(self.service.run())
        return self

    async def kill(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class FrozenTable:
    """A node's view of the table, which can be frozen with its node."""

    def __init__(self, table):
        self._table = table
        self.thawed = asyncio.Event()
        self.thawed.set()

    async def read(self, key):
        await self.thawed.wait()
        return await self._table.read(key)

    async def read_range(self, start, end, limit):
        await self.thawed.wait()
        return await self._table.read_range(start, end, limit)

    async def transact(self, writes):
        await self.thawed.wait()
        return await self._table.transact(writes)


class World:
    """Shared fakes, nodes over them, and time."""

    ERROR = ResultKind.ERROR

    def __init__(self):
        self.clock = VirtualClock()
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.policy = BatchPolicy(chunk_lines=10, group_chunks=4)
        self.nodes = []

    def use_policy(self, **fields):
        self.policy = replace(self.policy, **fields)

    def table_of(self, name):
        return FrozenTable(self.table)

    def node(self, name="a"):
        self.nodes.append(Node(self, name, len(self.nodes)))
        return self.nodes[-1]

    async def upload(self, node, items, lines=None, caller="museum"):
        async def pieces():
            for number in range(items):
                yield line(number)
            for extra in lines or ():
                yield extra

        return await node.service.files.upload(
            caller, "lot.jsonl", "batch", pieces()
        )

    async def job(self, node, items, lines=None, key="lot-1", **fields):
        file = await self.upload(node, items, lines)
        return await node.service.submit(self.new_job(file, key, **fields))

    def new_job(self, file, key="lot-1", **fields):
        return NewJob(
            "museum", file.file_id, "/v1/chat/completions", key=key, **fields
        )

    async def until(self, holds, limit_ms=120_000, step_ms=50):
        """Move time on until `holds()`; it may be a coroutine function."""
        for _ in range(0, limit_ms, step_ms):
            answer = holds()
            if asyncio.iscoroutine(answer):
                answer = await answer
            if answer:
                return
            await self.clock.advance(step_ms)
        raise AssertionError(f"{holds} did not hold in {limit_ms} ms")

    async def ended(self, node, job, limit_ms=120_000):
        """Move time on until the job is terminal; return its view."""

        async def terminal():
            view = await node.service.get(job.caller, job.job_id)
            return view.job.terminal

        await self.until(terminal, limit_ms)
        return await node.service.get(job.caller, job.job_id)

    async def lines(self, node, job, kind=ResultKind.OUTPUT):
        """Return the job's lines as read from a node."""
        view = await node.service.get(job.caller, job.job_id)
        data = b"".join(
            [piece async for piece in node.service.results(view.job, kind)]
        )
        return [json.loads(text) for text in data.splitlines()]

    async def close(self):
        for node in self.nodes:
            if node.task is not None:
                await node.kill()


def line(number, model="m"):
    """Return one input line."""
    fields = {
        "custom_id": f"c{number}",
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": {"model": model, "n": number},
    }
    return json.dumps(fields).encode() + b"\n"


@pytest.fixture
def play():
    """Run a scenario, a coroutine function of a new world."""

    def run(scenario):
        async def main():
            world = World()
            try:
                async with asyncio.timeout(HUNG_S):
                    await scenario(world)
            finally:
                await world.close()

        asyncio.run(main())

    return run
