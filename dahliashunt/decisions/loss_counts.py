"""Requests that were lost with each replica that ran them.

Load pattern: one request crashes each replica that begins to run it, and
its caller sends it again, each time to another entry.

What goes wrong without it: each resend takes a replica, with all that
runs there, for some seconds; five resends take a fleet of five.

How: losses are counted by the request's digest over all entries. After
`MAX_LOSSES` in a row the request gets its final answer without being
sent, for a term that doubles with each further loss. One run that is
served in between clears it: a popular request that was lost with three
replicas by bad luck is served thousands of times meanwhile, a crashing
one never is.

A popular request runs at many replicas at once, and several times at one.
All runs that are lost by one cause, such as a rack without power, had begun
before the first of them was lost, so that a run does not count if it began
before the last loss that was counted. A resend of a crashing request does.
Where every replica is lost for longer, as with a cut network, popular
requests are refused all the same; the first term is short, so that they
come back soon after the replicas do.

Grounds: three losses by chance, at 5 in 100 in the worst seconds seen,
are 1 in 8,000 of the requests that are sent three times at all. Counts end
some time after the last loss, since a new version may run what crashed the
old one. A request that crashes for an hour and is sent each 1.5 s takes 14
replicas (`test_a_crashing_request_takes_ever_fewer_replicas`); without
terms that end it took 18, and no innocent one came back sooner.
"""

from dataclasses import dataclass

from dahliashunt.ids import Fingerprint

__all__ = ["LossCounts"]

MAX_LOSSES = 3
"""Replicas that one request may take down before it is refused."""

INITIAL_QUARANTINE_MS = 5_000
"""First term without being sent; replicas are back after some seconds."""

MAX_QUARANTINE_MS = 600_000
"""Longest term: ten minutes, as for suspects of the product's own fleets.
Counts stand twice as long, so that a crashing request which comes after its
term is refused again for the first replica that it takes."""

MAX_DIGESTS = 10_000
"""Digests remembered; the oldest go first."""


@dataclass(slots=True)
class _Count:
    losses: int
    counted_ms: int


class LossCounts:
    """Losses in a row by digest.

    Examples
    --------
    >>> counts = LossCounts()
    >>> [counts.lost("bad", at + 1, at + 2) for at in range(0, 30, 10)]
    [1, 2, 3]
    >>> counts.is_convicted("bad", 23)
    True
    >>> counts.served("bad")
    True
    >>> counts.is_convicted("bad", 23)
    False
    """

    def __init__(self, max_digests: int = MAX_DIGESTS):
        self._max_digests = max_digests
        self._count_by_digest: dict[Fingerprint, _Count] = {}

    def lost(self, digest: Fingerprint, began_ms: int, now_ms: int) -> int:
        """Note a run that is lost here; return the losses in a row.

        Parameters
        ----------
        digest : Fingerprint
        began_ms : int
            When the run was sent to its replica.
        now_ms : int
        """
        losses = self.losses(digest, now_ms)
        if losses and began_ms < self._count_by_digest[digest].counted_ms:
            return losses
        self._put(digest, _Count(losses + 1, now_ms))
        return losses + 1

    def learn(self, digest: Fingerprint, losses: int, now_ms: int) -> int:
        """Take over a count of all entries; return the higher one."""
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
        """Return the losses in a row that are remembered."""
        count = self._count_by_digest.get(digest)
        if count is None or now_ms - count.counted_ms >= 2 * MAX_QUARANTINE_MS:
            return 0
        return count.losses

    def served(self, digest: Fingerprint) -> bool:
        """Clear `digest`; return whether anything was remembered."""
        return self._count_by_digest.pop(digest, None) is not None

    def is_convicted(self, digest: Fingerprint, now_ms: int) -> bool:
        """Tell whether the request is not to be sent now."""
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
