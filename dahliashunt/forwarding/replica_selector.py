"""Select a replica with a free slot for a request."""

import asyncio
from dataclasses import replace
import functools
import math
import random

from dahliashunt.adapters.slots.client import SlotClient
from dahliashunt.decisions.partners import sample_non_partners
from dahliashunt.decisions.retry_delay import HoldTimes
from dahliashunt.decisions.retry_delay import retry_delay_ms
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.suspicion import Suspicion
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.demand_waves import DemandWaves
from dahliashunt.forwarding.known_replicas import KnownReplicas
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.reservation import Reservation
from dahliashunt.forwarding.reservation import SlotRequirements
from dahliashunt.forwarding.slot_requests import SlotRequester
from dahliashunt.ids import SoftwareVersion
from dahliashunt.ports import Clock

__all__ = ["ReplicaSelector"]

MAX_ASKED = 6
"""Partners' agents that are asked for a free slot before the request waits
at one of them."""

NO_REPLICA_RETRY_MS = 500
"""Retry-After for a service without replicas; shorter than a heartbeat,
after which new replicas are listed."""

DIRECT_SLOT_DIVISOR = 4
"""Divisor of a replica's slots that one entry may use while the agent is
silent, since entries don't know of each other's requests there. All slots
from each would fill the replicas' queues for seconds after a start, when
entries are up before agents."""

PROBE_MS = 100
"""Interval between probes of silent agents and checks for new replicas."""

NO_AGENTS_MS = 10_000
"""Time without a message from any agent of a service after which it counts
as having none. Agents start some three seconds after the entries where all
start at once."""


