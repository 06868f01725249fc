"""One accepted request, and where it is."""

from dataclasses import dataclass
import enum

from dahliashunt.decisions.endpoint import Endpoint
from dahliashunt.decisions.events import OnlineRequest
from dahliashunt.decisions.queueing import Waiting
from dahliashunt.errors import Ran
from dahliashunt.ids import EndpointId

__all__ = ["Phase", "TrackedRequest"]


class Phase(enum.Enum):
    """Where an accepted request is."""

    WAITING = "waiting"
    SUSPECT = "suspect"
    RUNNING = "running"


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """One accepted request.

    Attributes
    ----------
    cost, taken : float
        Charged to its caller's share, and to its caller's hard limit.
    tag : float or None
        Its place among callers, given at its first wait or dispatch.
    uncached, pending, pending_with : float
        Uncached tokens of its prompt; the same while its first token is
        awaited, else 0; the same with those that were ahead of it.
    ran : Ran
        What can be said of all its attempts so far.
    """

    request: OnlineRequest
    cost: float
    weight: float
    charged_tokens: float = 0.0
    tag: float | None = None
    phase: Phase = Phase.WAITING
    waiting: Waiting | None = None
    suspect_since_ms: int = 0
    endpoint: Endpoint | None = None
    sent_ms: int = 0
    alone: bool = False
    attempts: int = 0
    times_overtaken: int = 0
    tokens: int = 0
    uncached_tokens: float = 0.0
    prefill_tokens: float = 0.0
    pending_at_dispatch: float = 0.0
    first_token: bool = False
    avoid: frozenset[EndpointId] = frozenset()
    ran: Ran = Ran.NO
    caller_gone: bool = False
