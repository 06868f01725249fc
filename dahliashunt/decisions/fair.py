"""Order among callers, and who is over its share.

Load pattern: a few callers send most of the work, or long requests among
short ones.

Without it (first come first served) two hot callers leave the small ones a
sixth of their answers; with it these get all. The fleet's whole output goes
to somebody: nothing is held back for a caller that does not ask.

Two parts here, and hard limits in `limits`:

* `FairOrder` is start-time fair queueing [1]_ over tokens [2]_. A request's
  place is the virtual start ``max(V, finish of its caller)``; virtual time
  V is the start of what was last dispatched, so an idle caller comes back
  at V: it neither has to catch up nor has saved anything. Cost is prompt
  tokens plus twice the output tokens, for a decode step holds its place
  longer than a prefill token; output is expected as the model's mean and
  corrected at the end.
* `InFlight` tells who holds more than 1.5 times its share of what is in
  flight. Such a caller may not take the last tenth of an endpoint's
  places. This is trunk reservation [3]_: fair order alone acts only on
  what waits, and under overload most is refused, so that long requests
  slip in whenever the queue is empty for a moment and hold their places
  for long. A larger part than a tenth would cost the hot callers more
  tokens than it gives the small ones answers. Below a limit of 8 none is
  kept.

  Known weakness: a few small calls a second beside hot callers with long
  answers still lose a third of theirs.

Memory: an account lives until virtual time passes it, or 3 s after its
last use, which is longer than requests wait, and a bucket until it fills.
Each arrival looks at two idle entries, so that the tables shrink faster
than they grow. 44,000 callers at 1,000 a second leave under 4,000
entries (test).

Complexity: O(1) for each event, O(log n) for a place in the queue.

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
"""What a caller used longer ago than any request waits is forgiven."""

_SWEEP_CHECKS = 2
"""Idle entries looked at for each new one; above 1 the table shrinks."""


@ORDERS.register("fcfs")
class FcfsOrder:
    """First come, first served: the baseline."""

    def __init__(self):
        self._arrivals = 0

    def tag(
        self, now: int, caller: CallerId, cost: float, weight: float
    ) -> float:
        """Return the place of one more request."""
        self._arrivals += 1
        return float(self._arrivals)

    def served(self, tag: float) -> None:
        """Note that a request with `tag` was dispatched."""

    def settle(self, caller: CallerId, cost: float, weight: float) -> None:
        """Correct what a request cost, once that is known."""

    def __len__(self) -> int:
        return 0


@dataclass(slots=True)
class _Account:
    finish: float
    at_ms: int


@ORDERS.register("fair")
class FairOrder:
    """Start-time fair queueing over the cost in tokens.

    Examples
    --------
    >>> order = FairOrder()
    >>> [order.tag(0, "hot", 100, 1.0) for _ in range(3)]
    [0.0, 100.0, 200.0]
    >>> order.served(100.0)
    >>> order.tag(0, "new", 100, 1.0)
    100.0
    """

    def __init__(self):
        self._virtual = 0.0
        self._account_by_caller: dict[CallerId, _Account] = {}

    def tag(
        self, now: int, caller: CallerId, cost: float, weight: float
    ) -> float:
        """Return the virtual start of one more request."""
        self._sweep(now)
        account = self._account_by_caller.pop(caller, None)
        if account is None:
            account = _Account(self._virtual, now)
        start = max(account.finish, self._virtual)
        account.finish = start + cost / weight
        account.at_ms = now
        self._account_by_caller[caller] = account
        return start

    def served(self, tag: float) -> None:
        """Advance virtual time to the start of what is dispatched."""
        self._virtual = max(self._virtual, tag)

    def settle(self, caller: CallerId, cost: float, weight: float) -> None:
        """Add `cost` (negative: give back) to what the caller used."""
        account = self._account_by_caller.get(caller)
        if account is not None:
            account.finish += cost / weight

    def __len__(self) -> int:
        return len(self._account_by_caller)

    def _sweep(self, now: int) -> None:
        # The least recent come first. While nobody waits virtual time
        # stands still, so that age must end an account as well, or one
        # stays of each caller ever seen.
        accounts = self._account_by_caller
        for _ in range(min(_SWEEP_CHECKS, len(accounts))):
            caller = next(iter(accounts))
            account = accounts[caller]
            old = now - account.at_ms > _ACCOUNT_EXPIRY_MS
            if not old and account.finish > self._virtual:
                return
            del accounts[caller]


@dataclass(slots=True)
class _Use:
    cost: float
    count: int
    weight: float


class InFlight:
    """What the callers have in flight, to tell who is over its share.

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
        """Count one more in flight."""
        use = self._use_by_caller.get(caller)
        if use is None:
            use = self._use_by_caller[caller] = _Use(0.0, 0, weight)
            self._weight += weight
        use.cost += cost
        use.count += 1
        self._cost += cost

    def remove(self, caller: CallerId, cost: float) -> None:
        """Count one less."""
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
        """Tell whether it has much more than its share of all."""
        use = self._use_by_caller.get(caller)
        if use is None:
            return False
        share = self._cost * use.weight / self._weight
        return use.cost > self._over * share
