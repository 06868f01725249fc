"""Handling of ended attempts: completion, retry or final answer."""

from dahliashunt.decisions.dispatcher import Decision
from dahliashunt.decisions.dispatcher import Dispatcher
from dahliashunt.decisions.endpoint import Endpoint
from dahliashunt.decisions.endpoint import EndpointState
from dahliashunt.decisions.entry_state import EntryState
from dahliashunt.decisions.events import AttemptEnd
from dahliashunt.decisions.events import FailRequest
from dahliashunt.decisions.events import LossReason
from dahliashunt.decisions.tracked import TrackedRequest
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.ids import Fingerprint

__all__ = ["AttemptEnds"]


class AttemptEnds:
    """Update the state after an attempt and decide on a retry."""

    def __init__(self, state: EntryState, dispatcher: Dispatcher):
        self._state = state
        self._dispatcher = dispatcher

    def done(self, now: int, tracked: TrackedRequest) -> None:
        """Record a successful attempt and forget the request."""
        request = tracked.request
        endpoint_ms = now - tracked.sent_ms
        state = self._state.model(request.model)
        if not tracked.alone:
            state.done(endpoint_ms, tracked.tokens)
        self._state.budget.succeeded(request.caller)
        self._state.fleet.succeeded(tracked.endpoint)
        self._state.suspects.cleared(request.fingerprint)
        self._dispatcher.settle(tracked, ran=True)
        del self._state.tracked_by_id[request.request_id]

    def learn_first_token(self, now: int, tracked: TrackedRequest) -> None:
        """Update the estimates by the time to a first token.

        The target derives from the unloaded time of the prompt and not from
        the deadline, which for patient callers would let queues grow.
        """
        policy = self._state.policy
        request = tracked.request
        ms = now - tracked.sent_ms
        state = self._state.model(request.model)
        unloaded = state.first_token(
            ms, request.prompt_tokens, tracked.uncached_tokens
        )
        target = policy.first_token_slack_ms + unloaded * policy.unloaded_times
        self._state.fleet.first_token(
            now, tracked.endpoint, ms, tracked.pending_at_dispatch, target
        )

    def note_failure(
        self,
        now: int,
        endpoint: Endpoint,
        end: AttemptEnd,
        retry_after_ms: int | None,
        alone: bool = False,
    ) -> None:
        """Update the endpoint after a failed attempt."""
        if end is AttemptEnd.NOT_RUN and alone:
            # An agent refuses a suspect while other work runs there. This
            # is no overload and only delays the next suspect.
            endpoint.busy_until_ms = now + (retry_after_ms or 0)
            return
        if end is AttemptEnd.NOT_RUN and retry_after_ms is not None:
            # The requested time suits the refused request; applied to all,
            # a long one would leave free places unused.
            longest_ms = self._state.policy.back_off_max_ms
            endpoint.back_off_until_ms = now + min(retry_after_ms, longest_ms)
            endpoint.limit.congested(now)
        elif end is AttemptEnd.CRASHED:
            self._state.fleet.crashed(now, endpoint)
        else:
            self._state.fleet.failed(now, endpoint)

    def retry_or_answer(
        self,
        now: int,
        tracked: TrackedRequest,
        end: AttemptEnd,
        retry_after_ms: int | None,
        delivered: bool,
    ) -> list[Decision]:
        """Retry the request or return its final answer."""
        if delivered:
            tracked.ran = Ran.YES
        elif end is not AttemptEnd.NOT_RUN and tracked.ran is Ran.NO:
            tracked.ran = Ran.UNKNOWN
        if tracked.caller_gone:
            self._dispatcher.drop(tracked)
            return []
        request = tracked.request
        fingerprint = request.fingerprint
        if self._state.suspects.convicted_until(now, fingerprint) is not None:
            return [
                self._dispatcher.refuse(tracked, ErrorKind.CONVICTED, None)
            ]
        if not self._may_retry(now, tracked, end, delivered):
            return [self._final_answer(now, tracked, end, retry_after_ms)]
        if not self._state.fleet.serving(request.model):
            after_ms = self._state.model(request.model).retry_after(
                now, 0, self._state.rng
            )
            return [
                self._dispatcher.refuse(
                    tracked, ErrorKind.NO_ENDPOINT, after_ms
                )
            ]
        return self._dispatcher.place(now, tracked)

    def _may_retry(
        self,
        now: int,
        tracked: TrackedRequest,
        end: AttemptEnd,
        delivered: bool,
    ) -> bool:
        request = tracked.request
        if end is not AttemptEnd.NOT_RUN and (
            delivered or not request.may_repeat
        ):
            return False
        if tracked.attempts >= self._state.policy.attempts:
            return False
        endpoint = tracked.endpoint
        tracked.avoid |= {endpoint.endpoint_id}
        leaving = endpoint.state is EndpointState.GONE
        if end is AttemptEnd.NOT_RUN and leaving:
            return True
        if self._state.suspects.is_suspect(now, request.fingerprint):
            return True
        return self._state.budget.take(request.caller)

    def _final_answer(
        self,
        now: int,
        tracked: TrackedRequest,
        end: AttemptEnd,
        retry_after_ms: int | None,
    ) -> FailRequest:
        if tracked.ran is not Ran.NO and not tracked.request.may_repeat:
            return self._dispatcher.refuse(
                tracked, ErrorKind.OUTCOME_UNKNOWN, None
            )
        kind = ErrorKind.ENDPOINT_LOST
        if end is AttemptEnd.FAILED:
            kind = ErrorKind.ENDPOINT_FAILED
        elif end is AttemptEnd.NOT_RUN and retry_after_ms is not None:
            kind = ErrorKind.OVERLOADED
        state = self._state.model(tracked.request.model)
        after_ms = state.retry_after(now, retry_after_ms or 0, self._state.rng)
        return self._dispatcher.refuse(tracked, kind, after_ms)

    def count_crash(
        self,
        now: int,
        tracked: TrackedRequest,
        alongside: tuple[Fingerprint, ...],
    ) -> list[Decision]:
        """Count a crash once for each request that ran there.

        Requests that only waited at the agent end as not run and are not
        counted.
        """
        own = tracked.request.fingerprint
        crash_counted = tracked.endpoint.crash_counted
        ran = {own, *alongside}
        alone = tracked.alone and len(ran) == 1
        out: list[Decision] = []
        for fingerprint in sorted(ran - crash_counted):
            crash_counted.add(fingerprint)
            if self._state.suspects.crashed(now, fingerprint, alone):
                out += self._dispatcher.refuse_convicted(now, fingerprint)
        return out

    def count_loss(self, now: int, tracked: TrackedRequest) -> list[Decision]:
        """Count a loss of unknown cause as half a crash."""
        # An agent that dies with its engine can't report the crash. Two
        # such losses make a suspect.
        endpoint = tracked.endpoint
        fingerprint = tracked.request.fingerprint
        leaving = endpoint.loss is LossReason.LEAVING
        if leaving or fingerprint in endpoint.crash_counted:
            return []
        endpoint.crash_counted.add(fingerprint)
        if self._state.suspects.crashed(
            now, fingerprint, alone=tracked.alone, weight=0.5
        ):
            return self._dispatcher.refuse_convicted(now, fingerprint)
        return []
