"""
=========================================
Drive the entry's decisions by hand
=========================================

No server and no clock: a burst meets one endpoint on virtual time. Each
event goes in with its time, and each decision that comes out is printed.
"""

import random

from dahliashunt.decisions.entry import EntryDecisions
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.events import AttemptEnd
from dahliashunt.decisions.events import Dispatch
from dahliashunt.decisions.events import EndpointInfo
from dahliashunt.decisions.events import FailRequest
from dahliashunt.decisions.events import OnlineRequest

SERVICE_MS = 400
"""How long the endpoint of this play takes for any request."""


def request(number, now):
    """Return the request that arrives as `number` at `now`."""
    return OnlineRequest(
        request_id=f"r{number}",
        caller=f"bench-{number % 3}",
        model="repair-notes",
        prompt_tokens=100,
        max_tokens=50,
        prefix_keys=(),
        first_token_by_ms=now + 760,
        may_repeat=True,
        fingerprint=f"f{number}",
    )


def play(requests=40, write=print):
    """Play a burst of requests in one moment.

    Parameters
    ----------
    requests : int
        How many.
    write : callable
        Gets a line for each decision.

    Returns
    -------
    done, refused : int
    """
    entry = EntryDecisions(
        EntryPolicy(default_service_ms=SERVICE_MS), random.Random(1), "leiden"
    )
    entry.endpoint_up(
        0, EndpointInfo("replica-1", "leiden", frozenset({"repair-notes"}))
    )
    done = refused = 0
    running = []

    def take(now, decisions):
        nonlocal refused
        for decision in decisions:
            if isinstance(decision, Dispatch):
                write(f"{now:5} dispatch {decision.request_id}")
                running.append((now + SERVICE_MS, decision.request_id))
            elif isinstance(decision, FailRequest):
                after = decision.retry_after_ms
                write(f"{now:5} refuse {decision.request_id}, in {after} ms")
                refused += 1

    for number in range(requests):
        take(0, entry.arrive(0, request(number, 0)))
    now = 0
    while done + refused < requests:
        wakes = [at for at, _ in running]
        if entry.wake_ms() is not None:
            wakes.append(entry.wake_ms())
        now = max(now + 1, min(wakes))
        for each in [r for r in running if r[0] <= now]:
            running.remove(each)
            done += 1
            take(now, entry.first_token(now, each[1]))
            take(now, entry.ended(now, each[1], AttemptEnd.DONE, tokens=50))
        take(now, entry.tick(now))
    return done, refused


if __name__ == "__main__":
    print("{} answered, {} refused".format(*play()))
