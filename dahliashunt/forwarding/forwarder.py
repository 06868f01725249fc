"""Run one request: place, send, relay, repeat where that is allowed.

The states of an attempt, and what may follow:

- never sent, or refused by its replica as not run: any other replica, and
  if there is none a refusal that truly says "not run";
- sent and lost: another replica only if the request is repeatable and
  its attempts are not used up, else "outcome unknown";
- a stream that broke off after events: goes on at another replica from
  the last whole event, within the same answer, else the answer is cut so
  that it does not look whole.
"""

from dataclasses import dataclass
import enum

from dahliashunt.adapters.http1 import ConnectFailed
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http1 import End
from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.decisions.slot_keeper import Use
from dahliashunt.decisions.suspicion import Suspicion
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.catalog import RouteKind
from dahliashunt.forwarding.events import EventCutter
from dahliashunt.forwarding.events import EventOutOfOrder
from dahliashunt.forwarding.losses import digest_of
from dahliashunt.forwarding.losses import SharedLosses
from dahliashunt.forwarding.placing import Places
from dahliashunt.forwarding.placing import Want
from dahliashunt.forwarding.ports import AnswerSink
from dahliashunt.forwarding.ports import ReplicaDialect
from dahliashunt.metrics import Metrics
from dahliashunt.ports import Clock

__all__ = ["AnswerCut", "Forwarder"]

START_MS = 40
"""Time a placed request needs to its first event on an idle slot: connect,
some 4 ms to read 350 tokens, 20 ms to the first event, and the way back.
What is left of the objective before it may be waited."""

RESUME_WAIT_MS = 1_200
"""A broken stream may wait so long for a slot elsewhere: callers leave
after a pause of two seconds at least."""

SILENCE_SHARE = 0.6
"""Share of the longest good pause after which a silent replica is left
for another: the rest is enough to go on elsewhere within that pause."""

LEAST_SILENCE_MS = 200
"""No replica is left sooner: a slowed one makes an event of seven tokens
in 100 ms."""

NOT_SENT_TRIES = 6
"""Replicas tried one after another that proved not to have run it."""

WHOLE_BYTES = 1_048_576
"""Longest answer that is collected before it is passed on."""

FRESH_IDLE_MS = 500
"""Idle time of a connection that a request which must not run twice may
take: replicas drop idle ones early, and a reset after sending leaves the
outcome unknown."""

USUAL_IDLE_MS = 4_000


class AnswerCut(RequestError):
    """An answer broke off after its start; it must not look whole."""


class _End(enum.Enum):
    SERVED = "served"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LOST = "lost"
    SILENT = "silent"
    TIMED_OUT = "timed_out"


@dataclass(slots=True)
class _Held:
    """An answer of a replica that failed: kept in case none is better."""

    head: ResponseHead
    body: bytes


class Forwarder:
    """Forwards calls; holds what all of them share.

    Parameters
    ----------
    places : Places
    pool : ConnectionPool
    dialect : ReplicaDialect
    suspicion : Suspicion
    losses : SharedLosses
    clock : Clock
    metrics : Metrics
    log : structlog logger
    """

    def __init__(
        self,
        places: Places,
        pool: ConnectionPool,
        dialect: ReplicaDialect,
        suspicion: Suspicion,
        losses: SharedLosses,
        clock: Clock,
        metrics: Metrics,
        log,
    ):
        self.places = places
        self.pool = pool
        self.dialect = dialect
        self.suspicion = suspicion
        self.losses = losses
        self.clock = clock
        self.metrics = metrics
        self.log = log

    async def serve(
        self, call: Call, route: Route, keeps: bool, sink: AnswerSink
    ) -> None:
        """Answer `call` into `sink`.

        Cancelling this ends the work at the replica at once.

        Raises
        ------
        RequestError
            There is no answer; nothing was sent to `sink`.
        AnswerCut
            The answer broke off.
        """
        await _Run(self, call, route, keeps, sink).serve()


