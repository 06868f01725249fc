"""What a job is, and how its rows are written.

A row that cannot be read raises `UnreadableRow`: it comes from another
version or writer, and guessing would lose or double an item.
"""

from dataclasses import dataclass
import enum
import json
from typing import NewType

from dahliashunt.errors import PlatformError
from dahliashunt.ids import JobId
from dahliashunt.ids import NodeId
from dahliashunt.ids import WorkspaceId

__all__ = [
    "Item",
    "ItemId",
    "Job",
    "JobState",
    "ListedResult",
    "Outcome",
    "Owner",
    "Progress",
    "UnreadableRow",
    "decode_job",
    "decode_progress",
    "encode_job",
    "encode_progress",
]

ItemId = NewType("ItemId", str)


class UnreadableRow(PlatformError):
    """A row of ours does not hold what we write there."""


class JobState(enum.Enum):
    """Where a job is in its life."""

    OPEN = "open"
    ENDED = "ended"
    """Its caller ended it: what is listed stays, nothing more runs."""

    CLOSED = "closed"
    """Every item is listed."""


class Outcome(enum.Enum):
    """How an item ended."""

    DONE = "done"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Owner:
    """One life of one node.

    Attributes
    ----------
    node_id : NodeId
    boot : str
        Drawn anew at each start, so that a restarted node does not take
        itself for the one that lost everything.
    """

    node_id: NodeId
    incarnation: str


@dataclass(frozen=True, slots=True)
class Item:
    """An item of a job, without its request.

    Attributes
    ----------
    item_id : ItemId
    tokens : int
        Prompt tokens and most output tokens together.
    """

    item_id: ItemId
    tokens: int


@dataclass(frozen=True, slots=True)
class Job:
    """An accepted job.

    Attributes
    ----------
    job_id : JobId
    route, host : str
    items : tuple of Item
        In the order submitted.
    payload : str
        Name of the object that holds the items' requests.
    accepted_ms : int
        By the store's clock, which all nodes share.
    accepted_by : Owner
    state : JobState
    workspace : WorkspaceId
        Whose job it is; empty where callers have no keys.
    """

    job_id: JobId
    route: str
    host: str
    items: tuple[Item, ...]
    payload: str
    accepted_ms: int
    accepted_by: Owner
    state: JobState = JobState.OPEN
    workspace: WorkspaceId = WorkspaceId("")

    @property
    def tokens(self) -> int:
        """Tokens of all items."""
        return sum(item.tokens for item in self.items)


@dataclass(frozen=True, slots=True)
class ListedResult:
    """One listed result.

    Attributes
    ----------
    index : int
        Of the item in its job.
    outcome : Outcome
    pieces, size : int
        Rows that hold its text, and the text's characters.
    """

    index: int
    outcome: Outcome
    pieces: int
    size: int


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a job is.

    Attributes
    ----------
    owner : Owner
    listed : tuple of Listed
        By position; positions never change.
    """

    owner: Owner
    listed: tuple[ListedResult, ...] = ()

    @property
    def indices(self) -> frozenset[int]:
        """Indices of listed items."""
        return frozenset(listed.index for listed in self.listed)


def encode_job(job: Job) -> str:
    """Return the row's text of `job`."""
    return json.dumps(
        {
            "id": job.job_id,
            "route": job.route,
            "host": job.host,
            "items": [[item.item_id, item.tokens] for item in job.items],
            "payload": job.payload,
            "accepted_ms": job.accepted_ms,
            "accepted_by": [
                job.accepted_by.node_id,
                job.accepted_by.incarnation,
            ],
            "state": job.state.value,
            "workspace": job.workspace,
        },
        separators=(",", ":"),
    )


def decode_job(text: str) -> Job:
    """Return the job in a row's text."""
    try:
        fields = json.loads(text)
        return Job(
            job_id=JobId(fields["id"]),
            route=fields["route"],
            host=fields["host"],
            items=tuple(Item(ItemId(i), t) for i, t in fields["items"]),
            payload=fields["payload"],
            accepted_ms=fields["accepted_ms"],
            accepted_by=Owner(*fields["accepted_by"]),
            state=JobState(fields["state"]),
            # Rows of versions without workspaces have none.
            workspace=WorkspaceId(fields.get("workspace", "")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise UnreadableRow(f"job: {error!r}") from None


def encode_progress(progress: Progress) -> str:
    """Return the row's text of `progress`."""
    return json.dumps(
        {
            "owner": [progress.owner.node_id, progress.owner.incarnation],
            "listed": [
                [each.index, each.outcome.value, each.pieces, each.size]
                for each in progress.listed
            ],
        },
        separators=(",", ":"),
    )


def decode_progress(text: str) -> Progress:
    """Return the progress in a row's text."""
    try:
        fields = json.loads(text)
        return Progress(
            owner=Owner(*fields["owner"]),
            listed=tuple(
                ListedResult(index, Outcome(outcome), pieces, size)
                for index, outcome, pieces, size in fields["listed"]
            ),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise UnreadableRow(f"progress: {error!r}") from None
