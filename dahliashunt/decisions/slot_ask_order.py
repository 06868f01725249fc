"""Order in which an online request asks agents, with and without revocation.

Load pattern
------------
Many entries share the replicas, and batch items hold slots beside online
requests. An entry's states of the agents are up to 100 ms old.

What goes wrong without it
--------------------------
An agent without an idle slot revokes a batch item at once, although another
replica has an idle slot that the entry would have asked next.

How
---
Replicas whose state shows an idle slot are asked first, without revocation.
If none grants, the replicas are asked with revocation, those with the most
batch items first. Where no state shows an idle slot, the first request may
revoke, so that it costs no further round trip. All replicas that show an idle
slot are asked, since in a fleet nearly full most states that are 100 ms old
show slots that were taken since.

Complexity: O(n log n) for n replicas.
"""

from collections.abc import Callable
from collections.abc import Iterator
import heapq

from dahliashunt.decisions.slot_messages import AllocatorState

__all__ = ["idle_slots", "plan_asks"]

MAX_REVOKING = 2
"""Replicas added to those asked since they hold the most batch items: the
items may all be at replicas that online requests do not prefer."""


def idle_slots(state: AllocatorState) -> int:
    """Return the slots that neither requests nor batch items hold."""
    taken = state.online + state.batch + state.waiting
    return 0 if state.away else max(0, state.slots - taken)


def plan_asks(
    preferred: list,
    others: list,
    state_of: Callable[[object], AllocatorState | None],
) -> Iterator[tuple[object, bool]]:
    """Yield the replicas to ask, each with whether it must not revoke.

    Parameters
    ----------
    preferred : list
        Replicas to ask, in order of preference.
    others : list
        Replicas that are asked only if they hold the most items.
    state_of : callable
        Returns the state of a replica, or None if it is unknown. It is
        called again for the requests with revocation, since the answers so
        far carry newer states.
    """
    asked = []
    for replica in preferred:
        state = state_of(replica)
        if state is not None and idle_slots(state):
            asked.append(replica)
            yield replica, True

    def items(replica):
        state = state_of(replica)
        return 0 if state is None else state.batch

    added = heapq.nlargest(MAX_REVOKING, filter(items, others), key=items)
    for replica in sorted([*preferred, *added], key=items, reverse=True):
        if replica not in asked or _may_grant(state_of(replica)):
            yield replica, False


def _may_grant(state):
    return state is None or state.batch > 0 or idle_slots(state) > 0
