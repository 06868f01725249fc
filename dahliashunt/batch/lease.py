"""Who works on which chunks: claims, heartbeats, and when they lapse.

One heartbeat row a node stands for all its claims. A claim names the run
of a node that holds it and a fencing token that grows with each holder.
No two clocks are ever compared: the holder counts from before it sent a
renewal, an observer from when it first saw the counter's value.
"""

from dataclasses import dataclass
from dataclasses import replace

from dahliashunt.batch.rows import claim_key
from dahliashunt.batch.rows import encode
from dahliashunt.batch.rows import known_fields
from dahliashunt.ids import FenceToken
from dahliashunt.ids import JobId
from dahliashunt.ports.table import Row

__all__ = [
    "UNOWNED",
    "Claim",
    "HeldLease",
    "LeaseObserver",
    "owner_name",
    "released",
    "taken",
]

UNOWNED = ""


def owner_name(node_id: str, epoch: str) -> str:
    """Return the name of one run of a node; a restart is another owner."""
    return f"{node_id}@{epoch}"


@dataclass(frozen=True, slots=True)
class Claim:
    """Right to complete the items of one group of a job's chunks.

    Attributes
    ----------
    owner : str
        `owner_name` of the holder, or `UNOWNED`.
    token : FenceToken
        Grows with each holder.
    done : bool
        All items of the group are complete; nothing may be committed.
    version : int
        Of the row; it changes with each holder, as the token does.
    """

    job_id: JobId
    group: int
    owner: str
    token: FenceToken
    done: bool = False
    version: int = 0

    @property
    def key(self) -> str:
        """Key of the row."""
        return claim_key(self.job_id, self.group)

    def to_value(self) -> str:
        """Return the row's value."""
        return encode(
            {"owner": self.owner, "token": self.token, "done": self.done}
        )

    @classmethod
    def from_row(cls, row: Row) -> "Claim":
        """Return the claim of a row."""
        _, _, job_id, group = row.key.split("/")
        return cls(
            JobId(job_id),
            int(group),
            **known_fields(cls, row.value),
            version=row.version,
        )


def taken(claim: Claim, owner: str) -> Claim:
    """Return the claim with a new holder and the next token."""
    return replace(claim, owner=owner, token=FenceToken(claim.token + 1))


def released(claim: Claim, done: bool = False) -> Claim:
    """Return the claim as its holder leaves it."""
    return replace(claim, owner=UNOWNED, done=done)


class HeldLease:
    """The holder's view of its own heartbeat row.

    Parameters
    ----------
    term_ms : int
    now_ms : int
        When the first renewal is about to be sent.
    """

    def __init__(self, term_ms: int, now_ms: int):
        self._term_ms = term_ms
        self._from_ms = now_ms
        self._sent_ms = now_ms
        self.counter = 0

    def sending(self, now_ms: int) -> int:
        """Note that a renewal is about to be sent; return its counter."""
        self._sent_ms = now_ms
        self.counter += 1
        return self.counter

    def renewed(self) -> None:
        """Note that the last renewal took effect.

        It counts from before it was sent. The answer may have been slow,
        and an observer may have begun to count before it came.
        """
        self._from_ms = self._sent_ms

    def lapsed(self, now_ms: int) -> bool:
        """Return whether another node may take the claims by now."""
        return now_ms - self._from_ms >= self._term_ms


class LeaseObserver:
    """An observer's view of other nodes' heartbeat rows.

    Parameters
    ----------
    term_ms : int

    Examples
    --------
    >>> observer = LeaseObserver(term_ms=100)
    >>> observer.seen("a@1", 7, now_ms=0)
    >>> observer.lapsed("a@1", now_ms=99), observer.lapsed("a@1", 100)
    (False, True)
    >>> observer.seen("a@1", 8, now_ms=100)
    >>> observer.lapsed("a@1", now_ms=100)
    False
    """

    def __init__(self, term_ms: int):
        self._term_ms = term_ms
        self._counter_by_owner: dict[str, int] = {}
        self._since_by_owner: dict[str, int] = {}

    def seen(self, owner: str, counter: int, now_ms: int) -> None:
        """Note a counter that was read; 0 stands for a missing row.

        `now_ms` must be from after the read's answer came.
        """
        if self._counter_by_owner.get(owner) != counter:
            self._counter_by_owner[owner] = counter
            self._since_by_owner[owner] = now_ms

    def lapsed(self, owner: str, now_ms: int) -> bool:
        """Return whether the counter stood still for the whole term.

        An owner seen for the first time has its whole term before it: the
        observer cannot know how old the counter was.
        """
        since_ms = self._since_by_owner.get(owner)
        return since_ms is not None and now_ms - since_ms >= self._term_ms

    def restart(self) -> None:
        """Begin all terms again, after the store could not be read.

        In an outage no holder can renew. Counted as silence, it would
        make every node take every other's claims once the store is back,
        and much work would be run again.
        """
        self._counter_by_owner.clear()
        self._since_by_owner.clear()

    def forget(self, owners: set[str]) -> None:
        """Drop all but `owners`, so that the view stays bounded."""
        for owner in set(self._since_by_owner) - owners:
            del self._since_by_owner[owner]
            del self._counter_by_owner[owner]
