"""When a caller that found no service is told to come back.

Load pattern
------------
For a second or two more online requests come than the fleet has slots for:
a wave while replicas are away, or everybody at once after an outage. A
caller comes back once or twice, not more.

What goes wrong without it
--------------------------
The time until the next slot is free, some tens of milliseconds in a fleet,
is the wrong answer: thousands of others wait for that slot. Callers return
to the same full fleet together, are refused again and give up, while a
second later slots stand idle. A node that was started while the store is
away, with all others, refuses everybody; told to come back in a moment they
are refused twice before it is over.

How
---
A full fleet has turned over once a request has held its slot, so that a
caller returns after one to two of these times, drawn evenly, which spreads
those who were refused together. How long slots are held is learned from
this entry's own requests.

Of an outage nothing is known but how long it has lasted; it is taken to
last as long again. A short one, which other nodes may not share, so sends
callers elsewhere at once, and a long one tells them to wait.

References
----------
Metcalfe and Boggs, "Ethernet: distributed packet switching for local
computer networks", Communications of the ACM 19(7), 1976, on drawing the
time of a retry from a range that fits the load.
"""

import random

__all__ = ["HoldTimes", "return_after_ms", "return_after_outage_ms"]

INITIAL_HOLD_MS = 700
"""Time a slot is held before any was seen to end; about 250 output tokens
at 2.8 ms a token."""

HOLD_EWMA_WEIGHT = 0.1
"""Weight of a new hold in the mean: the last ten or so count."""

MIN_HOLD_MS = 100
"""Requests that end sooner were cut or were short answers: a caller that
comes back as soon meets the same wave."""

TURNS = (1.0, 2.1)
"""How many holds later callers return, at the least and at the most. With
holds of 0.7 s the latest is a third of five seconds, beyond which callers
do not wait."""

OUTAGE_MS = (300, 1_600)
"""Bounds of Retry-After in an outage: another node takes an early retry,
and a third of five seconds is the longest that callers wait."""

OUTAGE_JITTER = (0.7, 1.3)
"""Callers of one moment come back over so much of the time."""


class HoldTimes:
    """How long online requests hold a slot of each service.

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
        """Note that a request gave back its slot after `held_ms`."""
        mean_ms = self._mean_ms_by_service.get(service, INITIAL_HOLD_MS)
        mean_ms += HOLD_EWMA_WEIGHT * (held_ms - mean_ms)
        self._mean_ms_by_service[service] = mean_ms

    def mean_ms(self, service: str) -> int:
        """Return the learned time, in milliseconds."""
        mean_ms = self._mean_ms_by_service.get(service, INITIAL_HOLD_MS)
        return max(MIN_HOLD_MS, round(mean_ms))


def return_after_ms(hold_ms: int, wait_ms: int, rng: random.Random) -> int:
    """Return the time after which a refused caller should come back.

    Parameters
    ----------
    hold_ms : int
        How long a request holds its slot.
    wait_ms : int
        Shortest expected wait for a slot, as last heard.
    rng : random.Random

    Examples
    --------
    >>> 700 <= return_after_ms(700, 0, random.Random(1)) <= 1470
    True
    """
    delay_ms = int(hold_ms * rng.uniform(*TURNS))
    return max(wait_ms, delay_ms)


def return_after_outage_ms(lasted_ms: int, rng: random.Random) -> int:
    """Return the time after which to come back in an outage, in ms.

    Parameters
    ----------
    lasted_ms : int
        How long it has lasted, as far as this node knows.
    rng : random.Random

    Examples
    --------
    >>> return_after_outage_ms(10, random.Random(1))
    300
    >>> return_after_outage_ms(60_000, random.Random(1))
    1600
    """
    min_ms, max_ms = OUTAGE_MS
    delay_ms = int(lasted_ms * rng.uniform(*OUTAGE_JITTER))
    return max(min_ms, min(max_ms, delay_ms))
