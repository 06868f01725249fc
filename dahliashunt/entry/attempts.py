"""Attempts in flight over the links: frames in, pieces and ends out.

Part of the dispatcher's task. It knows nothing of why an attempt was made;
its listener is told of new events and of the one end of each attempt.
"""

import copy
from dataclasses import dataclass
from typing import Protocol

from dahliashunt.adapters.wire.gen.link.ttypes import Cancel
from dahliashunt.adapters.wire.gen.link.ttypes import End
from dahliashunt.adapters.wire.gen.link.ttypes import Frame
from dahliashunt.adapters.wire.gen.link.ttypes import Outcome
from dahliashunt.adapters.wire.gen.link.ttypes import Resume
from dahliashunt.adapters.wire.gen.link.ttypes import Settled
from dahliashunt.entry.agent_link import AgentLink
from dahliashunt.entry.calls import Attempt
from dahliashunt.errors import ErrorKind
from dahliashunt.ids import AttemptId
from dahliashunt.online.answer import AnswerGap

__all__ = ["Attempts", "Listener"]

MAX_FRUITLESS_RESUMES = 3
"""Resumes without any new event before an answer is given up as cut."""


HOLD_MS = 100
"""How long a request waits for a link that is being dialled anew.

Longer than a dial takes, and short beside the objective for the first
token, so that another endpoint can still make it.
"""


@dataclass(frozen=True, slots=True)
class _Held:
    attempt: Attempt
    opening: object
    until_ms: int


class Listener(Protocol):
    """Who is told what becomes of attempts."""

    def on_events(self, attempt: Attempt, data: bytes, events: int) -> None:
        """Take new events of an answer, in order."""

    def wants_events(self, attempt: Attempt) -> bool:
        """Whether events can be taken now."""

    def on_end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Take the end of an attempt; nothing follows."""


class Attempts:
    """All attempts in flight of one entry.

    Parameters
    ----------
    listener : Listener
    """

    def __init__(self, listener: Listener):
        self.by_id: dict[AttemptId, Attempt] = {}
        self._listener = listener
        self._held_by_id: dict[AttemptId, _Held] = {}

    def open(self, attempt: Attempt, opening) -> bool:
        """Send an attempt's opening.

        Returns
        -------
        bool
            False if the link had no connection: then it did not run. True
            says only that the bytes were handed over; from now on nothing
            but the agent's word proves that it did not run.
        """
        if not attempt.link.send(Frame(open=opening)):
            return False
        self.by_id[attempt.attempt_id] = attempt
        attempt.link.attempt_sent()
        return True

    @property
    def holds(self) -> bool:
        """Whether an attempt waits for its link."""
        return bool(self._held_by_id)

    def hold(self, attempt: Attempt, opening, now: int) -> None:
        """Keep an attempt until its link has a connection again.

        A link is cut and dialled anew within milliseconds. Ended at once,
        all that comes in between used up its retries and was refused,
        beside an endpoint that had never been gone.
        """
        held = _Held(attempt, opening, now + HOLD_MS)
        self._held_by_id[attempt.attempt_id] = held

    def overdue(self, now: int) -> list[Attempt]:
        """Let go of attempts held for too long; nothing of them was sent."""
        late = [
            held.attempt
            for held in self._held_by_id.values()
            if held.until_ms <= now
        ]
        for attempt in late:
            del self._held_by_id[attempt.attempt_id]
        return late

    def cancel(self, attempt_id: AttemptId, reason: str) -> None:
        """Stop an attempt; its end is not reported."""
        self._held_by_id.pop(attempt_id, None)
        attempt = self.by_id.pop(attempt_id, None)
        if attempt is not None:
            attempt.link.attempt_ended()
            cancel = Cancel(attempt_id=attempt_id, reason=reason)
            attempt.link.send(Frame(cancel=cancel))

    def resume(self, attempt: Attempt) -> None:
        """Ask for an attempt's events from the next one wanted."""
        attempt.asked_at = attempt.answer.next_event
        resume = Resume(
            attempt_id=attempt.attempt_id,
            offset=attempt.answer.next_event,
            incarnation=attempt.incarnation,
        )
        if attempt.link.incarnation != attempt.incarnation:
            resume.opening = _without_body(attempt)
        attempt.link.send(Frame(resume=resume))

    def link_up(self, link: AgentLink) -> None:
        """Move the attempts in flight at an agent to its new connection."""
        for attempt in self._at(link):
            self.resume(attempt)
        held = [h for h in self._held_by_id.values() if h.attempt.link is link]
        for each in held:
            each.attempt.incarnation = link.incarnation
            if self.open(each.attempt, each.opening):
                del self._held_by_id[each.attempt.attempt_id]

    def link_down(self, link: AgentLink) -> None:
        """End the attempts at an agent that cannot be reached.

        The bytes were handed over, so nothing is known of them.
        """
        for attempt in self._at(link):
            outcome = Outcome(
                attempt_id=attempt.attempt_id,
                end=End.UNKNOWN,
                total_events=0,
                error_kind=ErrorKind.ENDPOINT_LOST.value,
                message="the endpoint cannot be reached",
                retry_after_ms=0,
            )
            self._end(attempt, outcome)

    def _at(self, link):
        return [a for a in self.by_id.values() if a.link is link]

    def on_chunk(self, chunk) -> None:
        """Take a chunk of an answer."""
        attempt = self.by_id.get(chunk.attempt_id)
        if attempt is None or not self._listener.wants_events(attempt):
            return
        if chunk.offset == 0:
            attempt.status = chunk.status or 200
            attempt.headers = chunk.headers or {}
        try:
            data = attempt.answer.accept(
                chunk.offset, chunk.events, chunk.data
            )
        except AnswerGap:
            if attempt.asked_at != attempt.answer.next_event:
                self.resume(attempt)
            return
        if data:
            attempt.asked_at = None
            attempt.fruitless = 0
            self._listener.on_events(attempt, data, chunk.events)

    def on_outcome(self, link: AgentLink, outcome) -> None:
        """Take the end of an attempt, once its answer is whole."""
        attempt = self.by_id.get(outcome.attempt_id)
        if attempt is None:
            self._settle(link, outcome.attempt_id)
            return
        if outcome.end == End.DONE and not attempt.answer.is_whole(
            outcome.total_events
        ):
            self._ask_for_rest(attempt, outcome)
            return
        self._settle(link, outcome.attempt_id)
        self._end(attempt, outcome)

    def _ask_for_rest(self, attempt, outcome):
        """Ask for events that are missing from an answer that has ended.

        Its end may overtake events that were let fall for a slow caller.
        When the agent has them no more the answer stays cut, and its
        caller must see an error instead of a clean end.
        """
        if not self._listener.wants_events(attempt):
            return
        attempt.fruitless += 1
        if attempt.fruitless <= MAX_FRUITLESS_RESUMES:
            self.resume(attempt)
            return
        outcome.end = End.FAILED
        outcome.error_kind = ErrorKind.ENDPOINT_LOST.value
        outcome.message = "part of the answer was lost"
        self._settle(attempt.link, attempt.attempt_id)
        self._end(attempt, outcome)

    def _settle(self, link, attempt_id):
        link.send(Frame(settled=Settled(attempt_ids=[attempt_id])))

    def _end(self, attempt, outcome):
        del self.by_id[attempt.attempt_id]
        attempt.link.attempt_ended()
        self._listener.on_end(attempt, outcome)


def _without_body(attempt):
    opening = copy.copy(attempt.call.opening)
    opening.attempt_id = attempt.attempt_id
    opening.body = b""
    return opening
