"""Order of waiting requests and items before workspaces had shares."""

import heapq

from dahliashunt.decisions.item_order import ItemQueue
from dahliashunt.decisions.slot_allocator import LOW_PRIORITY_INTERVAL
from dahliashunt.decisions.slot_allocator import SlotAllocator

__all__ = ["FormerAllocator", "FormerItemQueue"]


class FormerAllocator(SlotAllocator):
    """Baseline: requests of all workspaces in the order of arrival."""

    __slots__ = ()

    def _not_overtaken(self, ask, competing, now_ms):
        return competing

    def _displace(self, ask, now_ms):
        return []

    def _refusal(self, ask, delay_ms, now_ms):
        refusal = SlotAllocator._refusal(self, ask, delay_ms, now_ms)
        return type(refusal)(
            refusal.attempt_id, refusal.requester, refusal.verdict
        )

    def _next_attempt_id(self, waiting_by_id, now_ms):
        self._grants += 1
        top_rank = min(each.ask.rank for each in waiting_by_id.values())
        is_low_priority_turn = self._grants % LOW_PRIORITY_INTERVAL == 0

        def sort_key(attempt_id):
            waiting = waiting_by_id[attempt_id]
            rank = waiting.ask.rank
            if is_low_priority_turn:
                rank = rank == top_rank
            return waiting.is_late(now_ms), rank

        return min(waiting_by_id, key=sort_key)


class FormerItemQueue(ItemQueue):
    """Baseline: earliest due date among all workspaces' items."""

    def __init__(self):
        super().__init__()
        self._in_time, self._late = [], []

    def __len__(self):
        return len(self._in_time) + len(self._late)

    def put(self, item):
        entry = (item.due_ms, next(self._sequence), item)
        heapq.heappush(self._in_time, entry)

    def take(self, now_ms):
        while self._in_time:
            entry = heapq.heappop(self._in_time)
            if self.laxity_ms(entry[2], now_ms) >= 0:
                return entry[2]
            heapq.heappush(self._late, entry)
        return heapq.heappop(self._late)[2] if self._late else None
