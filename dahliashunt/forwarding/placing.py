"""Find a replica with a slot for a request."""

import asyncio
import random

from dahliashunt.adapters.slots import SlotClient
from dahliashunt.decisions.partners import draw_outsiders
from dahliashunt.decisions.replica_choice import Candidate
from dahliashunt.decisions.replica_choice import order_replicas
from dahliashunt.decisions.return_time import HoldTimes
from dahliashunt.decisions.return_time import return_after_ms
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.slot_messages import Verdict
from dahliashunt.decisions.suspicion import Suspicion
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.asking import Asker
from dahliashunt.forwarding.partners import Partners
from dahliashunt.forwarding.place import Place
from dahliashunt.forwarding.place import Want
from dahliashunt.forwarding.replicas import ReplicaBook
from dahliashunt.ports import Clock

__all__ = ["Places"]

MOST_ASKED = 6
"""Agents asked in turn before a request waits at one: some milliseconds,
and with six replicas in ten full the chance to miss room is 1 in 20."""

NO_REPLICA_RETRY_MS = 500
"""Retry-After when a service has no replica: replicas come back, or new
ones are listed, within a heartbeat or two of 1.2 s."""

DIRECT_SHARE = 4
"""A replica whose agent is silent is sent to directly, with this part of
its slots at the most: several entries do so at a time and none knows of
the others. Up to all slots from each would fill the replicas' own queues
for seconds after a start, when entries are up before agents."""

PROBE_MS = 100
"""Between probes of silent agents, and looks for new replicas: a third of
an objective, after which an agent that has started is asked."""

UNHEARD_AGE_MS = 3_600_000
"""Age of what is known of a replica whose agent has said nothing."""

NO_AGENTS_MS = 10_000
"""After so long without a word from any agent of a service, it is taken to
have none: its replicas are sent to directly, up to their slots. Agents are
up some three seconds after the entries where all start at once."""


