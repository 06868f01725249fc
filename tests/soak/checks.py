"""The promises, held against what callers and replicas saw."""

import collections

from tests.soak.callers import is_right
from tests.soak.callers import NOT_RUN
from tests.soak.replica import EVENTS

__all__ = ["broken_promises"]

MOST_RUNS = {"/a/x": 3, "/once/x": 1}

HELD_UP = {"entry_paused", "callers_slow", "all_killed"}
"""Faults during which a caller may hear nothing in time."""

CUT_OFF = {
    "callers_cut",
    "entry_killed",
    "entry_leaves",
    "all_killed",
    *HELD_UP,
}
"""Faults during which a caller's connection may break without an answer.
Callers here have no platform before them that turns them away from an
entry that leaves."""

STARTED_S = 4.0
"""After a fault an entry may need so long to listen again."""

OUTPUT = "\n".join(f"text {n}" for n in range(1, EVENTS + 1))


def broken_promises(play):
    """Return a line for each promise that a `Play` saw broken."""
    runs = collections.Counter()
    for replica in play.fleet.replicas:
        runs.update(replica.runs_by_request)
    found = []
    for answered in play.caller.answers:
        found += _of_answer(answered, runs[answered.request_id], play)
    found += [line for r in play.fleet.replicas for line in r.misnamed]
    found += _of_jobs(play)
    found += _of_processes(play)
    return found


def _of_answer(answered, runs, play):
    found = []
    if answered.late and not _during(play, answered, HELD_UP):
        found.append("no answer in its time")
    broken = answered.status is None and not answered.late
    if broken and not _during(play, answered, CUT_OFF):
        found.append("connection broken without an answer")
    if runs > MOST_RUNS[answered.path]:
        found.append(f"ran {runs} times")
    if answered.whole and answered.status in NOT_RUN:
        if runs:
            found.append(f"told {answered.status}, ran {runs} times")
        if answered.status in (429, 503) and answered.retry_after is None:
            found.append(f"told {answered.status} without Retry-After")
    if answered.whole and answered.status == 200 and not is_right(answered):
        found.append("a wrong answer that looks whole")
    return [f"{answered.request_id} {answered.path}: {f}" for f in found]


def _during(play, answered, names):
    """Tell whether one of the faults overlaps the request's time."""
    from_s = answered.began_s - STARTED_S
    until_s = answered.ended_s
    return any(
        name in names and began_s <= until_s and ended_s >= from_s
        for name, began_s, ended_s in play.played
    )


def _of_jobs(play):
    found = [f"result changed: {line}" for line in play.jobs.changed]
    names = {name for name, _, _ in play.played}
    for job, items in play.jobs.total_by_job.items():
        results = list(play.jobs.pages[job].values())
        ids = collections.Counter(result.item_id for result in results)
        doubled = [name for name, count in ids.items() if count > 1]
        missing = items - len(ids)
        if doubled or missing:
            found.append(f"{job}: missing {missing}, doubled {doubled}")
        for result in results:
            if not result.done:
                if "replica_fails" not in names:
                    found.append(f"{result.item_id}: not done")
            elif result.text != OUTPUT:
                found.append(f"{result.item_id}: a wrong result")
    return found


def _of_processes(play):
    paused = {"entry_paused", "agent_paused"}
    may_be_late = any(name in paused for name, _, _ in play.played)
    found = [
        f"{name} left with {code}"
        for name, code in play.fleet.exits
        # -9: another fault killed it meanwhile.
        if code not in (0, -9) and not (code is None and may_be_late)
    ]
    found += [f"{name} ended by itself" for name in play.died]
    found += [f"{name} logged a traceback" for name in play.tracebacks()]
    if not play.recovered:
        found.append("not every entry served again after the faults")
    return found
