"""Data model of jobs and the encoding of their rows.

A row that can't be decoded raises `UnreadableRow`, since a guess at its
content could lose or repeat an item.
"""

from dataclasses import dataclass
import enum
import json
from typing import NewType

from dahliashunt.errors import PlatformError
from dahliashunt.ids import JobId
from dahliashunt.ids import NodeId
from dahliashunt.ids import WorkspaceId
from dahliashunt.row_fields import FIELD_ERRORS
from dahliashunt.row_fields import list_field
from dahliashunt.row_fields import MAX_WHOLE
from dahliashunt.row_fields import parse_json
from dahliashunt.row_fields import text_field
from dahliashunt.row_fields import whole_field

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
    """A row doesn't have the expected format."""


class JobState(enum.Enum):
    """State of a job."""

    OPEN = "open"
    ENDED = "ended"
    """The caller ended it: listed results stay, no further item runs."""

    CLOSED = "closed"
    """Every item is listed."""


class Outcome(enum.Enum):
    """Final outcome of an item."""

    DONE = "done"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Owner:
    """One incarnation of a node.

    Attributes
    ----------
    node_id : NodeId
    boot : str
        Random for each start, so that a restarted node isn't taken for
        the owner of its former jobs.
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
        Prompt tokens plus the limit of output tokens.
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
        Time of acceptance by the store's clock.
    accepted_by : Owner
    state : JobState
    workspace : WorkspaceId
        Workspace of the caller; empty if callers have no keys.
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
        """Sum of the items' tokens."""
        return sum(item.tokens for item in self.items)


@dataclass(frozen=True, slots=True)
class ListedResult:
    """One listed result.

    Attributes
    ----------
    index : int
        Index of the item in its job.
    outcome : Outcome
    pieces, size : int
        Number of rows and of characters of its text.
    """

    index: int
    outcome: Outcome
    pieces: int
    size: int


@dataclass(frozen=True, slots=True)
class Progress:
    """Owner and listed results of a job.

    Attributes
    ----------
    owner : Owner
    listed : tuple of Listed
        Ordered by position; positions never change.
    """

    owner: Owner
    listed: tuple[ListedResult, ...] = ()

    @property
    def indices(self) -> frozenset[int]:
        """Indices of listed items."""
        return frozenset(listed.index for listed in self.listed)


def encode_job(job: Job) -> str:
    """Encode `job` as a row's text."""
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
    """Decode a job from a row's text."""
    try:
        fields = parse_json(text)
        return Job(
            job_id=JobId(text_field(fields["id"])),
            route=text_field(fields["route"]),
            host=text_field(fields["host"]),
            items=tuple(map(_item, list_field(fields["items"]))),
            payload=text_field(fields["payload"]),
            accepted_ms=whole_field(fields["accepted_ms"], -MAX_WHOLE),
            accepted_by=_owner(fields["accepted_by"]),
            state=JobState(text_field(fields["state"])),
            # Rows of older versions have no workspace.
            workspace=WorkspaceId(text_field(fields.get("workspace", ""))),
        )
    except FIELD_ERRORS as error:
        raise UnreadableRow(f"job row can't be decoded: {error!r}") from None


def _item(fields):
    item_id, tokens = list_field(fields)
    return Item(ItemId(text_field(item_id)), whole_field(tokens))


def _owner(fields):
    node_id, incarnation = list_field(fields)
    return Owner(NodeId(text_field(node_id)), text_field(incarnation))


def encode_progress(progress: Progress) -> str:
    """Encode `progress` as a row's text."""
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
    """Decode progress from a row's text."""
    try:
        fields = parse_json(text)
        return Progress(
            owner=_owner(fields["owner"]),
            listed=tuple(map(_listed, list_field(fields["listed"]))),
        )
    except FIELD_ERRORS as error:
        raise UnreadableRow(
            f"progress row can't be decoded: {error!r}"
        ) from None


def _listed(fields):
    index, outcome, pieces, size = list_field(fields)
    return ListedResult(
        whole_field(index),
        Outcome(text_field(outcome)),
        whole_field(pieces),
        whole_field(size),
    )
