"""What entries and the keeper of a replica's slots tell each other."""

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
    """What a slot is for."""

    ONLINE = "online"
    BATCH = "batch"


class SlotDecision(enum.Enum):
    """Answer to an ask."""

    GRANTED = "granted"
    QUEUED = "queued"
    FULL = "full"
    AWAY = "away"


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """An entry wants a slot.

    Attributes
    ----------
    attempt_id : AttemptId
    run_id : RequestId
        How the replica lists the request.
    requester : object
        Where answers go; compared only.
    use : Use
    wait_ms : int
        How long an online request would wait here.
    slack_ms : int
        Of a batch item: time until it is due. Of an online request: how
        long it may wait and still be in time, 0 if it can't be.
    rank : int
        Of an online request; 0 is the most urgent.
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
    """Tell `requester` the verdict on its attempt."""

    attempt_id: AttemptId
    requester: object
    verdict: SlotDecision


@dataclass(frozen=True, slots=True)
class Revoked:
    """Tell `requester` to stop its attempt and make room."""

    attempt_id: AttemptId
    requester: object


@dataclass(frozen=True, slots=True)
class AllocatorState:
    """What entries are told of one replica.

    Attributes
    ----------
    slots, online, batch, waiting : int
    wait_ms : int
        Expected wait of one more online request.
    away : bool
    """

    slots: int
    online: int
    batch: int
    waiting: int
    wait_ms: int
    away: bool
