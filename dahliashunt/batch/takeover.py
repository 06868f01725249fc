"""Who takes a claim that nobody works on, and when.

Survivors of a lost node see its claims lapse at about the same time. Each
ranks the live nodes for each claim by rendezvous hashing and waits a step
for every node ranked before it, so they seldom try for the same row, and
a better ranked node that does nothing does not block the claim.
"""

from dataclasses import dataclass
import hashlib
import random

from dahliashunt.batch.lease import Claim

__all__ = ["TakeoverPlan", "rank"]


def rank(claim: Claim, me: str, others: frozenset[str]) -> int:
    """Return how many live nodes come before `me` for this claim.

    Notes
    -----
    Highest random weight (Thaler and Ravishankar 1998): losing a node moves
    only its own claims. O(nodes) a claim.

    Examples
    --------
    >>> claim = Claim("batch_1", 0, "", 1)
    >>> sorted(rank(claim, me, frozenset("abc") - {me}) for me in "abc")
    [0, 1, 2]
    """
    mine = _weight(claim, me)
    return sum(_weight(claim, other) > mine for other in others)


def _weight(claim, node):
    text = f"{claim.job_id}/{claim.group}/{claim.token}/{node}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest(), node


@dataclass(frozen=True, slots=True)
class _Wait:
    version: int
    due_ms: int


class TakeoverPlan:
    """Spreads one node's takeovers over time.

    Parameters
    ----------
    me : str
        Owner name of this node.
    rank_ms : int
        Wait for each better ranked node; jitter is up to as much.
    at_once : int
        Most claims to take in one round.
    rng : random.Random
    """

    def __init__(
        self, me: str, rank_ms: int, at_once: int, rng: random.Random
    ):
        self._me = me
        self._rank_ms = rank_ms
        self._at_once = at_once
        self._rng = rng
        self._wait_by_key: dict[str, _Wait] = {}

    def due(
        self, free: tuple[Claim, ...], live: frozenset[str], now: int
    ) -> list[Claim]:
        """Return the claims to take now.

        Parameters
        ----------
        free : tuple of Claim
            All claims that have no owner, or one whose lease lapsed.
        live : frozenset of str
            Other owners that are alive.
        """
        waits = {}
        for claim in free:
            wait = self._wait_by_key.get(claim.key)
            if wait is None or wait.version != claim.version:
                wait = _Wait(claim.version, now + self._delay(claim, live))
            waits[claim.key] = wait
        self._wait_by_key = waits
        ripe = [c for c in free if waits[c.key].due_ms <= now]
        ripe.sort(key=lambda claim: waits[claim.key].due_ms)
        return ripe[: self._at_once]

    def _delay(self, claim, live):
        before = rank(claim, self._me, live)
        if not before:
            return 0
        return before * self._rank_ms + self._rng.randrange(self._rank_ms)
