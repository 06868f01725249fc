"""The promises, held against what callers and replicas saw."""

import collections

from tests.soak.callers import is_right
from tests.soak.callers import NOT_RUN
from tests.soak.callers import versions_of
from tests.soak.fleet import BUDGET_MS
from tests.soak.fleet import JOB_RUNS
from tests.soak.plan import FAULTS
from tests.soak.replica import CRASH_PATH
from tests.soak.replica import EVENTS
from tests.soak.replica import STATUS_BY_ENDING
from tests.soak.replica import VERSIONS

__all__ = ["broken_promises"]

MOST_RUNS = {"/a/x": 3, CRASH_PATH: 3, "/once/x": 1}

MOST_ANSWERS = {500: 3 * JOB_RUNS, 422: 3}
"""Most answers of a status to an item that fails at each run."""

CONTACT_S = 3.0
CRASHES_OF_REQUEST = 3
CRASHES_OF_PART = 5
MOST_RETRIES = 3
"""Most runs later than `CONTACT_S` after so many crashes of one request, or
of requests with one part."""

MOST_LATE_BUDGETS = 20
LATE_SHARE = 0.2
BUDGET_SLACK_S = 0.5
"""More requests than these, and a larger share, may not get more time than
is left."""

HELD_UP = {"entry_paused", "callers_slow", "all_killed"}
"""Faults during which a caller may hear nothing in time."""

CUT_OFF = {
    "callers_cut",
    "entries_killed_in_series",
    "entries_leave_in_series",
    "entry_killed",
    "entry_leaves",
    "entry_leaves_and_is_killed",
    "all_killed",
    *HELD_UP,
}
"""Faults during which a caller's connection may break without an answer.
Callers here have no platform before them that turns them away from an
entry that leaves."""

STARTED_S = 4.0
"""After a fault an entry may need so long to listen again."""

OUTPUTS = [
    "\n".join(f"text {n} {version}" for n in range(1, EVENTS + 1))
    for version in VERSIONS
]

RESUMABLE_AMID = {
    "callers_cut",
    "configured",
    "entries_killed_in_series",
    "entries_leave_in_series",
    "entry_killed",
    "entry_leaves",
    "entry_leaves_and_is_killed",
    "version_rolled_out",
}
"""Faults amid which callers can go on with their streams."""

BUNCHED_SHARE = 0.75
LEAST_BUNCHED = 20
"""While most new connections are one entry's, of so many requests the share
that is served is at least this part of the usual one."""

LEAST_RESUMES = 12
RESUMED_SHARE = 0.5
"""Of so many streams that callers take up, the share that goes on is at
least this part of the share of new streams that begin."""


def broken_promises(play):
    """Return a line for each promise that a `Play` saw broken."""
    runs = collections.Counter()
    for replica in play.fleet.replicas:
        runs.update(replica.runs_by_request)
    found = []
    for answered in play.answers():
        found += _of_answer(answered, runs[answered.request_id], play)
    found += [line for r in play.fleet.replicas for line in r.misnamed]
    found += _of_failing_items(play)
    found += _of_crashes(play)
    found += _of_budgets(play)
    found += _of_resumes(play)
    found += _of_bunches(play)
    found += _of_jobs(play)
    found += _of_processes(play)
    return found


def _of_answer(answered, runs, play):
    found = []
    if answered.late and not _during(play, answered, HELD_UP):
        found.append("no answer in its time")
    broken = answered.status is None and not answered.late
    if broken and not _may_break(play, answered, runs):
        found.append("connection broken without an answer")
    if runs > MOST_RUNS[answered.path]:
        found.append(f"ran {runs} times")
    if answered.whole and answered.status in NOT_RUN:
        if runs:
            found.append(f"told {answered.status}, ran {runs} times")
        is_final = answered.resumes and b"version" in answered.body
        if answered.status in (429, 503) and not (
            answered.retry_after or is_final
        ):
            found.append(f"told {answered.status} without Retry-After")
    if answered.whole and answered.status == 200 and not is_right(answered):
        found.append("a wrong answer that looks whole")
    is_cut = answered.status == 200 and not answered.whole
    if is_cut and not versions_of(answered):
        found.append("events that do not follow, or of two versions")
    return [f"{answered.request_id} {answered.path}: {f}" for f in found]


