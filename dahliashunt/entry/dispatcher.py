"""The entry's core: the task that owns every request in flight.

Handlers of HTTP requests, links to agents and the batch service send it
messages. What is let in, what waits and where work goes is decided by
`EntryDecisions`; this module carries it out.
"""

import copy

from dahliashunt.adapters.wire.gen.link.ttypes import End
from dahliashunt.adapters.wire.gen.link.ttypes import Frame
from dahliashunt.adapters.wire.gen.link.ttypes import Leaving
from dahliashunt.adapters.wire.gen.link.ttypes import Outcome
from dahliashunt.decisions.batch_placement import BatchPlacement
from dahliashunt.decisions.batch_suspects import BatchSuspects
from dahliashunt.decisions.batch_suspects import RunMode
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.events import AttemptEnd
from dahliashunt.decisions.events import Dispatch
from dahliashunt.decisions.events import FailRequest
from dahliashunt.entry.agent_link import LinkCut
from dahliashunt.entry.agent_link import LinkDown
from dahliashunt.entry.agent_link import LinkFrames
from dahliashunt.entry.agent_link import LinkState
from dahliashunt.entry.agent_link import LinkUp
from dahliashunt.entry.attempts import Attempts
from dahliashunt.entry.calls import Attempt
from dahliashunt.entry.calls import BatchCall
from dahliashunt.entry.calls import CallState
from dahliashunt.entry.calls import Failed
from dahliashunt.entry.calls import Finished
from dahliashunt.entry.calls import OnlineCall
from dahliashunt.entry.calls import Piece
from dahliashunt.entry.convictions import Convicted
from dahliashunt.entry.convictions import frame_of
from dahliashunt.entry.endpoint_book import EndpointBook
from dahliashunt.entry.endpoint_book import Unusable
from dahliashunt.entry.messages import Arrive
from dahliashunt.entry.messages import BatchGone
from dahliashunt.entry.messages import CallerGone
from dahliashunt.entry.messages import CaughtUp
from dahliashunt.entry.messages import DrainsChanged
from dahliashunt.entry.messages import LinkDropped
from dahliashunt.entry.messages import ListedLeaving
from dahliashunt.entry.messages import SendItem
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.ids import EndpointId
from dahliashunt.mailbox import Mailbox

__all__ = [
    "Dispatcher",
]

MAX_UNREAD_BYTES = 262_144
"""What one slow caller may leave unread before its events are let fall."""

IDLE_WAKE_MS = 200
HELD_WAKE_MS = 20


_END_BY_WIRE_END = {
    End.DONE: AttemptEnd.DONE,
    End.NOT_RUN: AttemptEnd.NOT_RUN,
    End.UNKNOWN: AttemptEnd.UNKNOWN,
    End.FAILED: AttemptEnd.FAILED,
}


