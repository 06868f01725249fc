"""What follows the end of an attempt: done, again, or the final answer."""

from dahliashunt.decisions.dispatcher import Decision
from dahliashunt.decisions.dispatcher import Dispatcher
from dahliashunt.decisions.endpoint import Endpoint
from dahliashunt.decisions.endpoint import EndpointState
from dahliashunt.decisions.entry_state import EntryState
from dahliashunt.decisions.events import AttemptEnd
from dahliashunt.decisions.events import GiveUp
from dahliashunt.decisions.events import Loss
from dahliashunt.decisions.tracked import TrackedRequest
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.ids import Fingerprint

__all__ = ["AttemptEnds"]


class AttemptEnds:
    """Learn from an attempt's end and decide what follows."""

    def __init__(self, state: EntryState, dispatcher: Dispatcher):
        self._state = state
        self._dispatcher = dispatcher

    def done(self, now: int, tracked: TrackedRequest) -> None:
        """Learn from an attempt that ended well, and forget it."""
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
        """Learn from the time to a first token.

        It is late by what its prompt takes with no load. The caller's
        own time is no measure: with that of a patient one an engine's
        queue would grow past what the others can wait.
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
        """Learn of the endpoint from an attempt that failed there."""
        if end is AttemptEnd.NOT_RUN and alone:
            # A suspect is turned away where anything else runs. Taken for
            # overload, that would refuse innocent callers beside an
            # endpoint with room; it bears only on the next suspect.
            endpoint.busy_until_ms = now + (retry_after_ms or 0)
            return
        if end is AttemptEnd.NOT_RUN and retry_after_ms is not None:
            # The time fits the refused request, not all others: kept for
            # long it would leave free places unused under saturation.
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
        """Try again elsewhere, or give the final answer."""
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
            after = self._state.model(request.model).retry_after(
                now, 0, self._state.rng
            )
            return [
                self._dispatcher.refuse(tracked, ErrorKind.NO_ENDPOINT, after)
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
    ) -> GiveUp:
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
        after = state.retry_after(now, retry_after_ms or 0, self._state.rng)
        return self._dispatcher.refuse(tracked, kind, after)

    def count_crash(
        self,
        now: int,
        tracked: TrackedRequest,
        alongside: tuple[Fingerprint, ...],
    ) -> list[Decision]:
        """Count a crash for all that ran there, once for each.

        Only what the ends and the agent say is counted: a request that
        waited at the agent ends as not run and is under no suspicion.
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
        # An agent that dies with its engine can't say that it crashed:
        # the link just breaks. Two such losses make a suspect.
        endpoint = tracked.endpoint
        fingerprint = tracked.request.fingerprint
        leaving = endpoint.loss is Loss.LEAVING
        if leaving or fingerprint in endpoint.crash_counted:
            return []
        endpoint.crash_counted.add(fingerprint)
        if self._state.suspects.crashed(
            now, fingerprint, alone=tracked.alone, weight=0.5
        ):
            return self._dispatcher.refuse_convicted(now, fingerprint)
        return []