def _may_break(play, answered, runs):
    """Tell whether a connection may end without an answer.

    A request on a connection that was open before may cross its close, but
    an entry that leaves answers what it has passed on.
    """
    if not answered.kept:
        return _during(play, answered, CUT_OFF)
    names = CUT_OFF - {"entry_leaves", "entries_leave_in_series"}
    return _during(play, answered, CUT_OFF if not runs else names)


def _of_resumes(play):
    """Compare the streams that go on with those that begin."""
    amid = set(FAULTS) - RESUMABLE_AMID
    got_events = {True: [], False: []}
    for answered in play.answers():
        if answered.path == "/a/x" and not _during(play, answered, amid):
            got = len(answered.body) > 0 and answered.status == 200
            got_events[bool(answered.resumes)].append(got)
    resumed, begun = got_events[True], got_events[False]
    if len(resumed) < LEAST_RESUMES:
        return []
    share, usual = sum(resumed) / len(resumed), sum(begun) / len(begun)
    if share >= RESUMED_SHARE * usual:
        return []
    return [
        f"{share:.2f} of {len(resumed)} streams went on, {usual:.2f} begin"
    ]


def _of_bunches(play):
    """Compare what is served while connections are bunched with the rest."""
    others = set(FAULTS) - {"callers_bunched"}
    served = {True: [], False: []}
    for answered in play.answers():
        is_sound = answered.path != CRASH_PATH and not answered.resumes
        if is_sound and not _during(play, answered, others):
            is_bunched = _during(play, answered, {"callers_bunched"})
            is_served = answered.whole and answered.status == 200
            served[is_bunched].append(is_served)
    bunched, calm = served[True], served[False]
    if len(bunched) < LEAST_BUNCHED or not calm:
        return []
    share, usual = sum(bunched) / len(bunched), sum(calm) / len(calm)
    if share >= BUNCHED_SHARE * usual:
        return []
    return [f"{share:.2f} of bunched requests are served, {usual:.2f} else"]


def _of_failing_items(play):
    statuses_by_item = collections.defaultdict(collections.Counter)
    for replica in play.fleet.replicas:
        for item, statuses in replica.statuses_by_item.items():
            statuses_by_item[item] += statuses
    return [
        f"{item}: answered {status} {count} times"
        for item, statuses in statuses_by_item.items()
        for status, count in statuses.items()
        if count > MOST_ANSWERS[status]
    ]


def _of_crashes(play):
    """Count the runs that began long after the crash that must be known."""
    replicas = play.fleet.replicas
    crashes = sorted(at_s for r in replicas for at_s in r.crashes)
    known = CRASHES_OF_PART if play.by_part else CRASHES_OF_REQUEST
    if len(crashes) < known:
        return []
    runs = sorted(run for r in replicas for run in r.crashing_runs)
    late = [run for run in runs if run[0] > crashes[known - 1] + CONTACT_S]
    if len(late) <= MOST_RETRIES:
        return []
    return [f"crashing requests were sent again by {late}"]


def _of_budgets(play):
    """Compare what replicas were handed with what callers had left."""
    until_s = {
        a.request_id: a.began_s + BUDGET_MS / 1_000 for a in play.answers()
    }
    sent = collections.defaultdict(list)
    for replica in play.fleet.replicas:
        for request, budgets in replica.budgets_by_request.items():
            sent[request] += budgets
    counted = late = 0
    for request in sent.keys() & until_s.keys():
        (first_s, first_ms), *again = sorted(sent[request])
        limit_s = max(first_s + first_ms / 1_000, until_s[request])
        again = [each for each in again if each[0] > first_s + BUDGET_SLACK_S]
        counted += 1 + len(again)
        late += not 0 <= first_ms <= BUDGET_MS + 1_000 * BUDGET_SLACK_S
        late += sum(
            at_s + left_ms / 1_000 > limit_s + BUDGET_SLACK_S
            for at_s, left_ms in again
        )
    if late > MOST_LATE_BUDGETS and late > LATE_SHARE * counted:
        return [f"{late} of {counted} sends with more time than was left"]
    return []


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
            if result.item_id[-4:] in STATUS_BY_ENDING:
                if result.done:
                    found.append(f"{result.item_id}: done, but cannot be")
            elif not result.done:
                if "replica_fails" not in names:
                    found.append(f"{result.item_id}: not done")
            elif result.text not in OUTPUTS:
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
    found += [f"ended by itself: {name}" for name in play.died]
    found += [f"{name} logged a traceback" for name in play.tracebacks()]
    if not play.recovered:
        found.append("not every entry served again after the faults")
    return found
