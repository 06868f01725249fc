"""Fair queueing among callers, and detection of callers over their share.

Load pattern: a few callers send most of the work, or long requests compete
with short ones.

What goes wrong without it: first come, first served lets a hot caller
starve the small ones. The order is work-conserving: no capacity is held back
for an idle caller.

How:

* `FairOrder` is start-time fair queueing [1]_ over tokens [2]_. A request's
  place is the virtual start ``max(V, finish of its caller)``; virtual time
  V is the start tag of the last dispatch, so an idle caller earns neither
  debt nor credit. Cost is prompt tokens plus twice the output tokens, since
  a decode step holds its slot longer than a prefill token; output is
  estimated by the model's mean and corrected at the end.
  With a half-life the part of an account beyond V decays, so that it holds
  what the caller was lately given and not what it was ever given.
* `InFlight` detects callers with more than their share of the work in
  flight. They may not take an endpoint's last slots. This is trunk
  reservation [3]_: fair order acts only on waiting requests, so long
  requests would otherwise be admitted whenever the queue is empty.

  Known weakness: a few small calls a second beside hot callers with long
  answers are still refused in part.

Hard limits are in `limits`.

Memory: an account is evicted once virtual time passes it, or when it is
older than any request waits. Each arrival checks two accounts, so the table
shrinks faster than it grows.

Complexity: O(1) per event, O(log n) for a place in the queue.

References
----------
.. [1] P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queuing", SIGCOMM 1996;
   with several in service: W. Jin, J. Chase, J. Kaur, "Interposed
   Proportional Sharing for a Storage Service Utility", SIGMETRICS 2004.
.. [2] Y. Sheng et al., "Fairness in Serving Large Language Models",
   OSDI 2024.
.. [3] P. Key, "Optimal Control and Trunk Reservation in Loss Networks",
   Probability in the Engineering and Informational Sciences 4, 1990.
"""

from dataclasses import dataclass

from dahliashunt.decisions.registry import Registry
from dahliashunt.ids import CallerId

__all__ = [
    "ORDERS",
    "FairOrder",
    "FcfsOrder",
    "InFlight",
]

ORDERS = Registry("order of callers")

_ACCOUNT_EXPIRY_MS = 3_000
"""Accounts unused for this long are evicted; longer than requests wait."""

_EXPIRY_HALF_LIVES = 5
"""Accounts that decay are evicted after this many half-lives, when 3 % is
left of them."""

_SWEEP_CHECKS = 2
"""Accounts checked for eviction per request; above 1 the table shrinks."""


@ORDERS.register("fcfs")
class FcfsOrder:
    """First come, first served: the baseline."""

    def __init__(self):
        self._arrivals = 0

    def tag(
        self, now: int, caller: CallerId, cost: float, weight: float
    ) -> float:
        """Return the tag by which a new request is ordered."""
        self._arrivals += 1
        return float(self._arrivals)

    def served(self, tag: float) -> None:
        """Record that a request with `tag` was dispatched."""

    def settle(self, caller: CallerId, cost: float, weight: float) -> None:
        """Correct the cost of a request once it is known."""

    def __len__(self) -> int:
        return 0


@dataclass(slots=True)
class _Account:
    finish: float
    at_ms: int


