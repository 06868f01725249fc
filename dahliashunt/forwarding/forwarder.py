"""Forward one request: reserve a replica, send, relay, retry if allowed.

What may follow an attempt:

- not sent, or refused by its replica as not run: another replica; without
  one, an error that says "not run";
- sent and lost: another replica if the request is repeatable and attempts
  are left, else "outcome unknown";
- a stream that broke off after events: resumes at another replica of the
  same software version after the last complete event, within the same
  response; else the response is truncated so that it can't look complete.
"""

from dataclasses import dataclass

from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.decisions.caller_wait import CallerWaits
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.suspicion import Suspicion
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.answer_room import AnswerRoom
from dahliashunt.forwarding.attempt import Attempt
from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.call_state import AttemptEnd
from dahliashunt.forwarding.call_state import CallState
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.catalog import RouteKind
from dahliashunt.forwarding.crash_guard import crash_keys
from dahliashunt.forwarding.crash_guard import CrashGuard
from dahliashunt.forwarding.losses import request_fingerprint
from dahliashunt.forwarding.ports import ReplicaDialect
from dahliashunt.forwarding.ports import ResponseSink
from dahliashunt.forwarding.relayed_status import start_relayed
from dahliashunt.forwarding.replica_selector import ReplicaSelector
from dahliashunt.forwarding.reservation import SlotRequirements
from dahliashunt.forwarding.stream_origins import StreamOrigin
from dahliashunt.forwarding.stream_origins import StreamOrigins
from dahliashunt.forwarding.workspaces import workspace_digest
from dahliashunt.metrics import Metrics
from dahliashunt.ports import Clock

__all__ = ["Forwarder", "ResponseTruncated"]

START_MS = 40
"""Time from a slot to the first event on an idle replica: connecting, some
4 ms to read 350 tokens, 20 ms to the first event, and the way back. The rest
of the objective may be spent waiting for the slot."""

RESUME_WAIT_MS = 1_200
"""Longest wait of a lost request for a slot elsewhere; below the shortest
pause after which callers leave."""

LATE_WAIT_MS = 1_200
"""Longest wait for a slot past the objective; below the shortest pause
after which callers leave."""

TRIAL_POLL_MS = 20
"""Interval between looks at a trial that a request waits for."""

ON_TRIAL_RETRY_MS = 500
"""Retry-After of a request that has waited in vain for a trial's end."""

MAX_NOT_RUN_ATTEMPTS = 6
"""Attempts that may end as not run before the call is given up."""

_UNHARMED_ENDS = (
    AttemptEnd.NOT_RUN,
    AttemptEnd.NO_CONNECTION,
    AttemptEnd.FAILED,
)
"""Ends after which the replica certainly lives on."""

_UNSUSPICIOUS_ENDS = (
    AttemptEnd.TIMED_OUT,
    AttemptEnd.UNREAD,
    AttemptEnd.NO_CONNECTION,
)
"""Ends that say nothing against the replica."""


class ResponseTruncated(RequestError):
    """A response broke off after its start and must not look complete."""


class Forwarder:
    """Forwards calls; holds the dependencies that all calls share.

    Parameters
    ----------
    places : ReplicaSelector
    pool : ConnectionPool
    dialect : ReplicaDialect
    suspicion : Suspicion
    crash_guard : CrashGuard
    origins : StreamOrigins
    clock : Clock
    metrics : Metrics
    log : structlog logger
    answer_room : AnswerRoom
    """

    def __init__(
        self,
        places: ReplicaSelector,
        pool: ConnectionPool,
        dialect: ReplicaDialect,
        suspicion: Suspicion,
        crash_guard: CrashGuard,
        origins: StreamOrigins,
        clock: Clock,
        metrics: Metrics,
        log,
        answer_room: AnswerRoom,
    ):
        self.answer_room = answer_room
        self.places = places
        self.pool = pool
        self.dialect = dialect
        self.suspicion = suspicion
        self.crash_guard = crash_guard
        self.origins = origins
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.waits = CallerWaits()

    async def serve(
        self,
        call: Call,
        route: Route,
        origin: StreamOrigin,
        with_agents: bool,
        sink: ResponseSink,
    ) -> None:
        """Forward `call` and relay the response to `sink`.

        Cancelling this stops the work at the replica at once.

        Raises
        ------
        RequestError
            There is no response; nothing was sent to `sink`.
        ResponseTruncated
            The response broke off.
        """
        with self.answer_room.growing() as room:
            forwarded = _ForwardedCall(
                self, call, route, origin, with_agents, sink, room
            )
            await forwarded.serve()


@dataclass(frozen=True, slots=True)
class _WaitLimits:
    """Longest wait for a slot, and longest that meets the objective."""

    wait_ms: int
    slack_ms: int


_NO_WAIT = _WaitLimits(0, 0)


