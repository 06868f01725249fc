"""Send a call to one replica and relay the response to the caller."""

import asyncio
import contextlib
from dataclasses import replace
import math

from dahliashunt.adapters.http1 import Bound
from dahliashunt.adapters.http1 import ConnectFailed
from dahliashunt.adapters.http1 import End
from dahliashunt.adapters.http1 import PoolExhausted
from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.adapters.http1.connection import READ_HIGH_WATER_BYTES
from dahliashunt.forwarding.answer_room import FREE_BYTES
from dahliashunt.forwarding.call_state import AttemptEnd
from dahliashunt.forwarding.call_state import CallState
from dahliashunt.forwarding.call_state import HeldResponse
from dahliashunt.forwarding.catalog import RouteKind
from dahliashunt.forwarding.events import EventOutOfOrder
from dahliashunt.forwarding.events import EventSplitter
from dahliashunt.forwarding.events import EventTooLong
from dahliashunt.forwarding.events import TooManyEvents
from dahliashunt.forwarding.excess import report_excess
from dahliashunt.forwarding.ports import ResponseSink
from dahliashunt.forwarding.relayed_status import start_relayed
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.ids import SoftwareVersion

__all__ = ["Attempt"]

SILENCE_SHARE = 0.6
"""Share of `Route.pause_ms` after which a silent replica is abandoned; the
rest is left for resuming at another replica."""

MIN_SILENCE_MS = 200
"""Shortest silence after which a replica is abandoned, so that a slow but
working replica is kept."""

MAX_BUFFERED_BYTES = 1_048_576
"""Longest response that is buffered whole; a buffered response can be
retried at another replica if it breaks off."""

MAX_UNSTATED_BODY_BYTES = 4_194_304
"""Longest body without a stated length. It is buffered whole, so that a few
of them at once fit into the smallest instance."""

MAX_STATED_BODY_BYTES = 67_108_864
"""Longest body with a stated length. Above `MAX_BUFFERED_BYTES` it is relayed
in parts, so that this bounds traffic and not memory."""

MAX_REFUSAL_BODY_BYTES = 65_536
"""Longest body of a response that says that the request has not run; it is
dropped. Honest ones are a line of text."""

MAX_OVERDUE_BYTES = 8 * READ_HIGH_WATER_BYTES
"""Bytes of a stream that are relayed after the request's time is over: what
a connection may hold unread by then. Without it a replica that always has
more to send is read for ever, since no wait for it ends in silence."""

EVENTS_PER_TOKEN = 2
"""Events that one token of the stated maximum output allows. Engines send one
or fewer."""

EVENTS_MARGIN = 1_000
"""Events allowed beside those of tokens, as comments that keep a connection
open: four minutes of one in 250 ms."""

MAX_IDLE_NOT_REPEATABLE_MS = 500
"""Longest idle time of a connection used for a non-repeatable request: a
reset of a stale connection would leave the outcome unknown."""

MAX_IDLE_MS = 4_000

TOO_LARGE_STATUS = 413
"""A replica's refusal of a request that no replica of its service can hold;
another one is not tried."""

_ANSWERED = (AttemptEnd.SERVED, AttemptEnd.NOT_RUN, AttemptEnd.FAILED)
"""Ends after which the replica no longer works on the call."""


