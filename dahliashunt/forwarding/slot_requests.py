"""Request a slot from agents with hedged requests until one grants it."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import functools
import itertools

from dahliashunt.adapters.slots.client import SlotAttempt
from dahliashunt.adapters.slots.client import SlotClient
from dahliashunt.decisions.slot_ask_order import plan_asks
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.forwarding.replicas import Replica

__all__ = ["SlotReplies", "SlotRequester"]

HEDGE_DELAY_MS = 12
"""Wait for an agent's reply before the next agent is asked as well: some ten
round trips within a region, so that four lost agents cost a request 50 ms."""


@dataclass(slots=True)
class SlotReplies:
    """Replies of the agents that were asked for a slot.

    Attributes
    ----------
    granted : Replica or None
        Replica whose agent granted a slot to `attempt`.
    attempt : Attempt or None
    full, absent, unanswered : list of Replica
        Replicas without a free slot, replicas that their agent reports as
        absent, and replicas whose agent did not reply.
    wait_ms_by_id : dict
        Expected wait of a workspace's request, by its own place among those
        that wait at a replica; missing where the agent did not state it.
    """

    granted: Replica | None = None
    attempt: SlotAttempt | None = None
    full: list[Replica] = field(default_factory=list)
    absent: list[Replica] = field(default_factory=list)
    unanswered: list[Replica] = field(default_factory=list)
    wait_ms_by_id: dict[str, int] = field(default_factory=dict)

    def note_wait(self, replica: Replica, wait_ms: int) -> None:
        """Note the wait at `replica` by the request's own place there."""
        self.wait_ms_by_id[replica.replica_id] = wait_ms

    def can_ask(self, replica: Replica) -> bool:
        """Return whether another request to its agent may be answered."""
        return replica not in self.absent and replica not in self.unanswered


class SlotRequester:
    """Requests slots from agents on behalf of one entry.

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

    def attempt(
        self,
        requirements,
        run_id: str,
        idle_only: bool = False,
        on_refusal=None,
    ) -> SlotAttempt:
        """Return a new slot attempt for the request `run_id`."""
        return SlotAttempt(
            attempt_id=f"{run_id}#{next(self._numbers)}",
            run_id=run_id,
            use=requirements.use,
            slack_ms=requirements.slack_ms,
            rank=requirements.rank,
            on_revoke=requirements.on_revoke,
            workspace=requirements.workspace,
            prompt_tokens=requirements.prompt_tokens,
            output_tokens=requirements.output_tokens,
            idle_only=idle_only,
            on_refusal=on_refusal,
        )

    async def request_slot(
        self,
        replicas,
        requirements,
        run_id: str,
        state_of=lambda _: None,
        others=(),
    ) -> SlotReplies:
        """Request a slot that is free now from the agents of `replicas`.

        The first grant is used. Slots that other agents grant are released;
        each agent is asked with an attempt id of its own. An online request
        is first sent without revocation to replicas whose state shows an
        idle slot (`plan_asks`).

        Parameters
        ----------
        replicas : list of Replica
            In order of preference.
        requirements : SlotRequirements
        run_id : str
        state_of : callable
            Returns the `AllocatorState` of a replica, or None if unknown.
        others : sequence of Replica
            Replicas that are asked with revocation if they hold most items.
        """
        replies = SlotReplies()
        pending = {}
        try:
            asks = _asks(replicas, others, requirements, state_of)
            for replica, idle_only in asks:
                if _is_pending(replica, pending) or not replies.can_ask(
                    replica
                ):
                    continue
                if self._slots.is_silent(self._agent_of(replica)):
                    replies.unanswered.append(replica)
                    continue
                attempt = self.attempt(
                    requirements,
                    run_id,
                    idle_only,
                    on_refusal=functools.partial(replies.note_wait, replica),
                )
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
        """Wait up to `limit_s` for replies and record them."""
        done, _ = await asyncio.wait(
            pending, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            verdict = task.result()
            if verdict is SlotDecision.GRANTED and replies.granted is not None:
                # A second grant stays in `pending` and is released.
                continue
            replica, attempt = pending.pop(task)
            if verdict is SlotDecision.GRANTED:
                replies.granted, replies.attempt = replica, attempt
            elif verdict is SlotDecision.FULL:
                if replica not in replies.full:
                    replies.full.append(replica)
            elif verdict is SlotDecision.AWAY:
                replies.absent.append(replica)
            else:
                replies.unanswered.append(replica)

    def _give_back(self, pending):
        for task, (_, attempt) in pending.items():
            task.cancel()
            self._slots.release(attempt.attempt_id)


def _is_pending(replica, pending):
    return any(replica is asked for asked, _ in pending.values())


def _asks(replicas, others, requirements, state_of):
    """Yield the replicas to ask, each with whether it must not revoke."""
    if requirements.use is Use.ONLINE:
        return plan_asks(replicas, others, state_of)
    return ((replica, False) for replica in replicas)
