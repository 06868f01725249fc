"""Which endpoints may be used, and what is known of each.

Part of the dispatcher's task. An endpoint may be unusable for several
reasons at once, told by different ways that lag differently: its agent's
notice, the instance list, an operator's drain, a link that is down. It is
used again only when the last of them is gone.
"""

from dataclasses import dataclass
from dataclasses import field
import enum

from dahliashunt.adapters.wire.gen.link.ttypes import LoadReport
from dahliashunt.decisions.batch_placement import BatchPlacement
from dahliashunt.decisions.events import EndpointInfo
from dahliashunt.decisions.events import EndpointReport
from dahliashunt.decisions.events import LossReason
from dahliashunt.entry.agent_link import AgentLink
from dahliashunt.ids import EndpointId
from dahliashunt.ids import ModelId

__all__ = ["Endpoint", "EndpointBook", "Unusable", "models_of"]


class Unusable(enum.Enum):
    """Why an endpoint gets no new work."""

    CUT = "cut"
    DOWN = "down"
    LEAVING = "leaving"
    LISTED_LEAVING = "listed_leaving"
    DRAINED = "drained"


_LOSS_BY_REASON = {
    Unusable.CUT: LossReason.UNREACHABLE,
    Unusable.DOWN: LossReason.UNREACHABLE,
    Unusable.LEAVING: LossReason.LEAVING,
    Unusable.LISTED_LEAVING: LossReason.LEAVING,
    Unusable.DRAINED: LossReason.LEAVING,
}


@dataclass(slots=True)
class Endpoint:
    """One endpoint, as its agent's link tells of it."""

    link: AgentLink
    info: EndpointInfo
    service_name: str | None
    program_version: str
    weight_bytes: int
    load: LoadReport
    report: EndpointReport | None = None
    reasons: set[Unusable] = field(default_factory=set)

    @property
    def is_usable(self) -> bool:
        """Whether new work may go there."""
        return not self.reasons

    @property
    def state(self) -> str:
        """The state, for operators."""
        if not self.reasons:
            return "up"
        return "+".join(sorted(reason.value for reason in self.reasons))


class EndpointBook:
    """Endpoints by id; tells the decisions which may be used.

    Parameters
    ----------
    decisions : EntryDecisions
    places : BatchPlacement
    log : structlog logger
    """

    def __init__(self, decisions, places: BatchPlacement, log):
        self.by_id: dict[EndpointId, Endpoint] = {}
        self._decisions = decisions
        self._places = places
        self._log = log
        self._drained = frozenset()
        self._listed_leaving = frozenset()

    def link_of(self, endpoint_id: EndpointId) -> AgentLink | None:
        """Return the link to an endpoint's agent, if one was ever up."""
        endpoint = self.by_id.get(endpoint_id)
        return None if endpoint is None else endpoint.link

    def link_up(self, now: int, link: AgentLink, hello) -> list:
        """Take a new connection's greeting."""
        service_name = hello.service_name
        info = EndpointInfo(
            link.endpoint_id,
            hello.data_centre,
            models_of(service_name, hello.load),
        )
        reasons = set()
        if hello.leaving:
            reasons.add(Unusable.LEAVING)
        if link.endpoint_id in self._drained:
            reasons.add(Unusable.DRAINED)
        if link.endpoint_id in self._listed_leaving:
            reasons.add(Unusable.LISTED_LEAVING)
        endpoint = Endpoint(
            link,
            info,
            service_name,
            hello.program_version,
            hello.weight_bytes or 0,
            hello.load,
            reasons=reasons,
        )
        self.by_id[link.endpoint_id] = endpoint
        if reasons:
            self._places.gone(link.endpoint_id)
            return self._decisions.endpoint_gone(
                now, link.endpoint_id, LossReason.LEAVING
            )
        self._log.info("endpoint_up", endpoint=link.endpoint_id)
        decided = self._decisions.endpoint_up(now, info)
        return decided + self.report(now, link, hello.load)

    def report(self, now: int, link: AgentLink, load) -> list:
        """Take an agent's load report."""
        endpoint = self.by_id.get(link.endpoint_id)
        if endpoint is None or load is None:
            return []
        endpoint.load = load
        endpoint.report = _report_of(endpoint, load)
        if not endpoint.is_usable:
            # What runs there still is no reason to send more.
            return []
        self._places.report(endpoint.report)
        return self._decisions.report(now, endpoint.report)

    def mark(self, now: int, endpoint_id, reason: Unusable) -> list:
        """Send no new work to an endpoint."""
        endpoint = self.by_id.get(endpoint_id)
        if endpoint is None or reason in endpoint.reasons:
            return []
        was_usable = endpoint.is_usable
        endpoint.reasons.add(reason)
        self._log.info(
            "endpoint_unusable", endpoint=endpoint_id, reason=reason.value
        )
        if not was_usable and reason is not Unusable.DOWN:
            return []
        self._places.gone(endpoint_id)
        return self._decisions.endpoint_gone(
            now, endpoint_id, _LOSS_BY_REASON[reason]
        )

    def unmark(self, now: int, endpoint_id, reason: Unusable) -> list:
        """Take a reason back; use the endpoint again if it was the last."""
        endpoint = self.by_id.get(endpoint_id)
        if endpoint is None or reason not in endpoint.reasons:
            return []
        endpoint.reasons.discard(reason)
        if not endpoint.is_usable:
            return []
        self._log.info("endpoint_up", endpoint=endpoint_id)
        decided = self._decisions.endpoint_up(now, endpoint.info)
        if endpoint.report is not None:
            self._places.report(endpoint.report)
            decided += self._decisions.report(now, endpoint.report)
        return decided

    def drains(self, now: int, drained: frozenset) -> list:
        """Take the drains that the records in force order."""
        before, self._drained = self._drained, drained
        return self._changed(now, before, drained, Unusable.DRAINED)

    def listed_leaving(self, now: int, leaving: frozenset) -> list:
        """Take what the instance list calls leaving."""
        before, self._listed_leaving = self._listed_leaving, leaving
        return self._changed(now, before, leaving, Unusable.LISTED_LEAVING)

    def _changed(self, now, before, after, reason):
        decided = []
        for endpoint_id in sorted(after - before):
            decided += self.mark(now, endpoint_id, reason)
        for endpoint_id in sorted(before - after):
            decided += self.unmark(now, endpoint_id, reason)
        return decided

    def forget(self, link: AgentLink) -> None:
        """Forget an endpoint whose link was stopped."""
        if self.link_of(link.endpoint_id) is link:
            del self.by_id[link.endpoint_id]


def models_of(service_name: str | None, load) -> frozenset[ModelId]:
    """Return the models that an endpoint serves, as its engine reports.

    A plain service is routed like a model of its own.
    """
    if service_name:
        return frozenset((ModelId(f"service:{service_name}"),))
    return frozenset(load.models if load is not None else ())


def _report_of(endpoint, load):
    return EndpointReport(
        endpoint_id=endpoint.link.endpoint_id,
        running_online=load.running_online,
        running_batch=load.running_batch,
        waiting_online=load.waiting_online,
        kv_used_tokens=load.kv_used_tokens,
        kv_total_tokens=load.kv_total_tokens,
        step_ms=load.step_ms,
        batch_room=load.batch_room,
        models=models_of(endpoint.service_name, load),
        age_ms=load.age_ms,
        cached_prefixes=frozenset(load.cached_prefixes or ()),
    )