@ORDERS.register("fair")
class FairOrder:
    """Start-time fair queueing over the cost in tokens.

    Parameters
    ----------
    half_life_ms : int, optional
        Time in milliseconds after which half of what an account is ahead of
        virtual time is forgotten. By default nothing is forgotten.

    Examples
    --------
    >>> order = FairOrder()
    >>> [order.tag(0, "hot", 100, 1.0) for _ in range(3)]
    [0.0, 100.0, 200.0]
    >>> order.served(100.0)
    >>> order.tag(0, "new", 100, 1.0)
    100.0
    """

    def __init__(self, half_life_ms: int | None = None):
        self._half_life_ms = half_life_ms
        self._expiry_ms = max(
            _ACCOUNT_EXPIRY_MS, _EXPIRY_HALF_LIVES * (half_life_ms or 0)
        )
        self._virtual = 0.0
        self._account_by_caller: dict[CallerId, _Account] = {}

    def tag(
        self, now: int, caller: CallerId, cost: float, weight: float
    ) -> float:
        """Return the virtual start of a new request."""
        self._sweep(now)
        start = self.start(now, caller)
        account = self._account_by_caller.pop(caller, None)
        if account is None:
            account = _Account(self._virtual, now)
        account.finish = start + cost / weight
        account.at_ms = now
        self._account_by_caller[caller] = account
        return start

    def start(self, now: int, caller: CallerId) -> float:
        """Return the virtual start that a request would have now."""
        virtual = self._virtual
        account = self._account_by_caller.get(caller)
        if account is None or account.finish <= virtual:
            return virtual
        if self._half_life_ms is None:
            return account.finish
        kept = 0.5 ** ((now - account.at_ms) / self._half_life_ms)
        return virtual + (account.finish - virtual) * kept

    def largest_lead(self, now: int) -> float:
        """Return how far the farthest account is ahead of virtual time."""
        starts = (self.start(now, each) for each in self._account_by_caller)
        return max(starts, default=self._virtual) - self._virtual

    @property
    def virtual(self) -> float:
        """Virtual time."""
        return self._virtual

    def served(self, tag: float) -> None:
        """Advance virtual time to the start tag of a dispatch."""
        self._virtual = max(self._virtual, tag)

    def settle(self, caller: CallerId, cost: float, weight: float) -> None:
        """Add `cost` to the caller's account; a negative cost is refunded."""
        account = self._account_by_caller.get(caller)
        if account is not None:
            account.finish += cost / weight

    def __len__(self) -> int:
        return len(self._account_by_caller)

    def _sweep(self, now: int) -> None:
        # Least recently used first. Virtual time stands still while no
        # request waits, so accounts must expire by age as well.
        accounts = self._account_by_caller
        for _ in range(min(_SWEEP_CHECKS, len(accounts))):
            caller = next(iter(accounts))
            account = accounts[caller]
            old = now - account.at_ms > self._expiry_ms
            if not old and account.finish > self._virtual:
                return
            del accounts[caller]


@dataclass(slots=True)
class _Use:
    cost: float
    count: int
    weight: float


class InFlight:
    """Work in flight by caller, to detect callers over their share.

    Parameters
    ----------
    over : float
        Multiple of its share above which a caller is over it.

    Examples
    --------
    >>> in_flight = InFlight(over=1.5)
    >>> for _ in range(4):
    ...     in_flight.add("hot", 100, 1.0)
    >>> in_flight.is_over("hot")
    False
    >>> in_flight.add("small", 100, 1.0)
    >>> in_flight.is_over("hot"), in_flight.is_over("small")
    (True, False)
    """

    def __init__(self, over: float):
        self._over = over
        self._use_by_caller: dict[CallerId, _Use] = {}
        self._cost = 0.0
        self._weight = 0.0

    def add(self, caller: CallerId, cost: float, weight: float) -> None:
        """Add a request to the work in flight."""
        use = self._use_by_caller.get(caller)
        if use is None:
            use = self._use_by_caller[caller] = _Use(0.0, 0, weight)
            self._weight += weight
        use.cost += cost
        use.count += 1
        self._cost += cost

    def remove(self, caller: CallerId, cost: float) -> None:
        """Remove a request from the work in flight."""
        use = self._use_by_caller[caller]
        use.cost -= cost
        use.count -= 1
        self._cost -= cost
        if not use.count:
            del self._use_by_caller[caller]
            self._weight -= use.weight
        if not self._use_by_caller:
            self._cost = self._weight = 0.0

    def is_over(self, caller: CallerId) -> bool:
        """Tell whether `caller` is over its share of the work in flight."""
        use = self._use_by_caller.get(caller)
        if use is None:
            return False
        share = self._cost * use.weight / self._weight
        return use.cost > self._over * share
