"""Facade of the entry's decisions: events with ``now`` in, decisions out.

=================  ====================================================
`fair`             order among callers and their shares; see `limits`
`queueing`         admission to the queue and dropping from it
`overload`         concurrency limit of an endpoint
`routing`          choice of the endpoint; see `prefix` and `fleet`
`retry`            retry budget
`suspects`         isolation of requests that crash engines
=================  ====================================================

`dispatcher` moves requests between endpoints, queue and suspects;
`attempt_ends` decides what follows an attempt; `entry_policy` holds all
settings. docs/design/entry-decisions.md compares the alternatives.
"""

import random

from dahliashunt.decisions.attempt_ends import AttemptEnds
from dahliashunt.decisions.dispatcher import Decision
from dahliashunt.decisions.dispatcher import Dispatcher
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.entry_state import EndpointStatus
from dahliashunt.decisions.entry_state import EntryState
from dahliashunt.decisions.entry_state import EntryStatus
from dahliashunt.decisions.events import AttemptEnd
from dahliashunt.decisions.events import CallerLimits
from dahliashunt.decisions.events import EndpointInfo
from dahliashunt.decisions.events import EndpointReport
from dahliashunt.decisions.events import FailRequest
from dahliashunt.decisions.events import LossReason
from dahliashunt.decisions.events import OnlineRequest
from dahliashunt.decisions.refusals import MESSAGE_BY_KIND
from dahliashunt.decisions.suspects import Conviction
from dahliashunt.decisions.tracked import Phase
from dahliashunt.decisions.tracked import TrackedRequest
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.ids import CallerId
from dahliashunt.ids import DataCentreId
from dahliashunt.ids import EndpointId
from dahliashunt.ids import Fingerprint
from dahliashunt.ids import RequestId

__all__ = ["Decision", "EntryDecisions"]


