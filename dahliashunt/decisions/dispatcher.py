"""Where a request is put: an endpoint, the queue, the suspects, or out."""

from dahliashunt.decisions.endpoint import Endpoint
from dahliashunt.decisions.entry_state import EntryState
from dahliashunt.decisions.events import Dispatch
from dahliashunt.decisions.events import FailRequest
from dahliashunt.decisions.events import OnlineRequest
from dahliashunt.decisions.fleet import OVERHEAD_TOKENS
from dahliashunt.decisions.model_state import ModelState
from dahliashunt.decisions.queueing import Waiting
from dahliashunt.decisions.refusals import MESSAGE_BY_KIND
from dahliashunt.decisions.routing import Ask
from dahliashunt.decisions.tracked import Phase
from dahliashunt.decisions.tracked import Tracked
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.ids import Fingerprint

__all__ = ["Decision", "Dispatcher"]

Decision = Dispatch | FailRequest

_LOOK_AHEAD = 8
"""Waiting requests looked at for one that fits what came free."""

_OVERTAKEN_MAX = 4
"""How often one may be passed for a better fit."""


class Dispatcher:
    """Place requests, and move waiting ones to what comes free."""

    def __init__(self, state: EntryState):
        self._state = state

    def place(self, now: int, tracked: Tracked) -> list[Decision]:
        """Dispatch now, or wait, or turn away."""
        request = tracked.request
        if self._state.suspects.is_suspect(now, request.fingerprint):
            return self._to_lane(now, tracked)
        state = self._state.model(request.model)
        if tracked.tag is None:
            tracked.tag = state.order.tag(
                now, request.caller, tracked.cost, tracked.weight
            )
        if self._may_go_first(now, state, tracked.tag):
            endpoint = self._state.router.choose(self._ask(now, tracked))
            if endpoint is not None:
                return [self._dispatch(now, tracked, endpoint)]
        return self._enqueue(now, tracked, state)

    def _may_go_first(self, now: int, state: ModelState, tag: float) -> bool:
        """Tell whether room may exist for a newcomer with `tag`.

        While somebody waits there is room only for those that the first
        one is kept from; asking all endpoints each time would cost most.
        """
        queue = state.queue
        if not len(queue):
            return True
        if queue.place(tag):
            return False
        first = self._state.tracked_by_id[queue[0].request_id]
        ask = self._ask(now, first)
        return ask.over_share or bool(ask.avoid)

    def _enqueue(
        self, now: int, tracked: Tracked, state: ModelState
    ) -> list[Decision]:
        request = tracked.request
        queue = state.queue
        ahead = queue.place(tracked.tag)
        left = request.first_token_by_ms - now
        tokens = request.prompt_tokens + OVERHEAD_TOKENS
        if not state.discipline.admits(
            now, queue, left, ahead, tokens, state.drain()
        ):
            return [self.turn_away(now, tracked)]
        out: list[Decision] = []
        if len(queue) >= self._state.policy.queue_length:
            if not len(queue) or queue[-1].tag <= tracked.tag:
                return [self.turn_away(now, tracked)]
            last = self._state.tracked_by_id[queue[-1].request_id]
            out.append(self.turn_away(now, last))
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

    def turn_away(self, now: int, tracked: Tracked) -> FailRequest:
        """Refuse for load, with the time of a useful resend."""
        state = self._state.model(tracked.request.model)
        excess = 0.0
        if tracked.waiting is None and tracked.tag is not None:
            drain = state.drain()
            left = tracked.request.first_token_by_ms - now
            excess = drain.wait_ms(state.queue.place(tracked.tag)) - left
        after = state.retry_after(now, excess, self._state.rng)
        return self.give_up(tracked, ErrorKind.OVERLOADED, after)

    def give_up(
        self, tracked: Tracked, kind: ErrorKind, after: int | None
    ) -> FailRequest:
        """Give the final answer."""
        self.drop(tracked)
        self._state.refused_by_kind[kind] += 1
        return FailRequest(
            tracked.request.request_id,
            kind,
            tracked.ran,
            after,
            MESSAGE_BY_KIND[kind],
        )

    def drop(self, tracked: Tracked) -> None:
        """Forget a request that is not running; give back its charge."""
        request = tracked.request
        del self._state.tracked_by_id[request.request_id]
        state = self._state.model(request.model)
        if tracked.waiting is not None:
            state.queue.remove(tracked.waiting)
        self._state.lane.discard(request.request_id)
        self.settle(tracked, ran=tracked.ran is not Ran.NO)

    def settle(self, tracked: Tracked, ran: bool) -> None:
        """Charge what was used in place of what was expected."""
        request = tracked.request
        state = self._state.model(request.model)
        cost = tokens = 0.0
        if ran:
            cost = state.cost_of(request.prompt_tokens, tracked.tokens)
            tokens = request.prompt_tokens + tracked.tokens
        if tracked.tag is not None:
            off = cost - tracked.cost
            state.order.settle(request.caller, off, tracked.weight)
        if tracked.taken:
            over = tracked.taken - tokens
            self._state.buckets.give_back(request.caller, over)

    def _dispatch(
        self,
        now: int,
        tracked: Tracked,
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
        endpoint.blamed.discard(request.fingerprint)
        held = self._state.prefixes.held_part(
            now, endpoint.endpoint_id, request.prefix_keys
        )
        tracked.uncached = request.prompt_tokens * (1 - held)
        tracked.pending = tracked.uncached
        endpoint.pending_tokens += tracked.pending
        tracked.pending_with = endpoint.pending_tokens
        if alone:
            endpoint.reserved_by = request.request_id
        self._state.prefixes.sent(
            now, endpoint.endpoint_id, request.prefix_keys
        )
        return Dispatch(request.request_id, endpoint.endpoint_id, alone)

    def release(self, tracked: Tracked) -> None:
        """Free the place of an attempt that ended."""
        endpoint = tracked.endpoint
        request_id = tracked.request.request_id
        endpoint.sent_ms_by_request.pop(request_id, None)
        self.not_pending(tracked)
        self._state.fleet.in_flight -= 1
        self._state.in_flight.remove(tracked.request.caller, tracked.cost)
        self._state.model(tracked.request.model).in_flight -= 1
        if tracked.alone:
            endpoint.reserved_by = None
            self._state.lane.running = None
        self._state.fleet.forget_if_idle(endpoint)

    def not_pending(self, tracked: Tracked) -> None:
        """Note that its prefill is over."""
        endpoint = tracked.endpoint
        endpoint.pending_tokens -= tracked.pending
        tracked.pending = 0.0
        if not endpoint.sent_ms_by_request:
            endpoint.pending_tokens = 0.0

    def pump_endpoint(self, now: int, endpoint: Endpoint) -> list[Decision]:
        """Give waiting requests what has come free on one endpoint."""
        out: list[Decision] = []
        for state in self._by_oldest(endpoint):
            while len(state.queue):
                tracked = self._next_for(now, state, endpoint)
                if tracked is None:
                    break
                out += self._send_or_isolate(now, tracked, endpoint)
        return out

    def _by_oldest(self, endpoint: Endpoint) -> list[ModelState]:
        """Return its models with a queue, the longest waiting first.

        In a fixed order the first model would starve the others of an
        endpoint that serves several.
        """
        by_model = self._state.state_by_model
        states = [by_model.get(model) for model in endpoint.models]
        return sorted(
            (state for state in states if state and len(state.queue)),
            key=lambda state: (state.queue[0].since_ms, state.queue[0].seq),
        )

    def _ask(self, now: int, tracked: Tracked) -> Ask:
        request = tracked.request
        over = self._state.in_flight.is_over(request.caller)
        return Ask(now, request, tracked.avoid, over)

    def _next_for(
        self, now: int, state: ModelState, endpoint: Endpoint
    ) -> Tracked | None:
        if not endpoint.can_take(now):
            return None
        queue = state.queue
        first = state.discipline.next_index(queue)
        choice = None
        for index in range(first, min(len(queue), first + _LOOK_AHEAD)):
            tracked = self._state.tracked_by_id[queue[index].request_id]
            ask = self._ask(now, tracked)
            if not ask.can_use(endpoint):
                continue
            if choice is None:
                choice = tracked
                if tracked.overtaken >= _OVERTAKEN_MAX:
                    break
            if self._state.router.holds(ask, endpoint):
                if tracked is not choice:
                    choice.overtaken += 1
                return tracked
        return choice

    def pump_all(self, now: int) -> list[Decision]:
        """Send what waits wherever there is room."""
        out: list[Decision] = []
        for state in self._state.state_by_model.values():
            out += self._pump_model(now, state)
        return out + self.pump_suspects(now)

    def _pump_model(self, now: int, state: ModelState) -> list[Decision]:
        out: list[Decision] = []
        passed = 0
        while passed < min(len(state.queue), _LOOK_AHEAD):
            index = state.discipline.next_index(state.queue) + passed
            if index >= len(state.queue):
                break
            waiting = state.queue[index]
            tracked = self._state.tracked_by_id[waiting.request_id]
            ask = self._ask(now, tracked)
            endpoint = self._state.router.choose(ask)
            if endpoint is not None:
                out += self._send_or_isolate(now, tracked, endpoint)
            elif ask.over_share or ask.avoid:
                # What it may not use may do for one behind it.
                passed += 1
            else:
                break
        return out

    def _send_or_isolate(
        self, now: int, tracked: Tracked, endpoint: Endpoint
    ) -> list[Decision]:
        fingerprint = tracked.request.fingerprint
        if self._state.suspects.is_suspect(now, fingerprint):
            return self._to_lane(now, tracked)
        return [self._dispatch(now, tracked, endpoint)]

    def _to_lane(self, now: int, tracked: Tracked) -> list[Decision]:
        if tracked.waiting is not None:
            self._state.model(tracked.request.model).queue.remove(
                tracked.waiting
            )
            tracked.waiting = None
        tracked.phase = Phase.SUSPECT
        tracked.suspect_since_ms = now
        # It starts with the next tick: of several that one crash made
        # suspect, the smallest can go first only once all are here.
        self._state.lane.add(tracked)
        return []

    def pump_suspects(self, now: int) -> list[Decision]:
        """Start the next suspect when none runs."""
        for tracked in self._state.lane.waiting_when_free():
            fingerprint = tracked.request.fingerprint
            if not self._state.suspects.is_suspect(now, fingerprint):
                # A resend of it ran to its end meanwhile.
                self._state.lane.discard(tracked.request.request_id)
                return self.place(now, tracked) + self.pump_suspects(now)
            endpoint = self._quarantine(now, tracked.request)
            if endpoint is not None:
                self._state.lane.start(tracked)
                return [self._dispatch(now, tracked, endpoint, alone=True)]
        return []

    def _quarantine(self, now: int, request: OnlineRequest) -> Endpoint | None:
        """Return the one endpoint on which suspects of a model run.

        It is chosen by its fixed rank, so that all entries take the same
        one, and stays the same while suspects wait.
        """
        serving = self._state.fleet.serving(request.model)
        kept = self._state.lane.endpoint
        if kept is None or kept not in serving or not kept.can_isolate(now):
            kept = min(
                (e for e in serving if e.can_isolate(now)),
                key=lambda e: e.seed,
                default=None,
            )
        self._state.lane.endpoint = kept
        return kept

    def drop_convicted(
        self, now: int, fingerprint: Fingerprint
    ) -> list[Decision]:
        """Give up what waits with a convicted fingerprint."""
        hit = [
            tracked
            for tracked in self._state.tracked_by_id.values()
            if tracked.request.fingerprint == fingerprint
            and tracked.phase is not Phase.RUNNING
        ]
        return [self.give_up(t, ErrorKind.CONVICTED, None) for t in hit]

    def strand(self, now: int) -> list[Decision]:
        """Give up what waits for a model that no endpoint holds now."""
        out: list[Decision] = []
        for model, state in self._state.state_by_model.items():
            if self._state.fleet.serving(model):
                continue
            waiting = [
                self._state.tracked_by_id[w.request_id] for w in state.queue
            ]
            waiting += self._state.lane.of_model(model)
            for tracked in waiting:
                after = state.retry_after(now, 0, self._state.rng)
                out.append(self.give_up(tracked, ErrorKind.NO_ENDPOINT, after))
        return out
