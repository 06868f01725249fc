"""Wait of batch items between the trials of a prompt part they share.

Load pattern
------------
Replicas crash one after another, or together in a crash loop, while jobs whose
items share prompt parts wait for them. Each crash ends the runs of some parts;
an item's trial takes seconds and is lost as often as any other run.

What goes wrong without it
--------------------------
A part that several trials were lost with is taken to be guilty, whatever else
crashed meanwhile. All items that have it are held back for the ten minutes of
the last quarantine, though they are owed and their replicas are idle.

How
---
Up to `MAX_UNDOUBTED_TRIALS` lost trials an item waits no longer than its own
bound. After these the replicas that ended without the part decide:

- At least as many of them as with the part: crashes have other causes, and
  each further trial waits `DOUBTED_WAIT_MS` or the item's own bound, if that
  is longer. The first trial once the crashes are over clears the part.
- Fewer: the part is probably guilty. The wait doubles with each trial, so
  that few are added to the crashes, and none of the items waits for good.

Other bounds do not fit. A longer fixed quarantine holds items of sound parts
beyond their due time; none lets a guilty part crash a replica a second.
"""

__all__ = ["MAX_UNDOUBTED_TRIALS", "owed_wait_ms"]

MAX_UNDOUBTED_TRIALS = 4
"""Lost trials of a part up to which an item's own bound holds. An item alone
crashes no replica, but a part of its prompt may."""

DOUBTED_WAIT_MS = 5_000
"""Milliseconds between trials while crashes have other causes."""

GUILTY_WAIT_MS = 25_000
"""Milliseconds before the first trial of a part that is probably guilty."""


def owed_wait_ms(
    lost_trials: int, crashes: int, other_ends: int, longest_wait_ms: int
) -> int:
    """Return the longest wait before the next trial of a part.

    Parameters
    ----------
    lost_trials : int
        Trials of the part whose runs were lost.
    crashes : int
        Crashes of replicas that ran the part.
    other_ends : int
        Replicas that ended without a notice since the first of these crashes,
        and lost no run with the part.
    longest_wait_ms : int
        Bound of the item itself.

    Examples
    --------
    >>> owed_wait_ms(3, 6, 0, 2_000)
    2000
    >>> owed_wait_ms(4, 7, 7, 2_000)
    5000
    >>> [owed_wait_ms(lost, 9, 0, 2_000) for lost in (4, 5, 6)]
    [25000, 50000, 100000]
    """
    if lost_trials < MAX_UNDOUBTED_TRIALS:
        return longest_wait_ms
    if other_ends >= crashes:
        return max(longest_wait_ms, DOUBTED_WAIT_MS)
    doublings = min(lost_trials - MAX_UNDOUBTED_TRIALS, 10)
    return max(longest_wait_ms, GUILTY_WAIT_MS << doublings)
