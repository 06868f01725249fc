import asyncio

import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.table import MemoryTableService
from dahliashunt.adapters.wire.gen.link.ttypes import Order as OrderFrame
from dahliashunt.adapters.wire.gen.link.ttypes import OrderKind
from dahliashunt.agent.orders import OrderTask
from dahliashunt.agent.orders import Wanted
from dahliashunt.errors import EngineLost
from dahliashunt.membership.fence import Fence
from dahliashunt.ports.engine import EngineState
from dahliashunt.ports.engine import LoadedModel

OLD = LoadedModel("notes", "v1")
NEW = LoadedModel("notes", "v2")
GUARD_MS = 5_000


def frame(kind, model, token=1):
    return OrderFrame(token, kind, model.model, model.version)


def state(*models):
    return EngineState("1", "serve", models, (), 0, False)


class FakeEngine:
    """An engine that checks no fencing token."""

    def __init__(self):
        self.models = (OLD,)
        self.tokens = []
        self.lose = 0

    async def state(self):
        return state(*self.models)

    async def order(self, order):
        if self.lose:
            self.lose -= 1
            raise EngineLost("cut before it arrived")
        self.tokens.append(order.fence)
        self.models = order.models


@pytest.fixture
def engine():
    return FakeEngine()


@pytest.fixture
def clock():
    return VirtualClock()


@pytest.fixture
def table():
    return MemoryTableService()


def task(engine, table, clock, holder):
    fence = Fence(table, "replica-1", holder, GUARD_MS, clock)
    return OrderTask(engine, fence, clock, structlog.get_logger())


def test_order_of_a_replaced_planner_is_refused():
    # A rollout goes back by itself: a planner that was paused thaws and
    # orders the old version, after its successor ordered the new one.
    wanted = Wanted()
    assert wanted.take(frame(OrderKind.LOAD, NEW, token=2), (OLD,))
    assert not wanted.take(frame(OrderKind.LOAD, OLD, token=1), (NEW,))
    assert wanted.models == {NEW}


def test_engine_stays_as_it_is_without_an_order():
    assert not Wanted().differs(state(OLD))


def test_drained_model_is_forgotten_once_it_is_gone():
    wanted = Wanted()
    wanted.take(frame(OrderKind.DRAIN, OLD), (OLD,))
    assert wanted.draining == {"notes"}
    wanted.take(frame(OrderKind.UNLOAD, OLD), (OLD,))
    wanted.settle(state())
    assert wanted.draining == frozenset()


def test_lost_order_is_sent_again(engine, table, clock):
    # An endpoint never gets the new version: the order's connection was
    # cut and nobody looks whether it arrived.
    async def run():
        orders = task(engine, table, clock, "a")
        running = asyncio.create_task(orders.run())
        engine.lose = 1
        orders.mailbox.put(frame(OrderKind.LOAD, NEW))
        while engine.models != (NEW,):
            await clock.advance(100)
        running.cancel()

    asyncio.run(run())


def test_old_agents_order_is_repaired(engine, table, clock):
    # Callers get the version of yesterday: an old agent was paused between
    # its check and its send, and its order reaches an engine that checks
    # no tokens after the new agent's. The new one compares and repairs.
    async def run():
        orders = task(engine, table, clock, "new")
        running = asyncio.create_task(orders.run())
        orders.mailbox.put(frame(OrderKind.LOAD, NEW))
        while engine.models != (NEW,):
            await clock.advance(100)
        engine.models = (OLD,)
        while engine.models != (NEW,):
            await clock.advance(100)
        running.cancel()

    asyncio.run(run())


def test_replaced_agent_orders_nothing_more(engine, table, clock):
    # A frozen agent and its replacement order one engine that checks no
    # tokens: the old one thaws with an order in hand.
    async def run():
        engine.models = ()
        old = task(engine, table, clock, "old")
        await old._work([frame(OrderKind.LOAD, OLD)])
        assert engine.tokens == [1]
        new = task(engine, table, clock, "new")
        await new._work([frame(OrderKind.LOAD, NEW)])
        assert engine.tokens == [1]
        await clock.advance(GUARD_MS)
        engine.models = ()
        await old._work([])
        assert engine.tokens == [1]
        await new._work([])
        assert engine.tokens == [1, 2]
        assert engine.models == (NEW,)

    asyncio.run(run())
