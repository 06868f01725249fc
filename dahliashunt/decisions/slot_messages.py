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
    workspace : int
        Digest of the workspace's name; 0 for none.
    prompt_tokens, output_tokens : int
        Length of the prompt and stated maximum of the output; 0 if unknown.
    idle_only : bool
        Whether an online request must not revoke a batch item.
    """

    attempt_id: AttemptId
    run_id: RequestId
    requester: object
    use: Use
    wait_ms: int = 0
    slack_ms: int = 0
    rank: int = 0
    workspace: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    idle_only: bool = False


@dataclass(frozen=True, slots=True)
class SlotReply:
    """Verdict on an attempt, to be sent to `requester`.

    Attributes
    ----------
    attempt_id : AttemptId
    requester : object
    verdict : SlotDecision
    wait_ms : int
        For a refused request of a workspace, the expected wait by its place
        among the waiting; 0 if unknown.
    """

    attempt_id: AttemptId
    requester: object
    verdict: SlotDecision
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class Revoked:
    """Order to `requester` to stop its attempt and free the slot."""

    attempt_id: AttemptId
    requester: object


# One is made per state that is sent or received. A frozen one takes six times
# as long.
@dataclass(slots=True)
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
    token_us : int
        Time in microseconds that a running request takes for a token, as
        observed lately; 0 if unknown.
    read_tokens_per_ms : float
        Prompt tokens read per millisecond; 0 if unknown.
    waiting_tokens : int
        Prompt tokens of the queued requests and, as sent to entries, those
        that granted requests have yet to read.
    free_tokens : int
        Memory in tokens that no request holds; -1 if unknown.
    born_ms : int
        Wall-clock start of the replica, which identifies its incarnation; 0
        if unknown.
    batch_room : int
        Slots that batch items may take now; -1 if unknown.
    """

    slots: int
    online: int
    batch: int
    waiting: int
    wait_ms: int
    away: bool
    token_us: int = 0
    read_tokens_per_ms: float = 0.0
    waiting_tokens: int = 0
    free_tokens: int = -1
    born_ms: int = 0
    batch_room: int = -1

    @property
    def has_batch_room(self) -> bool:
        """Whether a batch item may get a slot, as far as slots decide."""
        if self.batch_room >= 0:
            return self.batch_room > 0
        return not self.away and self.online + self.batch < self.slots
