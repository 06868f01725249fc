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
scheduling). A burst of one workspace's jobs makes those of all others wait
until it is done.

How
---
Earliest due date first among the feasible items. An item is feasible while
the time to its due time covers the remaining run: the mean run of the items
done here less the time it has run, but at least `MIN_REMAINING_SHARE` of the
mean. Infeasible items follow in the same order and yield their slots first.
Later revocations are not estimated, so that an item counts as infeasible
only if it surely is.

Among feasible items that are due within one mean run of each other, and
among infeasible items, the workspace with the least virtual start goes first
(`fair.FairOrder` over tokens). An item is charged when it starts, for the
part that is left of it; an item that asked in vain is not. Nothing stops a
running item for another, so that an item's class decides only when it starts.

Alternatives do not fit: accepted items must be done, which excludes
admission tests and dropping (D-over); item lengths are unknown, and least
remaining work first starves long ones.

Complexity: O(w + log n) amortised to take the next of n waiting items of w
workspaces; an item changes queues once.
"""

from dataclasses import dataclass
import heapq
import itertools
import math

from dahliashunt.decisions.fair import FairOrder
from dahliashunt.decisions.workspace_shares import request_tokens

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
    workspace : int
        Digest of the workspace's name; 0 for none.
    prompt_tokens, output_tokens : int
        Length of the prompt and stated maximum of the output; 0 if unknown.
    """

    due_ms: int
    ran_ms: int
    work: object = None
    workspace: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0


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
        self._feasible = _Heaps()
        self._infeasible = _Heaps()
        # Heap of (time, number, item).
        self._parked: list[tuple[int, int, WaitingItem]] = []
        self._accounts = FairOrder()
        self._sequence = itertools.count()

    def __len__(self):
        ready = len(self._feasible) + len(self._infeasible)
        return ready + len(self._parked)

    def put(self, item: WaitingItem) -> None:
        """Add an item, also one whose attempt got no slot."""
        entry = (item.due_ms, next(self._sequence), item)
        self._feasible.push(entry)

    def park(self, item: WaitingItem, until_ms: int) -> None:
        """Add an item that is not to be taken before `until_ms`."""
        entry = (until_ms, next(self._sequence), item)
        heapq.heappush(self._parked, entry)

    def take(self, now_ms: int) -> WaitingItem | None:
        """Remove and return the next item; None if there is none."""
        while self._parked and self._parked[0][0] <= now_ms:
            self.put(heapq.heappop(self._parked)[2])
        for workspace in self._feasible.workspaces():
            self._move_infeasible(workspace, now_ms)
        for heaps, similar_ms in (
            (self._feasible, self.mean_run_ms),
            (self._infeasible, math.inf),
        ):
            if len(heaps):
                return heaps.pop(self._next(heaps, similar_ms, now_ms))
        return None

    def _move_infeasible(self, workspace, now_ms):
        """Move the first items of `workspace` until one is feasible."""
        while (entry := self._feasible.first(workspace)) is not None:
            if self.laxity_ms(entry[2], now_ms) >= 0:
                return
            self._feasible.pop(workspace)
            self._infeasible.push(entry)

    def _next(self, heaps, similar_ms, now_ms):
        """Return the workspace whose first item is next."""
        first_by_workspace = {
            workspace: heaps.first(workspace)
            for workspace in heaps.workspaces()
        }
        latest_ms = min(first_by_workspace.values())[0] + similar_ms

        def place(workspace):
            due_ms, sequence, _ = first_by_workspace[workspace]
            start = self._accounts.start(now_ms, workspace)
            return due_ms > latest_ms, start, due_ms, sequence

        return min(first_by_workspace, key=place)

    def started(self, item: WaitingItem, now_ms: int) -> None:
        """Charge an item that got a slot to its workspace."""
        left = 1 - item.ran_ms / max(1.0, self.mean_run_ms)
        tokens = request_tokens(item.prompt_tokens, item.output_tokens)
        cost = tokens * max(MIN_REMAINING_SHARE, left)
        start = self._accounts.tag(now_ms, item.workspace, cost, 1.0)
        self._accounts.served(start)

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


class _Heaps:
    """Waiting items by workspace, each heap by due time."""

    def __init__(self):
        self._heap_by_workspace: dict[int, list] = {}
        self._count = 0

    def __len__(self):
        return self._count

    def workspaces(self):
        """Return the workspaces that have items."""
        return tuple(self._heap_by_workspace)

    def push(self, entry):
        heap = self._heap_by_workspace.setdefault(entry[2].workspace, [])
        heapq.heappush(heap, entry)
        self._count += 1

    def first(self, workspace):
        """Return the first entry of `workspace`, or None."""
        heap = self._heap_by_workspace.get(workspace)
        return heap[0] if heap else None

    def pop(self, workspace):
        """Remove and return the first item of `workspace`."""
        heap = self._heap_by_workspace[workspace]
        item = heapq.heappop(heap)[2]
        self._count -= 1
        if not heap:
            del self._heap_by_workspace[workspace]
        return item
