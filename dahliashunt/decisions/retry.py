"""Retry budget.

Load pattern: endpoints fail while the fleet is loaded, and each retry adds
load to the remaining ones.

Without it retries multiply the load when many endpoints fail.

Rules: retries are limited to a fraction of successes plus a reserve, for
the entry and for each caller [1]_, so that one caller's failing requests
don't use up the retries of the others.

Not charged: retries of requests that did not run because their endpoint is
leaving or lost, and isolated runs of suspects, which have their own bound.
A request that may have run is retried only if it is idempotent and nothing
of its answer was delivered.

References
----------
.. [1] Google, "Site Reliability Engineering", chapter 21, Handling
   Overload, 2016; the token bucket of gRPC's retry throttling.
"""

from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.ids import CallerId

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token buckets of retries for the fleet and for each caller.

    Examples
    --------
    >>> policy = EntryPolicy(retry_reserve=1.0, caller_retry_reserve=5.0)
    >>> budget = RetryBudget(policy)
    >>> budget.take("a"), budget.take("a")
    (True, False)
    >>> for _ in range(11):
    ...     budget.succeeded("a")
    >>> budget.take("a")
    True
    """

    def __init__(self, policy: EntryPolicy):
        self._policy = policy
        self._fleet_balance = policy.retry_reserve
        # Balances of callers below their reserve; the oldest is evicted.
        self._by_caller: dict[CallerId, float] = {}

    def succeeded(self, caller: CallerId) -> None:
        """Credit a success to the budgets of the fleet and the caller."""
        policy = self._policy
        self._fleet_balance = min(
            policy.retry_cap, self._fleet_balance + policy.retry_ratio
        )
        balance = self._by_caller.get(caller)
        if balance is not None:
            balance += policy.caller_retry_ratio
            if balance >= policy.caller_retry_reserve:
                del self._by_caller[caller]
            else:
                self._by_caller[caller] = balance

    def take(self, caller: CallerId) -> bool:
        """Charge one retry; return False if a budget is exhausted."""
        policy = self._policy
        balance = self._by_caller.pop(caller, policy.caller_retry_reserve)
        allowed = balance >= 1 and self._fleet_balance >= 1
        if allowed:
            balance -= 1
            self._fleet_balance -= 1
        self._by_caller[caller] = balance
        if len(self._by_caller) > policy.fingerprints_max:
            del self._by_caller[next(iter(self._by_caller))]
        return allowed

    def __len__(self) -> int:
        return len(self._by_caller)
