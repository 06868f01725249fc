"""Messages to the agent's core task from its other tasks."""

from dataclasses import dataclass
import enum

from dahliashunt.ids import AttemptId
from dahliashunt.ports.engine import EngineEvents
from dahliashunt.ports.engine import EngineLoad
from dahliashunt.ports.engine import EngineState

__all__ = [
    "EngineData",
    "EngineEnd",
    "EngineEnded",
    "LeaveNotice",
    "LoadSeen",
    "StateSeen",
]


class EngineEnd(enum.Enum):
    """How a call of the engine ended."""

    WHOLE = "whole"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    EXPORTED = "exported"


@dataclass(frozen=True, slots=True)
class EngineData:
    """Some of an answer has come from the engine."""

    attempt_id: AttemptId
    events: EngineEvents


@dataclass(frozen=True, slots=True)
class EngineEnded:
    """A call of the engine is over.

    `kv_handle` names the exported KV cache after EXPORTED.
    """

    attempt_id: AttemptId
    end: EngineEnd
    text: str = ""
    kv_handle: str | None = None


@dataclass(frozen=True, slots=True)
class LoadSeen:
    """A load report of the engine has come."""

    load: EngineLoad


@dataclass(frozen=True, slots=True)
class StateSeen:
    """The engine said what it is; None when it cannot be reached."""

    state: EngineState | None


@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """The endpoint is to leave; `reason` is for people."""

    reason: str
