"""State of an endpoint, an engine or a plain service, at one entry."""

from dataclasses import dataclass
from dataclasses import field
import enum

from dahliashunt.decisions.events import LossReason
from dahliashunt.ids import DataCentreId
from dahliashunt.ids import EndpointId
from dahliashunt.ids import Fingerprint
from dahliashunt.ids import ModelId
from dahliashunt.ids import RequestId

__all__ = ["Endpoint", "EndpointState"]

_RESERVE_MIN_LIMIT = 4
"""Lowest limit at which places are reserved for callers under their share.

Several entries divide an endpoint's places: three before an endpoint of 20
have limits of six or seven, which must still reserve one."""

_RESERVED_FRACTION = 0.1
"""Reserved part of the limit; at least one place."""


class EndpointState(enum.Enum):
    """Availability of an endpoint for requests."""

    UP = "up"
    EJECTED = "ejected"
    PROBING = "probing"
    GONE = "gone"


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint as this entry sees it.

    Attributes
    ----------
    external_load : float
        Load by other entries and by batch work in the last report.
    first_token_ms : float
        Moving average of the time from dispatch to the first token.
    ms_per_token, pending_tokens : float
        Estimated prefill time per token; prompt tokens of requests that
        wait for their first token.
    reserved_by : RequestId or None
        Suspect that runs there alone.
    quarantined_until_ms : int
        Time until which its agent's report that a suspect is there counts;
        no request is sent there before.
    busy_until_ms : int
        Time before which no suspect is sent there.
    crash_counted : set of Fingerprint
        Fingerprints for which its last crash was already counted.
    """

    endpoint_id: EndpointId
    data_centre: DataCentreId
    models: frozenset[ModelId]
    limit: object
    id_hash: int
    sent_ms_by_request: dict[RequestId, int] = field(default_factory=dict)
    state: EndpointState = EndpointState.UP
    external_load: float = 0.0
    reported_ms: int | None = None
    first_token_ms: float = 0.0
    sampled_ms: int = 0
    reserved_by: RequestId | None = None
    back_off_until_ms: int = 0
    busy_until_ms: int = 0
    quarantined_until_ms: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    ms_per_token: float = 0.0
    pending_tokens: float = 0.0
    gone_ms: int = 0
    loss: LossReason | None = None
    crash_counted: set[Fingerprint] = field(default_factory=set)

    @property
    def in_flight(self) -> int:
        """Number of this entry's requests there."""
        return len(self.sent_ms_by_request)

    @property
    def pending_ms(self) -> float:
        """Estimated time of the pending prefills."""
        return self.pending_tokens * self.ms_per_token

    def is_open(self, now: int) -> bool:
        """Return whether it is up, not reserved and not backing off."""
        return (
            self.state is EndpointState.UP
            and self.reserved_by is None
            and now >= self.back_off_until_ms
        )

    def can_isolate(self, now: int) -> bool:
        """Return whether a suspect may be sent there to run alone."""
        return self.is_open(now) and now >= self.busy_until_ms

    def can_take(self, now: int, over_share: bool = False) -> bool:
        """Return whether one more request may be sent there now.

        The last places are reserved for callers under their share.
        """
        if self.reserved_by is not None or now < self.back_off_until_ms:
            return False
        if now < self.quarantined_until_ms:
            return False
        if self.state is EndpointState.UP:
            used = len(self.sent_ms_by_request)
            if over_share and self.limit.value >= _RESERVE_MIN_LIMIT:
                used += max(1.0, self.limit.value * _RESERVED_FRACTION)
            return self.limit.has_room(used) and self.limit.in_time(
                self.pending_ms
            )
        if self.state is EndpointState.PROBING:
            return not self.sent_ms_by_request
        return False
