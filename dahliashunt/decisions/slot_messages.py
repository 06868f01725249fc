"""What entries and the keeper of a replica's slots tell each other."""

from dataclasses import dataclass
import enum

from dahliashunt.ids import AttemptId
from dahliashunt.ids import RequestId

__all__ = ["Answered", "Ask", "KeeperState", "Revoked", "Use", "Verdict"]


class Use(enum.Enum):
    """What a slot is for."""

    ONLINE = "online"
    BATCH = "batch"


class Verdict(enum.Enum):
    """Answer to an ask."""

    GRANTED = "granted"
    QUEUED = "queued"
    FULL = "full"
    AWAY = "away"


@dataclass(frozen=True, slots=True)
class Ask:
    """An entry wants a slot.

    Attributes
    ----------
    attempt_id : AttemptId
    run_id : RequestId
        How the replica lists the request.
    asker : object
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
    asker: object
    use: Use
    wait_ms: int = 0
    slack_ms: int = 0
    rank: int = 0


@dataclass(frozen=True, slots=True)
class Answered:
    """Tell `asker` the verdict on its attempt."""

    attempt_id: AttemptId
    asker: object
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Revoked:
    """Tell `asker` to stop its attempt and make room."""

    attempt_id: AttemptId
    asker: object


@dataclass(frozen=True, slots=True)
class KeeperState:
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
