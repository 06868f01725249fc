"""Ask agents for a slot, one soon after the other, until one grants it."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import itertools

from dahliashunt.adapters.slots import Attempt
from dahliashunt.adapters.slots import SlotClient
from dahliashunt.decisions.slot_messages import Verdict
from dahliashunt.forwarding.replicas import Replica

__all__ = ["SlotReplies", "SlotRequester"]

HEDGE_DELAY_MS = 12
"""An agent that has not answered for so long is waited for beside the next
one. Some ten round trips within a region: a live agent is hardly ever
asked in vain, and four that are gone cost a request 50 ms of its objective
instead of 300."""


@dataclass(slots=True)
class SlotReplies:
    """What the agents said.

    Attributes
    ----------
    granted : Replica or None
        Holds a slot for `attempt`.
    attempt : Attempt or None
    full, away, unanswered : list of Replica
        Those that have no slot now, whose replica is absent, and that did
        not answer.
    """

    granted: Replica | None = None
    attempt: Attempt | None = None
    full: list[Replica] = field(default_factory=list)
    absent: list[Replica] = field(default_factory=list)
    unanswered: list[Replica] = field(default_factory=list)


class SlotRequester:
    """Asks the agents of one entry.

    Parameters
    ----------
    slots : SlotClient
    agent_of : callable
        Returns the address of a replica's agent.
    """

    def __init__(self, slots: SlotClient, agent_of):
        self._slots = slots
        self._agent_of = agent_of
        self._numbers = itertools.count(1)

    def attempt(self, want, run_id: str) -> Attempt:
        """Return a new attempt at a slot for the request `run_id`."""
        return Attempt(
            attempt_id=f"{run_id}#{next(self._numbers)}",
            run_id=run_id,
            use=want.use,
            slack_ms=want.slack_ms,
            rank=want.rank,
            on_revoke=want.on_revoke,
        )

    async def request_slot(self, replicas, want, run_id: str) -> SlotReplies:
        """Ask the agents of `replicas` for a slot that is free now.

        The first that grants one is taken. What others grant meanwhile is
        given back, since each was asked for an attempt of its own.
        """
        replies = SlotReplies()
        pending = {}
        try:
            for replica in replicas:
                if self._slots.is_silent(self._agent_of(replica)):
                    replies.unanswered.append(replica)
                    continue
                attempt = self.attempt(want, run_id)
                task = asyncio.create_task(self._ask(replica, attempt))
                pending[task] = (replica, attempt)
                await self._collect(pending, replies, HEDGE_DELAY_MS / 1000)
                if replies.granted is not None:
                    return replies
            while pending and replies.granted is None:
                await self._collect(pending, replies, None)
            return replies
        finally:
            self._give_back(pending)

    async def _ask(self, replica, attempt):
        return await self._slots.ask(attempt, self._agent_of(replica), 0)

    async def _collect(self, pending, replies, limit_s):
        """Wait for an answer, up to `limit_s`; note what has come."""
        done, _ = await asyncio.wait(
            pending, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            verdict = task.result()
            if verdict is Verdict.GRANTED and replies.granted is not None:
                # Two at the same moment: the second is given back.
                continue
            replica, attempt = pending.pop(task)
            if verdict is Verdict.GRANTED:
                replies.granted, replies.attempt = replica, attempt
            elif verdict is Verdict.FULL:
                replies.full.append(replica)
            elif verdict is Verdict.AWAY:
                replies.absent.append(replica)
            else:
                replies.unanswered.append(replica)

    def _give_back(self, pending):
        for task, (_, attempt) in pending.items():
            task.cancel()
            self._slots.release(attempt.attempt_id)
