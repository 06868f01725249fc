"""Which waiting batch items a refused slot request speaks for.

Load pattern
------------
Items of several jobs, services and sizes wait at one entry. Some get no slot
for long: they exceed the memory of each replica, or what is left of it, or
their service has no replica.

What goes wrong without it
--------------------------
The first item in the order asks again and again, and none behind it is looked
at: all other items are left while slots are free.

How
---
A pass over the queue asks for the first item and, after a refusal, for the
next one that needs less. An item needs as much as a refused one if it goes to
the same service, at no other software version, with as many tokens and as
long a run. A refusal while all slots of a service are taken speaks for all of
its items, so that the order by due time decides who gets the next slot. The
first item is asked for again in each pass; those that it speaks for pause.

Stopping at the first refusal keeps more room for large items, but only that
of one entry: the other entries, and online requests, take it meanwhile.

Complexity: O(r) per item for r refusals in the pass, at most `MAX_REFUSALS`.
"""

from dataclasses import dataclass
from dataclasses import replace
import enum
import math

from dahliashunt.ids import SoftwareVersion

__all__ = ["Demand", "Refusal", "Refusals", "refused_pause_ms"]

MAX_REFUSALS = 8
"""Refusals by agents after which a pass ends; each costs datagrams."""

MIN_PAUSE_MS = 100

MAX_PAUSE_MS = 800
"""Bounds of the pause of a refused item, in milliseconds."""


@dataclass(frozen=True, slots=True)
class Demand:
    """What a batch item asks for.

    Attributes
    ----------
    service : str
    version : SoftwareVersion or None
        Version that must continue the item; None for any.
    tokens : int
        Prompt and maximum output; 0 if unknown.
    run_ms : int
        Expected remaining run.
    """

    service: str
    version: SoftwareVersion | None = None
    tokens: int = 0
    run_ms: int = 0


class Refusal(enum.Enum):
    """Why an item got no slot."""

    FULL = "full"
    """All slots of its service were taken, whatever the item needs."""

    ASKED = "asked"
    """The agents refused it, though a slot may be free for another item."""

    UNASKED = "unasked"
    """No replica is large enough, or none of the service is listed."""


class Refusals:
    """Refused slot requests of one pass over the queue.

    Examples
    --------
    >>> refusals = Refusals()
    >>> refusals.note(Demand("s", tokens=900), Refusal.ASKED, 300)
    >>> refusals.covers(Demand("s", tokens=301))
    True
    >>> refusals.covers(Demand("s", tokens=200))
    False
    >>> refusals.note(Demand("s", tokens=200), Refusal.FULL)
    >>> refusals.covers(Demand("s", tokens=1)), refusals.covers(Demand("t"))
    (True, False)
    """

    def __init__(self):
        self._refused: list[Demand] = []
        self._asked = 0

    def __len__(self):
        return len(self._refused)

    def note(
        self, demand: Demand, refusal: Refusal, room: float = math.inf
    ) -> None:
        """Note a refusal.

        Parameters
        ----------
        demand : Demand
        refusal : Refusal
        room : float
            Most tokens of memory beside a free slot; larger items would be
            refused as well.
        """
        self._asked += refusal is not Refusal.UNASKED
        if refusal is Refusal.FULL:
            demand = Demand(demand.service, demand.version)
        elif demand.tokens > room:
            demand = replace(demand, tokens=int(room) + 1, run_ms=0)
        self._refused.append(demand)

    def covers(self, demand: Demand) -> bool:
        """Return whether `demand` would be refused as well."""
        return any(
            refused.service == demand.service
            and refused.version in (None, demand.version)
            and refused.tokens <= demand.tokens
            and refused.run_ms <= demand.run_ms
            for refused in self._refused
        )

    def end_pass(self, services: frozenset[str]) -> bool:
        """Return whether no other item is worth a request.

        Parameters
        ----------
        services : frozenset of str
            Services that the waiting items may go to.
        """
        return self._asked >= MAX_REFUSALS or all(
            self.covers(Demand(service)) for service in services
        )


def refused_pause_ms(refusals: int) -> int:
    """Return the pause of an item after some refusals in a row.

    Examples
    --------
    >>> [refused_pause_ms(count) for count in (1, 2, 3, 4, 5)]
    [100, 200, 400, 800, 800]
    """
    return min(MIN_PAUSE_MS << min(refusals - 1, 10), MAX_PAUSE_MS)
