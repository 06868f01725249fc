"""Which waiting batch item asks for a slot next, and which one yields.

Load pattern
------------
Items are due a fixed time after their job came and run for a quarter of
it. Waves of online requests stop them and leave too few slots for some
seconds. Now and then more items wait than can be done in time: six times
the jobs for some seconds, or replicas lost.

What goes wrong without it
--------------------------
Earliest due first is the best order while every item can be in time, and
the worst once that is over: the item that is late already goes ahead of
the one that would just be in time and makes that one late too, for as long
as the system stays loaded. This domino effect of overload is known from
real-time scheduling. The ways that the field has for it were weighed:

- a guarantee at admission (refuse what is not feasible): an accepted item
  has to be done, and a refused job is worth less than a late one;
- D-over and value density: they give up items whose value is lost, and
  compare values; here an item's value grows with its length, so that the
  density is nearly the same for all;
- least remaining work first: most items done, but with a length that is
  known only from the mean it kept the long ones waiting until they were
  late, also where nobody had to be;
- earliest due first among the feasible, which is this module.

How
---
An item is feasible while the time to its due time covers what it is still
expected to run: the usual run, learned from the items done here, less what
it has run, and at least a tenth of it since an end is not known before it
comes. Feasible items go first, by due time; the others follow in the same
order, run in what is left and are delivered. An item that is no longer
feasible yields its slot before one that is.

The waves that will still stop an item are left out, so that an item is
called late only when it surely is.

Complexity: O(log n) amortised to take the next of n waiting items; an item
changes queues once.
"""

from dataclasses import dataclass
import heapq
import itertools

__all__ = ["ItemOrder", "WaitingItem"]

INITIAL_RUN_MS = 5_000
"""How long an item holds slots, in ms, before any was done here: some 170
events of 30 ms."""

EWMA_WEIGHT = 0.1
"""Weight of a new item in the mean: the last ten or so count."""

MIN_REMAINING_SHARE = 0.1
"""Share of a usual run that an item needs at the least."""

INFEASIBLE_SLACK_MS = 3_600_000
"""Added to the slack of an item that can't be in time: more than any
slack, so that it gives its slot up before all that can."""


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that wants a slot.

    Attributes
    ----------
    due_ms : int
        Monotonic time.
    ran_ms : int
        How long it has held slots with its text kept.
    work : object
        Whatever the owner needs to run it.
    """

    due_ms: int
    ran_ms: int
    work: object = None


class ItemOrder:
    """One owner's waiting items, and how long its items usually run.

    Examples
    --------
    >>> order = ItemOrder()
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
        """Add an item, or put one back."""
        entry = (item.due_ms, next(self._sequence), item)
        heapq.heappush(self._feasible, entry)

    def take(self, now_ms: int) -> WaitingItem | None:
        """Take out the item that goes next; None if there is none."""
        while self._feasible:
            entry = heapq.heappop(self._feasible)
            if self.laxity_ms(entry[2], now_ms) >= 0:
                return entry[2]
            heapq.heappush(self._infeasible, entry)
        return heapq.heappop(self._infeasible)[2] if self._infeasible else None

    def done(self, ran_ms: int) -> None:
        """Learn from an item that was done after holding slots `ran_ms`."""
        self.mean_run_ms += EWMA_WEIGHT * (ran_ms - self.mean_run_ms)

    def laxity_ms(self, item: WaitingItem, now_ms: int) -> int:
        """Return how long `item` may still wait; below 0 it is late."""
        remaining_ms = max(
            self.mean_run_ms - item.ran_ms,
            MIN_REMAINING_SHARE * self.mean_run_ms,
        )
        return item.due_ms - now_ms - int(remaining_ms)

    def slack_ms(self, item: WaitingItem, now_ms: int) -> int:
        """Return the slack by which the replica's agent chooses.

        The item with the most gives up its slot first.
        """
        slack_ms = max(0, item.due_ms - now_ms)
        if self.laxity_ms(item, now_ms) < 0:
            return INFEASIBLE_SLACK_MS + slack_ms
        return slack_ms
