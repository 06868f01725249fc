"""How long a caller had been waiting before this attempt.

Load pattern
------------
After an outage of a second or two all callers who found nobody come back
at once, beside those who come for the first time. For some seconds more
come than the fleet can serve.

What goes wrong without it
--------------------------
First come first served gives the slots to callers whose answer is late
whatever is done, and makes those late who could still be served in time.
These are sent away or late in their turn, for as long as the backlog lasts
(the domino effect of overload).

How
---
A caller says how long it will still wait. Callers of one route mostly start
with the same time, so that one who has less left has been waiting for the
difference, at another entry or before a closed door. The usual time is the
longest that a fair part of the last callers gave: some callers are more
patient than others and must not make the rest look late. Until enough have
come it is the route's own limit.

What follows from it is decided elsewhere: a request that can't be in time
any more waits behind those that can (`slot_keeper`), for longer.

Complexity: linear in the callers that are remembered, which are few.
"""

from collections import Counter
from collections import deque

__all__ = ["CallerWaits"]

WINDOW_CALLERS = 50
"""Last callers of a route that count: some seconds of an entry's load."""

COMMON_SHARE = 0.2
"""Part of the remembered callers that must have had as long: well over the
few that are more patient, and under the new ones in a backlog."""

MIN_CALLERS = 5
"""Callers before the usual time is taken as known."""

BUCKET_MS = 50
"""Times that differ by less are the same: what the way took is in them."""


class CallerWaits:
    """Learns the usual time of each route's callers.

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
        """Return how long a caller had waited when it came, in ms.

        Parameters
        ----------
        route : str
        left_ms : int
            How long it will wait from now on.
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
