"""Entry's side of the slot protocol: request, renew and release slots."""

import asyncio
from dataclasses import dataclass

from dahliashunt.adapters.slots.datagrams import open_datagrams
from dahliashunt.adapters.slots.usage_codec import decode_reading
from dahliashunt.adapters.slots.usage_codec import encode_report
from dahliashunt.adapters.wire.gen.link.ttypes import SlotAsk
from dahliashunt.adapters.wire.gen.link.ttypes import SlotFrame
from dahliashunt.adapters.wire.gen.link.ttypes import SlotHeld
from dahliashunt.adapters.wire.gen.link.ttypes import SlotRelease
from dahliashunt.adapters.wire.gen.link.ttypes import SlotUse
from dahliashunt.adapters.wire.gen.link.ttypes import SlotVerdict
from dahliashunt.adapters.wire.gen.link.ttypes import StreamNote
from dahliashunt.adapters.wire.gen.link.ttypes import StreamQuery
from dahliashunt.decisions.meter_messages import UsageReport
from dahliashunt.decisions.slot_messages import AllocatorState
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.ports import Clock

__all__ = ["KnownState", "SlotAttempt", "SlotClient"]

RESEND_INTERVAL_MS = 25
"""Time after which an unanswered request is sent again: several round trips
within a region."""

MAX_SENDS = 3
"""Unanswered sends of one request after which the agent counts as silent."""

ANSWER_TIMEOUT_MS = RESEND_INTERVAL_MS * MAX_SENDS
"""Time without an answer after which an agent counts as silent. Requests
then go to its replica directly, and the agent is only probed."""

MAX_PROBES = 30
"""Probes of a silent agent; after these only renewals are sent to it, which
bounds the traffic to an agent that does not return."""

MAX_SLACK_MS = 2**31 - 1
"""Longest slack that fits into a datagram, some 25 days."""

_USE = {Use.ONLINE: SlotUse.ONLINE, Use.BATCH: SlotUse.BATCH}
_VERDICT = {
    SlotVerdict.GRANTED: SlotDecision.GRANTED,
    SlotVerdict.QUEUED: SlotDecision.QUEUED,
    SlotVerdict.FULL: SlotDecision.FULL,
    SlotVerdict.AWAY: SlotDecision.AWAY,
}


# One is made per state; a frozen one takes several times as long.
@dataclass(slots=True)
class KnownState:
    """Replica state that an agent last sent, with its time of receipt."""

    state: AllocatorState
    at_ms: int


@dataclass(frozen=True, slots=True)
class SlotAttempt:
    """Attempt for which a slot is requested.

    Attributes
    ----------
    attempt_id : str
        Id of this slot request; one caller's request may have several.
    run_id : str
        Id under which the replica lists the caller's request.
    use : Use
    slack_ms : int
        Time until a batch item is due.
    on_revoke : callable
        Called without arguments when a granted slot is revoked.
    rank : int
        Priority; 0 is the most urgent.
    workspace : int
        Digest of the workspace's name; 0 for none.
    prompt_tokens, output_tokens : int
        Length of the prompt and stated maximum of the output; 0 if unknown.
    idle_only : bool
        Whether no batch item may be revoked for it.
    on_refusal : callable
        Called with the expected wait in milliseconds of a refused request,
        if the agent stated it.
    """

    attempt_id: str
    run_id: str
    use: Use
    slack_ms: int
    on_revoke: object
    rank: int = 0
    workspace: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    idle_only: bool = False
    on_refusal: object = None


@dataclass(slots=True)
class _SlotClaim:
    address: tuple[str, int]
    answer: asyncio.Future
    on_revoke: object
    on_refusal: object = None


@dataclass(slots=True)
class _Unanswered:
    since_ms: int
    probes: int = 0


