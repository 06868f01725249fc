"""How long a node waits before it reads a table's changes again.

Load pattern
------------
Every entry follows tables that all entries write: jobs are accepted and
closed, results are listed, replicas come and go. Changes come in
proportion to the machines, and each one answers the feed of every entry.

What goes wrong without it
--------------------------
Calls of the store grow with machines times changes: twice the machines
make four times the calls, each of which wakes a process, until the rate
that the store grants is used up by news that most nodes have no use for.

How
---
A change after a quiet time is heard at once, since the call waits for it.
After an answer that held changes the next call is made only when the pause
is over; what changes meanwhile comes with it in one answer. So an entry
makes at most one call a pause, whatever the number of machines, and what
it knows is never older than the pause and one call. Pauses differ by what
the table's news is needed for:

- a replica that leaves must get no new requests within seconds, and one
  that comes is wanted in a wave: short;
- a job that was ended must stop within seconds, and its tokens count
  against a quota that allows an overrun of a tenth: a part of a second;
- the listed results of a job are needed by its owner, who wrote them, and
  by whoever takes it over seconds later. A caller's read that finds
  nothing new here reads the store itself;
- the configuration has a bound of its own and changes rarely: no pause.
"""

import enum

__all__ = ["FeedUse", "pause_ms"]


class FeedUse(enum.Enum):
    """What a table is followed for."""

    CONFIGURATION = "configuration"
    REPLICAS = "replicas"
    JOBS = "jobs"
    PROGRESS = "progress"
    LOSSES = "losses"


_PAUSE_MS = {
    FeedUse.CONFIGURATION: 0,
    FeedUse.REPLICAS: 150,
    FeedUse.JOBS: 500,
    FeedUse.PROGRESS: 700,
    FeedUse.LOSSES: 150,
}
"""Milliseconds after an answer with changes. With all five tables busy an
entry makes at most 17 calls a second, and under 5 where replicas and losses
are quiet; each pause is a sixth or less of the second bounds above."""


def pause_ms(use: FeedUse, has_changes: bool) -> int:
    """Return how long to wait before the next call, in milliseconds.

    Parameters
    ----------
    use : FeedUse
    has_changes : bool
        Whether the last answer held changes. One without has waited for
        them, so that the next call is made at once.

    Examples
    --------
    >>> pause_ms(FeedUse.JOBS, has_changes=False)
    0
    >>> pause_ms(FeedUse.CONFIGURATION, has_changes=True)
    0
    >>> pause_ms(FeedUse.JOBS, has_changes=True) > 0
    True
    """
    return _PAUSE_MS[use] if has_changes else 0
