"""Retry delay of callers that are refused for lack of a slot.

Load pattern
------------
For a second or two more online requests arrive than the fleet has slots:
a burst while replicas are down, or all callers at once after an outage.
Callers retry once or twice.

What goes wrong without it
--------------------------
Told to retry when the next slot is free, all refused callers return together
to the same full fleet and give up, while slots are idle a second later. The
same holds for a node that starts while the store is unreachable.

How
---
A full fleet has turned over after one hold time, so that callers retry after
one to two hold times, with jitter. Hold times are learned from this entry's
own requests.

An outage is assumed to last as long again as it has lasted. A short one thus
sends callers to other nodes at once, and a long one makes them wait.

References
----------
Metcalfe and Boggs, "Ethernet: distributed packet switching for local
computer networks", Communications of the ACM 19(7), 1976, on randomized
retransmission delays that adapt to the load.
"""

import random

__all__ = ["HoldTimes", "outage_retry_delay_ms", "retry_delay_ms"]

INITIAL_HOLD_MS = 700
"""Initial estimate of the time a request holds a slot, in ms."""

HOLD_EWMA_WEIGHT = 0.1
"""Weight of a new hold time in the moving average."""

MIN_HOLD_MS = 100
"""Lower bound of the estimate; shorter holds are aborted or short answers."""

RETRY_DELAY_HOLDS = (1.0, 2.1)
"""Bounds of the retry delay, in hold times; the upper one stays within what
callers wait."""

OUTAGE_RETRY_BOUNDS_MS = (300, 1_600)
"""Bounds of the retry delay in an outage, in milliseconds."""

OUTAGE_JITTER = (0.7, 1.3)
"""Bounds of the random factor on the retry delay in an outage."""


class HoldTimes:
    """Moving average, by service, of the time a request holds a slot.

    Examples
    --------
    >>> holds = HoldTimes()
    >>> holds.mean_ms("s")
    700
    >>> for _ in range(100):
    ...     holds.ended("s", 300)
    >>> holds.mean_ms("s")
    300
    """

    def __init__(self):
        self._mean_ms_by_service: dict[str, float] = {}

    def ended(self, service: str, held_ms: int) -> None:
        """Record a request that released its slot after `held_ms`."""
        mean_ms = self._mean_ms_by_service.get(service, INITIAL_HOLD_MS)
        mean_ms += HOLD_EWMA_WEIGHT * (held_ms - mean_ms)
        self._mean_ms_by_service[service] = mean_ms

    def mean_ms(self, service: str) -> int:
        """Return the mean hold time, in milliseconds."""
        mean_ms = self._mean_ms_by_service.get(service, INITIAL_HOLD_MS)
        return max(MIN_HOLD_MS, round(mean_ms))


def retry_delay_ms(hold_ms: int, wait_ms: int, rng: random.Random) -> int:
    """Return the retry delay of a refused caller, in milliseconds.

    Parameters
    ----------
    hold_ms : int
        Mean time a request holds its slot.
    wait_ms : int
        Shortest expected wait for a slot, as last reported.
    rng : random.Random

    Examples
    --------
    >>> 700 <= retry_delay_ms(700, 0, random.Random(1)) <= 1470
    True
    """
    delay_ms = int(hold_ms * rng.uniform(*RETRY_DELAY_HOLDS))
    return max(wait_ms, delay_ms)


def outage_retry_delay_ms(lasted_ms: int, rng: random.Random) -> int:
    """Return the retry delay in an outage, in milliseconds.

    Parameters
    ----------
    lasted_ms : int
        Duration of the outage so far, as known to this node.
    rng : random.Random

    Examples
    --------
    >>> outage_retry_delay_ms(10, random.Random(1))
    300
    >>> outage_retry_delay_ms(60_000, random.Random(1))
    1600
    """
    min_ms, max_ms = OUTAGE_RETRY_BOUNDS_MS
    delay_ms = int(lasted_ms * rng.uniform(*OUTAGE_JITTER))
    return max(min_ms, min(max_ms, delay_ms))
