"""When requests arrive: a registry of patterns.

Arrivals are worked out before the run and don't wait for answers (an open
loop), so that a slow system does not slow the load that it is given.
"""

from collections.abc import Callable
from collections.abc import Iterator
import random

from dahliashunt.errors import SettingsError
from dahliashunt.load.plan import Plan

__all__ = ["ARRIVALS", "arrival_pattern", "arrivals"]

Pattern = Callable[[Plan, random.Random], Iterator[float]]

ARRIVALS: dict[str, Pattern] = {}


def arrival_pattern(name: str) -> Callable[[Pattern], Pattern]:
    """Add a pattern to the registry under `name`."""

    def add(pattern):
        ARRIVALS[name] = pattern
        return pattern

    return add


def arrivals(plan: Plan, rng: random.Random) -> list[float]:
    """Return the seconds from the start at which requests are sent.

    Raises
    ------
    SettingsError
        The plan names a pattern that is not in the registry.
    """
    if plan.pattern not in ARRIVALS:
        known = ", ".join(sorted(ARRIVALS))
        raise SettingsError(f"pattern: {plan.pattern!r} is none of {known}")
    if plan.rate <= 0:
        return []
    return list(ARRIVALS[plan.pattern](plan, rng))


@arrival_pattern("poisson")
def poisson(plan: Plan, rng: random.Random) -> Iterator[float]:
    """Yield independent arrivals, more of them within bursts.

    Notes
    -----
    Thinning of a process at the highest rate [1]_: linear in the number
    of candidates.

    References
    ----------
    .. [1] P. Lewis and G. Shedler, "Simulation of nonhomogeneous Poisson
       processes by thinning", Naval Research Logistics 26 (1979).
    """
    highest = plan.rate * max([1.0, *(b.times for b in plan.bursts)])
    at = rng.expovariate(highest)
    while at < plan.seconds:
        if rng.random() * highest < _rate_at(plan, at):
            yield at
        at += rng.expovariate(highest)


@arrival_pattern("steady")
def steady(plan: Plan, rng: random.Random) -> Iterator[float]:
    """Yield evenly spaced arrivals, closer within bursts."""
    at = 0.0
    while at < plan.seconds:
        yield at
        at += 1 / _rate_at(plan, at)


def _rate_at(plan, at):
    times = [b.times for b in plan.bursts if b.at_s <= at < b.at_s + b.for_s]
    return plan.rate * max(times, default=1.0)