class SlotClient:
    """Requests slots from agents, each attempt at one agent at a time.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    known_by_address : dict
        Last `KnownState` of each agent.
    on_reading : callable
        Called with an agent's host and each `UsageReading` from it.
    on_stream_reply : callable
        Called with an agent's host, a stream and its origin there or None.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._datagrams = None
        self._claim_by_id: dict[str, _SlotClaim] = {}
        self.known_by_address: dict[tuple[str, int], KnownState] = {}
        self._unanswered_by_address: dict[tuple[str, int], _Unanswered] = {}
        self.on_reading = lambda host, reading: None
        self.on_stream_reply = lambda host, stream, origin: None

    async def start(self, host: str, port: int) -> None:
        """Open the socket."""
        self._datagrams = await open_datagrams(self._on_frame, host, port)

    def stop(self) -> None:
        """Close the socket."""
        if self._datagrams is not None:
            self._datagrams.close()

    def is_silent(self, address: tuple[str, int]) -> bool:
        """Return whether the agent at `address` leaves requests unanswered.

        Any datagram from the agent ends its silence. An agent to which
        nothing was sent is not silent.
        """
        unanswered = self._unanswered_by_address.get(address)
        if unanswered is None:
            return False
        return self._clock.now_ms() - unanswered.since_ms >= ANSWER_TIMEOUT_MS

    async def ask(
        self, attempt: SlotAttempt, address, wait_ms: int
    ) -> SlotDecision | None:
        """Request a slot; return the agent's decision, or None if silent.

        Unless the result is GRANTED, no slot is held.

        Parameters
        ----------
        attempt : SlotAttempt
        address : (str, int)
            Address of the agent.
        wait_ms : int
            Longest wait in the agent's queue.
        """
        attempt_id = attempt.attempt_id
        claim = _SlotClaim(
            address, None, attempt.on_revoke, attempt.on_refusal
        )
        self._claim_by_id[attempt_id] = claim
        ask = SlotAsk(
            attempt_id=attempt_id,
            use=_USE[attempt.use],
            wait_ms=wait_ms,
            slack_ms=min(attempt.slack_ms, MAX_SLACK_MS),
            rank=attempt.rank or None,
            run_id=attempt.run_id,
            workspace=attempt.workspace or None,
            prompt_tokens=attempt.prompt_tokens or None,
            output_tokens=attempt.output_tokens or None,
            idle_only=attempt.idle_only or None,
        )
        frame = SlotFrame(ask=ask)
        asked_ms = self._clock.now_ms()
        self._unanswered_by_address.setdefault(address, _Unanswered(asked_ms))
        verdict = None
        try:
            verdict = await self._exchange(claim, frame, wait_ms)
        finally:
            if verdict is not SlotDecision.GRANTED:
                self.release(attempt_id)
        if verdict is None:
            since_ms = self._clock.now_ms() - ANSWER_TIMEOUT_MS
            self._unanswered_by_address[address] = _Unanswered(since_ms)
            self.known_by_address.pop(address, None)
        return SlotDecision.FULL if verdict is SlotDecision.QUEUED else verdict

    async def _exchange(self, claim, frame, wait_ms):
        until_ms = self._clock.now_ms() + wait_ms
        verdict = None
        sends = 0
        while sends < MAX_SENDS:
            claim.answer = asyncio.get_running_loop().create_future()
            self._datagrams.send(frame, claim.address)
            sends += 1
            reply = await _wait_for(claim.answer, RESEND_INTERVAL_MS)
            while reply is SlotDecision.QUEUED:
                verdict = reply
                remaining_ms = until_ms - self._clock.now_ms()
                if remaining_ms <= 0:
                    return verdict
                claim.answer = asyncio.get_running_loop().create_future()
                reply = await _wait_for(claim.answer, min(remaining_ms, 100))
                sends = 0
            if reply is not None:
                return reply
            if verdict is not None and self._clock.now_ms() >= until_ms:
                return verdict
        return verdict

    def release(self, attempt_id) -> None:
        """Release the slot that `attempt_id` holds or waits for."""
        claim = self._claim_by_id.pop(attempt_id, None)
        if claim is not None:
            frame = SlotFrame(release=SlotRelease(attempt_id))
            self._datagrams.send(frame, claim.address)

    def renew(self, addresses) -> None:
        """Renew all held slots and request the states of `addresses`."""
        ids_by_address = {address: [] for address in addresses}
        for attempt_id, claim in self._claim_by_id.items():
            ids_by_address.setdefault(claim.address, []).append(attempt_id)
        now_ms = self._clock.now_ms()
        for address, attempt_ids in ids_by_address.items():
            frame = SlotFrame(held=SlotHeld(attempt_ids))
            self._datagrams.send(frame, address)
            self._unanswered_by_address.setdefault(
                address, _Unanswered(now_ms)
            )

    def tell_use(self, address: tuple[str, int], report: UsageReport) -> None:
        """Send a workspace's usage report to the agent at `address`."""
        frame = SlotFrame(use_report=encode_report(report))
        self._datagrams.send(frame, address)

    def note_stream(
        self, address: tuple[str, int], stream: int, origin: int
    ) -> None:
        """Send the origin of a stream to the agent at `address`."""
        frame = SlotFrame(stream_note=StreamNote(stream, origin))
        self._datagrams.send(frame, address)

    def query_stream(self, address: tuple[str, int], stream: int) -> None:
        """Ask the agent at `address` for the origin of a stream."""
        frame = SlotFrame(stream_query=StreamQuery(stream))
        self._datagrams.send(frame, address)

    def probe(self) -> None:
        """Request the states of silent agents again.

        Without it, an entry that starts before the agents would treat them
        as silent until the next renewal.
        """
        for address, unanswered in self._unanswered_by_address.items():
            if not self.is_silent(address):
                continue
            self.known_by_address.pop(address, None)
            if unanswered.probes < MAX_PROBES:
                unanswered.probes += 1
                self._datagrams.send(SlotFrame(held=SlotHeld([])), address)

    def _on_frame(self, frame, address):
        self._unanswered_by_address.pop(address, None)
        if frame.use_reading is not None:
            self.on_reading(address[0], decode_reading(frame.use_reading))
        elif frame.stream_reply is not None:
            reply = frame.stream_reply
            self.on_stream_reply(address[0], reply.stream, reply.origin)
        elif frame.answer is not None:
            self._record_state(frame.answer.state, address)
            self._on_answer(frame.answer, address)
        elif frame.state is not None:
            self._record_state(frame.state, address)
        elif frame.revoke is not None:
            claim = self._claim_by_id.get(frame.revoke.attempt_id)
            if claim is not None and claim.address == address:
                claim.on_revoke()

    def _on_answer(self, answer, address):
        claim = self._claim_by_id.get(answer.attempt_id)
        if claim is None or claim.address != address:
            if answer.verdict == SlotVerdict.GRANTED:
                # The grant came after the request was abandoned.
                release = SlotRelease(answer.attempt_id)
                self._datagrams.send(SlotFrame(release=release), address)
            return
        if claim.on_refusal is not None and (answer.wait_ms or 0) > 0:
            claim.on_refusal(answer.wait_ms)
        if not claim.answer.done():
            claim.answer.set_result(_VERDICT.get(answer.verdict))

    def _record_state(self, state, address):
        if state is None:
            return
        self.known_by_address[address] = KnownState(
            _allocator_state(state), self._clock.now_ms()
        )

    def forget_but(self, addresses) -> None:
        """Discard the state of agents that are not in `addresses`."""
        for address in list(self.known_by_address):
            if address not in addresses:
                del self.known_by_address[address]
        for address in list(self._unanswered_by_address):
            if address not in addresses:
                del self._unanswered_by_address[address]


def _allocator_state(state):
    unknown = -1
    free_tokens, batch_room = state.free_tokens, state.batch_room
    # Positional: keyword arguments more than double the time of creating
    # one, and each agent sends some ten a second.
    return AllocatorState(
        state.slots or 0,
        state.online or 0,
        state.batch or 0,
        state.waiting or 0,
        state.wait_ms or 0,
        bool(state.away),
        state.token_us or 0,
        state.read_tokens_per_ms or 0.0,
        state.waiting_tokens or 0,
        unknown if free_tokens is None else free_tokens,
        state.born_ms or 0,
        unknown if batch_room is None else batch_room,
    )


async def _wait_for(future, limit_ms):
    """Return the result of `future`, which is None after `limit_ms`.

    `asyncio.wait` would create another future and resume the task one
    iteration of the loop later.
    """
    loop = future.get_loop()
    timer = loop.call_later(limit_ms / 1000, _end_unanswered, future)
    try:
        return await future
    finally:
        timer.cancel()


def _end_unanswered(future):
    if not future.done():
        future.set_result(None)
