"""Requests that were lost with each replica that ran them.

Load pattern: one request crashes each replica that begins to run it, and
its caller sends it again, each time to another entry.

What goes wrong without it: each resend takes a replica, with all that
runs there, for some seconds; five resends take a fleet of five.

How: losses are counted by the request's digest over all entries. After
`MOST_LOSSES` in a row the request gets its final answer without being
sent. One run that is served in between clears it: a popular request that
was lost with three replicas by bad luck is served thousands of times
meanwhile, a crashing one never is.

Grounds: three losses by chance, at 5 in 100 in the worst seconds seen,
are 1 in 8,000 of the requests that are sent three times at all. Counts end
after `FORGET_MS`, since a new version may run what crashed the old one.
"""

from dataclasses import dataclass

from dahliashunt.ids import Fingerprint

__all__ = ["LossCounts"]

MOST_LOSSES = 3
"""Replicas that one request may take down before it is refused."""

FORGET_MS = 600_000
"""Ten minutes, as for suspects of the product's own fleets."""

MOST_COUNTS = 10_000
"""Digests remembered; the oldest go first."""


@dataclass(slots=True)
class _Count:
    losses: int
    until_ms: int


class LossCounts:
    """Losses in a row by digest.

    Examples
    --------
    >>> counts = LossCounts()
    >>> [counts.lost("bad", 0) for _ in range(3)]
    [1, 2, 3]
    >>> counts.is_convicted("bad", 1)
    True
    >>> counts.served("bad")
    True
    >>> counts.is_convicted("bad", 1)
    False
    """

    def __init__(self):
        self._count_by: dict[Fingerprint, _Count] = {}

    def lost(self, digest: Fingerprint, now_ms: int) -> int:
        """Count a loss here; return the losses in a row."""
        return self.learn(digest, self.losses(digest, now_ms) + 1, now_ms)

    def learn(self, digest: Fingerprint, losses: int, now_ms: int) -> int:
        """Take over a count of all entries; return the higher one."""
        losses = max(losses, self.losses(digest, now_ms))
        self._count_by.pop(digest, None)
        self._count_by[digest] = _Count(losses, now_ms + FORGET_MS)
        while len(self._count_by) > MOST_COUNTS:
            del self._count_by[next(iter(self._count_by))]
        return losses

    def losses(self, digest: Fingerprint, now_ms: int) -> int:
        """Return the losses in a row that are remembered."""
        count = self._count_by.get(digest)
        if count is None or now_ms >= count.until_ms:
            return 0
        return count.losses

    def served(self, digest: Fingerprint) -> bool:
        """Clear `digest`; return whether anything was remembered."""
        return self._count_by.pop(digest, None) is not None

    def is_convicted(self, digest: Fingerprint, now_ms: int) -> bool:
        """Tell whether the request is not to be sent any more."""
        return self.losses(digest, now_ms) >= MOST_LOSSES
