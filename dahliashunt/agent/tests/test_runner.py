"""What a runner says of a call that is stopped, whenever that comes."""

import asyncio

import pytest

from dahliashunt.agent.messages import EngineData
from dahliashunt.agent.messages import EngineEnd
from dahliashunt.agent.runner import Runner
from dahliashunt.agent.runner import RunnerJob
from dahliashunt.errors import EngineError
from dahliashunt.errors import EngineLost
from dahliashunt.mailbox import Mailbox
from dahliashunt.ports.engine import EngineCall
from dahliashunt.ports.engine import EngineEvents

LIMIT_MS = 20_000
"""Longest that a message is waited for; only a fault reaches it."""


class FakeEngine:
    """Streams for ever; notes what it was asked."""

    def __init__(self):
        self.calls = []
        self.cancelled = []
        self.refusal = None
        self.handle = None

    async def call(self, call, timeout_ms):
        self.calls.append(call.attempt_id)
        while True:
            yield EngineEvents(b"data: x\n\n", 1, 200, {})
            await asyncio.Event().wait()

    async def cancel(self, attempt_id):
        if self.refusal is not None:
            raise self.refusal
        self.cancelled.append(attempt_id)

    async def export_kv(self, attempt_id):
        if self.refusal is not None:
            raise self.refusal
        return self.handle


@pytest.fixture
def engine():
    return FakeEngine()


def play(engine, stop, begun):
    """Return how a run ends that `stop` stops, begun or not."""
    job = RunnerJob(EngineCall("a", "POST", "/", b"{}", {}), 60_000)

    async def run():
        owner = Mailbox()
        runner = Runner(engine, job, owner, 1_000)
        runner.start()
        if begun:
            [data] = await owner.take(LIMIT_MS)
            assert isinstance(data, EngineData)
        stop(runner)
        return await owner.take(LIMIT_MS)

    return asyncio.run(run())


@pytest.mark.parametrize("stop", [Runner.cancel, Runner.export])
def test_a_run_that_is_stopped_before_it_began_ends(engine, stop):
    # An agent that is replaced stays for its whole drain limit, and its
    # slot is taken until then. A caller left just after its request had
    # been handed on: opening and cancel came in one read, and a task that
    # is cancelled before its first step runs no line of its own, so that
    # its end was never told.
    [ended] = play(engine, stop, begun=False)
    assert ended.end is EngineEnd.CANCELLED
    assert engine.calls == []


def test_a_run_that_is_stopped_ends_once(engine):
    [ended] = play(engine, Runner.cancel, begun=True)
    assert ended.end is EngineEnd.CANCELLED
    assert engine.cancelled == ["a"]


@pytest.mark.parametrize("stop", [Runner.cancel, Runner.export])
@pytest.mark.parametrize("refusal", [EngineError("500"), EngineLost("cut")])
def test_a_refused_stop_still_ends_the_run(engine, stop, refusal):
    # The same, seen where an engine answers a cancel with an error of its
    # own: the run's task ended by that error and told nobody.
    engine.refusal = refusal
    [ended] = play(engine, stop, begun=True)
    assert ended.end is EngineEnd.CANCELLED
    assert str(refusal) in ended.text


def test_an_exported_run_names_its_handle(engine):
    engine.handle = "kv-1"
    [ended] = play(engine, Runner.export, begun=True)
    assert (ended.end, ended.kv_handle) == (EngineEnd.EXPORTED, "kv-1")
