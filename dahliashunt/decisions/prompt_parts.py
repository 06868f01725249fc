"""Which of a lost request's prompt parts may have crashed its replica.

Load pattern
------------
Requests that share one part of their prompts crash each replica that runs
them. No two are alike, they come at any entry, and sound requests share their
first part.

What goes wrong without it
--------------------------
Counting losses by whole requests holds none of them back. Counting them by
parts alone also holds back the first part, and with it the sound requests; and
an outage, in which requests with a popular part are lost one after another,
ends with that part refused.

How
---
Losses in a row are counted for each part, as for a request, and a served
request clears its parts. A part with enough losses is held back, but for two
cases, judged by what this entry has served:

- another part was in each of its lost requests and is less often served: the
  losses are put down to that one;
- it is so popular, and so few other requests were served since its first
  loss, that it may well be sound. Refusing a popular part harms more callers
  and needs stronger evidence.
"""

from collections.abc import Iterable
import math

from dahliashunt.ids import Fingerprint

__all__ = ["PartHistory", "is_held_back", "least_others"]

GENERATION_MS = 300_000
"""Time after which a new count of served requests begins. The one before is
kept beside it, so that five to ten minutes are remembered."""

MAX_PARTS = 20_000
"""Parts of one generation; bounds the memory."""

ACCEPTED_HARM = 0.02
"""Share of the requests, times the probability that their part is sound, up
to which a part is held back."""


class PartHistory:
    """Requests that this entry has served, by prompt part or digest.

    Parameters
    ----------
    max_parts : int
        Parts counted in one generation; the first ones are.

    Examples
    --------
    >>> history = PartHistory()
    >>> history.note_served(0, ["a", "b"])
    >>> history.note_served(1, ["a"])
    >>> history.served("a"), history.served("b"), history.share("a")
    (2, 1, 1.0)
    """

    def __init__(self, max_parts: int = MAX_PARTS):
        self._max_parts = max_parts
        self.total_ever = 0
        self._began_ms = 0
        self._count_by_part: dict[Fingerprint, int] = {}
        self._former_by_part: dict[Fingerprint, int] = {}
        self._total = 0
        self._former_total = 0

    def note_served(self, now_ms: int, parts: Iterable[Fingerprint]) -> None:
        """Count one served request with `parts`."""
        if now_ms - self._began_ms >= GENERATION_MS:
            self._began_ms = now_ms
            self._former_by_part = self._count_by_part
            self._former_total = self._total
            self._count_by_part, self._total = {}, 0
        self.total_ever += 1
        self._total += 1
        counts = self._count_by_part
        for part in parts:
            if part in counts or len(counts) < self._max_parts:
                counts[part] = counts.get(part, 0) + 1

    def served(self, part: Fingerprint) -> int:
        """Return the number of served requests with `part`."""
        count = self._count_by_part.get(part, 0)
        return count + self._former_by_part.get(part, 0)

    def share(self, part: Fingerprint) -> float:
        """Return the share of served requests that had `part`."""
        total = self._total + self._former_total
        return self.served(part) / max(1, total)


def least_others(share: float) -> float:
    """Return how many others must be served before a part is held back.

    If the part is sound, so many requests without it are served in a row with
    a probability that bounds the expected harm by `ACCEPTED_HARM`.

    Parameters
    ----------
    share : float
        Usual share of the requests that have the part.

    Examples
    --------
    >>> least_others(0.0), least_others(1.0)
    (0.0, inf)
    >>> round(least_others(0.125), 1)
    13.7
    """
    if share >= 1:
        return math.inf
    if share <= ACCEPTED_HARM:
        return 0.0
    return math.log(ACCEPTED_HARM / share) / math.log(1 - share)


def is_held_back(
    part: Fingerprint,
    beside: Iterable[Fingerprint],
    others: int,
    history: PartHistory,
) -> bool:
    """Return whether a part with enough losses in a row is held back.

    Parameters
    ----------
    part : Fingerprint
    beside : iterable of Fingerprint
        Parts that were in all of its lost requests.
    others : int
        Requests that this entry has served since the part's first loss, none
        of them with the part.
    history : PartHistory
    """
    served = history.served(part)
    if any(history.served(other) < served for other in beside):
        return False
    return others >= least_others(history.share(part))
