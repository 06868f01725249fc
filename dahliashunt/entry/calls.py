"""What an entry holds of each request and attempt in flight."""

from dataclasses import dataclass
from dataclasses import field
import enum

from dahliashunt.adapters.wire.gen.link.ttypes import Open
from dahliashunt.decisions.events import CallerLimits
from dahliashunt.decisions.events import OnlineRequest
from dahliashunt.entry.agent_link import AgentLink
from dahliashunt.errors import RequestError
from dahliashunt.ids import AttemptId
from dahliashunt.ids import EndpointId
from dahliashunt.ids import RequestId
from dahliashunt.mailbox import Mailbox
from dahliashunt.online.answer import Answer

__all__ = [
    "Attempt",
    "BatchCall",
    "CallState",
    "Failed",
    "Finished",
    "OnlineCall",
    "Piece",
]


class CallState(enum.Enum):
    """Where an online request stands."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Piece:
    """Some of the answer, to be passed on at once."""

    data: bytes
    events: int
    status: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Finished:
    """The answer is whole; `pieces` holds it unless it was streamed."""

    pieces: list[bytes]
    status: int
    headers: dict[str, str]
    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ends in an error."""

    error: RequestError


@dataclass(slots=True)
class OnlineCall:
    """An online request, from its arrival to its answer.

    Attributes
    ----------
    opening : Open
        The frame to send, but for its attempt id.
    streamed : bool
        Whether pieces are passed on as they come.
    replies : Mailbox
        Gets `Piece`, then one `Finished` or `Failed`.
    unread_bytes : int
        Passed on but not yet taken by the caller.
    paused : bool
        The caller reads so slowly that events were let fall; they are
        asked for again once it has caught up.
    """

    request: OnlineRequest
    opening: Open
    streamed: bool
    limits: CallerLimits
    replies: Mailbox = field(default_factory=Mailbox)
    state: CallState = CallState.WAITING
    attempt_id: AttemptId | None = None
    pieces: list[bytes] = field(default_factory=list)
    got_token: bool = False
    delivered: bool = False
    unread_bytes: int = 0
    paused: bool = False
    last_error: str = ""

    @property
    def request_id(self) -> RequestId:
        """The request's id."""
        return self.request.request_id


@dataclass(slots=True)
class BatchCall:
    """One batch item at an endpoint; `replies` gets its end."""

    request_id: RequestId
    opening: Open
    replies: Mailbox = field(default_factory=Mailbox)
    pieces: list[bytes] = field(default_factory=list)
    attempt_id: AttemptId | None = None


@dataclass(slots=True)
class Attempt:
    """One attempt in flight, as the entry sees it.

    Attributes
    ----------
    incarnation : int
        Of the agent to which it was sent.
    asked_at : int or None
        The event from which it was last asked to go on, while no answer
        to that has come.
    """

    attempt_id: AttemptId
    call: OnlineCall | BatchCall
    link: AgentLink
    incarnation: int
    answer: Answer = field(default_factory=Answer)
    asked_at: int | None = None
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    fruitless: int = 0
