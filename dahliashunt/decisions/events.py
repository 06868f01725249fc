"""Input events and output decisions of the decision modules.

All types are plain data. ``now`` is the monotonic time of the deciding
process in milliseconds; work is measured in tokens.
"""

from dataclasses import dataclass
from dataclasses import field
import enum

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.ids import AttemptId
from dahliashunt.ids import CallerId
from dahliashunt.ids import DataCentreId
from dahliashunt.ids import EndpointId
from dahliashunt.ids import Fingerprint
from dahliashunt.ids import JobId
from dahliashunt.ids import ModelId
from dahliashunt.ids import RequestId

__all__ = [
    "AttemptEnd",
    "AttemptRequest",
    "CallerLimits",
    "Dispatch",
    "EndpointInfo",
    "EndpointReport",
    "FailRequest",
    "LossReason",
    "OnlineRequest",
    "Preempt",
    "PreemptMode",
    "Priority",
    "RefuseAttempt",
    "Start",
]


class Priority(enum.Enum):
    """Priority class of a request."""

    ONLINE = "online"
    BATCH = "batch"


class AttemptEnd(enum.Enum):
    """Outcome of an attempt, as far as the entry can know."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    CRASHED = "crashed"


class LossReason(enum.Enum):
    """Reason why an endpoint is unavailable."""

    CRASHED = "crashed"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"


class PreemptMode(enum.Enum):
    """Way in which a batch stream is preempted."""

    RESUME = "resume"
    EXPORT_KV = "export_kv"
    RESTART = "restart"


@dataclass(frozen=True, slots=True)
class OnlineRequest:
    """An authenticated and parsed online request.

    Attributes
    ----------
    prompt_tokens, max_tokens : int
        Estimated size of the prompt; maximum size of the answer.
    prefix_keys : tuple of int
        Hashes of the prompt's block prefixes, shortest first.
    first_token_by_ms : int
        Deadline of the first token, in monotonic time.
    may_repeat : bool
        Whether the call is idempotent.
    """

    request_id: RequestId
    caller: CallerId
    model: ModelId
    prompt_tokens: int
    max_tokens: int
    prefix_keys: tuple[int, ...]
    first_token_by_ms: int
    may_repeat: bool
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of one caller from its serving record.

    Attributes
    ----------
    weight : float
        Weight in fair queueing.
    tokens_a_second : int or None
        Hard limit on work, with a burst of `burst_s` seconds.
    """

    weight: float = 1.0
    tokens_a_second: int | None = None
    burst_s: float = 10.0


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """An endpoint that is reachable over a link."""

    endpoint_id: EndpointId
    data_centre: DataCentreId
    models: frozenset[ModelId]


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """An agent's report on its endpoint, `age_ms` old on arrival.

    `quarantined` means that a suspect runs there alone or waits to do so;
    other work should go elsewhere.
    """

    endpoint_id: EndpointId
    running_online: int
    running_batch: int
    waiting_online: int
    kv_used_tokens: int
    kv_total_tokens: int
    step_ms: float
    batch_room: int
    models: frozenset[ModelId]
    age_ms: int
    cached_prefixes: frozenset[int] = field(default_factory=frozenset)
    quarantined: bool = False


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to the endpoint now.

    `alone` marks a suspect, which must run without other work beside it.
    """

    request_id: RequestId
    endpoint_id: EndpointId
    alone: bool = False


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Answer the request with a final error now.

    `ran` says whether it may have run; `retry_after_ms` is None if a retry
    cannot succeed.
    """

    request_id: RequestId
    kind: ErrorKind
    ran: Ran
    retry_after_ms: int | None
    message: str


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """An attempt that an agent is asked to run."""

    attempt_id: AttemptId
    priority: Priority
    caller: CallerId
    prompt_tokens: int
    max_tokens: int
    start_by_ms: int
    may_repeat: bool
    alone: bool = False
    job_id: JobId | None = None
    done_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """Send the attempt to the engine now."""

    attempt_id: AttemptId
    how: PreemptMode | None = None


@dataclass(frozen=True, slots=True)
class RefuseAttempt:
    """Refuse the attempt now.

    `ran` is ``NO`` except for a preempted batch stream, which had started.
    """

    attempt_id: AttemptId
    kind: ErrorKind
    retry_after_ms: int
    ran: Ran = Ran.NO


@dataclass(frozen=True, slots=True)
class Preempt:
    """Stop a batch stream in the engine as given by `how`."""

    attempt_id: AttemptId
    how: PreemptMode
