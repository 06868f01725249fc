"""What an agent's core says of attempts, driven by frames alone."""

import asyncio
import random

import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.wire.connection import Closed
from dahliashunt.adapters.wire.connection import Received
from dahliashunt.adapters.wire.gen.link.ttypes import Cancel
from dahliashunt.adapters.wire.gen.link.ttypes import End
from dahliashunt.adapters.wire.gen.link.ttypes import Frame
from dahliashunt.adapters.wire.gen.link.ttypes import Hello
from dahliashunt.adapters.wire.gen.link.ttypes import Open
from dahliashunt.adapters.wire.gen.link.ttypes import Priority
from dahliashunt.adapters.wire.gen.link.ttypes import Resume
from dahliashunt.adapters.wire.gen.link.ttypes import Settled
from dahliashunt.agent.core import AgentCore
from dahliashunt.agent.core import ENDS_AGAIN_MS
from dahliashunt.agent.messages import LeaveNotice
from dahliashunt.agent.records_keeper import RecordsKeeper
from dahliashunt.agent.settings import AgentSettings
from dahliashunt.agent.settings import BackEnd
from dahliashunt.decisions.agent import AgentDecisions
from dahliashunt.decisions.agent_policy import PROFILES

INCARNATION = 7


class FakeConnection:
    """Keeps the frames that were sent on it."""

    def __init__(self):
        self.frames = []

    def send(self, frame):
        self.frames.append(frame)
        return True

    def abort(self):
        self.frames.append(None)

    def greeted(self):
        """Do nothing: frames of any length are taken."""

    def outcomes(self):
        return [f.outcome for f in self.frames if f and f.outcome]


@pytest.fixture
def clock():
    return VirtualClock(start_ms=1)


@pytest.fixture
def core(clock):
    settings = AgentSettings("agent-1", "replica-1", "hall-a", BackEnd("x"))
    policy = PROFILES["throughput_first"]
    return AgentCore(
        settings,
        None,
        AgentDecisions(policy, random.Random(1)),
        RecordsKeeper(),
        None,
        clock,
        INCARNATION,
        structlog.get_logger(),
    )


def linked(core, node_id):
    connection = FakeConnection()
    hello = Hello(node_id=node_id, incarnation=1, revision=0, token="")
    core.links.on_received(Received(connection, [Frame(hello=hello)]))
    return connection


def say(core, connection, **message):
    core.links.on_received(Received(connection, [Frame(**message)]))


def opening(attempt_id):
    return Open(
        attempt_id=attempt_id,
        request_id=attempt_id,
        caller="bench",
        model="notes",
        priority=Priority.ONLINE,
        fingerprint="f",
        prompt_tokens=5,
        max_tokens=5,
        start_within_ms=760,
        alone=True,
    )


def resume(attempt_id, incarnation=INCARNATION):
    return Resume(attempt_id=attempt_id, offset=0, incarnation=incarnation)


def ended_attempt(core, connection, attempt_id):
    """Let an attempt end before it starts; its outcome is logged."""
    core.links.leaving = False
    core.attempts_by_id.clear()
    say(core, connection, open=opening(attempt_id))
    say(core, connection, cancel=Cancel(attempt_id=attempt_id))


@pytest.fixture(autouse=True)
def no_runners(monkeypatch):
    """Attempts wait: nothing is started in these tests."""
    monkeypatch.setattr(AgentCore, "_apply", lambda self, decisions: None)


def test_attempt_never_seen_did_not_run(core):
    entry = linked(core, "entry-1")
    say(core, entry, resume=resume("a"))
    assert entry.outcomes()[-1].end == End.NOT_RUN
    say(core, entry, open=opening("a"))
    assert "a" not in core.attempts_by_id


def test_replaced_agent_cannot_say_that_it_did_not_run(core):
    entry = linked(core, "entry-1")
    say(core, entry, resume=resume("a", incarnation=INCARNATION - 1))
    assert entry.outcomes()[-1].end == End.UNKNOWN


def test_settled_attempt_is_not_told_as_not_run(core):
    # A title-release stamp is stamped twice: an entry that asks again
    # after its attempt was settled is told that it did not run.
    entry = linked(core, "entry-1")
    ended_attempt(core, entry, "a")
    say(core, entry, settled=Settled(attempt_ids=["a"]))
    say(core, entry, resume=resume("a"))
    assert entry.outcomes()[-1].end == End.UNKNOWN


def test_another_entrys_going_takes_no_ends_away(core, clock):
    # The same, by another way: one entry is replaced, and ten seconds
    # later the ends that other entries had not yet received were settled
    # with its own.
    entry, other = linked(core, "entry-1"), linked(core, "entry-2")
    ended_attempt(core, entry, "a")
    core.links.on_closed(Closed(other))
    core._cancel_orphans("entry-2")
    core._cancel_orphans("entry-1")
    again = linked(core, "entry-1")
    say(core, again, resume=resume("a"))
    first, second = entry.outcomes()[-1], again.outcomes()[-1]
    assert second.end == first.end
    assert second.message == first.message


def test_older_connection_is_cut_by_a_newer_one(core):
    older = linked(core, "entry-1")
    newer = linked(core, "entry-1")
    assert older.frames[-1] is None
    say(core, older, open=opening("late"))
    assert "late" not in core.attempts_by_id
    say(core, newer, open=opening("a"))
    assert "a" in core.attempts_by_id


def test_foreign_peer_is_cut(core):
    connection = FakeConnection()
    hello = Hello(node_id="x", incarnation=1, revision=0, token="wrong")
    core.links.on_received(Received(connection, [Frame(hello=hello)]))
    assert connection.frames == [None]


def test_lost_settlement_does_not_keep_a_leaving_agent(core, clock):
    # An operator replaces an agent, and it stays until its drain limit of
    # two minutes although nothing runs there. An entry said that it had
    # an end, on a connection that was replaced as silent before the word
    # arrived; having forgotten the attempt, it never says so again.
    entry = linked(core, "entry-1")
    ended_attempt(core, entry, "a")
    again = linked(core, "entry-1")
    core._on_leave(LeaveNotice("replaced"))
    assert not core.is_idle
    for _ in range(3):
        asyncio.run(clock.advance(ENDS_AGAIN_MS))
        core._tick()
    assert [end.attempt_id for end in again.outcomes()] == ["a", "a", "a"]
    say(core, again, settled=Settled(attempt_ids=["a"]))
    assert core.is_idle


def test_ends_are_not_sent_again_before_an_entry_could_settle(core, clock):
    # A leaving agent with a thousand ends on their way must not send each
    # of them at every look.
    entry = linked(core, "entry-1")
    ended_attempt(core, entry, "a")
    core._on_leave(LeaveNotice("replaced"))
    core._tick()
    asyncio.run(clock.advance(ENDS_AGAIN_MS - 1))
    core._tick()
    assert len(entry.outcomes()) == 1
