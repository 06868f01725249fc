"""Batch items that may crash each endpoint that runs them.

Load pattern: one item of a large job is poisoned. It crashes the engine
with all its neighbours, is tried again beside other neighbours, and takes
the fleet down one engine at a time, while its innocent neighbours use up
their attempts beside it.

After a crash each item that was in flight there runs alone until it has
ended without one; a second crash alone convicts. So one item costs two
engines, and an innocent neighbour one more try.
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
    """Crashes by fingerprint of batch items.

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
        """Note that the endpoint crashed while the item ran."""
        self._suspects.crashed(now, fingerprint, alone)

    def ended(self, fingerprint: Fingerprint) -> None:
        """Note that the item ran to its end."""
        self._suspects.cleared(fingerprint)

    def convict(self, now: int, fingerprint: Fingerprint, for_ms: int):
        """Take a conviction from elsewhere."""
        self._suspects.convict(now, fingerprint, for_ms)

    def new_convictions(self) -> list[Conviction]:
        """Return the convictions to be shared, and forget them."""
        return self._suspects.take_new()
