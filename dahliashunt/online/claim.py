"""What a claim on a non-idempotent request says, and what follows.

``claimed -> done``, ``claimed -> unknown``, ``claimed -> released``, and
``released -> claimed`` by a resend under another attempt id: the row goes
back only where the dispatch was proved not to have run.
"""

from dataclasses import dataclass
from dataclasses import replace
import enum
import hashlib
import json
from urllib.parse import quote

from dahliashunt.ids import AttemptId
from dahliashunt.ports.table import Row

__all__ = [
    "Claim",
    "ClaimState",
    "Outcome",
    "Verdict",
    "ended",
    "judge",
    "row_key",
]


class ClaimState(enum.Enum):
    """What is known of the request that a claim stands for."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Verdict(enum.Enum):
    """What a request that comes with a key is to get."""

    RUN = "run"
    TAKE_OVER = "take_over"
    REPLAY = "replay"
    STILL_RUNNING = "still_running"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REUSED = "key_reused"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Answer of a request that ran."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Claim:
    """One claim row.

    Attributes
    ----------
    digest : str
        Of method, path and body: a key stands for one request.
    attempt_id : AttemptId
        Of the one dispatch; it is also the write id of the claim.
    since_ms : int
        Wall time of the claim, for people to read.
    status, headers, body : int, tuple, str
        Of the answer if DONE; a body too large for a row is in the object
        named by `stored`.
    version : int
        Of the row; 0 if there is none.
    """

    key: str
    digest: str
    attempt_id: AttemptId
    state: ClaimState
    since_ms: int
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: str = ""
    stored: str = ""
    version: int = 0

    def to_value(self) -> str:
        """Return the row's value."""
        fields = {
            name: getattr(self, name)
            for name in self.__slots__
            if name not in ("key", "version")
        }
        fields["state"] = self.state.value
        return json.dumps(fields, separators=(",", ":"), sort_keys=True)

    @classmethod
    def from_row(cls, row: Row) -> "Claim":
        """Return the claim of a row."""
        stored = json.loads(row.value)
        fields = {
            name: stored[name] for name in cls.__slots__ if name in stored
        }
        fields["state"] = ClaimState(fields["state"])
        fields["headers"] = tuple(map(tuple, fields["headers"]))
        return cls(row.key, **fields, version=row.version)


def judge(
    found: Claim | None, wanted: Claim, stale_ms: int, never_sent: bool
) -> Verdict:
    """Return what a request gets, given the claim on its key.

    Parameters
    ----------
    found : Claim or None
    wanted : Claim
        As the request would claim its key now.
    stale_ms : int
        Longer than any dispatch may take. The holder of an older claim is
        gone: what it dispatched is unknown, and is not dispatched again.
    never_sent : bool
        This process wrote `found` itself, lost the answer, and refused
        its request as not run.

    Examples
    --------
    >>> first = Claim("k", "digest", "a1", ClaimState.CLAIMED, 0)
    >>> resend = replace(first, attempt_id="a2", since_ms=50)
    >>> judge(None, first, 100, False)
    <Verdict.RUN: 'run'>
    >>> judge(first, resend, 100, False)
    <Verdict.STILL_RUNNING: 'still_running'>
    >>> judge(first, replace(resend, since_ms=500), 100, False)
    <Verdict.OUTCOME_UNKNOWN: 'outcome_unknown'>
    >>> judge(first, replace(resend, digest="other"), 100, False)
    <Verdict.KEY_REUSED: 'key_reused'>

    Notes
    -----
    A claim under the request's own attempt id is its own write, whose
    answer was lost: nothing was dispatched yet, since dispatch waits for
    this verdict, and an attempt asks only once.

    `stale_ms` compares wall clocks of two instances. That is safe here:
    neither of the two verdicts that it chooses between dispatches.
    """
    if found is None:
        return Verdict.RUN
    if found.digest != wanted.digest:
        return Verdict.KEY_REUSED
    settled = _VERDICT_BY_STATE.get(found.state)
    if settled is not None:
        return settled
    if found.attempt_id == wanted.attempt_id:
        return Verdict.RUN
    if never_sent:
        return Verdict.TAKE_OVER
    if wanted.since_ms - found.since_ms > stale_ms:
        return Verdict.OUTCOME_UNKNOWN
    return Verdict.STILL_RUNNING


_VERDICT_BY_STATE = {
    ClaimState.DONE: Verdict.REPLAY,
    ClaimState.UNKNOWN: Verdict.OUTCOME_UNKNOWN,
    ClaimState.RELEASED: Verdict.TAKE_OVER,
}


def ended(
    claim: Claim, state: ClaimState, outcome: Outcome | None, stored: str
) -> Claim:
    """Return the claim with its end.

    Parameters
    ----------
    stored : str
        Object that holds the outcome's body, or '' to keep it in the row.
    """
    if outcome is None:
        return replace(claim, state=state)
    return replace(
        claim,
        state=state,
        status=outcome.status,
        headers=outcome.headers,
        body="" if stored else outcome.body.decode("latin-1"),
        stored=stored,
    )


def row_key(workspace, key):
    """Return a claim's key; a long client key is hashed to a bounded one."""
    if not key:
        return f"online/claim/{quote(workspace, safe='')}/"
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"online/claim/{quote(workspace, safe='')}/{digest}"
