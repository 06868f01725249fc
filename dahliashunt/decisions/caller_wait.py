"""Estimate of how long a caller waited before this attempt.

Load pattern
------------
After a short outage all callers that were refused retry at once, beside the
new ones. For some seconds the demand exceeds the capacity.

What goes wrong without it
--------------------------
First come, first served gives slots to callers whose answer is late anyway,
and makes those late that could still be served in time, for as long as the
backlog lasts (the domino effect of overload).

How
---
A caller sends how long it will still wait. Callers of one route mostly start
with the same patience, so that one with less left has waited for the
difference. The usual patience is the longest that at least `COMMON_SHARE` of
the last callers had, so that a few patient callers do not make the rest look
late. Until `MIN_CALLERS` have come it is the route's limit.

Requests that can't be in time any more wait behind those that can; see
`slot_allocator`.

Complexity: linear in `WINDOW_CALLERS`.
"""

from collections import Counter
from collections import deque

__all__ = ["CallerWaits"]

WINDOW_CALLERS = 50
"""Last callers of a route that are kept."""

COMMON_SHARE = 0.2
"""Share of the kept callers that a patience needs to count as usual; above
that of patient callers, below that of new callers in a backlog."""

MIN_CALLERS = 5
"""Callers needed to estimate the usual patience."""

BUCKET_MS = 50
"""Width in milliseconds of a patience bucket; absorbs network delay."""


class CallerWaits:
    """Estimator of the usual patience of each route's callers.

    Examples
    --------
    >>> waits = CallerWaits()
    >>> for _ in range(20):
    ...     _ = waits.waited_ms("notes", 5_000, 8_000)
    >>> waits.waited_ms("notes", 3_600, 8_000)
    1400
    >>> waits.waited_ms("notes", 9_000, 8_000)
    0
    """

    def __init__(self):
        self._window_by_route: dict[str, deque[int]] = {}

    def waited_ms(self, route: str, left_ms: int, limit_ms: int) -> int:
        """Return how long a caller waited before it arrived, in ms.

        Parameters
        ----------
        route : str
        left_ms : int
            Remaining patience of the caller.
        limit_ms : int
            Longest time that the route keeps any request.
        """
        window = self._window_by_route.setdefault(
            route, deque(maxlen=WINDOW_CALLERS)
        )
        usual_patience_ms = (
            _usual_patience_ms(window)
            if len(window) >= MIN_CALLERS
            else limit_ms
        )
        window.append(min(left_ms, limit_ms))
        waited_ms = min(usual_patience_ms, limit_ms) - left_ms
        return waited_ms if waited_ms >= BUCKET_MS else 0

    def keep_only(self, routes) -> None:
        """Forget routes that are not in `routes`."""
        for route in list(self._window_by_route):
            if route not in routes:
                del self._window_by_route[route]


def _usual_patience_ms(window):
    count_by_time = Counter(left_ms // BUCKET_MS for left_ms in window)
    min_count = COMMON_SHARE * len(window)
    common = [
        time for time, count in count_by_time.items() if count >= min_count
    ]
    longest = max(common, default=max(count_by_time))
    return max(each for each in window if each // BUCKET_MS == longest)
