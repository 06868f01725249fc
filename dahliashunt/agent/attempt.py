"""One attempt inside an agent, from its opening to its outcome."""

from dataclasses import dataclass
import enum

from dahliashunt.adapters.wire.gen.link.ttypes import End
from dahliashunt.adapters.wire.gen.link.ttypes import Open
from dahliashunt.adapters.wire.gen.link.ttypes import Outcome
from dahliashunt.adapters.wire.gen.link.ttypes import Priority as WirePriority
from dahliashunt.adapters.wire.gen.link.ttypes import Resume
from dahliashunt.agent.messages import EngineEnd
from dahliashunt.agent.messages import EngineEnded
from dahliashunt.agent.runner import Runner
from dahliashunt.decisions.events import AttemptRequest
from dahliashunt.decisions.events import PreemptMode
from dahliashunt.decisions.events import Priority
from dahliashunt.errors import ErrorKind
from dahliashunt.ids import NodeId
from dahliashunt.online.attempt_log import LoggedAttempt

__all__ = [
    "Attempt",
    "State",
    "not_run",
    "outcome_of",
    "outcome_of_unseen",
    "priority_of",
    "work_of",
]


class State(enum.Enum):
    """Where an attempt stands."""

    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class Attempt:
    """An attempt that has not ended.

    Attributes
    ----------
    preempt : PreemptMode or None
        Why it is STOPPING: to be preempted in this way; None means that
        it is cancelled.
    kv_handle : str or None
        Its exported KV cache, to start from.
    """

    open: Open
    node_id: NodeId
    state: State = State.WAITING
    runner: Runner | None = None
    preempt: PreemptMode | None = None
    kv_handle: str | None = None
    starts: int = 0
    adopted: bool = False

    @property
    def is_batch(self) -> bool:
        """Whether nobody waits for it now."""
        return self.open.priority == WirePriority.BATCH


def priority_of(opening: Open) -> Priority:
    """Return the priority that a frame states."""
    if opening.priority == WirePriority.BATCH:
        return Priority.BATCH
    return Priority.ONLINE


def work_of(opening: Open, now: int) -> AttemptRequest:
    """Return what the decisions need to know of an attempt."""
    return AttemptRequest(
        attempt_id=opening.attempt_id,
        priority=priority_of(opening),
        caller=opening.caller,
        prompt_tokens=opening.prompt_tokens,
        max_tokens=opening.max_tokens,
        start_by_ms=now + opening.start_within_ms,
        may_repeat=opening.idempotent,
        alone=opening.alone,
        job_id=opening.job_id,
    )


def not_run(
    attempt_id, kind: ErrorKind, message="", retry_after_ms=0
) -> Outcome:
    """Return the outcome of an attempt that certainly did not start."""
    return Outcome(
        attempt_id=attempt_id,
        end=End.NOT_RUN,
        total_events=0,
        error_kind=kind.value,
        message=message,
        retry_after_ms=retry_after_ms,
    )


_END_BY_ENGINE_END = {
    EngineEnd.WHOLE: (End.DONE, None),
    EngineEnd.UNREACHABLE: (End.NOT_RUN, ErrorKind.ENDPOINT_LOST),
    EngineEnd.LOST: (End.UNKNOWN, ErrorKind.ENDPOINT_LOST),
    EngineEnd.TIMED_OUT: (End.FAILED, ErrorKind.TIMED_OUT),
    EngineEnd.CANCELLED: (End.FAILED, ErrorKind.CANCELLED),
    EngineEnd.EXPORTED: (End.FAILED, ErrorKind.CANCELLED),
}


def outcome_of(
    attempt: Attempt, ended: EngineEnded, logged: LoggedAttempt
) -> Outcome:
    """Return the outcome that follows from how the engine's call ended."""
    end, kind = _END_BY_ENGINE_END[ended.end]
    if end is End.NOT_RUN and attempt.starts > 1:
        # It ran before it was preempted; that it could not be started
        # again says nothing of the first time.
        end = End.UNKNOWN
    return Outcome(
        attempt_id=attempt.open.attempt_id,
        end=end,
        total_events=logged.events,
        error_kind=None if kind is None else kind.value,
        message=ended.text,
        retry_after_ms=0,
        status=logged.status,
        headers=logged.headers,
        crashed=ended.end is EngineEnd.LOST and not attempt.adopted,
    )


def outcome_of_unseen(
    resume: Resume, never: bool, incarnation: int
) -> Outcome:
    """Return what can be said of an attempt that is not in the log.

    Only if this agent has been here all along and never saw it did it
    certainly not run. One whose end was settled ran, or may have; and
    an agent that was started after the attempt was sent cannot know
    whether its predecessor handed it to the engine.

    Parameters
    ----------
    resume : Resume
        An entry's question after the attempt.
    never : bool
        Whether this agent has never seen it.
    incarnation : int
        This agent's.
    """
    if never and resume.incarnation == incarnation:
        return not_run(resume.attempt_id, ErrorKind.ENDPOINT_LOST)
    return Outcome(
        attempt_id=resume.attempt_id,
        end=End.UNKNOWN,
        total_events=0,
        error_kind=ErrorKind.ENDPOINT_LOST.value,
        message="the agent no longer knows the attempt",
        retry_after_ms=0,
    )
