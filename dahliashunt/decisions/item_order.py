"""Order in which waiting batch items ask for slots and yield them.

Load pattern
------------
Items are due a fixed time after their job arrived, and run for a quarter of
it. Bursts of online requests revoke their slots. At times more items wait
than can be done in time, after a burst of jobs or a loss of replicas.

What goes wrong without it
--------------------------
Earliest due date first is optimal while every item can be in time. Under
overload an item that is late already goes ahead of one that could still be
in time, and makes it late as well (the domino effect of real-time
scheduling).

How
---
Earliest due date first among the feasible items. An item is feasible while
the time to its due time covers the remaining run: the mean run of the items
done here less the time it has run, but at least `MIN_REMAINING_SHARE` of the
mean. Infeasible items follow in the same order and yield their slots first.
Later revocations are not estimated, so that an item counts as infeasible
only if it surely is.

Alternatives do not fit: accepted items must be done, which excludes
admission tests and dropping (D-over); item lengths are unknown, and least
remaining work first starves long ones.

Complexity: O(log n) amortised to take the next of n waiting items; an item
changes queues once.
"""

from dataclasses import dataclass
import heapq
import itertools

__all__ = ["ItemQueue", "WaitingItem"]

INITIAL_RUN_MS = 5_000
"""Initial estimate of an item's run, in milliseconds: some 170 events of
30 ms."""

EWMA_WEIGHT = 0.1
"""Weight of a new run in the moving average."""

MIN_REMAINING_SHARE = 0.1
"""Least remaining run of an item, as a share of the mean run."""

INFEASIBLE_SLACK_MS = 3_600_000
"""Added to the slack of an infeasible item; exceeds any real slack, so that
the item yields its slot first."""


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """Batch item that waits for a slot.

    Attributes
    ----------
    due_ms : int
        Monotonic time.
    ran_ms : int
        Time for which it has held slots, with its output kept.
    work : object
        Data that the owner needs to run it; not read here.
    """

    due_ms: int
    ran_ms: int
    work: object = None


class ItemQueue:
    """Queue of one owner's waiting items, with the mean run of its items.

    Examples
    --------
    >>> order = ItemQueue()
    >>> for due_ms in (9_000, 4_000, 12_000):
    ...     order.put(WaitingItem(due_ms, 0))
    >>> [order.take(0).due_ms for _ in range(3)]
    [9000, 12000, 4000]
    """

    def __init__(self):
        self.mean_run_ms: float = INITIAL_RUN_MS
        self._feasible: list = []
        self._infeasible: list = []
        self._sequence = itertools.count()

    def __len__(self):
        return len(self._feasible) + len(self._infeasible)

    def put(self, item: WaitingItem) -> None:
        """Add an item, also one whose attempt got no slot."""
        entry = (item.due_ms, next(self._sequence), item)
        heapq.heappush(self._feasible, entry)

    def take(self, now_ms: int) -> WaitingItem | None:
        """Remove and return the next item; None if there is none."""
        while self._feasible:
            entry = heapq.heappop(self._feasible)
            if self.laxity_ms(entry[2], now_ms) >= 0:
                return entry[2]
            heapq.heappush(self._infeasible, entry)
        return heapq.heappop(self._infeasible)[2] if self._infeasible else None

    def done(self, ran_ms: int) -> None:
        """Record an item that was done after holding slots for `ran_ms`."""
        self.mean_run_ms += EWMA_WEIGHT * (ran_ms - self.mean_run_ms)

    def laxity_ms(self, item: WaitingItem, now_ms: int) -> int:
        """Return how long `item` may still wait; negative if infeasible."""
        return item.due_ms - now_ms - self.run_ms(item)

    def run_ms(self, item: WaitingItem) -> int:
        """Return the expected remaining run of `item`."""
        remaining_ms = max(
            self.mean_run_ms - item.ran_ms,
            MIN_REMAINING_SHARE * self.mean_run_ms,
        )
        return int(remaining_ms)

    def slack_ms(self, item: WaitingItem, now_ms: int) -> int:
        """Return the slack by which the agent chooses an item to revoke.

        The item with the most slack yields its slot first.
        """
        slack_ms = max(0, item.due_ms - now_ms)
        if self.laxity_ms(item, now_ms) < 0:
            return INFEASIBLE_SLACK_MS + slack_ms
        return slack_ms
