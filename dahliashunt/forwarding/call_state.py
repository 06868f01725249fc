"""State of a call over its attempts."""

from dataclasses import dataclass
import enum

from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.forwarding.answer_room import GrowingHold
from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.catalog import Route
from dahliashunt.ids import SoftwareVersion

__all__ = ["AttemptEnd", "CallState", "HeldResponse"]


class AttemptEnd(enum.Enum):
    """How an attempt at one replica ended."""

    SERVED = "served"
    NOT_RUN = "not_run"
    """The replica reported it as not run, or no connection was made."""

    NO_CONNECTION = "no_connection"
    """This node may open no more connections; nothing was sent."""

    FAILED = "failed"
    """The replica ran it and returned a server error."""

    LOST = "lost"
    """The connection broke; whether the call completed is unknown."""

    UNUSABLE = "unusable"
    """The response can't be passed on, as it is not the replica's, exceeds a
    bound, or does not continue the stream that has started."""

    UNREAD = "unread"
    """The response broke off after the caller had not read it for a while."""

    SILENT = "silent"
    """Abandoned for another replica that is already reserved."""

    TIMED_OUT = "timed_out"


@dataclass(frozen=True, slots=True)
class HeldResponse:
    """A replica's error response, relayed if no attempt succeeds."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class CallState:
    """One call over all its attempts.

    Attributes
    ----------
    call : Call
    route : Route
    deadline_ms : int
        End of the budget, the shorter of the caller's and the route's.
    ran : int
        Number of replicas that may have run it.
    started : bool
        Whether the response head was sent to the caller.
    last_event : int
        Id of the last event that was relayed.
    version : SoftwareVersion or None
        Software version that the stream's events come from; None before its
        first event.
    first_ms : int
        Time from arrival to the response head.
    sent_budget_ms : int
        Time that the latest attempt handed on to its replica.
    held : HeldResponse or None
    on_trial : bool
        Whether the attempt in progress is the only run of its request.
    is_rejected : bool
        Whether the replica answered with a client error.
    is_too_large : bool
        Whether a replica refused the call as too large, without a run.
    room : GrowingHold
        Memory for what is held of the responses.
    """

    call: Call
    route: Route
    deadline_ms: int
    room: GrowingHold
    ran: int = 0
    started: bool = False
    last_event: int = 0
    version: SoftwareVersion | None = None
    first_ms: int = 0
    sent_budget_ms: int = 0
    held: HeldResponse | None = None
    on_trial: bool = False
    is_rejected: bool = False
    is_too_large: bool = False

    @property
    def may_retry(self) -> bool:
        """Whether another replica may run the call."""
        return self.route.repeatable and self.ran < self.route.max_attempts
