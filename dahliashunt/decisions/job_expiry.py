"""When a node removes what is kept of an ended job.

Load pattern
------------
11,000 jobs and 12 million results come each day; every node knows all of
them, and nodes come and go.

What goes wrong without it
--------------------------
Without a removal the store, each node's memory and each restart's first
read grow for ever. If every node removed every expired job at once, the
same calls would be made once a node.

How
---
The job's last owner removes it, and any node once it is clear that the last
owner does not. Two that both do so harm nothing.
"""

__all__ = ["ORPHAN_GRACE_MS", "RETENTION_MARGIN_MS", "may_remove"]

RETENTION_MARGIN_MS = 60_000
"""Longer than promised: callers' clocks and the way of their calls, and
reads that began in time."""

ORPHAN_GRACE_MS = 60_000
"""So long after that any node removes a job whose last owner did not: it
was replaced meanwhile. Four looks of the owner fit in."""


def may_remove(age_ms: int, keep_ms: int, is_last_owner: bool) -> bool:
    """Tell whether a node removes a job that is not open.

    Parameters
    ----------
    age_ms : int
        Since the job's acceptance, by the store's clock.
    keep_ms : int
        How long results were promised to stay.
    is_last_owner : bool
        Whether this node owned the job last.

    Examples
    --------
    >>> [may_remove(age, 120_000, True) for age in (180_000, 180_001)]
    [False, True]
    >>> [may_remove(age, 120_000, False) for age in (180_001, 240_001)]
    [False, True]
    """
    over_ms = age_ms - keep_ms - RETENTION_MARGIN_MS
    return over_ms > (0 if is_last_owner else ORPHAN_GRACE_MS)
