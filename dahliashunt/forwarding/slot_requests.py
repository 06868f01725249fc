"""Ask agents for a slot, one soon after the other, until one grants it."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import itertools

from dahliashunt.adapters.slots import SlotAttempt
from dahliashunt.adapters.slots import SlotClient
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.forwarding.replicas import Replica

__all__ = ["Asked", "Asker"]

STAGGER_MS = 12
"""An agent that has not answered for so long is waited for beside the next
one. Some ten round trips within a region: a live agent is hardly ever
asked in vain, and four that are gone cost a request 50 ms of its objective
instead of 300."""


@dataclass(slots=True)
class Asked:
    """What the agents said.

    Attributes
    ----------
    granted : Replica or None
        Holds a slot for `attempt`.
    attempt : SlotAttempt or None
    full, away, unanswered : list of Replica
        Those that have no slot now, whose replica is absent, and that did
        not answer.
    """

    granted: Replica | None = None
    attempt: SlotAttempt | None = None
    full: list[Replica] = field(default_factory=list)
    away: list[Replica] = field(default_factory=list)
    unanswered: list[Replica] = field(default_factory=list)


class Asker:
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

    def attempt(self, requirements, run_id: str) -> SlotAttempt:
        """Return a new attempt at a slot for the request `run_id`."""
        return SlotAttempt(
            attempt_id=f"{run_id}#{next(self._numbers)}",
            run_id=run_id,
            use=requirements.use,
            slack_ms=requirements.slack_ms,
            rank=requirements.rank,
            on_revoke=requirements.on_revoke,
        )

    async def ask_in_turn(self, replicas, requirements, run_id: str) -> Asked:
        """Ask the agents of `replicas` for a slot that is free now.

        The first that grants one is taken. What others grant meanwhile is
        given back, since each was asked for an attempt of its own.
        """
        asked = Asked()
        pending = {}
        try:
            for replica in replicas:
                if self._slots.is_silent(self._agent_of(replica)):
                    asked.unanswered.append(replica)
                    continue
                attempt = self.attempt(requirements, run_id)
                task = asyncio.create_task(self._ask(replica, attempt))
                pending[task] = (replica, attempt)
                await self._collect(pending, asked, STAGGER_MS / 1000)
                if asked.granted is not None:
                    return asked
            while pending and asked.granted is None:
                await self._collect(pending, asked, None)
            return asked
        finally:
            self._give_back(pending)

    async def _ask(self, replica, attempt):
        return await self._slots.ask(attempt, self._agent_of(replica), 0)

    async def _collect(self, pending, asked, limit_s):
        """Wait for an answer, up to `limit_s`; note what has come."""
        done, _ = await asyncio.wait(
            pending, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            verdict = task.result()
            if verdict is SlotDecision.GRANTED and asked.granted is not None:
                # Two at the same moment: the second is given back.
                continue
            replica, attempt = pending.pop(task)
            if verdict is SlotDecision.GRANTED:
                asked.granted, asked.attempt = replica, attempt
            elif verdict is SlotDecision.FULL:
                asked.full.append(replica)
            elif verdict is SlotDecision.AWAY:
                asked.away.append(replica)
            else:
                asked.unanswered.append(replica)

    def _give_back(self, pending):
        for task, (_, attempt) in pending.items():
            task.cancel()
            self._slots.release(attempt.attempt_id)