class Dispatcher:
    """Owns calls, attempts and the entry's decisions.

    Parameters
    ----------
    decisions : EntryDecisions
    records : RecordsPort
        Takes what agents say of their records.
    clock : Clock
    new_id : callable
        Returns a fresh attempt id.
    measures : Measures
    log : structlog logger
    """

    def __init__(self, decisions, records, clock, new_id, measures, log):
        self.mailbox = Mailbox()
        self.on_convictions = lambda convictions: None
        self._told_leaving: frozenset[EndpointId] = frozenset()
        self._batch_suspects = BatchSuspects(EntryPolicy())
        self.places = BatchPlacement()
        self.endpoints = EndpointBook(decisions, self.places, log)
        self._calls_by_id: dict[str, OnlineCall] = {}
        self._attempts = Attempts(self)
        self._decisions = decisions
        self._records = records
        self._clock = clock
        self._new_id = new_id
        self._measures = measures
        self._log = log
        self._handler_by_type = {
            Arrive: self._on_arrive,
            CallerGone: self._on_caller_gone,
            CaughtUp: self._on_caught_up,
            SendItem: self._on_send_item,
            BatchGone: self._on_batch_gone,
            LinkUp: self._on_link_up,
            LinkFrames: self._on_link_frames,
            LinkCut: self._on_link_cut,
            LinkDown: self._on_link_down,
            LinkDropped: self._on_link_dropped,
            ListedLeaving: self._on_listed_leaving,
            DrainsChanged: self._on_drains,
            Convicted: self._on_convicted,
        }

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            for message in await self.mailbox.take(self._sleep_ms()):
                self._handler_by_type[type(message)](message)
            self._end_overdue()
            self._apply(self._decisions.tick(self._clock.now_ms()))
            self._share_convictions()

    @property
    def in_flight(self) -> int:
        """Online requests that wait or run."""
        return len(self._calls_by_id)

    def status(self):
        """Return the decisions' own view, for operators."""
        return self._decisions.status()

    def endpoint_of(self, call: OnlineCall) -> str:
        """Return where a request runs now, or an empty text."""
        attempt = self._attempts.by_id.get(call.attempt_id)
        return "" if attempt is None else attempt.link.endpoint_id

    def _sleep_ms(self):
        if self._attempts.holds:
            return HELD_WAKE_MS
        wake_ms = self._decisions.wake_ms()
        if wake_ms is None:
            return IDLE_WAKE_MS
        return max(1, min(IDLE_WAKE_MS, wake_ms - self._clock.now_ms()))

    # Online requests.

    def _on_arrive(self, message):
        call = message.call
        self._calls_by_id[call.request_id] = call
        now = self._clock.now_ms()
        self._decisions.set_limits(now, call.request.caller, call.limits)
        self._apply(self._decisions.arrive(now, call.request))

    def _on_caller_gone(self, message):
        call = message.call
        if self._calls_by_id.pop(call.request_id, None) is None:
            return
        call.state = CallState.ENDED
        self._measures.gone(call.request)
        if call.attempt_id is not None:
            self._attempts.cancel(call.attempt_id, "the caller is gone")
        now = self._clock.now_ms()
        self._apply(self._decisions.caller_gone(now, call.request_id))

    def _on_caught_up(self, message):
        call = message.call
        attempt = self._attempts.by_id.get(call.attempt_id)
        if call.paused and attempt is not None:
            call.paused = False
            self._attempts.resume(attempt)

    def _apply(self, decisions):
        for decision in decisions:
            call = self._calls_by_id.get(decision.request_id)
            if call is None:
                continue
            if isinstance(decision, Dispatch):
                self._dispatch(call, decision)
            elif isinstance(decision, FailRequest):
                self._give_up(call, decision)

    def _dispatch(self, call, decision):
        link = self.endpoints.link_of(decision.endpoint_id)
        now = self._clock.now_ms()
        opening = copy.copy(call.opening)
        opening.attempt_id = self._new_id()
        opening.alone = decision.alone
        opening.start_within_ms = max(0, call.request.first_token_by_ms - now)
        attempt = Attempt(
            opening.attempt_id,
            call,
            link,
            0 if link is None else link.incarnation,
        )
        call.attempt_id = opening.attempt_id
        call.state = CallState.RUNNING
        call.pieces.clear()
        sent = (
            link is not None
            and link.state is LinkState.UP
            and self._attempts.open(attempt, opening)
        )
        self._log.debug(
            "dispatched" if sent else "dispatch_failed",
            request=call.request_id,
            attempt=opening.attempt_id,
            endpoint=decision.endpoint_id,
        )
        if sent:
            return
        if link is not None and link.state is not LinkState.DOWN:
            self._attempts.hold(attempt, opening, now)
        else:
            self._attempt_ended(call, AttemptEnd.NOT_RUN, None)

    def _end_overdue(self):
        for attempt in self._attempts.overdue(self._clock.now_ms()):
            self._attempt_ended(attempt.call, AttemptEnd.NOT_RUN, None)

    def _attempt_ended(self, call, end, outcome):
        now = self._clock.now_ms()
        call.attempt_id = None
        call.state = CallState.WAITING
        alongside = () if outcome is None else tuple(outcome.alongside or ())
        retry_after_ms = None if outcome is None else outcome.retry_after_ms
        decisions = self._decisions.ended(
            now,
            call.request_id,
            end,
            retry_after_ms=retry_after_ms or None,
            alongside=alongside,
            delivered=call.delivered,
        )
        self._apply(decisions)

    def _give_up(self, call, decision):
        ran = Ran.YES if call.delivered else decision.ran
        self._fail(
            call,
            RequestError(
                decision.kind,
                call.last_error or decision.message,
                ran,
                decision.retry_after_ms,
            ),
        )

    def _fail(self, call, error):
        del self._calls_by_id[call.request_id]
        call.state = CallState.ENDED
        self._measures.refused(call.request, error)
        call.replies.put(Failed(error))

    # What becomes of attempts (the Listener of Attempts).

    def wants_events(self, attempt: Attempt) -> bool:
        """Whether events of the attempt can be taken now."""
        call = attempt.call
        return isinstance(call, BatchCall) or not call.paused

    def on_events(self, attempt: Attempt, data: bytes, events: int) -> None:
        """Pass new events on, or keep them until the answer is whole."""
        call = attempt.call
        if isinstance(call, BatchCall):
            call.pieces.append(data)
            return
        now = self._clock.now_ms()
        self._measures.tokens(call, now, events)
        if not call.got_token:
            call.got_token = True
            self._apply(self._decisions.first_token(now, call.request_id))
        self._decisions.tokens(now, call.request_id, events)
        if not call.streamed:
            call.pieces.append(data)
            return
        call.delivered = True
        call.unread_bytes += len(data)
        call.paused = call.unread_bytes > MAX_UNREAD_BYTES
        call.replies.put(Piece(data, events, attempt.status, attempt.headers))

    def on_end(self, attempt: Attempt, outcome) -> None:
        """Take the end of an attempt."""
        call = attempt.call
        if isinstance(call, BatchCall):
            self.places.ended(attempt.link.endpoint_id)
            self._blame(call.opening, outcome)
            call.replies.put((attempt, outcome))
            return
        if outcome.end == End.DONE:
            self._finish(call, attempt)
            return
        if outcome.message:
            call.last_error = outcome.message
        end = _END_BY_WIRE_END[outcome.end]
        if outcome.crashed:
            end = AttemptEnd.CRASHED
        self._log.info(
            "attempt_ended",
            request=call.request_id,
            attempt=attempt.attempt_id,
            endpoint=attempt.link.endpoint_id,
            end=end.value,
            why=outcome.error_kind,
        )
        self._attempt_ended(call, end, outcome)

    def _blame(self, opening, outcome):
        if outcome.crashed:
            now = self._clock.now_ms()
            self._batch_suspects.crashed(
                now, opening.fingerprint, opening.alone
            )
        elif outcome.end == End.DONE:
            self._batch_suspects.ended(opening.fingerprint)

    def _finish(self, call, attempt):
        del self._calls_by_id[call.request_id]
        call.state = CallState.ENDED
        now = self._clock.now_ms()
        self._measures.answered(call, now)
        call.replies.put(
            Finished(
                call.pieces,
                attempt.status,
                attempt.headers,
                attempt.link.endpoint_id,
            )
        )
        self._apply(
            self._decisions.ended(
                now,
                call.request_id,
                AttemptEnd.DONE,
                tokens=attempt.answer.next_event,
                delivered=True,
            )
        )

    # Requests that crash endpoints.

    def _share_convictions(self):
        """Tell all agents, and through them all entries, at once."""
        new = self._decisions.new_convictions()
        new += self._batch_suspects.new_convictions()
        suspects = self._decisions.new_suspects()
        if not new and not suspects:
            return
        for conviction in new:
            self._log.warning("convicted", fingerprint=conviction.fingerprint)
        frame = frame_of(new, suspects)
        for endpoint in self.endpoints.by_id.values():
            endpoint.link.send(frame)
        if new:
            self.on_convictions(new)

    def _on_convicted(self, message):
        now = self._clock.now_ms()
        for conviction in message.convictions:
            fingerprint, for_ms = conviction.fingerprint, conviction.for_ms
            self._batch_suspects.convict(now, fingerprint, for_ms)
            self._apply(self._decisions.convicted(now, fingerprint, for_ms))

    def _on_suspected(self, fingerprints):
        now = self._clock.now_ms()
        for fingerprint in fingerprints:
            self._apply(self._decisions.suspected(now, fingerprint))

    # Batch items.

    def _on_send_item(self, message):
        call = message.call
        opening = call.opening
        now = self._clock.now_ms()
        how = self._batch_suspects.how(now, opening.fingerprint)
        if how is RunMode.REFUSED:
            call.replies.put((None, _convicted_outcome()))
            return
        opening.alone = how is RunMode.ALONE
        opening.attempt_id = call.attempt_id = self._new_id()
        endpoint_id = self.places.choose(opening.model)
        link = self.endpoints.link_of(endpoint_id)
        attempt = Attempt(
            opening.attempt_id,
            call,
            link,
            0 if link is None else link.incarnation,
        )
        if link is None or not self._attempts.open(attempt, opening):
            call.replies.put((attempt, None))
            return
        self.places.sent(endpoint_id)

    def _on_batch_gone(self, message):
        attempt = self._attempts.by_id.get(message.call.attempt_id)
        if attempt is not None:
            self.places.ended(attempt.link.endpoint_id)
            self._attempts.cancel(attempt.attempt_id, "the job has stopped")

    # Links and agents.

    def _on_link_up(self, message):
        link = message.link
        self._attempts.link_up(link)
        self._records.peer_revision(link, message.hello.revision)
        now = self._clock.now_ms()
        self._apply(self.endpoints.link_up(now, link, message.hello))

    def _on_link_cut(self, message):
        self._mark(message.link.endpoint_id, Unusable.CUT)

    def _on_link_down(self, message):
        endpoint_id = message.link.endpoint_id
        self._log.warning("endpoint_down", endpoint=endpoint_id)
        self._records.peer_gone(endpoint_id)
        self._mark(endpoint_id, Unusable.DOWN)
        self._attempts.link_down(message.link)

    def _on_link_dropped(self, message):
        link = message.link
        self._records.peer_gone(link.endpoint_id)
        self._mark(link.endpoint_id, Unusable.DOWN)
        self._attempts.link_down(link)
        self.endpoints.forget(link)

    def _mark(self, endpoint_id, reason):
        now = self._clock.now_ms()
        self._apply(self.endpoints.mark(now, endpoint_id, reason))

    def _on_listed_leaving(self, message):
        """Stop using what the list calls leaving, and tell its agents.

        An agent tells its other entries at once. So each entry may read
        the list rarely, and agents need not read it at all.
        """
        now = self._clock.now_ms()
        for endpoint_id in sorted(message.leaving - self._told_leaving):
            link = self.endpoints.link_of(endpoint_id)
            if link is not None:
                notice = Leaving(within_ms=0, reason="listed as leaving")
                link.send(Frame(leaving=notice))
        self._told_leaving = message.leaving
        self._apply(self.endpoints.listed_leaving(now, message.leaving))

    def _on_drains(self, message):
        now = self._clock.now_ms()
        self._apply(self.endpoints.drains(now, message.drained))

    def _on_link_frames(self, message):
        link = message.link
        for frame in message.frames:
            if frame.chunk is not None:
                self._attempts.on_chunk(frame.chunk)
            elif frame.outcome is not None:
                self._attempts.on_outcome(link, frame.outcome)
                self._take_load(link, frame.outcome.load)
            elif frame.heartbeat is not None:
                self._on_heartbeat(link, frame.heartbeat)
            elif frame.convictions is not None:
                self._on_convicted(frame.convictions)
                self._on_suspected(frame.convictions.suspects or ())
            elif frame.leaving is not None:
                self._mark(link.endpoint_id, Unusable.LEAVING)
            elif frame.records_wanted is not None:
                self._records.peer_wants(link, frame.records_wanted)
            elif frame.records_snapshot is not None:
                self._records.peer_snapshot(link, frame.records_snapshot)

    def _on_heartbeat(self, link, heartbeat):
        self._records.peer_revision(
            link, heartbeat.revision, heartbeat.lagging or ()
        )
        if heartbeat.leaving:
            self._mark(link.endpoint_id, Unusable.LEAVING)
        self._take_load(link, heartbeat.load)

    def _take_load(self, link, load):
        now = self._clock.now_ms()
        self._apply(self.endpoints.report(now, link, load))


def _convicted_outcome():
    return Outcome(
        end=End.FAILED,
        total_events=0,
        error_kind=ErrorKind.CONVICTED.value,
        message="the item crashes each endpoint that runs it",
        retry_after_ms=0,
    )
