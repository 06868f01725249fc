"""State of the endpoints at one entry: load, speed, failures, ejection.

Load pattern: an endpoint fails all requests at once, so that it always
looks idle and attracts the traffic.

Without it one failing endpoint uses up the retry budget, and its part of
the answers is lost.

Rules: several failures in a row eject an endpoint for a time that doubles
with each ejection; it returns on probe, with one request at a time (outlier
detection as in Envoy). The ejected part of a model's endpoints is capped,
since failures that all endpoints share say nothing about one; crashes
ignore the cap.

A gone endpoint comes back with `Fleet.add_endpoint`; a crashed one also with
a newer report that lists models, since its agent is still running.
"""

from heapq import nlargest
import zlib

from dahliashunt.decisions.endpoint import Endpoint
from dahliashunt.decisions.endpoint import EndpointState
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.events import EndpointInfo
from dahliashunt.decisions.events import EndpointReport
from dahliashunt.decisions.events import LossReason
from dahliashunt.decisions.overload import LIMITS
from dahliashunt.ids import DataCentreId
from dahliashunt.ids import EndpointId
from dahliashunt.ids import ModelId

__all__ = ["OVERHEAD_TOKENS", "Fleet"]

_EWMA_WEIGHT = 0.2
"""Weight of one new sample in a moving average."""

_FLEET_EWMA_WEIGHT = 0.05
"""Weight of one new sample in a mean over all endpoints."""

OVERHEAD_TOKENS = 300
"""Cost of network hops and one decode step, in prompt tokens."""

_RANKING_CACHE_SIZE = 4_096
"""Prefixes whose ranking is cached."""

_GONE_RETENTION_MS = 600_000
"""Time for which a gone endpoint is kept, for a later report."""


