"""What an entry measures of its online requests."""

from collections.abc import Callable

from dahliashunt.entry.calls import OnlineCall
from dahliashunt.errors import RequestError
from dahliashunt.metrics import Metrics
from dahliashunt.ports.clock import Clock
from dahliashunt.report.objectives import OBJECTIVES
from dahliashunt.report.objectives import Sli
from dahliashunt.report.objectives import UNCOUNTED
from dahliashunt.report.ring import BurnRing

__all__ = ["Measures"]


class Measures:
    """Counts and latencies by caller, model and endpoint.

    Parameters
    ----------
    metrics : Metrics
    clock : Clock
        Its wall clock numbers the buckets of `ring`.

    Attributes
    ----------
    ring : BurnRing
        Good and bad events by objective.
    endpoint_of : callable
        Returns the endpoint at which a call runs, or an empty string.
    """

    def __init__(self, metrics: Metrics, clock: Clock):
        self.metrics = metrics
        self.ring = BurnRing()
        self.endpoint_of: Callable[[OnlineCall], str] = _unknown
        self._clock = clock
        self._endpoint_by_id: dict[str, str] = {}
        self._arrived_ms_by_id: dict[str, int] = {}
        self._last_token_ms_by_id: dict[str, int] = {}

    def arrived(self, call: OnlineCall, now: int) -> None:
        """Note the arrival of a request."""
        self._arrived_ms_by_id[call.request_id] = now
        self.metrics.count("requests", model=call.request.model)

    def tokens(self, call: OnlineCall, now: int, events: int) -> None:
        """Note events of an answer; the first is the first token.

        A read may bring several events; the time since the last read is
        shared among them, so that a gap counts once an event.
        """
        model = call.request.model
        self.metrics.count("events", events, model=model)
        last = self._last_token_ms_by_id.get(call.request_id)
        self._last_token_ms_by_id[call.request_id] = now
        if last is None:
            arrived = self._arrived_ms_by_id.get(call.request_id, now)
            self.metrics.observe_ms("first_token", now - arrived, model=model)
            self._endpoint_by_id[call.request_id] = self.endpoint_of(call)
            self._judge(Sli.FIRST_TOKEN, call.request, now - arrived, 1)
            return
        gap_ms = (now - last) // events
        self.metrics.observe_ms("token_gap", gap_ms, model=model)
        self._judge(Sli.TOKEN_GAP, call.request, gap_ms, events)

    def answered(self, call: OnlineCall, now: int) -> None:
        """Note that a request was answered whole."""
        self.metrics.count("answered", model=call.request.model)
        arrived = self._arrived_ms_by_id.get(call.request_id, now)
        self.metrics.observe_ms(
            "request", now - arrived, model=call.request.model
        )
        self._count(Sli.AVAILABILITY, call.request, 1, 0)
        self._forget(call.request_id)

    def refused(self, request, error: RequestError) -> None:
        """Note that a request ended in an error."""
        self.metrics.count(
            "refused",
            model=request.model,
            kind=error.kind.value,
            ran=error.ran.value,
        )
        if error.kind not in UNCOUNTED:
            self._count(Sli.AVAILABILITY, request, 0, 1)
        self._forget(request.request_id)

    def gone(self, request) -> None:
        """Note that a caller went away."""
        self.metrics.count("caller_gone", model=request.model)
        self._forget(request.request_id)

    def _judge(self, sli, request, taken_ms, events):
        good = taken_ms <= OBJECTIVES[sli].within_ms
        self._count(sli, request, events * good, events * (not good))

    def _count(self, sli, request, good, bad):
        endpoint = self._endpoint_by_id.get(request.request_id, "")
        names = (request.caller, request.model, endpoint)
        self.ring.add(self._clock.wall_ms(), sli, good, bad, names)

    def _forget(self, request_id):
        self._endpoint_by_id.pop(request_id, None)
        self._arrived_ms_by_id.pop(request_id, None)
        self._last_token_ms_by_id.pop(request_id, None)


def _unknown(call):
    return ""