class ReplicaSelector:
    """Selects replicas and requests slots from their agents.

    Parameters
    ----------
    known : KnownReplicas
    slots : SlotClient
    suspicion : Suspicion
    clock : Clock
    rng : random.Random
    kv_tokens_of : callable
        Given a service, returns the memory of each of its replicas as the
        configuration states it, in tokens; 0 if unknown.

    Attributes
    ----------
    waves : DemandWaves
        Forecasts of online demand.
    """

    def __init__(
        self,
        known: KnownReplicas,
        slots: SlotClient,
        suspicion: Suspicion,
        clock: Clock,
        rng: random.Random,
        kv_tokens_of=lambda service: 0,
    ):
        self._known = known
        self._slots = slots
        self._suspicion = suspicion
        self._clock = clock
        self._rng = rng
        self._kv_tokens_of = kv_tokens_of
        self._slot_requester = SlotRequester(slots, known.agent)
        self.waves = DemandWaves(known, clock)
        self._holds = HoldTimes()
        self._started_ms = clock.now_ms()
        self._renewed: set[tuple[str, int]] = set()

    async def find(
        self,
        requirements: SlotRequirements,
        request_id: str,
        with_agents: bool,
    ) -> Reservation:
        """Reserve a replica for `requirements`.

        Parameters
        ----------
        requirements : SlotRequirements
        request_id : str
            Id under which the replica lists the request.
        with_agents : bool
            Whether the service's replicas have agents.

        Raises
        ------
        RequestError
            No replica is free, or none is large enough; nothing was run by
            this call.
        """
        replicas = self._untried(requirements)
        if requirements.tokens:
            self._refuse_too_large(replicas, requirements)
            replicas = self._known.able_to_hold(replicas, requirements.tokens)
        if not with_agents:
            ordered = self._known.ordered(replicas, requirements.affinity)
            return self._direct(ordered[0])
        ordered = self._known.ordered_for(
            replicas, requirements, self.waves.reserved(requirements)
        )
        if self._has_no_agents(replicas, requirements):
            return self._direct_within_slots(ordered, requirements)
        chosen = self._with_outsiders(ordered, requirements)
        replies = await self._slot_requester.request_slot(
            chosen,
            requirements,
            request_id,
            self._known.usable_state,
            ordered[MAX_ASKED:],
        )
        now_ms = self._clock.now_ms()
        for replica in replies.absent:
            self._suspicion.failed(replica.incarnation, now_ms)
        if replies.granted is not None:
            self._known.placed(replies.granted, requirements)
            return self._granted_if_current(replies, requirements)
        return await self._fall_back(replies, requirements, request_id)

    def batch_room(self, requirements: SlotRequirements) -> float:
        """Return the most memory, in tokens, beside a slot for a batch item.

        By the recent states of the partners: 0 if none has such a slot, and
        infinite if the memory of one that has is unknown.
        """
        partners = self._known.partners(requirements.service)
        admitted = [
            replica
            for replica in partners
            if self._admits(requirements, replica)
        ]
        states = self._known.usable_states(admitted)
        rooms = [
            self._known.free_tokens(replica)
            for replica in admitted
            if replica.replica_id in states
            and states[replica.replica_id].has_batch_room
        ]
        return math.inf if -1 in rooms else max(rooms, default=0)

    def is_announced(self, replica: Replica) -> bool:
        """Return whether its agent does not announce another incarnation."""
        return self._known.is_announced(replica)

    def _admits(self, requirements, replica):
        """Return whether `replica` may run a request.

        The row of a replica whose agent announces another incarnation may
        state the version before a restart.
        """
        return requirements.admits(replica) and (
            requirements.version is None or self._known.is_announced(replica)
        )

    def _untried(self, requirements):
        """Return the admitted partners, or the other admitted replicas."""
        admits = functools.partial(self._admits, requirements)
        for listed in (
            self._known.partners(requirements.service),
            self._known.listed(requirements.service),
        ):
            untried = list(filter(admits, listed))
            if untried:
                return untried
        wanted = requirements.version
        suffix = "" if wanted is None else f" at version {wanted or 'unknown'}"
        raise RequestError(
            ErrorKind.NO_ENDPOINT,
            f"no replica of {requirements.service}{suffix} is listed",
            retry_after_ms=NO_REPLICA_RETRY_MS,
        )

    def _refuse_too_large(self, replicas, requirements):
        """Refuse a request that exceeds the memory of each replica.

        A replica with more free memory than configured takes it. The refusal
        is that of a full service: the request itself is proper, and replicas
        with more memory may be listed later.
        """
        total = self._kv_tokens_of(requirements.service)
        tokens = requirements.tokens
        if not 0 < total < tokens:
            return
        if any(self._known.free_tokens(each) >= tokens for each in replicas):
            return
        raise RequestError(
            ErrorKind.NO_ENDPOINT,
            f"the request was not run: prompt and maximum output are {tokens}"
            f" tokens, and a replica of {requirements.service} holds {total}",
        )

    def _with_outsiders(self, ordered, requirements):
        """Return the best partners, followed by some other replicas.

        For an item that the forecast of online demand decides on, return
        only the replicas with room; none if it has to wait.
        """
        for_item = self.waves.replicas_for(requirements, ordered)
        if for_item is not None:
            return for_item[:MAX_ASKED]
        listed = self._known.listed(requirements.service)
        partners = self._known.partners(requirements.service)
        if len(listed) <= len(partners):
            return ordered[:MAX_ASKED]
        ids = {replica.replica_id for replica in partners}
        outsiders = [
            replica
            for replica in sample_non_partners(listed, ids, self._rng)
            if self._admits(requirements, replica)
        ]
        return ordered[:MAX_ASKED] + outsiders

    def _has_no_agents(self, replicas, requirements):
        if requirements.version is not None:
            # Only partners send their loads, and none may have the version.
            replicas = self._known.partners(requirements.service)
        waited_ms = self._clock.now_ms() - self._started_ms
        return waited_ms > NO_AGENTS_MS and not any(
            self._known.is_heard(replica) for replica in replicas
        )

    def _direct_within_slots(self, ordered, requirements):
        """Reserve the first replica with fewer own requests than slots.

        Batch items use half of the slots, since they can't be revoked.
        """
        for replica in ordered:
            limit = replica.slots
            if requirements.use is Use.BATCH:
                limit = max(1, limit // 2)
            if self._known.own(replica) < limit:
                self._known.placed(replica, requirements)
                return self._direct(replica)
        raise RequestError(
            ErrorKind.OVERLOADED,
            f"this entry fills every slot of {requirements.service}",
            retry_after_ms=self._retry_delay_ms(requirements.service, 0),
        )

    async def _fall_back(self, replies, requirements, request_id):
        """Reserve a replica whose agent is silent, or wait for a slot."""
        full = replies.full
        for replica in replies.unanswered:
            limit = max(1, replica.slots // DIRECT_SLOT_DIVISOR)
            if requirements.use is Use.BATCH:
                # A batch item there could not be revoked.
                limit = 0 if full else 1
            if self._known.own(replica) < limit:
                self._known.placed(replica, requirements)
                return self._direct(replica)
        wait_ms = functools.partial(self._wait_in_place_ms, replies)
        full.sort(key=wait_ms)
        if full and requirements.wait_ms > 0:
            replica = full[0]
            attempt = self._slot_requester.attempt(
                requirements,
                request_id,
                on_refusal=functools.partial(replies.note_wait, replica),
            )
            verdict = await self._slots.ask(
                attempt, self._known.agent(replica), requirements.wait_ms
            )
            if verdict is SlotDecision.GRANTED:
                self._known.placed(replica, requirements)
                return self._granted(replica, attempt)
        shortest_ms = min(map(wait_ms, full), default=0)
        raise RequestError(
            ErrorKind.OVERLOADED,
            f"every slot of {requirements.service} is taken",
            retry_after_ms=self._retry_delay_ms(
                requirements.service, shortest_ms
            ),
        )

    def _retry_delay_ms(self, service, wait_ms):
        hold_ms = self._holds.mean_ms(service)
        return retry_delay_ms(hold_ms, wait_ms, self._rng)

    def _wait_in_place_ms(self, replies, replica):
        """Return the wait by the request's own place, if it is known."""
        own_ms = replies.wait_ms_by_id.get(replica.replica_id)
        return self._expected_wait_ms(replica) if own_ms is None else own_ms

    def _expected_wait_ms(self, replica):
        known = self._known.load(replica)
        return known.state.wait_ms if known is not None else 0

    def _granted_if_current(self, replies, requirements):
        """Reserve the granted slot unless the grant shows a restart."""
        reservation = self._granted(replies.granted, replies.attempt)
        if self._admits(requirements, replies.granted):
            return reservation
        reservation.release()
        raise RequestError(
            ErrorKind.NO_ENDPOINT,
            f"a replica of {requirements.service} has just restarted",
            retry_after_ms=NO_REPLICA_RETRY_MS,
        )

    def _granted(self, replica, attempt):
        self._known.count(replica, 1)
        since_ms = self._clock.now_ms()

        def release():
            self._known.count(replica, -1)
            self._slots.release(attempt.attempt_id)
            if attempt.use is Use.ONLINE:
                held_ms = self._clock.now_ms() - since_ms
                self._holds.ended(replica.service, held_ms)

        return Reservation(
            self._announced(replica), attempt.attempt_id, release
        )

    def _announced(self, replica):
        """Return `replica`, without a version that may be out of date.

        What it sends then has no known origin, and is continued nowhere.
        """
        if self._known.is_announced(replica):
            return replica
        return replace(replica, version=SoftwareVersion(""))

    def _direct(self, replica):
        self._suspicion.probe(replica.incarnation, self._clock.now_ms())
        self._known.count(replica, 1)

        def release():
            self._known.count(replica, -1)

        return Reservation(replica, "", release)

    def hold_ms(self, service: str) -> int:
        """Return the mean time that online requests hold a slot here."""
        return self._holds.mean_ms(service)

    async def refresh_states(self, every_ms: int) -> None:
        """Renew slots and update loads until cancelled."""
        renewed_ms = -every_ms
        while True:
            now_ms = self._clock.now_ms()
            if self._has_new_partners() or now_ms - renewed_ms >= every_ms:
                self._renew()
                renewed_ms = now_ms
            self._slots.probe()
            self.waves.sample()
            await asyncio.sleep(min(every_ms, PROBE_MS) / 1000)

    def _has_new_partners(self):
        """Return whether a partner's agent was not yet contacted."""
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
        self._known.keep_only_listed()