class Fleet:
    """Endpoints by id and by model, with ejection of failing ones."""

    def __init__(self, policy: EntryPolicy, data_centre: DataCentreId):
        self._policy = policy
        self.data_centre = data_centre
        self.by_id: dict[EndpointId, Endpoint] = {}
        self._local_by_model: dict[ModelId, list[Endpoint]] = {}
        self._remote_by_model: dict[ModelId, list[Endpoint]] = {}
        self._all_by_model: dict[ModelId, list[Endpoint]] = {}
        self._ranked_by_key: dict[tuple[ModelId, int], list[Endpoint]] = {}
        self.mean_external_load = 0.0
        self.limit_mean = float(policy.limit_initial)
        self.in_flight = 0
        self.probing_by_id: dict[EndpointId, Endpoint] = {}

    def add_endpoint(self, now: int, info: EndpointInfo) -> Endpoint:
        """Add an endpoint, update its models, or restore a gone one."""
        old = self.by_id.get(info.endpoint_id)
        endpoint = Endpoint(
            info.endpoint_id,
            info.data_centre,
            info.models,
            LIMITS.get(self._policy.limit)(self._policy),
            zlib.crc32(info.endpoint_id.encode()),
            ms_per_token=self._policy.prefill_ms_per_token,
        )
        if old is not None and old.state is not EndpointState.GONE:
            self._set_models(old, info.models)
            return old
        self.by_id[info.endpoint_id] = endpoint
        self._index()
        return endpoint

    def mark_gone(
        self, now: int, endpoint_id: EndpointId, loss: LossReason
    ) -> Endpoint | None:
        """Stop dispatching to an endpoint."""
        endpoint = self.by_id.get(endpoint_id)
        if endpoint is None:
            return None
        endpoint.state = EndpointState.GONE
        endpoint.gone_ms = now
        endpoint.loss = loss
        self.probing_by_id.pop(endpoint.endpoint_id, None)
        self._purge_gone(now)
        self._index()
        return endpoint

    def forget_if_idle(self, endpoint: Endpoint) -> None:
        """Drop a gone endpoint without requests in flight."""
        if (
            endpoint.state is EndpointState.GONE
            and endpoint.loss is not LossReason.CRASHED
            and not endpoint.in_flight
            and self.by_id.get(endpoint.endpoint_id) is endpoint
        ):
            del self.by_id[endpoint.endpoint_id]

    def report(self, now: int, report: EndpointReport) -> bool:
        """Apply a load report, corrected by requests sent since.

        Returns whether the served models changed. A newer report with
        models restores a crashed endpoint, whose agent is still running.
        """
        endpoint = self.by_id.get(report.endpoint_id)
        if endpoint is None:
            return False
        reported_at = now - report.age_ms
        if endpoint.state is EndpointState.GONE:
            restorable = endpoint.loss is LossReason.CRASHED and report.models
            if not restorable or reported_at <= endpoint.gone_ms:
                return False
            info = EndpointInfo(
                endpoint.endpoint_id, endpoint.data_centre, report.models
            )
            self.add_endpoint(now, info)
            return True
        if (
            endpoint.reported_ms is not None
            and reported_at < endpoint.reported_ms
        ):
            return False
        if report.running_online + report.waiting_online == 0:
            # Idle sooner than predicted; a remaining back-off would refuse
            # callers beside an idle endpoint.
            endpoint.back_off_until_ms = 0
            endpoint.busy_until_ms = 0
        endpoint.quarantined_until_ms = (
            reported_at + self._policy.report_stale_ms
            if report.quarantined
            else 0
        )
        own = sum(
            1
            for sent in endpoint.sent_ms_by_request.values()
            if sent <= reported_at
        )
        load = report.running_online + report.waiting_online
        endpoint.external_load = float(max(0, load - own))
        endpoint.reported_ms = reported_at
        deviation = endpoint.external_load - self.mean_external_load
        self.mean_external_load += _FLEET_EWMA_WEIGHT * deviation
        return self._set_models(endpoint, report.models)

    def serving(self, model: ModelId) -> list[Endpoint]:
        """Return the endpoints that serve `model`."""
        return self._all_by_model.get(model, [])

    def ranked(self, model: ModelId, key: int) -> list[Endpoint]:
        """Return the first two endpoints for `key` by rendezvous hashing.

        The hash of a tuple of integers is the same in every process, so
        that all entries agree.
        """
        ranking = self._ranked_by_key.get((model, key))
        if ranking is None:
            serving = self.serving(model)
            if len(self._ranked_by_key) >= _RANKING_CACHE_SIZE:
                self._ranked_by_key.clear()
            ranking = nlargest(
                2, serving, key=lambda e: hash((e.id_hash, key))
            )
            self._ranked_by_key[(model, key)] = ranking
        return ranking

    def local(self, model: ModelId) -> list[Endpoint]:
        """Return the endpoints of `model` in the entry's data centre."""
        return self._local_by_model.get(model, [])

    def remote(self, model: ModelId) -> list[Endpoint]:
        """Return the endpoints of `model` in other data centres."""
        return self._remote_by_model.get(model, [])

    def load(self, now: int, endpoint: Endpoint) -> float:
        """Return own requests in flight plus external load.

        A stale report is replaced by the fleet's mean, so that a silent
        endpoint doesn't look idle.
        """
        reported = endpoint.reported_ms
        stale = self._policy.report_stale_ms
        if reported is None or now - reported > stale:
            return len(endpoint.sent_ms_by_request) + self.mean_external_load
        return len(endpoint.sent_ms_by_request) + endpoint.external_load

    def first_token(
        self,
        now: int,
        endpoint: Endpoint,
        ms: float,
        pending_tokens: float,
        target_ms: float,
    ) -> None:
        """Update speed and limit by the time to a first token.

        `pending_tokens` are those at dispatch, the own prompt included.
        """
        speed = ms / (pending_tokens + OVERHEAD_TOKENS)
        endpoint.ms_per_token += _EWMA_WEIGHT * (speed - endpoint.ms_per_token)
        endpoint.limit.sample(now, ms, target_ms, endpoint.in_flight)
        old = endpoint.first_token_ms
        endpoint.first_token_ms = (
            old + _EWMA_WEIGHT * (ms - old) if old else ms
        )
        endpoint.sampled_ms = now
        deviation = endpoint.limit.value - self.limit_mean
        self.limit_mean += _FLEET_EWMA_WEIGHT * deviation

    def succeeded(self, endpoint: Endpoint) -> None:
        """Record a successful attempt; end a probe."""
        endpoint.failures = 0
        if endpoint.state is EndpointState.PROBING:
            endpoint.state = EndpointState.UP
            endpoint.ejections = 0
            self.probing_by_id.pop(endpoint.endpoint_id, None)

    def failed(self, now: int, endpoint: Endpoint) -> None:
        """Record a failed attempt; eject after several in a row."""
        endpoint.failures += 1
        probing = endpoint.state is EndpointState.PROBING
        too_many = endpoint.failures >= self._policy.eject_failures
        if endpoint.state is EndpointState.GONE or not (probing or too_many):
            return
        if probing or self._ejection_allowed(endpoint):
            self._eject(now, endpoint)

    def crashed(self, now: int, endpoint: Endpoint) -> None:
        """Record a crash; eject at once, regardless of the cap."""
        if endpoint.state is not EndpointState.GONE:
            self._eject(now, endpoint)

    def start_probes(self, now: int) -> None:
        """Put endpoints on probe whose ejection is over."""
        for endpoint in self.by_id.values():
            if (
                endpoint.state is EndpointState.EJECTED
                and endpoint.ejected_until_ms <= now
            ):
                endpoint.state = EndpointState.PROBING
                endpoint.crash_counted = set()
                self.probing_by_id[endpoint.endpoint_id] = endpoint

    def next_probe_ms(self) -> int | None:
        """Return the time of the next probe, or None."""
        return min(
            (
                endpoint.ejected_until_ms
                for endpoint in self.by_id.values()
                if endpoint.state is EndpointState.EJECTED
            ),
            default=None,
        )

    def _purge_gone(self, now: int) -> None:
        # Crashed endpoints are kept for a report that restores them, but
        # ids of replaced instances must not accumulate.
        for endpoint in list(self.by_id.values()):
            if (
                endpoint.state is EndpointState.GONE
                and now - endpoint.gone_ms > _GONE_RETENTION_MS
                and not endpoint.in_flight
            ):
                del self.by_id[endpoint.endpoint_id]

    def _ejection_allowed(self, endpoint: Endpoint) -> bool:
        for model in endpoint.models:
            serving = self.serving(model)
            unavailable = sum(
                1 for e in serving if e.state is not EndpointState.UP
            )
            if unavailable + 1 > self._policy.eject_part * len(serving):
                return False
        return True

    def _eject(self, now: int, endpoint: Endpoint) -> None:
        policy = self._policy
        ejected_for_ms = min(
            policy.eject_max_ms, policy.eject_ms << endpoint.ejections
        )
        self.probing_by_id.pop(endpoint.endpoint_id, None)
        endpoint.state = EndpointState.EJECTED
        endpoint.ejected_until_ms = now + ejected_for_ms
        endpoint.ejections = min(endpoint.ejections + 1, 10)
        endpoint.failures = 0

    def _set_models(
        self, endpoint: Endpoint, models: frozenset[ModelId]
    ) -> bool:
        if models == endpoint.models:
            return False
        endpoint.models = models
        self._index()
        return True

    def _index(self) -> None:
        self._all_by_model = {}
        self._local_by_model = {}
        self._remote_by_model = {}
        for endpoint in self.by_id.values():
            if endpoint.state is EndpointState.GONE:
                continue
            is_local = endpoint.data_centre == self.data_centre
            by_model = (
                self._local_by_model if is_local else self._remote_by_model
            )
            for model in endpoint.models:
                by_model.setdefault(model, []).append(endpoint)
                self._all_by_model.setdefault(model, []).append(endpoint)
        self._ranked_by_key = {}