class EntryDecisions:
    """Admission, queueing, routing and retries of online requests.

    Every call takes ``now`` in monotonic milliseconds and returns the
    decisions to carry out at once. A request without a decision waits.
    Each `Dispatch` must be followed by one `ended`, also after
    `caller_gone`; until then it occupies the endpoint.

    Parameters
    ----------
    policy : EntryPolicy
    rng : random.Random
    data_centre : DataCentreId
        Data centre of the entry; its endpoints are preferred.
    """

    def __init__(
        self,
        policy: EntryPolicy,
        rng: random.Random,
        data_centre: DataCentreId,
    ):
        self._state = EntryState(policy, rng, data_centre)
        self._dispatcher = Dispatcher(self._state)
        self._ends = AttemptEnds(self._state, self._dispatcher)
        self._now = 0

    def arrive(self, now: int, request: OnlineRequest) -> list[Decision]:
        """Admit, queue or refuse a new request."""
        self._now = now
        if request.request_id in self._state.tracked_by_id:
            raise ValueError(f"request {request.request_id} is in progress")
        refusal = self._refuse_at_once(now, request)
        if refusal is not None:
            return [refusal]
        limits = self._state.limits.get(request.caller)
        state = self._state.model(request.model)
        cost = state.cost(request.prompt_tokens, request.max_tokens)
        tracked = TrackedRequest(request, cost, limits.weight)
        if limits.tokens_a_second is not None:
            output = state.output(request.max_tokens)
            tracked.charged_tokens = max(1.0, request.prompt_tokens + output)
            after_ms = self._state.buckets.take(
                now, request.caller, tracked.charged_tokens, limits
            )
            if after_ms:
                return [self._refuse(request, ErrorKind.OVER_LIMIT, after_ms)]
        self._state.tracked_by_id[request.request_id] = tracked
        return self._dispatcher.place(now, tracked)

    def first_token(self, now: int, request_id: RequestId) -> list[Decision]:
        """Record the first token of a request."""
        self._now = now
        tracked = self._state.tracked_by_id.get(request_id)
        if tracked is None or tracked.first_token or not tracked.endpoint:
            return []
        tracked.first_token = True
        self._dispatcher.prefill_done(tracked)
        if tracked.alone:
            return []
        self._ends.learn_first_token(now, tracked)
        return self._dispatcher.fill_endpoint(now, tracked.endpoint)

    def tokens(self, now: int, request_id: RequestId, count: int) -> None:
        """Record more generated tokens of a request."""
        tracked = self._state.tracked_by_id.get(request_id)
        if tracked is not None:
            tracked.tokens += count

    def ended(
        self,
        now: int,
        request_id: RequestId,
        end: AttemptEnd,
        tokens: int = 0,
        retry_after_ms: int | None = None,
        alongside: tuple[Fingerprint, ...] = (),
        delivered: bool = False,
    ) -> list[Decision]:
        """Record the end of an attempt and decide what follows.

        Parameters
        ----------
        tokens : int
            Tokens of the whole answer so far.
        retry_after_ms : int or None
            With NOT_RUN: back-off requested by the agent.
        alongside : tuple of Fingerprint
            With CRASHED: other requests that ran there, from the agent.
        delivered : bool
            Whether the caller received any part of the answer.
        """
        self._now = now
        tracked = self._state.tracked_by_id.get(request_id)
        if tracked is None or tracked.phase is not Phase.RUNNING:
            return []
        endpoint = tracked.endpoint
        tracked.tokens = max(tracked.tokens, tokens)
        out: list[Decision] = []
        if end is AttemptEnd.CRASHED:
            out += self._ends.count_crash(now, tracked, alongside)
        elif end is AttemptEnd.UNKNOWN:
            out += self._ends.count_loss(now, tracked)
        self._dispatcher.release(tracked)
        if end is AttemptEnd.DONE:
            self._ends.done(now, tracked)
        else:
            self._ends.note_failure(
                now, endpoint, end, retry_after_ms, tracked.alone
            )
            out += self._ends.retry_or_answer(
                now, tracked, end, retry_after_ms, delivered
            )
        if tracked.alone:
            # Before other work, which would fill the freed endpoint.
            out += self._dispatcher.dispatch_suspects(now)
        return out + self._dispatcher.fill_endpoint(now, endpoint)

    def caller_gone(self, now: int, request_id: RequestId) -> list[Decision]:
        """Record that the caller disconnected."""
        self._now = now
        tracked = self._state.tracked_by_id.get(request_id)
        if tracked is None:
            return []
        if tracked.phase is Phase.RUNNING:
            # Kept until its end, since it may still crash the endpoint.
            tracked.caller_gone = True
            return []
        self._dispatcher.drop(tracked)
        return []

    def set_limits(
        self, now: int, caller: CallerId, limits: CallerLimits | None
    ) -> list[Decision]:
        """Set a caller's limits; None restores the default."""
        self._now = now
        self._state.limits.put(caller, limits)
        return []

    def endpoint_up(self, now: int, info: EndpointInfo) -> list[Decision]:
        """Add an endpoint or update its models."""
        self._now = now
        self._state.fleet.add_endpoint(now, info)
        return self._dispatcher.dispatch_waiting(now)

    def report(self, now: int, report: EndpointReport) -> list[Decision]:
        """Apply an agent's load report."""
        self._now = now
        self._state.prefixes.report(
            now, report.endpoint_id, report.cached_prefixes
        )
        if not self._state.fleet.report(now, report):
            return []
        return self._dispatcher.refuse_unserved(
            now
        ) + self._dispatcher.dispatch_waiting(now)

    def endpoint_gone(
        self, now: int, endpoint_id: EndpointId, loss: LossReason
    ) -> list[Decision]:
        """Stop using an endpoint; attempts in flight end separately."""
        self._now = now
        endpoint = self._state.fleet.mark_gone(now, endpoint_id, loss)
        if endpoint is None:
            return []
        self._state.prefixes.forget_endpoint(endpoint_id)
        return self._dispatcher.refuse_unserved(
            now
        ) + self._dispatcher.dispatch_suspects(now)

    def convicted(
        self, now: int, fingerprint: Fingerprint, for_ms: int
    ) -> list[Decision]:
        """Apply a conviction received from another entry."""
        self._now = now
        self._state.suspects.convict(now, fingerprint, for_ms)
        return self._dispatcher.refuse_convicted(now, fingerprint)

    def new_convictions(self) -> list[Conviction]:
        """Return and clear the convictions to share with other entries."""
        return self._state.suspects.take_new()

    def suspected(self, now: int, fingerprint: Fingerprint) -> list[Decision]:
        """Apply a suspicion received from another entry."""
        self._now = now
        self._state.suspects.suspect(now, fingerprint)
        return []

    def new_suspects(self) -> list[Fingerprint]:
        """Return and clear the suspects to share with other entries."""
        return self._state.suspects.take_new_suspects()

    def tick(self, now: int) -> list[Decision]:
        """Refuse requests that can't start in time; probe endpoints."""
        self._now = now
        out: list[Decision] = []
        self._state.fleet.start_probes(now)
        for state in self._state.state_by_model.values():
            if not len(state.queue):
                continue
            drain = state.drain()
            for waiting in state.discipline.select_rejected(
                now, state.queue, drain
            ):
                tracked = self._state.tracked_by_id[waiting.request_id]
                out.append(self._dispatcher.refuse_overloaded(now, tracked))
        for tracked in self._state.suspect_queue.overdue(
            now, self._state.policy.suspect_wait_ms
        ):
            out.append(self._dispatcher.refuse_overloaded(now, tracked))
        return out + self._dispatcher.dispatch_waiting(now)

    def wake_ms(self) -> int | None:
        """Return when to call `tick` next, or None."""
        if len(self._state.suspect_queue) or any(
            len(state.queue) for state in self._state.state_by_model.values()
        ):
            return self._now + self._state.policy.tick_ms
        return self._state.fleet.next_probe_ms()

    def status(self) -> EntryStatus:
        """Return counts of requests in flight, waiting and refused."""
        states = self._state.state_by_model
        return EntryStatus(
            in_flight=sum(state.in_flight for state in states.values()),
            suspects_waiting=len(self._state.suspect_queue),
            waiting_by_model={m: len(s.queue) for m, s in states.items()},
            endpoints=tuple(
                EndpointStatus(
                    endpoint.endpoint_id,
                    endpoint.data_centre,
                    endpoint.state,
                    endpoint.in_flight,
                    endpoint.limit.value,
                    endpoint.first_token_ms,
                )
                for endpoint in self._state.fleet.by_id.values()
            ),
            refused_by_kind=dict(self._state.refused_by_kind),
            callers_remembered=sum(len(s.order) for s in states.values())
            + len(self._state.buckets)
            + len(self._state.budget),
        )

    def _refuse_at_once(
        self, now: int, request: OnlineRequest
    ) -> FailRequest | None:
        fingerprint = request.fingerprint
        if self._state.suspects.convicted_until(now, fingerprint) is not None:
            return self._refuse(request, ErrorKind.CONVICTED, None)
        if not self._state.fleet.serving(request.model):
            # No state for unknown models: clients may send any name.
            policy = self._state.policy
            after_ms = policy.retry_after_min_ms * self._state.rng.uniform(
                2, 6
            )
            return self._refuse(request, ErrorKind.NO_ENDPOINT, int(after_ms))
        if request.first_token_by_ms <= now:
            after_ms = self._state.model(request.model).retry_after(
                now, 0, self._state.rng
            )
            return self._refuse(request, ErrorKind.TIMED_OUT, after_ms)
        return None

    def _refuse(
        self, request: OnlineRequest, kind: ErrorKind, after_ms: int | None
    ) -> FailRequest:
        self._state.refused_by_kind[kind] += 1
        return FailRequest(
            request.request_id, kind, Ran.NO, after_ms, MESSAGE_BY_KIND[kind]
        )
