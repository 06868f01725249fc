"""Find a replica with a slot for a request."""

import asyncio
import random

from dahliashunt.adapters.slots import SlotClient
from dahliashunt.decisions.partners import draw_outsiders
from dahliashunt.decisions.return_time import HoldTimes
from dahliashunt.decisions.return_time import return_after_ms
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.slot_messages import Verdict
from dahliashunt.decisions.suspicion import Suspicion
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.asking import SlotRequester
from dahliashunt.forwarding.known_replicas import KnownReplicas
from dahliashunt.forwarding.place import Place
from dahliashunt.forwarding.place import Want
from dahliashunt.ports import Clock

__all__ = ["Places"]

MAX_ASKED = 6
"""Agents asked in turn before a request waits at one: some milliseconds,
and with six replicas in ten full the chance to miss room is 1 in 20."""

NO_REPLICA_RETRY_MS = 500
"""Retry-After when a service has no replica: replicas come back, or new
ones are listed, within a heartbeat or two of 1.2 s."""

DIRECT_SLOT_DIVISOR = 4
"""A replica whose agent is silent is sent to directly, with this part of
its slots at the most: several entries do so at a time and none knows of
the others. Up to all slots from each would fill the replicas' own queues
for seconds after a start, when entries are up before agents."""

PROBE_MS = 100
"""Between probes of silent agents, and looks for new replicas: a third of
an objective, after which an agent that has started is asked."""

NO_AGENTS_MS = 10_000
"""After so long without a word from any agent of a service, it is taken to
have none: its replicas are sent to directly, up to their slots. Agents are
up some three seconds after the entries where all start at once."""


