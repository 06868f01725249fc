"""Quarantine of requests that crash the replicas that run them.

Load pattern
------------
One request crashes each replica that starts to run it, and its caller sends
it again, each time to another entry.

What goes wrong without it
--------------------------
Each resend takes down a replica with all that runs there.

How
---
Lost runs are counted by request digest over all entries. After `MAX_LOSSES`
in a row the request is refused for a time that doubles with each further
loss. A served run clears the count, so that a popular request is not
quarantined for unrelated losses.

Several runs of a popular request can be lost to one cause, such as a rack
without power. These started before the first of them was lost, so that a
run counts only if it started after the last loss counted. In an outage of
all replicas popular requests are still refused; the first quarantine is
short, so that they recover soon after the replicas.

Counts expire some time after the last loss, since a new version may run
what crashed the old one.
"""

from dataclasses import dataclass

from dahliashunt.ids import Fingerprint

__all__ = ["LossCounts"]

MAX_LOSSES = 3
"""Losses in a row after which a request is refused."""

INITIAL_QUARANTINE_MS = 5_000
"""First quarantine in milliseconds; about a replica's restart."""

MAX_QUARANTINE_MS = 600_000
"""Longest quarantine in milliseconds. Counts are kept twice as long, so that
one more loss after a quarantine starts the next."""

MAX_DIGESTS = 10_000
"""Digests kept; the oldest are evicted first."""


@dataclass(slots=True)
class _Count:
    losses: int
    counted_ms: int


class LossCounts:
    """Losses in a row by request digest.

    Parameters
    ----------
    max_digests : int
        Digests kept; the oldest are evicted first.

    Examples
    --------
    >>> counts = LossCounts()
    >>> [counts.lost("bad", at + 1, at + 2) for at in range(0, 30, 10)]
    [1, 2, 3]
    >>> counts.is_quarantined("bad", 23)
    True
    >>> counts.served("bad")
    True
    >>> counts.is_quarantined("bad", 23)
    False
    """

    def __init__(self, max_digests: int = MAX_DIGESTS):
        self._max_digests = max_digests
        self._count_by_digest: dict[Fingerprint, _Count] = {}

    def lost(self, digest: Fingerprint, began_ms: int, now_ms: int) -> int:
        """Record a lost run; return the losses in a row.

        Parameters
        ----------
        digest : Fingerprint
        began_ms : int
            Time at which the run was sent to its replica.
        now_ms : int
        """
        losses = self.losses(digest, now_ms)
        if losses and began_ms < self._count_by_digest[digest].counted_ms:
            return losses
        self._put(digest, _Count(losses + 1, now_ms))
        return losses + 1

    def learn(self, digest: Fingerprint, losses: int, now_ms: int) -> int:
        """Merge a count shared by all entries; return the higher one."""
        known = self.losses(digest, now_ms)
        if losses > known:
            self._put(digest, _Count(losses, now_ms))
        return max(losses, known)

    def _put(self, digest, count):
        self._count_by_digest.pop(digest, None)
        self._count_by_digest[digest] = count
        while len(self._count_by_digest) > self._max_digests:
            del self._count_by_digest[next(iter(self._count_by_digest))]

    def losses(self, digest: Fingerprint, now_ms: int) -> int:
        """Return the losses in a row, 0 once they have expired."""
        count = self._count_by_digest.get(digest)
        if count is None or now_ms - count.counted_ms >= 2 * MAX_QUARANTINE_MS:
            return 0
        return count.losses

    def served(self, digest: Fingerprint) -> bool:
        """Clear `digest`; return whether it had a count."""
        return self._count_by_digest.pop(digest, None) is not None

    def is_quarantined(self, digest: Fingerprint, now_ms: int) -> bool:
        """Tell whether the request is quarantined now."""
        losses = self.losses(digest, now_ms)
        if losses < MAX_LOSSES:
            return False
        doublings = min(losses - MAX_LOSSES, 10)
        quarantine_ms = min(
            INITIAL_QUARANTINE_MS << doublings, MAX_QUARANTINE_MS
        )
        return (
            now_ms - self._count_by_digest[digest].counted_ms < quarantine_ms
        )
