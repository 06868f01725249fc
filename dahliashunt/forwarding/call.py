"""A caller's request, as forwarding sees it."""

from dataclasses import dataclass

from dahliashunt.ids import RequestId
from dahliashunt.ids import WorkspaceId

__all__ = ["Call"]


@dataclass(frozen=True, slots=True)
class Call:
    """A request whose body has been read completely.

    Attributes
    ----------
    request_id : RequestId
        The caller's id of this attempt, forwarded unchanged.
    method, target : str
        Forwarded unchanged.
    headers : tuple of pairs
        Headers to forward, in the caller's order and spelling.
    body : bytes
    arrived_ms : int
        Monotonic time at which the headers were received.
    budget_ms : int or None
        Time that the caller waits from `arrived_ms`; None if not stated.
    last_event : int
        Id of the last stream event that the caller has; 0 for none.
    resumes : RequestId
        The caller's attempt that brought the stream's first event; empty if
        not stated.
    shared_parts : tuple of str
        Ids of the prompt parts shared with other requests, in order.
    shared_tokens : tuple of int
        Length of each part in `shared_parts`; 0 if unknown.
    prompt_tokens, output_tokens : int
        Length of the prompt and stated maximum of the output; 0 if unknown.
    tokens : int
        Prompt tokens plus maximum output tokens; 0 if unknown.
    workspace : WorkspaceId
        Empty without a workspace.
    rank : int or None
        Rank of the workspace, overrides the route's; None if it has none.
    """

    request_id: RequestId
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_ms: int
    budget_ms: int | None = None
    last_event: int = 0
    resumes: RequestId = RequestId("")
    shared_parts: tuple[str, ...] = ()
    shared_tokens: tuple[int, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    tokens: int = 0
    workspace: WorkspaceId = WorkspaceId("")
    rank: int | None = None
