"""Messages between entries and the agent that grants a replica's slots."""

from dataclasses import dataclass
import enum

from dahliashunt.ids import AttemptId
from dahliashunt.ids import RequestId

__all__ = [
    "AllocatorState",
    "Revoked",
    "SlotDecision",
    "SlotReply",
    "SlotRequest",
    "Use",
]


class Use(enum.Enum):
    """Kind of work that a slot is requested for."""

    ONLINE = "online"
    BATCH = "batch"


class SlotDecision(enum.Enum):
    """Answer to a request for a slot."""

    GRANTED = "granted"
    QUEUED = "queued"
    FULL = "full"
    AWAY = "away"


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Request of an entry for a slot.

    Attributes
    ----------
    attempt_id : AttemptId
    run_id : RequestId
        Id under which the replica lists the request.
    requester : object
        Address for the answers; only compared.
    use : Use
    wait_ms : int
        Longest time an online request waits in the queue.
    slack_ms : int
        For a batch item, the time until it is due. For an online request,
        the longest wait that meets its deadline; 0 if none does.
    rank : int
        Priority of an online request; 0 is the most urgent.
    """

    attempt_id: AttemptId
    run_id: RequestId
    requester: object
    use: Use
    wait_ms: int = 0
    slack_ms: int = 0
    rank: int = 0


@dataclass(frozen=True, slots=True)
class SlotReply:
    """Verdict on an attempt, to be sent to `requester`."""

    attempt_id: AttemptId
    requester: object
    verdict: SlotDecision


@dataclass(frozen=True, slots=True)
class Revoked:
    """Order to `requester` to stop its attempt and free the slot."""

    attempt_id: AttemptId
    requester: object


@dataclass(frozen=True, slots=True)
class AllocatorState:
    """State of one replica's slots, as sent to entries.

    Attributes
    ----------
    slots, online, batch, waiting : int
        Slots in all, slots held by online requests and by batch items, and
        queued online requests.
    wait_ms : int
        Expected wait of one more online request.
    away : bool
        Whether the replica is unavailable.
    """

    slots: int
    online: int
    batch: int
    waiting: int
    wait_ms: int
    away: bool