class Attempt:
    """Sends a call to `replica` and relays its response.

    Parameters
    ----------
    forwarder : Forwarder
    state : CallState
        Updated during the attempt.
    sink : AnswerSink
    replica : Replica
    reserve_elsewhere : coroutine function
        Reserves another replica and returns whether it succeeded; only
        then a silent replica is abandoned.
    """

    def __init__(
        self,
        forwarder,
        state: CallState,
        sink: ResponseSink,
        replica: Replica,
        reserve_elsewhere,
    ):
        self._forwarder = forwarder
        self._clock = forwarder.clock
        self._state = state
        self._route = state.route
        self._sink = sink
        self._replica = replica
        self._reserve_elsewhere = reserve_elsewhere
        self._event_count = 0
        self._max_events = _max_events(state.call.output_tokens)

    async def run(self) -> AttemptEnd:
        """Send the call, relay the response and return how it ended."""
        forwarder = self._forwarder
        replica = self._replica
        idle_ms = (
            MAX_IDLE_MS
            if self._route.repeatable
            else MAX_IDLE_NOT_REPEATABLE_MS
        )
        try:
            connection = await forwarder.pool.take(replica.address, idle_ms)
        except PoolExhausted:
            return AttemptEnd.NO_CONNECTION
        except ConnectFailed:
            return AttemptEnd.NOT_RUN
        left_ms = self._state.deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            forwarder.pool.give_back(replica.address, connection)
            return AttemptEnd.TIMED_OUT
        self._state.sent_budget_ms = left_ms
        request = forwarder.dialect.request(
            self._state.call, replica, left_ms, self._state.last_event
        )
        mailbox = connection.start(
            request,
            lambda head: forwarder.dialect.answers(self._state.call, head),
        )
        # The connection has its own copy of what is not written yet.
        del request
        end = None
        try:
            end = await self._relay(connection, mailbox)
            if connection.exceeded is not None:
                report_excess(
                    forwarder.metrics,
                    forwarder.log,
                    connection.exceeded,
                    self._state.call.request_id,
                    replica.replica_id,
                )
        finally:
            # Closing the connection makes the replica stop its work.
            if end not in (
                AttemptEnd.SERVED,
                AttemptEnd.NOT_RUN,
                AttemptEnd.FAILED,
            ):
                connection.abort()
            forwarder.pool.give_back(replica.address, connection)
        return end

    async def _relay(self, connection, mailbox):
        head = await self._read_head(connection, mailbox)
        if not isinstance(head, ResponseHead):
            return head
        if self._proves_not_run(connection, head):
            return await self._end_not_run(connection, mailbox, head)
        self._state.ran += 1
        if not self._forwarder.dialect.is_from_replica(head):
            return self._end_unsigned(head)
        if head.status >= 500:
            return await self._hold_failure(connection, mailbox, head)
        is_good = 200 <= head.status < 300
        self._state.is_rejected = head.status >= 400
        if self._state.started and not is_good:
            # A started stream may only be followed by more of its events.
            return AttemptEnd.UNUSABLE
        if is_good and self._route.kind is RouteKind.STREAM:
            return await self._relay_stream(connection, mailbox, head)
        return await self._relay_whole(connection, mailbox, head)

    def _end_unsigned(self, head):
        self._forwarder.metrics.count(
            "responses_unsigned", status=str(head.status)
        )
        self._forwarder.log.warning(
            "response_unsigned",
            request_id=self._state.call.request_id,
            replica=self._replica.replica_id,
            status=head.status,
        )
        return AttemptEnd.UNUSABLE

    def _proves_not_run(self, connection, head):
        """Return whether `head` proves that the call has not run.

        On a reused connection a refusal that names no request may be a late
        one of an earlier request, while the replica runs this one.
        """
        dialect = self._forwarder.dialect
        if not dialect.proves_not_run(head):
            return False
        if self._route.repeatable or not self._state.call.request_id:
            return True
        return connection.used == 1 or dialect.names_request(head)

    async def _end_not_run(self, connection, mailbox, head):
        body = await self._read_body(
            connection, mailbox, head, MAX_REFUSAL_BODY_BYTES
        )
        if connection.exceeded is not None:
            self._state.ran += 1
            return AttemptEnd.UNUSABLE
        if isinstance(body, AttemptEnd):
            # The rest of the body must not meet another request.
            connection.abort()
            body = b""
        if head.status == TOO_LARGE_STATUS:
            self._state.is_too_large = True
            self._state.held = HeldResponse(head, body)
        return AttemptEnd.NOT_RUN

    async def _read_head(self, connection, mailbox):
        """Return the response head, or the attempt's end without one."""
        silence_ms = self._head_silence_ms()
        events = await self._take_events(mailbox, silence_ms)
        if not events:
            self._state.ran += 1
            return self._timed_out_or_silent()
        if events[0] is End.UNSENT:
            return AttemptEnd.NOT_RUN
        if isinstance(events[0], End):
            self._state.ran += 1
            return self._broken_end(connection)
        for event in reversed(events[1:]):
            mailbox.put_back(event)
        return events[0]

    def _head_silence_ms(self):
        """Return how long to wait for the head; None for the whole budget.

        A trial is not abandoned, since all requests like it wait for its end.
        Abandoning this attempt counts it as a run, so `max_attempts` must
        allow one more.
        """
        route = self._route
        is_last = self._state.ran + 1 >= route.max_attempts
        if not route.repeatable or is_last or self._state.on_trial:
            return None
        return max(MIN_SILENCE_MS, route.objective_ms)

    async def _take_events(self, mailbox, silence_ms):
        left_ms = max(1, self._state.deadline_ms - self._clock.now_ms())
        if silence_ms is None or silence_ms >= left_ms:
            return await mailbox.take(left_ms)
        events = await mailbox.take(silence_ms)
        if not events:
            # This process may have been stalled: one more turn of the event
            # loop delivers bytes that have already arrived.
            events = await mailbox.take(1)
        if not events and not await self._reserve_elsewhere():
            # No other replica is available: keep waiting for this one.
            return await mailbox.take(max(1, left_ms - silence_ms))
        return events

    def _timed_out_or_silent(self):
        if self._clock.now_ms() >= self._state.deadline_ms:
            return AttemptEnd.TIMED_OUT
        return AttemptEnd.SILENT

    async def _read_body(
        self, connection, mailbox, head, max_bytes, is_reserved=False
    ):
        """Return the rest of the body, or the attempt's end without it.

        A body that is, or is stated to be, longer than `max_bytes` ends the
        connection. Memory is reserved as it grows, unless `is_reserved`.
        """
        if head.has_body and (head.stated_bytes() or 0) > max_bytes:
            connection.exceed(Bound.BODY)
            return AttemptEnd.UNUSABLE
        parts = bytearray()
        size = 0
        while True:
            events = await self._take_events(mailbox, self._head_silence_ms())
            if not events:
                return self._timed_out_or_silent()
            for event in events:
                if event is End.BROKEN:
                    return self._broken_end(connection)
                if isinstance(event, End):
                    return bytes(parts)
                parts += event
                size += len(event)
                if size > max_bytes:
                    connection.exceed(Bound.BODY)
                    return AttemptEnd.UNUSABLE
            is_held = self._state.started or is_reserved
            if not is_held and not await self._grow(size):
                return AttemptEnd.TIMED_OUT
            await self._pass_on(connection, parts, events)

    async def _pass_on(self, connection, parts, events):
        """Send the parts of a response that has started, else keep them.

        What is being sent counts as unread, so that a slow caller pauses
        the replica.
        """
        size = sum(map(len, events))
        if not self._state.started:
            connection.keep(size)
            return
        await self._sink.send(bytes(parts))
        parts.clear()
        connection.taken(size)

    async def _hold_failure(self, connection, mailbox, head):
        body = await self._read_body(
            connection, mailbox, head, MAX_BUFFERED_BYTES
        )
        if isinstance(body, AttemptEnd):
            return body
        self._state.held = HeldResponse(head, body)
        return AttemptEnd.FAILED

    async def _relay_whole(self, connection, mailbox, head):
        length = head.stated_bytes()
        max_bytes = MAX_UNSTATED_BODY_BYTES
        if not head.has_body:
            is_head = self._state.call.method == "HEAD"
            await self._start_response(head, length if is_head else None)
        elif length is not None:
            max_bytes = MAX_STATED_BODY_BYTES
            if MAX_BUFFERED_BYTES < length <= max_bytes:
                await self._start_response(head, length)
        if self._state.started or (length or 0) <= FREE_BYTES:
            return await self._relay_body(connection, mailbox, head, max_bytes)
        async with contextlib.AsyncExitStack() as held:
            left_ms = max(1, self._state.deadline_ms - self._clock.now_ms())
            try:
                async with asyncio.timeout(left_ms / 1000):
                    room = self._forwarder.answer_room
                    await held.enter_async_context(room.hold(length))
            except TimeoutError:
                return AttemptEnd.TIMED_OUT
            return await self._relay_body(connection, mailbox, head, max_bytes)

    async def _relay_body(self, connection, mailbox, head, max_bytes):
        is_reserved = head.stated_bytes() is not None
        body = await self._read_body(
            connection, mailbox, head, max_bytes, is_reserved
        )
        if isinstance(body, AttemptEnd):
            is_late = self._clock.now_ms() >= self._state.deadline_ms
            return AttemptEnd.TIMED_OUT if is_late else body
        if not self._state.started:
            await self._start_response(head, len(body))
        await self._sink.send(body)
        await self._sink.end()
        return AttemptEnd.SERVED

    @staticmethod
    def _broken_end(connection):
        """Return the end of an attempt whose response broke off."""
        if connection.exceeded is not None:
            return AttemptEnd.UNUSABLE
        if connection.was_unread:
            return AttemptEnd.UNREAD
        return AttemptEnd.LOST

    async def _start_response(self, head, length):
        if self._state.started:
            return
        self._state.started = True
        await start_relayed(
            self._forwarder, self._state, self._sink, head, length
        )
        waited_ms = self._clock.now_ms() - self._state.call.arrived_ms
        self._state.first_ms = waited_ms
        self._forwarder.metrics.observe_ms(
            "first_byte", waited_ms, kind=self._route.kind.value
        )

    async def _relay_stream(self, connection, mailbox, head):
        splitter = EventSplitter()
        overdue_bytes = 0
        while True:
            events = await self._take_events(mailbox, self._pause_ms())
            if not events:
                return self._timed_out_or_silent()
            if self._clock.now_ms() >= self._state.deadline_ms:
                overdue_bytes += _body_bytes(events)
                if overdue_bytes > MAX_OVERDUE_BYTES:
                    return AttemptEnd.TIMED_OUT
            try:
                end = await self._relay_events(
                    connection, splitter, events, head
                )
            except EventTooLong:
                connection.exceed(Bound.EVENT)
                return AttemptEnd.UNUSABLE
            except TooManyEvents:
                connection.exceed(Bound.EVENTS)
                return AttemptEnd.UNUSABLE
            except EventOutOfOrder as error:
                forwarder = self._forwarder
                forwarder.metrics.count("stream_out_of_order")
                forwarder.log.info(
                    "stream_out_of_order",
                    request_id=self._state.call.request_id,
                    replica=self._replica.replica_id,
                    reason=str(error),
                )
                return AttemptEnd.UNUSABLE
            if end is not None:
                return end
            if not await self._grow(splitter.buffered_bytes):
                return AttemptEnd.TIMED_OUT

    async def _grow(self, size):
        """Wait for memory for `size` bytes; return False if time is over."""
        left_ms = max(1, self._state.deadline_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(left_ms / 1000):
                await self._state.room.grow(size)
        except TimeoutError:
            return False
        return True

    def _pause_ms(self):
        if not self._route.pause_ms or not self._state.may_retry:
            return None
        if self._state.on_trial:
            return None
        return max(MIN_SILENCE_MS, self._route.pause_ms * SILENCE_SHARE)

    async def _relay_events(self, connection, splitter, events, head):
        """Relay complete events; return the attempt's end or None.

        Raises
        ------
        EventOutOfOrder
            After the events before the faulty one have been relayed, so that
            the next replica goes on where the caller is.
        """
        batch = _EventBatch(self._state.last_event)
        size = 0
        end = None
        for event in events:
            if isinstance(event, End):
                end = event
                break
            size += len(event)
            try:
                self._append_events(batch, splitter.feed(event))
            except EventOutOfOrder:
                batch.drop_unnumbered()
                await self._send_batch(batch, head)
                raise
        await self._send_batch(batch, head)
        # What is being sent counts as unread, so that a slow caller pauses
        # the replica.
        connection.taken(size)
        if end is None:
            return None
        if end is End.BROKEN or splitter.rest:
            return self._broken_end(connection)
        await self._start_response(head, None)
        if splitter.blank_lines:
            await self._sink.send(splitter.blank_lines)
        await self._sink.end()
        return AttemptEnd.SERVED

    def _note_version(self):
        if not self._state.started:
            replica = self._replica
            if not self._forwarder.places.is_announced(replica):
                # The row may state the version before a restart.
                replica = replace(replica, version=SoftwareVersion(""))
            self._state.version = replica.version
            self._forwarder.origins.note(
                self._state.call, self._route, replica
            )

    async def _send_batch(self, batch, head):
        if batch.parts:
            self._note_version()
            await self._start_response(head, None)
            await self._sink.send(b"".join(batch.parts))
            self._state.last_event = batch.last_event

    def _append_events(self, batch, events):
        for event in events:
            self._event_count += 1
            if self._event_count > self._max_events:
                raise TooManyEvents(f"more than {self._max_events} events")
            batch.append(event)


class _EventBatch:
    """Consecutive events of one read, to be sent together.

    Attributes
    ----------
    parts : list of bytes
    last_event : int
        Id of the last event, or of the one before the batch.
    """

    def __init__(self, last_event):
        self.parts = []
        self.last_event = last_event
        self._numbered_parts = 0

    def append(self, event):
        """Append an event; raise `EventOutOfOrder` if it isn't the next."""
        if event.number is not None:
            if event.number != self.last_event + 1:
                raise EventOutOfOrder(
                    f"got event {event.number} after event {self.last_event}"
                )
            self.last_event = event.number
            self._numbered_parts = len(self.parts) + 1
        self.parts.append(event.raw)

    def drop_unnumbered(self):
        """Drop what follows the last event with an id.

        Before a faulty event it may be no event of the stream either.
        """
        del self.parts[self._numbered_parts :]


def _max_events(output_tokens):
    """Return the most events of an attempt; infinite without a maximum."""
    if not output_tokens:
        return math.inf
    return output_tokens * EVENTS_PER_TOKEN + EVENTS_MARGIN


def _body_bytes(events):
    return sum(len(event) for event in events if isinstance(event, bytes))
