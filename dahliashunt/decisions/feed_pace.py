"""Pause between two reads of a table's change feed.

Load pattern
------------
Every entry follows tables that all entries write: jobs, results, replicas.
Changes grow with the number of machines, and each change answers the
long poll of every entry.

What goes wrong without it
--------------------------
Calls to the store grow with machines times changes, until they use up the
rate that the store grants.

How
---
A change after a quiet time arrives at once, since the long poll waits for
it. After an answer with changes the next call waits for a pause, and brings
all changes since. Thus an entry makes at most one call per pause, and its
data is never older than the pause and one call. The pause depends on the
table:

- a replica that leaves must get no new requests within seconds: short;
- a job that was ended must stop within seconds, and its tokens count against
  a quota that allows a small overrun: a part of a second;
- results of a job are needed by its owner, who wrote them, and by a node
  that takes it over seconds later. A caller's read that finds nothing new
  here reads the store itself;
- the configuration changes rarely and has its own bound: no pause.
"""

import enum

__all__ = ["FeedUse", "pause_ms"]


class FeedUse(enum.Enum):
    """Purpose for which a table is followed."""

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
"""Pause in milliseconds after an answer with changes. With all five tables
busy an entry makes at most 17 calls a second."""


def pause_ms(use: FeedUse, has_changes: bool) -> int:
    """Return how long to wait before the next call, in milliseconds.

    Parameters
    ----------
    use : FeedUse
    has_changes : bool
        Whether the last answer held changes. After one without, which ended
        a full long poll, there is no pause.

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
