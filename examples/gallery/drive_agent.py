"""
=========================================
Drive an agent's decisions by hand
=========================================

No server and no clock: batch items fill an engine, then an online request
comes. Batch gives way, and the stopped item waits to start again.
"""

import random

from dahliashunt.decisions.agent import AgentDecisions
from dahliashunt.decisions.agent_policy import AgentPolicy
from dahliashunt.decisions.events import AttemptRequest
from dahliashunt.decisions.events import Preempt
from dahliashunt.decisions.events import Priority
from dahliashunt.decisions.events import Start

PLACES = 4


def work(name, priority, now):
    """Return an attempt of 100 prompt and 50 output tokens."""
    return AttemptRequest(name, priority, "museum", 100, 50, now + 700, True)


def play(write=print):
    """Fill the engine with batch, then offer online work.

    Parameters
    ----------
    write : callable
        Gets a line for each decision.

    Returns
    -------
    started, preempted : list of str
        Attempt ids, in order.
    """
    policy = AgentPolicy(max_running=PLACES, engine_resumes=False)
    agent = AgentDecisions(policy, random.Random(1))
    started, preempted = [], []

    def take(now, decisions):
        for decision in decisions:
            write(f"{now:5} {type(decision).__name__} {decision.attempt_id}")
            if isinstance(decision, Start):
                started.append(decision.attempt_id)
            elif isinstance(decision, Preempt):
                preempted.append(decision.attempt_id)
                # The harness stops the stream; here it stops at once.
                take(
                    now,
                    agent.preempted(now, decision.attempt_id, decision.how, 0),
                )

    now = 0
    for number in range(2 * PLACES):
        name = f"item-{number}"
        take(now, agent.offer(now, work(name, Priority.BATCH, now)))
    # One step of the engine every 20 ms; each stream makes a token a step.
    for now in range(20, 1_000, 20):
        for attempt_id in [s for s in started if s not in preempted]:
            take(now, agent.tokens(now, attempt_id, 1))
        take(now, agent.tick(now))
    for number in range(PLACES):
        name = f"online-{number}"
        take(now, agent.offer(now, work(name, Priority.ONLINE, now)))
    return started, preempted


if __name__ == "__main__":
    play()
