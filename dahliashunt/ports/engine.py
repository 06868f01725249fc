"""A back end beside an agent: a model engine or a plain service."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from dahliashunt.ids import AttemptId
from dahliashunt.ids import FenceToken

__all__ = [
    "CacheEvent",
    "Engine",
    "EngineCall",
    "EngineEvents",
    "EngineLoad",
    "EngineState",
    "LoadedModel",
    "Order",
]


@dataclass(frozen=True, slots=True)
class EngineCall:
    """One call for an engine, in its own dialect.

    Attributes
    ----------
    attempt_id : AttemptId
        The engine knows the stream by it, for resume and cancel.
    method, path, headers, body
        Of the HTTP request; a model call's body asks for a stream.
    """

    attempt_id: AttemptId
    method: str
    path: str
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EngineEvents:
    """Some whole events of an answer, as they came in one read.

    Attributes
    ----------
    data : bytes
        For a model engine server-sent events, each with its blank line;
        for a plain service a piece of the body.
    events : int
        How many events `data` holds (1 for a piece of a body).
    status : int
        HTTP status, the same on every piece.
    headers : dict of str to str
        Headers worth passing on.
    """

    data: bytes
    events: int
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model, with its version and adapters, that an engine has loaded."""

    model: str
    version: str = ""
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """An engine's own load report; it lags by `age_ms` or more."""

    running: int
    waiting: int
    kv_used_tokens: int
    kv_total_tokens: int
    step_ms: float
    age_ms: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says it is: the truth for routing."""

    incarnation: str
    role: str
    models: tuple[LoadedModel, ...]
    loading: tuple[LoadedModel, ...]
    fence: FenceToken
    checks_fence: bool


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix block that entered or left an engine's cache.

    Events come late and some are missing; `seq` shows the gaps.
    """

    seq: int
    prefix: int
    cached: bool


@dataclass(frozen=True, slots=True)
class Order:
    """A wanted end state for an engine, with the orderer's fence token."""

    role: str
    models: tuple[LoadedModel, ...]
    fence: FenceToken


class Engine(Protocol):
    """What an agent asks of the back end beside it.

    All calls raise `EngineUnreachable` when nothing was sent, and
    `EngineLost` when the connection broke or fell silent afterwards.
    """

    def call(
        self, call: EngineCall, timeout_ms: int
    ) -> AsyncIterator[EngineEvents]:
        """Send `call`, yield its answer as it comes."""

    def resume(
        self, attempt_id: AttemptId, offset: int, timeout_ms: int
    ) -> AsyncIterator[EngineEvents]:
        """Yield the stream of `attempt_id` from event `offset`.

        Raises `StreamUnknown` if the engine does not know the stream.
        """

    async def streams(self) -> tuple[AttemptId, ...]:
        """Return the attempts whose streams the engine still knows."""

    async def cancel(self, attempt_id: AttemptId) -> None:
        """Stop a stream; no error if it is gone."""

    async def export_kv(self, attempt_id: AttemptId) -> str | None:
        """Stop a stream and keep its KV cache; return a handle, or None."""

    async def load(self) -> EngineLoad:
        """Return the engine's lagging load report."""

    async def state(self) -> EngineState:
        """Return what the engine has loaded and its role."""

    async def order(self, order: Order) -> None:
        """Ask for an end state; raises `StaleFence` where it is checked."""

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return cache events with ``seq > after``, late and with gaps."""