class _ForwardedCall:
    """One call over all its attempts."""

    def __init__(
        self, forwarder, call, route, origin, with_agents, sink, room
    ):
        self._forwarder = forwarder
        self._clock = forwarder.clock
        self._call = call
        self._route = route
        self._keeps = with_agents
        self._sink = sink
        budget_ms = route.timeout_ms
        if call.budget_ms is not None:
            budget_ms = min(budget_ms, call.budget_ms)
        self._state = CallState(
            call=call,
            route=route,
            deadline_ms=call.arrived_ms + budget_ms,
            room=room,
            last_event=call.last_event,
            version=origin.version,
        )
        self._waited_ms = forwarder.waits.waited_ms(
            route.name, budget_ms, route.timeout_ms
        )
        self._service = origin.service
        self._rank = route.rank if call.rank is None else call.rank
        self._tried = set()
        self._not_run_count = 0
        self._next_place = None
        self._placed_ms = 0
        self._digest = request_fingerprint(route.host, call)
        self._keys = crash_keys(self._digest, self._service, call.shared_parts)

    async def serve(self):
        try:
            await self._serve()
        finally:
            if self._next_place is not None:
                self._next_place.release()

    async def _serve(self):
        while True:
            reservation, permit = await self._reserve_admitted()
            end = await self._run(reservation, permit)
            if end is AttemptEnd.SERVED:
                return
            if not self._may_try_again(end):
                await self._give_up(end)
                return

    async def _reserve_admitted(self):
        """Return a reservation and the permit to use it.

        A request of which another run is on trial waits for that run's end
        as for a slot.
        """
        guard = self._forwarder.crash_guard
        until_ms = self._clock.now_ms() + self._wait_limits().wait_ms
        while True:
            self._refuse_quarantined()
            if not guard.must_wait(self._keys):
                reservation, self._next_place = self._next_place, None
                if reservation is None:
                    reservation = await self._place()
                permit = await self._admit(reservation)
                if permit is not None:
                    return reservation, permit
                self._refuse_quarantined()
            if self._clock.now_ms() >= until_ms:
                self._refuse_on_trial()
            await self._clock.sleep_ms(TRIAL_POLL_MS)

    async def _admit(self, reservation):
        """Return the permit to use `reservation`, or release it."""
        permit = None
        try:
            permit = await self._forwarder.crash_guard.admit(self._keys)
        finally:
            if permit is None:
                reservation.release()
        return permit

    async def _run(self, reservation, permit):
        """Attempt the call at the reserved replica; return how it ended."""
        guard, replica = self._forwarder.crash_guard, reservation.replica
        self._placed_ms = self._age_ms()
        self._state.on_trial = permit.is_trial
        end = None
        try:
            end = await self._attempt(replica)
        finally:
            reservation.release()
            if end is None:
                # The caller has left.
                guard.left(permit, self._call.request_id, replica)
        if end is not AttemptEnd.SERVED:
            self._record_failure(replica, end, permit)
            return end
        self._forwarder.suspicion.served(replica.incarnation)
        if self._state.is_rejected:
            guard.ended_unharmed(permit)
        else:
            guard.served(self._keys)
        self._record(
            "served",
            replica=replica.replica_id,
            version=replica.version,
            data_centre=replica.data_centre,
            kept=bool(reservation.attempt_id),
            placed_ms=self._placed_ms,
            first_ms=self._state.first_ms,
            total_ms=self._age_ms(),
        )
        return end

    def _refuse_quarantined(self):
        """Refuse a request that was lost with each replica that ran it."""
        if self._forwarder.crash_guard.is_quarantined(self._keys):
            self._refuse_for_losses()

    def _refuse_for_losses(self):
        losses = self._forwarder.crash_guard.losses(self._keys)
        self._record("convicted", digest=self._digest, losses=losses)
        kind = ResponseTruncated if self._state.started else RequestError
        raise kind(
            ErrorKind.OUTCOME_UNKNOWN,
            "each replica that ran this request was lost",
            ran=Ran.UNKNOWN,
        )

    def _refuse_on_trial(self):
        self._refuse(
            RequestError(
                ErrorKind.NO_ENDPOINT,
                "replicas that ran this request were lost, and one tries it",
                retry_after_ms=ON_TRIAL_RETRY_MS,
            )
        )

    def _age_ms(self):
        return self._clock.now_ms() - self._call.arrived_ms

    async def _place(self):
        try:
            return await self._find(self._wait_limits(), self._tried)
        except RequestError as error:
            self._refuse(error)

    async def _find(self, limits, avoid):
        affinity = self._call.shared_parts
        requirements = SlotRequirements(
            service=self._service,
            use=Use.ONLINE,
            affinity=affinity[-1] if affinity else "",
            wait_ms=limits.wait_ms,
            slack_ms=limits.slack_ms,
            avoid=frozenset(avoid),
            on_revoke=lambda: None,
            rank=self._rank,
            version=self._state.version,
            workspace=workspace_digest(self._call.workspace),
            prompt_tokens=self._call.prompt_tokens,
            output_tokens=self._call.output_tokens,
            shared_parts=tuple(
                zip(affinity, self._call.shared_tokens, strict=False)
            ),
        )
        return await self._forwarder.places.find(
            requirements, self._call.request_id, self._keeps
        )

    def _wait_limits(self):
        """Return how long this request may still wait for a slot."""
        left_ms = max(0, self._state.deadline_ms - self._clock.now_ms())
        if self._state.ran:
            # A request that was run and lost may wait past its objective.
            wait_ms = min(RESUME_WAIT_MS, left_ms)
            return _WaitLimits(wait_ms, wait_ms)
        age_ms = self._waited_ms + self._age_ms()
        useful_ms = self._route.objective_ms - age_ms - START_MS
        slack_ms = max(0, min(useful_ms, left_ms))
        return _WaitLimits(min(slack_ms + LATE_WAIT_MS, left_ms), slack_ms)

    def _refuse(self, error):
        """Raise `error`, adapted to what has already run or been sent."""
        self._record("refused", reason=error.kind.value)
        if self._state.started:
            raise ResponseTruncated(
                error.kind, error.message, Ran.YES
            ) from None
        if self._state.ran:
            raise RequestError(
                ErrorKind.ENDPOINT_LOST,
                "the replica was lost and no other has room",
                ran=Ran.UNKNOWN,
            ) from None
        raise error

    async def _attempt(self, replica):
        async def reserve_elsewhere():
            avoid = {*self._tried, replica.incarnation}
            try:
                self._next_place = await self._find(_NO_WAIT, avoid)
            except RequestError:
                return False
            return True

        if self._state.last_event:
            self._record(
                "stream_continued",
                replica=replica.replica_id,
                version=replica.version,
                after_event=self._state.last_event,
                by="entry" if self._state.started else "caller",
            )
        attempt = Attempt(
            self._forwarder,
            self._state,
            self._sink,
            replica,
            reserve_elsewhere,
        )
        return await attempt.run()

    def _record_failure(self, replica, end, permit):
        self._tried.add(replica.incarnation)
        guard, request_id = self._forwarder.crash_guard, self._call.request_id
        if end is AttemptEnd.LOST:
            guard.lost(permit, request_id, replica)
        elif end in _UNHARMED_ENDS:
            guard.ended_unharmed(permit)
        else:
            guard.left(permit, request_id, replica)
        if end not in _UNSUSPICIOUS_ENDS and not self._state.is_too_large:
            now_ms = self._clock.now_ms()
            self._forwarder.suspicion.failed(replica.incarnation, now_ms)
        self._record(
            "attempt_ended",
            replica=replica.replica_id,
            version=replica.version,
            end=end.value,
            last_event=self._state.last_event,
            digest=self._digest,
            began_ms=permit.began_ms - self._call.arrived_ms,
            sent_budget_ms=self._state.sent_budget_ms,
        )

    def _may_try_again(self, end):
        if (
            end in (AttemptEnd.TIMED_OUT, AttemptEnd.NO_CONNECTION)
            or self._clock.now_ms() >= self._state.deadline_ms
        ):
            return False
        if end is AttemptEnd.NOT_RUN:
            self._not_run_count += 1
            return (
                self._not_run_count < MAX_NOT_RUN_ATTEMPTS
                and not self._state.is_too_large
            )
        is_stream = self._route.kind is RouteKind.STREAM
        if self._state.started and not is_stream:
            # Bytes of two runs must not be mixed in one response.
            return False
        return self._state.may_retry

    async def _give_up(self, end):
        self._record("gave_up", end=end.value)
        if self._state.started:
            raise ResponseTruncated(
                ErrorKind.ENDPOINT_LOST, "the answer broke off", Ran.YES
            )
        if self._state.held is not None:
            await self._send_held()
            return
        if not self._state.ran:
            raise RequestError(
                ErrorKind.NO_ENDPOINT,
                "no replica took the request",
                retry_after_ms=200,
            )
        if end is AttemptEnd.TIMED_OUT:
            raise RequestError(
                ErrorKind.TIMED_OUT, "no answer in time", ran=Ran.UNKNOWN
            )
        raise RequestError(
            ErrorKind.ENDPOINT_LOST,
            "the replica was lost while it had the request",
            ran=Ran.UNKNOWN,
        )

    async def _send_held(self):
        held = self._state.held
        await start_relayed(
            self._forwarder,
            self._state,
            self._sink,
            held.head,
            len(held.body),
        )
        await self._sink.send(held.body)
        await self._sink.end()

    def _record(self, event, **fields):
        self._forwarder.metrics.count(event, kind=self._route.kind.value)
        self._forwarder.log.info(
            event,
            request_id=self._call.request_id,
            route=self._route.name,
            attempts=self._state.ran,
            left_ms=self._state.deadline_ms - self._clock.now_ms(),
            **fields,
        )
