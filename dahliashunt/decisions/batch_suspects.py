"""Isolation of batch items that crash the engines that run them.

Load pattern: one item of a large job crashes the engine and every item beside
it, and is retried beside others.

Without it one item crashes endpoint after endpoint, and the items beside it
use up their attempts.

After a crash each item that was in flight on the endpoint runs alone until it
has ended without a crash; a crash while it runs alone convicts it. One item
thus crashes two engines, and each item beside it runs one more time.
"""

import enum

from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.suspects import Conviction
from dahliashunt.decisions.suspects import Suspects
from dahliashunt.ids import Fingerprint

__all__ = ["BatchSuspects", "RunMode"]


class RunMode(enum.Enum):
    """How an item may run."""

    SHARED = "beside_others"
    ALONE = "alone"
    REFUSED = "not_at_all"


class BatchSuspects:
    """Crash records of batch items by fingerprint.

    Examples
    --------
    >>> suspects = BatchSuspects(EntryPolicy())
    >>> suspects.how(0, "bad")
    <RunMode.SHARED: 'beside_others'>
    >>> suspects.crashed(1, "bad", alone=False)
    >>> suspects.how(2, "bad")
    <RunMode.ALONE: 'alone'>
    >>> suspects.crashed(3, "bad", alone=True)
    >>> suspects.how(4, "bad")
    <RunMode.REFUSED: 'not_at_all'>
    """

    def __init__(self, policy: EntryPolicy):
        self._suspects = Suspects(policy)

    def how(self, now: int, fingerprint: Fingerprint) -> RunMode:
        """Return how an item may run."""
        if self._suspects.convicted_until(now, fingerprint) is not None:
            return RunMode.REFUSED
        if self._suspects.is_suspect(now, fingerprint):
            return RunMode.ALONE
        return RunMode.SHARED

    def crashed(self, now: int, fingerprint: Fingerprint, alone: bool) -> None:
        """Record a crash of the endpoint while the item ran."""
        self._suspects.crashed(now, fingerprint, alone)

    def ended(self, fingerprint: Fingerprint) -> None:
        """Clear the item, which ended without a crash."""
        self._suspects.cleared(fingerprint)

    def convict(self, now: int, fingerprint: Fingerprint, for_ms: int):
        """Apply a conviction made by another entry."""
        self._suspects.convict(now, fingerprint, for_ms)

    def new_convictions(self) -> list[Conviction]:
        """Return the new convictions to share, and clear the list."""
        return self._suspects.take_new()
