"""One request of a caller, as far as forwarding needs to know it."""

from dataclasses import dataclass

from dahliashunt.ids import RequestId
from dahliashunt.ids import WorkspaceId

__all__ = ["Call"]


@dataclass(frozen=True, slots=True)
class Call:
    """A request, read whole.

    Attributes
    ----------
    request_id : RequestId
        The caller's id of this attempt, passed on unchanged.
    method, target : str
        Passed on unchanged.
    headers : tuple of pairs
        Those that are passed on, in order, as the caller wrote them.
    body : bytes
    arrived_ms : int
        Monotonic time at which its headers had come.
    budget_ms : int or None
        How long the caller waits from then on; None if it does not say.
    last_event : int
        The caller has the stream's events up to here; 0 for none.
    shared_parts : tuple of str
        Ids of the prompt's parts that other requests share, in order.
    tokens : int
        Prompt tokens and most output tokens together; 0 if unknown.
    workspace : WorkspaceId
        In whose name it runs; empty for nobody's.
    rank : int or None
        Of the workspace, which goes before the route's; None has none.
    """

    request_id: RequestId
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_ms: int
    budget_ms: int | None = None
    last_event: int = 0
    shared_parts: tuple[str, ...] = ()
    tokens: int = 0
    workspace: WorkspaceId = WorkspaceId("")
    rank: int | None = None
