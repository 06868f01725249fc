import random

from dahliashunt.decisions.entry import EntryDecisions
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.events import AttemptEnd
from dahliashunt.decisions.events import Dispatch
from dahliashunt.decisions.events import EndpointInfo
from dahliashunt.decisions.events import EndpointReport
from dahliashunt.decisions.events import FailRequest
from dahliashunt.decisions.events import OnlineRequest


def request(name, now):
    return OnlineRequest(
        name, "bench", "m", 10, 10, (), now + 760, True, f"f-{name}"
    )


def report(running):
    return EndpointReport(
        "e", running, 0, 0, 0, 1000, 10.0, 4, frozenset("m"), 0
    )


def test_idle_report_ends_a_back_off():
    # Guards against refusing requests while the only endpoint is idle,
    # because a running stream ended before the predicted time.
    decisions = EntryDecisions(EntryPolicy(), random.Random(1), "hall-a")
    decisions.endpoint_up(0, EndpointInfo("e", "hall-a", frozenset("m")))
    decisions.report(0, report(1))
    assert isinstance(decisions.arrive(1, request("a", 1))[0], Dispatch)
    ended = decisions.ended(5, "a", AttemptEnd.NOT_RUN, retry_after_ms=5_000)
    assert not any(isinstance(d, Dispatch) for d in ended)
    assert not any(
        isinstance(d, Dispatch) for d in decisions.arrive(10, request("b", 10))
    )
    decided = decisions.report(200, report(0))
    decided += decisions.arrive(300, request("c", 300))
    assert [d.request_id for d in decided if isinstance(d, Dispatch)]
    assert not [d for d in decided if isinstance(d, FailRequest)]


def test_suspect_held_up_by_others_closes_nothing_for_them():
    # Guards against refusing other requests because an endpoint rejected a
    # suspect that must run alone.
    decisions = EntryDecisions(EntryPolicy(), random.Random(1), "hall-a")
    decisions.endpoint_up(0, EndpointInfo("e", "hall-a", frozenset("m")))
    decisions.suspected(0, "f-bad")
    decisions.arrive(1, request("bad", 1))
    (alone,) = [d for d in decisions.tick(20) if isinstance(d, Dispatch)]
    assert alone.alone
    ended = decisions.ended(
        30, "bad", AttemptEnd.NOT_RUN, retry_after_ms=5_000
    )
    assert not any(isinstance(d, Dispatch) for d in ended)
    assert isinstance(decisions.arrive(40, request("a", 40))[0], Dispatch)