class Places:
    """Chooses replicas and asks their agents.

    Parameters
    ----------
    known : KnownReplicas
    slots : SlotClient
    suspicion : Suspicion
    clock : Clock
    rng : random.Random
    """

    def __init__(
        self,
        known: KnownReplicas,
        slots: SlotClient,
        suspicion: Suspicion,
        clock: Clock,
        rng: random.Random,
    ):
        self._known = known
        self._slots = slots
        self._suspicion = suspicion
        self._clock = clock
        self._rng = rng
        self._slot_requester = SlotRequester(slots, known.agent)
        self._holds = HoldTimes()
        self._started_ms = clock.now_ms()
        self._renewed: set[tuple[str, int]] = set()

    async def find(self, want: Want, request_id: str, keeps: bool) -> Place:
        """Return a place for `want`.

        Parameters
        ----------
        want : Want
        request_id : str
            The id under which the replica will list the request.
        keeps : bool
            Whether the service's replicas have agents that keep slots.

        Raises
        ------
        RequestError
            There is none; nothing ran because of this call.
        """
        replicas = self._untried(want)
        ordered = self._known.ordered(replicas, want.affinity)
        if not keeps:
            return self._direct(ordered[0])
        if self._has_no_agents(replicas):
            return self._direct_within_slots(ordered, want)
        chosen = self._with_outsiders(ordered, want)
        replies = await self._slot_requester.request_slot(
            chosen, want, request_id
        )
        now_ms = self._clock.now_ms()
        for replica in replies.absent:
            self._suspicion.failed(replica.life, now_ms)
        if replies.granted is not None:
            return self._granted(replies.granted, replies.attempt)
        return await self._fall_back(replies, want, request_id)

    def _untried(self, want):
        """Return the partners that were not tried, else any others."""
        for listed in (
            self._known.partners(want.service),
            self._known.listed(want.service),
        ):
            untried = [one for one in listed if one.life not in want.avoid]
            if untried:
                return untried
        raise RequestError(
            ErrorKind.NO_ENDPOINT,
            f"no replica of {want.service} is listed",
            retry_after_ms=NO_REPLICA_RETRY_MS,
        )

    def _with_outsiders(self, ordered, want):
        """Return whom to ask: the best partners, then some others."""
        listed = self._known.listed(want.service)
        partners = self._known.partners(want.service)
        if len(listed) <= len(partners):
            return ordered[:MAX_ASKED]
        ids = {replica.replica_id for replica in partners}
        outsiders = [
            replica
            for replica in draw_outsiders(listed, ids, self._rng)
            if replica.life not in want.avoid
        ]
        return ordered[:MAX_ASKED] + outsiders

    def _has_no_agents(self, replicas):
        waited_ms = self._clock.now_ms() - self._started_ms
        return waited_ms > NO_AGENTS_MS and not any(
            self._known.load(replica) for replica in replicas
        )

    def _direct_within_slots(self, ordered, want):
        """Send to the first replica that this entry has not filled itself.

        Batch leaves half of the slots: nobody can revoke it.
        """
        for replica in ordered:
            limit = replica.slots
            if want.use is Use.BATCH:
                limit = max(1, limit // 2)
            if self._known.own(replica) < limit:
                return self._direct(replica)
        raise RequestError(
            ErrorKind.OVERLOADED,
            f"this entry fills every slot of {want.service}",
            retry_after_ms=self._return_after_ms(want.service, 0),
        )

    async def _fall_back(self, replies, want, request_id):
        """Send to a replica without agent, or wait at one with."""
        full = replies.full
        for replica in replies.unanswered:
            limit = max(1, replica.slots // DIRECT_SLOT_DIVISOR)
            if want.use is Use.BATCH:
                # Nobody there could revoke it for an online request.
                limit = 0 if full else 1
            if self._known.own(replica) < limit:
                return self._direct(replica)
        full.sort(key=self._expected_wait_ms)
        if full and want.wait_ms > 0:
            replica = full[0]
            attempt = self._slot_requester.attempt(want, request_id)
            verdict = await self._slots.ask(
                attempt, self._known.agent(replica), want.wait_ms
            )
            if verdict is Verdict.GRANTED:
                return self._granted(replica, attempt)
        wait_ms = min(map(self._expected_wait_ms, full), default=0)
        raise RequestError(
            ErrorKind.OVERLOADED,
            f"every slot of {want.service} is taken",
            retry_after_ms=self._return_after_ms(want.service, wait_ms),
        )

    def _return_after_ms(self, service, wait_ms):
        hold_ms = self._holds.mean_ms(service)
        return return_after_ms(hold_ms, wait_ms, self._rng)

    def _expected_wait_ms(self, replica):
        known = self._known.load(replica)
        return known.state.wait_ms if known is not None else 0

    def _granted(self, replica, attempt):
        self._known.count(replica, 1)
        since_ms = self._clock.now_ms()

        def release():
            self._known.count(replica, -1)
            self._slots.release(attempt.attempt_id)
            if attempt.use is Use.ONLINE:
                held_ms = self._clock.now_ms() - since_ms
                self._holds.ended(replica.service, held_ms)

        return Place(replica, attempt.attempt_id, release)

    def _direct(self, replica):
        self._suspicion.probe(replica.life, self._clock.now_ms())
        self._known.count(replica, 1)

        def release():
            self._known.count(replica, -1)

        return Place(replica, "", release)

    def hold_ms(self, service: str) -> int:
        """Return how long online requests hold a slot, as learned here."""
        return self._holds.mean_ms(service)

    async def keep_states(self, every_ms: int) -> None:
        """Renew holds and hear of loads, for ever."""
        renewed_ms = -every_ms
        while True:
            now_ms = self._clock.now_ms()
            if self._has_new_partners() or now_ms - renewed_ms >= every_ms:
                self._renew()
                renewed_ms = now_ms
            self._slots.probe()
            await asyncio.sleep(min(every_ms, PROBE_MS) / 1000)

    def _has_new_partners(self):
        """Tell whether there is an agent that was never called."""
        return not self._partner_agents() <= self._renewed

    def _partner_agents(self):
        return {
            self._known.agent(replica)
            for service in self._known.services()
            for replica in self._known.partners(service)
        }

    def _renew(self):
        self._renewed = self._partner_agents()
        self._slots.renew(self._renewed)
        self._slots.forget_but(self._renewed)
        self._suspicion.keep_only(self._known.incarnations())
