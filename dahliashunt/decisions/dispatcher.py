"""Moves requests between endpoints, the queue and the suspect queue."""

from dahliashunt.decisions.endpoint import Endpoint
from dahliashunt.decisions.entry_state import EntryState
from dahliashunt.decisions.events import Dispatch
from dahliashunt.decisions.events import FailRequest
from dahliashunt.decisions.events import OnlineRequest
from dahliashunt.decisions.fleet import OVERHEAD_TOKENS
from dahliashunt.decisions.model_state import ModelState
from dahliashunt.decisions.queueing import Waiting
from dahliashunt.decisions.refusals import MESSAGE_BY_KIND
from dahliashunt.decisions.routing import RoutingQuery
from dahliashunt.decisions.tracked import Phase
from dahliashunt.decisions.tracked import TrackedRequest
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.ids import Fingerprint

__all__ = ["Decision", "Dispatcher"]

Decision = Dispatch | FailRequest

_LOOKAHEAD = 8
"""Waiting requests examined for one that fits a free place."""

_MAX_OVERTAKES = 4
"""How often a request may be overtaken by one with a cached prefix."""


class Dispatcher:
    """Dispatch, queue or refuse requests as places become free."""

    def __init__(self, state: EntryState):
        self._state = state

    def place(self, now: int, tracked: TrackedRequest) -> list[Decision]:
        """Dispatch, queue or refuse a request."""
        request = tracked.request
        if self._state.suspects.is_suspect(now, request.fingerprint):
            return self._isolate(now, tracked)
        state = self._state.model(request.model)
        if tracked.tag is None:
            tracked.tag = state.order.tag(
                now, request.caller, tracked.cost, tracked.weight
            )
        if self._may_bypass_queue(now, state, tracked.tag):
            endpoint = self._state.router.choose(
                self._routing_query(now, tracked)
            )
            if endpoint is not None:
                return [self._dispatch(now, tracked, endpoint)]
        return self._enqueue(now, tracked, state)

    def _may_bypass_queue(
        self, now: int, state: ModelState, tag: float
    ) -> bool:
        """Return whether a request with `tag` may be routed at once.

        While requests wait, only places that the first one can't use may
        be free; this check saves a search of all endpoints.
        """
        queue = state.queue
        if not len(queue):
            return True
        if queue.place(tag):
            return False
        first = self._state.tracked_by_id[queue[0].request_id]
        query = self._routing_query(now, first)
        return query.over_share or bool(query.avoid)

    def _enqueue(
        self, now: int, tracked: TrackedRequest, state: ModelState
    ) -> list[Decision]:
        request = tracked.request
        queue = state.queue
        ahead = queue.place(tracked.tag)
        remaining_ms = request.first_token_by_ms - now
        tokens = request.prompt_tokens + OVERHEAD_TOKENS
        if not state.discipline.admits(
            now, queue, remaining_ms, ahead, tokens, state.drain()
        ):
            return [self.refuse_overloaded(now, tracked)]
        out: list[Decision] = []
        if len(queue) >= self._state.policy.queue_length:
            if not len(queue) or queue[-1].tag <= tracked.tag:
                return [self.refuse_overloaded(now, tracked)]
            last = self._state.tracked_by_id[queue[-1].request_id]
            out.append(self.refuse_overloaded(now, last))
        self._state.sequence += 1
        tracked.phase = Phase.WAITING
        tracked.waiting = Waiting(
            tracked.tag,
            self._state.sequence,
            request.request_id,
            now,
            request.first_token_by_ms,
            tokens,
        )
        queue.push(tracked.waiting)
        return out

    def refuse_overloaded(
        self, now: int, tracked: TrackedRequest
    ) -> FailRequest:
        """Refuse for overload, with a Retry-After."""
        state = self._state.model(tracked.request.model)
        excess = 0.0
        if tracked.waiting is None and tracked.tag is not None:
            drain = state.drain()
            remaining_ms = tracked.request.first_token_by_ms - now
            excess = (
                drain.wait_ms(state.queue.place(tracked.tag)) - remaining_ms
            )
        after_ms = state.retry_after(now, excess, self._state.rng)
        return self.refuse(tracked, ErrorKind.OVERLOADED, after_ms)

    def refuse(
        self, tracked: TrackedRequest, kind: ErrorKind, after_ms: int | None
    ) -> FailRequest:
        """Forget the request and return its refusal."""
        self.drop(tracked)
        self._state.refused_by_kind[kind] += 1
        return FailRequest(
            tracked.request.request_id,
            kind,
            tracked.ran,
            after_ms,
            MESSAGE_BY_KIND[kind],
        )

    def drop(self, tracked: TrackedRequest) -> None:
        """Forget a request that is not running and refund its charge."""
        request = tracked.request
        del self._state.tracked_by_id[request.request_id]
        state = self._state.model(request.model)
        if tracked.waiting is not None:
            state.queue.remove(tracked.waiting)
        self._state.suspect_queue.discard(request.request_id)
        self.settle(tracked, ran=tracked.ran is not Ran.NO)

    def settle(self, tracked: TrackedRequest, ran: bool) -> None:
        """Replace the estimated charge of a request by its actual use."""
        request = tracked.request
        state = self._state.model(request.model)
        cost = tokens = 0.0
        if ran:
            cost = state.cost_of(request.prompt_tokens, tracked.tokens)
            tokens = request.prompt_tokens + tracked.tokens
        if tracked.tag is not None:
            correction = cost - tracked.cost
            state.order.settle(request.caller, correction, tracked.weight)
        if tracked.charged_tokens:
            unused = tracked.charged_tokens - tokens
            self._state.buckets.give_back(request.caller, unused)

    def _dispatch(
        self,
        now: int,
        tracked: TrackedRequest,
        endpoint: Endpoint,
        alone: bool = False,
    ) -> Dispatch:
        request = tracked.request
        state = self._state.model(request.model)
        if tracked.waiting is not None:
            state.queue.remove(tracked.waiting)
            tracked.waiting = None
        if tracked.tag is not None:
            state.order.served(tracked.tag)
        tracked.phase = Phase.RUNNING
        tracked.endpoint = endpoint
        tracked.sent_ms = now
        tracked.first_token = False
        tracked.alone = alone
        tracked.attempts += 1
        state.in_flight += 1
        self._state.fleet.in_flight += 1
        self._state.in_flight.add(request.caller, tracked.cost, tracked.weight)
        endpoint.sent_ms_by_request[request.request_id] = now
        endpoint.crash_counted.discard(request.fingerprint)
        held = self._state.prefixes.cached_fraction(
            now, endpoint.endpoint_id, request.prefix_keys
        )
        tracked.uncached_tokens = request.prompt_tokens * (1 - held)
        tracked.prefill_tokens = tracked.uncached_tokens
        endpoint.pending_tokens += tracked.prefill_tokens
        tracked.pending_at_dispatch = endpoint.pending_tokens
        if alone:
            endpoint.reserved_by = request.request_id
        self._state.prefixes.record_dispatch(
            now, endpoint.endpoint_id, request.prefix_keys
        )
        return Dispatch(request.request_id, endpoint.endpoint_id, alone)

    def release(self, tracked: TrackedRequest) -> None:
        """Free the place of an ended attempt."""
        endpoint = tracked.endpoint
        request_id = tracked.request.request_id
        endpoint.sent_ms_by_request.pop(request_id, None)
        self.prefill_done(tracked)
        self._state.fleet.in_flight -= 1
        self._state.in_flight.remove(tracked.request.caller, tracked.cost)
        self._state.model(tracked.request.model).in_flight -= 1
        if tracked.alone:
            endpoint.reserved_by = None
            self._state.suspect_queue.running = None
        self._state.fleet.forget_if_idle(endpoint)

    def prefill_done(self, tracked: TrackedRequest) -> None:
        """Remove the request from the pending prefills of its endpoint."""
        endpoint = tracked.endpoint
        endpoint.pending_tokens -= tracked.prefill_tokens
        tracked.prefill_tokens = 0.0
        if not endpoint.sent_ms_by_request:
            endpoint.pending_tokens = 0.0

    def fill_endpoint(self, now: int, endpoint: Endpoint) -> list[Decision]:
        """Dispatch waiting requests to the free places of an endpoint."""
        out: list[Decision] = []
        for state in self._models_by_oldest(endpoint):
            while len(state.queue):
                tracked = self._next_request_for(now, state, endpoint)
                if tracked is None:
                    break
                out += self._dispatch_or_isolate(now, tracked, endpoint)
        return out

    def _models_by_oldest(self, endpoint: Endpoint) -> list[ModelState]:
        """Return the endpoint's non-empty queues, oldest request first.

        A fixed order would starve all models but the first.
        """
        by_model = self._state.state_by_model
        states = [by_model.get(model) for model in endpoint.models]
        return sorted(
            (state for state in states if state and len(state.queue)),
            key=lambda state: (state.queue[0].since_ms, state.queue[0].seq),
        )

    def _routing_query(
        self, now: int, tracked: TrackedRequest
    ) -> RoutingQuery:
        request = tracked.request
        over = self._state.in_flight.is_over(request.caller)
        return RoutingQuery(now, request, tracked.avoid, over)

    def _next_request_for(
        self, now: int, state: ModelState, endpoint: Endpoint
    ) -> TrackedRequest | None:
        if not endpoint.can_take(now):
            return None
        queue = state.queue
        first = state.discipline.next_index(queue)
        first_usable = None
        for index in range(first, min(len(queue), first + _LOOKAHEAD)):
            tracked = self._state.tracked_by_id[queue[index].request_id]
            query = self._routing_query(now, tracked)
            if not query.can_use(endpoint):
                continue
            if first_usable is None:
                first_usable = tracked
                if tracked.times_overtaken >= _MAX_OVERTAKES:
                    break
            if self._state.router.holds(query, endpoint):
                if tracked is not first_usable:
                    first_usable.times_overtaken += 1
                return tracked
        return first_usable

    def dispatch_waiting(self, now: int) -> list[Decision]:
        """Dispatch waiting requests of all models, then suspects."""
        out: list[Decision] = []
        for state in self._state.state_by_model.values():
            out += self._dispatch_model(now, state)
        return out + self.dispatch_suspects(now)

    def _dispatch_model(self, now: int, state: ModelState) -> list[Decision]:
        out: list[Decision] = []
        passed = 0
        while passed < min(len(state.queue), _LOOKAHEAD):
            index = state.discipline.next_index(state.queue) + passed
            if index >= len(state.queue):
                break
            waiting = state.queue[index]
            tracked = self._state.tracked_by_id[waiting.request_id]
            query = self._routing_query(now, tracked)
            endpoint = self._state.router.choose(query)
            if endpoint is not None:
                out += self._dispatch_or_isolate(now, tracked, endpoint)
            elif query.over_share or query.avoid:
                # A later request may use endpoints that this one can't.
                passed += 1
            else:
                break
        return out

    def _dispatch_or_isolate(
        self, now: int, tracked: TrackedRequest, endpoint: Endpoint
    ) -> list[Decision]:
        fingerprint = tracked.request.fingerprint
        if self._state.suspects.is_suspect(now, fingerprint):
            return self._isolate(now, tracked)
        return [self._dispatch(now, tracked, endpoint)]

    def _isolate(self, now: int, tracked: TrackedRequest) -> list[Decision]:
        if tracked.waiting is not None:
            self._state.model(tracked.request.model).queue.remove(
                tracked.waiting
            )
            tracked.waiting = None
        tracked.phase = Phase.SUSPECT
        tracked.suspect_since_ms = now
        # Started by the next tick, when all suspects of the same crash
        # are queued, so that the smallest goes first.
        self._state.suspect_queue.add(tracked)
        return []

    def dispatch_suspects(self, now: int) -> list[Decision]:
        """Dispatch the next suspect if none is running."""
        for tracked in self._state.suspect_queue.startable():
            fingerprint = tracked.request.fingerprint
            if not self._state.suspects.is_suspect(now, fingerprint):
                # Cleared meanwhile by a completed resend.
                self._state.suspect_queue.discard(tracked.request.request_id)
                return self.place(now, tracked) + self.dispatch_suspects(now)
            endpoint = self._quarantine_endpoint(now, tracked.request)
            if endpoint is not None:
                self._state.suspect_queue.start(tracked)
                return [self._dispatch(now, tracked, endpoint, alone=True)]
        return []

    def _quarantine_endpoint(
        self, now: int, request: OnlineRequest
    ) -> Endpoint | None:
        """Return the endpoint on which suspects of a model run.

        The lowest id hash is chosen, so that all entries agree; it is kept
        while suspects wait.
        """
        serving = self._state.fleet.serving(request.model)
        endpoint = self._state.suspect_queue.endpoint
        if (
            endpoint is None
            or endpoint not in serving
            or not endpoint.can_isolate(now)
        ):
            endpoint = min(
                (e for e in serving if e.can_isolate(now)),
                key=lambda e: e.id_hash,
                default=None,
            )
        self._state.suspect_queue.endpoint = endpoint
        return endpoint

    def refuse_convicted(
        self, now: int, fingerprint: Fingerprint
    ) -> list[Decision]:
        """Refuse waiting requests with a convicted fingerprint."""
        waiting = [
            tracked
            for tracked in self._state.tracked_by_id.values()
            if tracked.request.fingerprint == fingerprint
            and tracked.phase is not Phase.RUNNING
        ]
        return [self.refuse(t, ErrorKind.CONVICTED, None) for t in waiting]

    def refuse_unserved(self, now: int) -> list[Decision]:
        """Refuse waiting requests whose model no endpoint serves."""
        out: list[Decision] = []
        for model, state in self._state.state_by_model.items():
            if self._state.fleet.serving(model):
                continue
            waiting = [
                self._state.tracked_by_id[w.request_id] for w in state.queue
            ]
            waiting += self._state.suspect_queue.waiting_for(model)
            for tracked in waiting:
                after_ms = state.retry_after(now, 0, self._state.rng)
                out.append(
                    self.refuse(tracked, ErrorKind.NO_ENDPOINT, after_ms)
                )
        return out
