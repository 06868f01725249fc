"""One endpoint as one entry sees it."""

from dataclasses import dataclass
from dataclasses import field
import enum

from dahliashunt.decisions.events import Loss
from dahliashunt.ids import DataCentreId
from dahliashunt.ids import EndpointId
from dahliashunt.ids import Fingerprint
from dahliashunt.ids import ModelId
from dahliashunt.ids import RequestId

__all__ = ["Endpoint", "EndpointState"]

_RESERVE_MIN_LIMIT = 4
"""Limit from which places are kept for callers under their share.

Each of several entries has its part of an endpoint's places: three before
endpoints of 20 have limits of six or seven, and with a higher bound none of
them would keep a place.
"""

_RESERVED_FRACTION = 0.1
"""Part of the places that is kept for them, one at least."""


class EndpointState(enum.Enum):
    """Whether an endpoint is given work."""

    UP = "up"
    EJECTED = "ejected"
    PROBING = "probing"
    GONE = "gone"


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint as this entry sees it.

    Attributes
    ----------
    others : float
        Load by other entries and batch at the time of the last report.
    first_token_ms : float
        Moving average of the time from dispatch to the first token.
    ms_per_token, pending_tokens : float
        Learned speed of prefill; tokens sent there whose first token
        has not come.
    reserved_by : RequestId or None
        The suspect that runs there alone.
    busy_until_ms : int
        Until when no suspect is sent there: other work held one up.
    blamed : set of Fingerprint
        Those to which its last crash was counted.
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
    loss: Loss | None = None
    crash_counted: set[Fingerprint] = field(default_factory=set)

    @property
    def in_flight(self) -> int:
        """Return how many requests this entry has there."""
        return len(self.sent_ms_by_request)

    @property
    def pending_ms(self) -> float:
        """Return how long the prefills that are pending there take."""
        return self.pending_tokens * self.ms_per_token

    def is_open(self, now: int) -> bool:
        """Tell whether it is up and not kept for a suspect."""
        return (
            self.state is EndpointState.UP
            and self.reserved_by is None
            and now >= self.back_off_until_ms
        )

    def can_isolate(self, now: int) -> bool:
        """Tell whether a suspect may be sent there to run alone."""
        return self.is_open(now) and now >= self.busy_until_ms

    def can_take(self, now: int, over_share: bool = False) -> bool:
        """Tell whether one more may be sent there now.

        The last places are kept from callers over their share.
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
