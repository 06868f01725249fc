"""Short seeded runs of the soak, and what its checks must catch."""

import asyncio
import collections
import random
from types import SimpleNamespace

import pytest

from dahliashunt.platform.standins.caller import JobResult
from tests.soak.callers import Answered
from tests.soak.checks import broken_promises
from tests.soak.checks import OUTPUTS
from tests.soak.plan import draw
from tests.soak.plan import FAULTS
from tests.soak.play import play_seed
from tests.soak.replica import event_bytes
from tests.soak.replica import EVENTS

CI_SEEDS = (1, 2, 3)
CI_S = 5

CASES = {
    # Another fault had started an entry 0.3 s before this one asked it to
    # leave: it ended by SIGTERM before it listened, which is allowed.
    "leaves before it listens": (
        131,
        [
            (0.17, "all_killed"),
            (0.51, "callers_slow"),
            (0.88, "entry_leaves"),
            (2.22, "store_loses_answers"),
            (3.15, "store_forgets_history"),
            (3.48, "store_silent"),
        ],
    ),
    # Owners of failing items are killed one after another while the store
    # refuses writes; failures were counted by each owner alone.
    "owners killed in series": (
        1,
        [
            (1.0, "entries_killed_in_series"),
            (2.2, "entries_killed_in_series"),
            (2.3, "store_refuses"),
            (3.4, "entries_killed_in_series"),
            (4.6, "entries_killed_in_series"),
            (4.7, "store_refuses"),
        ],
    ),
    # All callers ask the same; runs that were lost together counted one by
    # one, and the request was refused everywhere for ten minutes.
    "popular request refused": (
        224,
        [
            (0.64, "clock_jumps"),
            (1.28, "replica_fails"),
            (1.95, "replica_fails"),
            (2.51, "replica_cut"),
            (2.87, "all_killed"),
            (4.01, "store_refuses"),
            (4.15, "store_lands_late"),
            (4.18, "list_unreadable"),
            (4.26, "store_slow"),
            (4.65, "store_lands_late"),
            (5.28, "agent_killed"),
            (5.44, "all_killed"),
            (7.21, "replica_cut"),
            (9.72, "all_killed"),
            (9.88, "entry_killed"),
        ],
    ),
}
"""Seeds that once broke a promise, each with the faults it drew."""

WHOLE = b"".join(event_bytes(n, "v1") for n in range(1, EVENTS + 1)).decode()
OUTPUT = OUTPUTS[0]


@pytest.fixture
def play():
    """Return a play without faults, in which all was kept."""
    replica = SimpleNamespace(
        runs_by_request=collections.Counter(),
        misnamed=[],
        statuses_by_item={},
        crashes=[],
        crashing_runs=[],
        budgets_by_request={},
    )
    fleet = SimpleNamespace(replicas=[replica], exits=[("entry-0", 0)])
    pages = {"job-0": {0: JobResult("a", True, OUTPUT)}}
    answers = []
    return SimpleNamespace(
        fleet=fleet,
        answers=lambda: answers,
        jobs=SimpleNamespace(
            changed=[], pages=pages, total_by_job={"job-0": 1}
        ),
        played=[],
        by_part=False,
        died=[],
        recovered=True,
        tracebacks=lambda: [],
    )


def answered(play, runs=1, path="/a/x", **seen):
    """Add an answer to `play`; it ran `runs` times."""
    fields = {"status": 200, "whole": True, "body": WHOLE.encode(), **seen}
    play.answers().append(Answered("c1", 0, path, 10.0, 11.0, **fields))
    play.fleet.replicas[0].runs_by_request["c1"] = runs


def test_a_calm_play_breaks_nothing(play):
    answered(play)
    assert broken_promises(play) == []


@pytest.mark.parametrize(
    ("runs", "seen"),
    [
        (0, {"status": None, "whole": False, "late": True}),
        (0, {"status": None, "whole": False}),
        (2, {"path": "/once/x"}),
        (4, {}),
        (1, {"status": 503, "body": b"", "retry_after": "1"}),
        (0, {"status": 429, "body": b""}),
        (1, {"body": WHOLE[:-1].encode()}),
        (1, {"body": WHOLE.replace("text 3", "text 4").encode()}),
    ],
)
def test_each_broken_answer_is_told(play, runs, seen):
    answered(play, runs, **seen)
    assert len(broken_promises(play)) == 1


def test_a_stream_of_two_versions_is_told(play):
    """Guards against a soak that looks at each answer alone."""
    had, body = event_bytes(1, "v1"), event_bytes(2, "v1")
    answered(play, resumes="c0", had=had, body=body, whole=False)
    assert broken_promises(play) == []
    body = event_bytes(2, "v2")
    answered(play, resumes="c0", had=had, body=body, whole=False)
    assert len(broken_promises(play)) == 1


def test_refusing_callers_that_go_on_is_told(play):
    """Guards against no joined streams because none goes on."""
    for _ in range(20):
        answered(play)
    refused = {"status": 503, "body": b"the version is unknown"}
    for number in range(12):
        assert broken_promises(play) == []
        answered(play, 0, resumes=f"c{number}", **refused)
        play.fleet.replicas[0].runs_by_request["c1"] = 1
        play.answers()[-1].request_id = f"s{number}"
    assert len(broken_promises(play)) == 1


