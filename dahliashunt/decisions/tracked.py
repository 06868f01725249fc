"""An accepted request and its state."""

from dataclasses import dataclass
import enum

from dahliashunt.decisions.endpoint import Endpoint
from dahliashunt.decisions.events import OnlineRequest
from dahliashunt.decisions.queueing import Waiting
from dahliashunt.errors import Ran
from dahliashunt.ids import EndpointId

__all__ = ["Phase", "TrackedRequest"]


class Phase(enum.Enum):
    """State of an accepted request."""

    WAITING = "waiting"
    SUSPECT = "suspect"
    RUNNING = "running"


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """An accepted request and its accounting.

    Attributes
    ----------
    cost, charged_tokens : float
        Charges to its caller's share and to its caller's hard limit.
    tag : float or None
        Position in the fair order, set at its first wait or dispatch.
    uncached_tokens, prefill_tokens : float
        Uncached prompt tokens; the same until the first token, then 0.
    pending_at_dispatch : float
        Pending prompt tokens of the endpoint at dispatch, own included.
    ran : Ran
        Whether any of its attempts may have run.
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
