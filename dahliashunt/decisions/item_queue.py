"""Which waiting batch item asks for a slot next.

Load pattern
------------
Items are due a fixed time after their job came. An online wave, or a loss
of everything, takes the slots for some seconds, and more items wait than
can still be done in time.

What goes wrong without it
--------------------------
Earliest due first is best while everything can be in time, and the worst
order once it can't: the item that is late already goes ahead of the one
that would just be in time, and makes that one late too. Played with
`test_after_an_outage_what_can_be_in_time_goes_first`: of 60 items that wait
when six slots come back, earliest due first does 0 in time and this 18.

How
---
The item due first among those that can still be in time goes first; the
others follow when none is left, in the order of their due times, so that
each is still done. What an item needs is the usual run less what it has run.

Complexity: O(log n) amortised; an item changes queues once.
"""

from dataclasses import dataclass
import heapq
import itertools

__all__ = ["ItemQueue", "WaitingItem", "spare_ms"]

LEAST_LEFT = 0.1
"""Share of a usual run that an item needs at the least, however long it
has run: its end is not known before it comes."""


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that wants a slot.

    Attributes
    ----------
    due_ms : int
    ran_ms : int
        How long it has held slots, with its text kept.
    work : object
        Whatever the caller needs to run it.
    """

    due_ms: int
    ran_ms: int
    work: object


class ItemQueue:
    """Waiting items of one owner.

    Examples
    --------
    >>> queue = ItemQueue()
    >>> for due_ms in (100, 6_000, 9_000):
    ...     queue.put(WaitingItem(due_ms, 0, None))
    >>> [queue.take(0, 5_000).due_ms for _ in range(3)]
    [6000, 9000, 100]
    """

    def __init__(self):
        self._in_time: list = []
        self._late: list = []
        self._order = itertools.count()

    def __len__(self):
        return len(self._in_time) + len(self._late)

    def put(self, item: WaitingItem) -> None:
        """Add an item, or put one back."""
        heapq.heappush(self._in_time, (item.due_ms, next(self._order), item))

    def take(self, now_ms: int, usual_ms: float) -> WaitingItem | None:
        """Take out the item that goes next; None if there is none.

        Parameters
        ----------
        now_ms : int
        usual_ms : float
            How long an item holds slots until it is done.
        """
        while self._in_time:
            item = self._in_time[0][2]
            if spare_ms(item, now_ms, usual_ms) >= 0:
                return heapq.heappop(self._in_time)[2]
            heapq.heappush(self._late, heapq.heappop(self._in_time))
        return heapq.heappop(self._late)[2] if self._late else None


def spare_ms(item: WaitingItem, now_ms: int, usual_ms: float) -> int:
    """Return how long `item` may still wait and be in time.

    Below 0 it is late already.
    """
    left_ms = max(usual_ms - item.ran_ms, LEAST_LEFT * usual_ms)
    return item.due_ms - now_ms - int(left_ms)
