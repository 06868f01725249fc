"""How many retries are made.

Load pattern: endpoints that fail while the fleet is loaded; each retry is
load on what is left.

Without a budget each request may become four. With all endpoints failing,
200 requests make 210 runs instead of 800 (test). Retries may be a tenth
of the successes, so that they add at most 10% of load, on top of a
reserve of 10 for a fleet that just started [1]_; a caller may use a fifth
of its own successes and a reserve of 3, so that one caller's failing
requests don't use up the retries of all.

Not charged: what an endpoint that is leaving or lost did not run, and the
run alone of a suspect, which is bounded by itself. Nothing is retried
after an end that may have run it, unless it is idempotent and the caller
got nothing of it yet. Only callers below their reserve are remembered.

References
----------
.. [1] Google, "Site Reliability Engineering", chapter 21, Handling
   Overload, 2016; the token bucket of gRPC's retry throttling.
"""

from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.ids import CallerId

__all__ = ["RetryBudget"]


class RetryBudget:
    """Retries as a share of successes, over all and by caller.

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
        # Only callers below their cap are here; the oldest go first.
        self._by_caller: dict[CallerId, float] = {}

    def succeeded(self, caller: CallerId) -> None:
        """Earn a part of a retry."""
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
        """Take one retry; False if there is none left."""
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