def test_an_entry_that_serves_little_of_a_bunch_is_told(play):
    """Guards against a soak in which bunched connections may be refused."""
    refused = {"status": 503, "body": b"", "retry_after": "1"}
    for _ in range(20):
        answered(play)
    played = ("callers_bunched", 19.0, 22.0)
    play.played = [played]
    for number in range(40):
        answered(play, 0, **(refused if number < 25 else {}))
        play.fleet.replicas[0].runs_by_request["c1"] = 1
        play.answers()[-1].request_id = f"b{number}"
        play.answers()[-1].began_s = play.answers()[-1].ended_s = 20.0
    assert broken_promises(play) == [
        "0.38 of bunched requests are served, 1.00 else"
    ]


def test_a_request_in_another_name_is_told(play):
    """Guards against a soak that does not look at workspaces."""
    play.fleet.replicas[0].misnamed.append("c1 ran as None")
    assert broken_promises(play) == ["c1 ran as None"]


def test_an_answer_is_excused_only_by_a_fault_of_its_time(play):
    answered(play, 0, status=None, whole=False, late=True)
    play.played = [("entry_paused", 12.0, 13.0), ("store_slow", 10.0, 11.0)]
    assert len(broken_promises(play)) == 1
    play.played.append(("entry_paused", 10.5, 12.0))
    assert broken_promises(play) == []


@pytest.mark.parametrize(
    "results",
    [
        {},
        {0: JobResult("b", True, "text 1")},
        {0: JobResult("a", False, "")},
        {
            0: JobResult("a", True, OUTPUT),
            1: JobResult("a", True, OUTPUT),
        },
    ],
)
def test_each_broken_job_is_told(play, results):
    play.jobs.pages["job-0"] = results
    assert len(broken_promises(play)) == 1


@pytest.mark.parametrize(
    "seen",
    [
        {"died": ["entry-1"]},
        {"recovered": False},
        {"tracebacks": lambda: ["agent-0"]},
    ],
)
def test_each_broken_process_is_told(play, seen):
    for name, value in seen.items():
        setattr(play, name, value)
    assert len(broken_promises(play)) == 1


@pytest.mark.parametrize(("status", "most"), [(500, 12), (422, 3)])
def test_an_item_that_is_sent_too_often_is_told(play, status, most):
    counts = collections.Counter({status: most})
    play.fleet.replicas[0].statuses_by_item = {"job-0-1": counts}
    assert broken_promises(play) == []
    counts[status] += 1
    assert len(broken_promises(play)) == 1


def test_a_crashing_request_that_is_tried_too_often_is_told(play):
    began_s = (0.5, 1.5, 2.5, 6.0, 8, 9, 10)
    runs = [(at_s, f"w{at_s}") for at_s in began_s]
    play.fleet.replicas[0].crashing_runs = runs
    play.fleet.replicas[0].crashes = [at_s + 0.5 for at_s in began_s]
    assert broken_promises(play) == []
    runs.append((40.0, "w40"))
    assert len(broken_promises(play)) == 1


def test_a_crashing_part_that_is_sent_too_often_is_told(play):
    play.by_part = True
    began_s = (0.5, 1.5, 2.5, 3.5, 4.5, 5.5, 8.0, 9.5, 10, 11)
    runs = [(at_s, f"w{at_s}") for at_s in began_s]
    play.fleet.replicas[0].crashing_runs = runs
    play.fleet.replicas[0].crashes = [at_s + 0.5 for at_s in began_s]
    assert broken_promises(play) == []
    runs.append((40.0, "w40"))
    assert len(broken_promises(play)) == 1


@pytest.mark.parametrize(
    "budgets",
    [[(10.1, -1)], [(10.1, 4_600)], [(10.1, 3_900), (11.0, 3_700)]],
    ids=["none", "longer", "again"],
)
def test_more_time_than_is_left_is_told(play, budgets):
    replica = play.fleet.replicas[0]
    for number in range(21):
        answered(play)
        play.answers()[-1].request_id = f"c{number}"
        replica.budgets_by_request[f"c{number}"] = budgets
    assert len(broken_promises(play)) == 1
    replica.budgets_by_request.pop("c0")
    assert broken_promises(play) == []


def test_a_leaving_entry_may_not_cut_what_it_has_passed_on(play):
    # Guards against a soak that excuses each cut by a graceful shutdown.
    answered(play, 1, status=None, whole=False, kept=True)
    play.played = [("entry_leaves", 10.5, 12.0)]
    assert len(broken_promises(play)) == 1
    play.fleet.replicas[0].runs_by_request.clear()
    assert broken_promises(play) == []


def test_a_process_that_does_not_leave_in_order_is_told(play):
    play.fleet.exits = [("entry-0", 1), ("entry-1", None), ("agent-0", -9)]
    assert len(broken_promises(play)) == 2


def test_a_seed_draws_the_same_faults_again():
    plans = [draw(random.Random(7), 20, 10) for _ in range(2)]
    assert plans[0] == plans[1]
    assert {name for _, name in plans[0]} <= set(FAULTS)


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_no_promise_is_broken(seed, tmp_path):
    assert asyncio.run(play_seed(seed, tmp_path, CI_S)) == []


@pytest.mark.parametrize(("seed", "plan"), CASES.values(), ids=CASES)
def test_a_seed_that_failed_once_breaks_no_promise(seed, plan, tmp_path):
    for_s = max(at_s for at_s, _ in plan)
    played = play_seed(seed, tmp_path, for_s, plan, by_part=False)
    assert asyncio.run(played) == []


def test_bunched_callers_are_served(tmp_path):
    """Guards against one entry that refuses what it could pass on."""
    plan = [(5.0, "callers_bunched"), (6.0, "callers_bunched")]
    played = play_seed(5, tmp_path, 6.0, plan, by_part=False)
    assert asyncio.run(played) == []