class _Run:
    """One call on its way."""

    def __init__(self, shared, call, route, keeps, sink):
        self._shared = shared
        self._clock = shared.clock
        self._call = call
        self._route = route
        self._keeps = keeps
        self._sink = sink
        budget_ms = route.timeout_ms
        if call.budget_ms is not None:
            budget_ms = min(budget_ms, call.budget_ms)
        self._until_ms = call.arrived_ms + budget_ms
        self._service = route.service_for(call.request_id)
        self._tried = set()
        self._ran = 0
        self._not_sent = 0
        self._started = False
        self._last_event = call.last_event
        self._held = None
        self._replica = None
        self._next_place = None
        self._placed_ms = 0
        self._first_ms = 0
        self._digest = digest_of(route.host, call)

    async def serve(self):
        try:
            await self._serve()
        finally:
            if self._next_place is not None:
                self._next_place.release()

    async def _serve(self):
        while True:
            self._refuse_convicted()
            place, self._next_place = self._next_place, None
            if place is None:
                place = await self._place()
            self._placed_ms = self._age_ms()
            try:
                end = await self._attempt(place)
            finally:
                place.release()
            if end is _End.SERVED:
                self._shared.suspicion.served(place.replica.life)
                self._shared.losses.served(self._digest)
                self._note(
                    "served",
                    replica=place.replica.replica_id,
                    kept=bool(place.attempt_id),
                    placed_ms=self._placed_ms,
                    first_ms=self._first_ms,
                    total_ms=self._age_ms(),
                )
                return
            self._judge(place.replica, end)
            if not self._may_go_on(end):
                await self._give_up(end)
                return

    def _refuse_convicted(self):
        """End a request that was lost with each replica so far."""
        if not self._shared.losses.is_convicted(self._digest):
            return
        self._note("convicted", digest=self._digest)
        kind = AnswerCut if self._started else RequestError
        raise kind(
            ErrorKind.OUTCOME_UNKNOWN,
            "each replica that ran this request was lost",
            ran=Ran.UNKNOWN,
        )

    def _age_ms(self):
        return self._clock.now_ms() - self._call.arrived_ms

    # Placing.

    async def _place(self):
        try:
            return await self._find(self._wait_ms(), self._tried)
        except RequestError as error:
            self._refuse(error)

    async def _find(self, wait_ms, avoid):
        affinity = self._call.shared_parts
        want = Want(
            service=self._service,
            use=Use.ONLINE,
            affinity=affinity[-1] if affinity else "",
            wait_ms=wait_ms,
            slack_ms=0,
            avoid=frozenset(avoid),
            on_revoke=lambda: None,
        )
        return await self._shared.places.find(
            want, self._call.request_id, self._keeps
        )

    def _wait_ms(self):
        left_ms = self._until_ms - self._clock.now_ms()
        if self._ran:
            # It was taken on and lost: worth a wait, though late.
            return max(0, min(RESUME_WAIT_MS, left_ms))
        useful_ms = self._route.objective_ms - self._age_ms() - START_MS
        return max(0, min(useful_ms, left_ms))

    def _refuse(self, error):
        """Turn a missing place into the answer that is true by now."""
        self._note("refused", reason=error.kind.value)
        if self._started:
            raise AnswerCut(error.kind, error.message, Ran.YES) from None
        if self._ran:
            raise RequestError(
                ErrorKind.ENDPOINT_LOST,
                "the replica was lost and no other has room",
                ran=Ran.UNKNOWN,
            ) from None
        raise error

    # One attempt.

    async def _attempt(self, place):
        shared = self._shared
        replica = self._replica = place.replica
        idle_ms = USUAL_IDLE_MS if self._route.repeatable else FRESH_IDLE_MS
        try:
            connection = await shared.pool.take(replica.address, idle_ms)
        except ConnectFailed:
            return _End.NOT_RUN
        left_ms = self._until_ms - self._clock.now_ms()
        if left_ms <= 0:
            shared.pool.give_back(replica.address, connection)
            return _End.TIMED_OUT
        request = shared.dialect.request(
            self._call, replica, left_ms, self._last_event
        )
        box = connection.start(
            request, lambda head: shared.dialect.answers(self._call, head)
        )
        end = None
        try:
            end = await self._relay(connection, box)
        finally:
            # Cancelled, silent or out of time: closing is what makes the
            # replica stop.
            if end not in (_End.SERVED, _End.NOT_RUN, _End.FAILED):
                connection.abort()
            shared.pool.give_back(replica.address, connection)
        return end

    async def _relay(self, connection, box):
        head = await self._first(box)
        if not isinstance(head, ResponseHead):
            return head
        if self._shared.dialect.proves_not_run(head):
            await self._whole_body(connection, box)
            return _End.NOT_RUN
        self._ran += 1
        if head.status >= 500:
            return await self._keep_failure(connection, box, head)
        is_stream = self._route.kind is RouteKind.STREAM
        if is_stream and 200 <= head.status < 300:
            return await self._relay_stream(connection, box, head)
        return await self._relay_whole(connection, box, head)

    async def _first(self, box):
        """Return the head, or how the attempt ended without one."""
        silence_ms = self._first_silence_ms()
        events = await self._take(box, silence_ms)
        if not events:
            self._ran += 1
            return self._silent_or_late()
        if isinstance(events[0], End):
            self._ran += 1
            return _End.LOST
        for event in reversed(events[1:]):
            box.put_back(event)
        return events[0]

    def _first_silence_ms(self):
        if not self._can_leave():
            return None
        return max(LEAST_SILENCE_MS, self._route.objective_ms)

    def _can_leave(self):
        """Whether a silent replica may be left for another."""
        return (
            self._route.repeatable and self._ran + 1 < self._route.max_attempts
        )

    async def _take(self, box, silence_ms):
        left_ms = max(1, self._until_ms - self._clock.now_ms())
        if silence_ms is None or silence_ms >= left_ms:
            return await box.take(left_ms)
        events = await box.take(silence_ms)
        if not events:
            # This process may itself have stood still while the bytes
            # came: one more turn of the loop lets them in.
            events = await box.take(1)
        if not events and not await self._has_elsewhere():
            # A silent replica may still answer; no other can.
            return await box.take(max(1, left_ms - silence_ms))
        return events

    async def _has_elsewhere(self):
        """Hold a place at another replica, if there is one now."""
        avoid = {*self._tried, self._replica.life}
        try:
            self._next_place = await self._find(0, avoid)
        except RequestError:
            return False
        return True

    def _silent_or_late(self):
        if self._clock.now_ms() >= self._until_ms:
            return _End.TIMED_OUT
        return _End.SILENT

    async def _whole_body(self, connection, box):
        """Return the rest of the body, or None if it did not come whole."""
        parts = []
        size = 0
        while True:
            events = await self._take(box, self._first_silence_ms())
            if not events:
                return None
            for event in events:
                if isinstance(event, End):
                    return None if event is End.BROKEN else b"".join(parts)
                connection.taken(len(event))
                parts.append(event)
                size += len(event)
            if size > WHOLE_BYTES and self._started:
                await self._sink.send(b"".join(parts))
                parts.clear()

    async def _keep_failure(self, connection, box, head):
        body = await self._whole_body(connection, box)
        if body is None:
            return _End.LOST
        self._held = _Held(head, body)
        return _End.FAILED

    async def _relay_whole(self, connection, box, head):
        length = head.get("content-length")
        if length is not None and int(length) > WHOLE_BYTES:
            await self._start(head, int(length))
        body = await self._whole_body(connection, box)
        if body is None:
            return self._silent_or_lost()
        if not self._started:
            await self._start(head, len(body))
        await self._sink.send(body)
        await self._sink.end()
        return _End.SERVED

    def _silent_or_lost(self):
        if self._clock.now_ms() >= self._until_ms:
            return _End.TIMED_OUT
        return _End.LOST

    async def _start(self, head, length):
        if self._started:
            return
        self._started = True
        headers = self._shared.dialect.relayed(head)
        await self._sink.start(head.status, headers, length)
        waited_ms = self._clock.now_ms() - self._call.arrived_ms
        self._first_ms = waited_ms
        self._shared.metrics.observe_ms(
            "first_byte", waited_ms, kind=self._route.kind.value
        )

    async def _relay_stream(self, connection, box, head):
        cutter = EventCutter()
        while True:
            events = await self._take(box, self._pause_ms())
            if not events:
                return self._silent_or_late()
            try:
                end = await self._pass_on(connection, cutter, events, head)
            except EventOutOfOrder as error:
                self._note("stream_out_of_order", reason=str(error))
                return _End.LOST
            if end is not None:
                return end

    def _pause_ms(self):
        if not self._route.pause_ms or not (
            self._route.repeatable and self._ran < self._route.max_attempts
        ):
            return None
        return max(LEAST_SILENCE_MS, self._route.pause_ms * SILENCE_SHARE)

    async def _pass_on(self, connection, cutter, events, head):
        """Pass whole events on; return how the stream ended, if it did."""
        whole = []
        end = None
        for event in events:
            if isinstance(event, End):
                end = event
                break
            connection.taken(len(event))
            whole += self._in_order(cutter.feed(event))
        if whole:
            await self._start(head, None)
            await self._sink.send(b"".join(whole))
        if end is None:
            return None
        if end is End.BROKEN or cutter.rest:
            return _End.LOST
        await self._start(head, None)
        await self._sink.end()
        return _End.SERVED

    def _in_order(self, events):
        """Return the bytes of new events; they must follow one another."""
        raw = []
        for event in events:
            if event.number is not None:
                if event.number != self._last_event + 1:
                    raise EventOutOfOrder(
                        f"event {event.number} after {self._last_event}"
                    )
                self._last_event = event.number
            raw.append(event.raw)
        return raw

    # After an attempt.

    def _judge(self, replica, end):
        self._tried.add(replica.life)
        if end is _End.LOST:
            request_id = self._call.request_id
            self._shared.losses.lost(self._digest, request_id)
        if end is not _End.TIMED_OUT:
            now_ms = self._clock.now_ms()
            self._shared.suspicion.failed(replica.life, now_ms)
        self._note("attempt_ended", replica=replica.replica_id, end=end.value)

    def _may_go_on(self, end):
        if end is _End.TIMED_OUT or self._clock.now_ms() >= self._until_ms:
            return False
        if end is _End.NOT_RUN:
            self._not_sent += 1
            return self._not_sent < NOT_SENT_TRIES
        return self._route.repeatable and self._ran < self._route.max_attempts

    async def _give_up(self, end):
        self._note("gave_up", end=end.value)
        if self._started:
            raise AnswerCut(
                ErrorKind.ENDPOINT_LOST, "the answer broke off", Ran.YES
            )
        if self._held is not None:
            await self._send_held()
            return
        if not self._ran:
            raise RequestError(
                ErrorKind.NO_ENDPOINT,
                "no replica took the request",
                retry_after_ms=200,
            )
        if end is _End.TIMED_OUT:
            raise RequestError(
                ErrorKind.TIMED_OUT, "no answer in time", ran=Ran.UNKNOWN
            )
        raise RequestError(
            ErrorKind.ENDPOINT_LOST,
            "the replica was lost while it had the request",
            ran=Ran.UNKNOWN,
        )

    async def _send_held(self):
        held = self._held
        headers = self._shared.dialect.relayed(held.head)
        await self._sink.start(held.head.status, headers, len(held.body))
        await self._sink.send(held.body)
        await self._sink.end()

    def _note(self, event, **fields):
        self._shared.metrics.count(event, kind=self._route.kind.value)
        self._shared.log.info(
            event,
            request_id=self._call.request_id,
            route=self._route.name,
            attempts=self._ran,
            left_ms=self._until_ms - self._clock.now_ms(),
            **fields,
        )
