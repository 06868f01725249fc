"""Orders of batch items after an outage, beside earliest due first."""

import heapq

from dahliashunt.decisions.item_queue import ItemQueue
from dahliashunt.decisions.item_queue import spare_ms
from dahliashunt.decisions.item_queue import WaitingItem

RUN_MS = 5_000


class EarliestDue:
    """The baseline."""

    def __init__(self):
        self._heap = []

    def __len__(self):
        return len(self._heap)

    def put(self, item):
        heapq.heappush(self._heap, (item.due_ms, item.work, item))

    def take(self, now_ms, usual_ms):
        return heapq.heappop(self._heap)[2]


def in_time(queue, waiting, slots, gap_ms, due_after_ms=18_000):
    """Return how many items are done in time, and how many at all.

    One item came each `gap_ms` while nothing could run; then `slots`
    come back.
    """
    for number in range(waiting):
        came_ms = (number - waiting) * gap_ms
        queue.put(WaitingItem(came_ms + due_after_ms, 0, number))
    free_ms = [0] * slots
    done = good = 0
    while len(queue):
        now_ms = heapq.heappop(free_ms)
        item = queue.take(now_ms, RUN_MS)
        heapq.heappush(free_ms, now_ms + RUN_MS)
        done += 1
        good += now_ms + RUN_MS <= item.due_ms
    return good, done


def test_after_an_outage_what_can_be_in_time_goes_first():
    # A fleet was dark for half a minute and 60 items wait. Each that goes
    # ahead although it is late makes another one late.
    play = {"waiting": 60, "slots": 6, "gap_ms": 450}
    assert in_time(EarliestDue(), **play) == (0, 60)
    assert in_time(ItemQueue(), **play) == (18, 60)


def test_while_all_can_be_in_time_the_earliest_due_goes_first():
    play = {"waiting": 12, "slots": 6, "gap_ms": 200}
    assert in_time(ItemQueue(), **play) == (12, 12)
    queue = ItemQueue()
    for due_ms in (9_000, 7_000, 8_000):
        queue.put(WaitingItem(due_ms, 0, due_ms))
    taken = [queue.take(0, RUN_MS).due_ms for _ in range(3)]
    assert taken == [7_000, 8_000, 9_000]


def test_an_item_that_has_nearly_run_may_still_be_in_time():
    # It lost its slot to an online wave one second before its end, and is
    # due in two: with its text kept it is not late.
    started = WaitingItem(2_000, 4_000, "started")
    queue = ItemQueue()
    queue.put(started)
    queue.put(WaitingItem(2_500, 0, "new"))
    assert queue.take(0, RUN_MS) is started
    assert spare_ms(WaitingItem(100, 9_000, ""), 0, RUN_MS) < 0


def test_late_items_are_done_in_the_end():
    queue = ItemQueue()
    for due_ms in (300, 100, 200):
        queue.put(WaitingItem(due_ms, 0, due_ms))
    taken = [queue.take(1_000, RUN_MS).due_ms for _ in range(3)]
    assert taken == [100, 200, 300]
    assert queue.take(1_000, RUN_MS) is None