class Places:
    """Chooses replicas and asks their agents.

    Parameters
    ----------
    book : ReplicaBook
    partners : Partners
        Which replicas of a service are asked first.
    slots : SlotClient
    suspicion : Suspicion
    clock : Clock
    rng : random.Random
    data_centre : str
    agent_port : int
        Where agents listen, on the machine of their replica.
    is_connected : callable
        Tells whether an idle connection to an address stands.
    """

    def __init__(
        self,
        book: ReplicaBook,
        partners: Partners,
        slots: SlotClient,
        suspicion: Suspicion,
        clock: Clock,
        rng: random.Random,
        data_centre: str,
        agent_port: int,
        is_connected=lambda address: False,
    ):
        self._book = book
        self._partners = partners
        self._slots = slots
        self._suspicion = suspicion
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._agent_port = agent_port
        self._is_connected = is_connected
        self._own_by_life: dict[tuple, int] = {}
        self._asker = Asker(slots, self._agent)
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
        ordered = self._ordered(replicas, want.affinity)
        if not keeps:
            return self._direct(ordered[0])
        if self._has_no_agents(replicas):
            return self._direct_with_room(ordered, want)
        chosen = self._with_outsiders(ordered, want)
        asked = await self._asker.ask_in_turn(chosen, want, request_id)
        now_ms = self._clock.now_ms()
        for replica in asked.away:
            self._suspicion.failed(replica.life, now_ms)
        if asked.granted is not None:
            return self._granted(asked.granted, asked.attempt)
        return await self._ask_again(asked, want, request_id)

    def _untried(self, want):
        """Return the partners that were not tried, else any others."""
        for listed in (
            self._partners.of_service(want.service),
            self._book.of_service(want.service),
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
        listed = self._book.of_service(want.service)
        partners = self._partners.of_service(want.service)
        if len(listed) <= len(partners):
            return ordered[:MOST_ASKED]
        ids = {replica.replica_id for replica in partners}
        outsiders = [
            replica
            for replica in draw_outsiders(listed, ids, self._rng)
            if replica.life not in want.avoid
        ]
        return ordered[:MOST_ASKED] + outsiders

    def _has_no_agents(self, replicas):
        waited_ms = self._clock.now_ms() - self._started_ms
        known = self._slots.known_by_address
        return waited_ms > NO_AGENTS_MS and not any(
            self._agent(replica) in known for replica in replicas
        )

    def _direct_with_room(self, ordered, want):
        """Send to the first replica that this entry has not filled itself.

        Batch leaves half of the slots: nobody can revoke it.
        """
        for replica in ordered:
            most = replica.slots
            if want.use is Use.BATCH:
                most = max(1, most // 2)
            if self._own_by_life.get(replica.life, 0) < most:
                return self._direct(replica)
        raise RequestError(
            ErrorKind.OVERLOADED,
            f"this entry fills every slot of {want.service}",
            retry_after_ms=self._return_after_ms(want.service, 0),
        )

    def _ordered(self, replicas, affinity):
        by_id = {replica.replica_id: replica for replica in replicas}
        now_ms = self._clock.now_ms()
        candidates = [self._candidate(each, now_ms) for each in replicas]
        ordered = order_replicas(candidates, affinity, self._rng)
        return [by_id[candidate.replica_id] for candidate in ordered]

    def _candidate(self, replica, now_ms):
        own = self._own_by_life.get(replica.life, 0)
        known = self._slots.known_by_address.get(self._agent(replica))
        avoided = self._suspicion.is_avoided(replica.life, now_ms)
        taken, batch, age_ms = own, 0, UNHEARD_AGE_MS
        if known is not None:
            taken = max(own, known.state.online + known.state.waiting)
            batch = known.state.batch
            age_ms = now_ms - known.at_ms
            avoided = avoided or known.state.away
        return Candidate(
            replica_id=replica.replica_id,
            slots=replica.slots,
            taken=taken,
            age_ms=age_ms,
            avoided=avoided,
            near=replica.data_centre == self._data_centre,
            cold=self._book.is_cold(replica, now_ms),
            batch=batch,
            unheard=self._slots.is_silent(self._agent(replica)),
            connected=self._is_connected(replica.address),
        )

    def _agent(self, replica):
        return (replica.host, self._agent_port)

    async def _ask_again(self, asked, want, request_id):
        """Send to a replica without agent, or wait at one with."""
        full = asked.full
        for replica in asked.unanswered:
            most = max(1, replica.slots // DIRECT_SHARE)
            if want.use is Use.BATCH:
                # Nobody there could revoke it for an online request.
                most = 0 if full else 1
            if self._own_by_life.get(replica.life, 0) < most:
                return self._direct(replica)
        full.sort(key=self._expected_wait_ms)
        if full and want.wait_ms > 0:
            replica = full[0]
            attempt = self._asker.attempt(want, request_id)
            verdict = await self._slots.ask(
                attempt, self._agent(replica), want.wait_ms
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
        known = self._slots.known_by_address.get(self._agent(replica))
        return known.state.wait_ms if known is not None else 0

    def _granted(self, replica, attempt):
        self._count(replica.life, 1)
        since_ms = self._clock.now_ms()

        def release():
            self._count(replica.life, -1)
            self._slots.release(attempt.attempt_id)
            if attempt.use is Use.ONLINE:
                held_ms = self._clock.now_ms() - since_ms
                self._holds.ended(replica.service, held_ms)

        return Place(replica, attempt.attempt_id, release)

    def _direct(self, replica):
        self._suspicion.probe(replica.life, self._clock.now_ms())
        self._count(replica.life, 1)

        def release():
            self._count(replica.life, -1)

        return Place(replica, "", release)

    def _count(self, life, by):
        count = self._own_by_life.get(life, 0) + by
        if count > 0:
            self._own_by_life[life] = count
        else:
            self._own_by_life.pop(life, None)

    def hold_ms(self, service: str) -> int:
        """Return how long online requests hold a slot, as learned here."""
        return self._holds.mean_ms(service)

    def views(self, service: str) -> list[dict]:
        """Return what is known here of a service's replicas.

        Those that are asked first come first. Ages are in milliseconds.
        """
        partners = self._partners.of_service(service)
        ids = {replica.replica_id for replica in partners}
        listed = self._book.of_service(service)
        others = [one for one in listed if one.replica_id not in ids]
        ordered = self._ordered(partners, "")
        return [
            *(self._view(replica, True) for replica in ordered),
            *(self._view(replica, False) for replica in others),
        ]

    def _view(self, replica, is_partner):
        now_ms = self._clock.now_ms()
        known = self._slots.known_by_address.get(self._agent(replica))
        view = {
            "replica": replica.replica_id,
            "data_centre": replica.data_centre,
            "partner": is_partner,
            "state": self._state(replica, known, now_ms),
            "slots": replica.slots,
            "own": self._own_by_life.get(replica.life, 0),
            "age_ms": None,
            "free": 0,
            "batch": 0,
            "wait_ms": 0,
        }
        if known is not None:
            state = known.state
            view["age_ms"] = now_ms - known.at_ms
            view["free"] = max(
                0, state.slots - state.online - state.batch - state.waiting
            )
            view["batch"] = state.batch
            view["wait_ms"] = state.wait_ms
        return view

    def _state(self, replica, known, now_ms):
        if known is not None and known.state.away:
            return "absent, says its agent"
        if self._suspicion.is_avoided(replica.life, now_ms):
            return "suspected"
        if self._slots.is_silent(self._agent(replica)):
            return "its agent is silent"
        if self._book.is_cold(replica, now_ms):
            return "just started"
        return "usable" if known is not None else "not heard of yet"

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
            self._agent(replica)
            for service in self._book.services()
            for replica in self._partners.of_service(service)
        }

    def _renew(self):
        self._renewed = self._partner_agents()
        self._slots.renew(self._renewed)
        self._slots.forget_but(self._renewed)
        lives = {replica.life for replica in self._book.all()}
        self._suspicion.keep_only(lives)
