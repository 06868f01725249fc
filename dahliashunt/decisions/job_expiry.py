"""Removal of what is stored about ended jobs.

Load pattern
------------
Thousands of jobs and millions of results arrive each day. Every node knows
all of them, and nodes join and leave.

What goes wrong without it
--------------------------
The store, the memory of each node and the first read after a restart grow
without bound. If every node removed each expired job, the calls would
multiply with the nodes.

How
---
The last owner of a job removes it; any other node does so only after a
further delay. Removal is idempotent, so that two nodes may both do it.
"""

__all__ = ["ORPHAN_GRACE_MS", "RETENTION_MARGIN_MS", "may_remove"]

RETENTION_MARGIN_MS = 60_000
"""Milliseconds beyond the promised retention; covers clock skew and reads in
progress."""

ORPHAN_GRACE_MS = 60_000
"""Further milliseconds after which any node removes the job, since its last
owner may be gone; longer than the owner's scan interval."""


def may_remove(age_ms: int, keep_ms: int, is_last_owner: bool) -> bool:
    """Tell whether a node may remove an ended job.

    Parameters
    ----------
    age_ms : int
        Time since the job was accepted, by the store's clock.
    keep_ms : int
        Promised retention of results.
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
