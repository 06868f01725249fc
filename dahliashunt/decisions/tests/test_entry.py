"""Tests of `EntryDecisions`, event by event."""

import pytest

from dahliashunt.decisions.events import AttemptEnd
from dahliashunt.decisions.events import CallerLimits
from dahliashunt.decisions.events import Dispatch
from dahliashunt.decisions.events import EndpointInfo
from dahliashunt.decisions.events import EndpointReport
from dahliashunt.decisions.events import LossReason
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran


def report(endpoint_id, models=("m",), age_ms=0, **fields):
    return EndpointReport(
        endpoint_id, 0, 0, 0, 0, 0, 20.0, 0, frozenset(models), age_ms,
        **fields,
    )  # fmt: skip


def test_unknown_model_is_refused_with_retry_after(make_entry, make_request):
    (out,) = make_entry().arrive(0, make_request(model="other"))
    assert (out.kind, out.ran) == (ErrorKind.NO_ENDPOINT, Ran.NO)
    assert out.retry_after_ms > 0


def test_over_limit_retry_after_is_exact(make_entry, make_request):
    entry = make_entry()
    limits = CallerLimits(tokens_a_second=1_000, burst_s=0.5)
    entry.set_limits(0, "c", limits)
    ask = {"prompt_tokens": 200, "max_tokens": 100}
    assert isinstance(entry.arrive(0, make_request(**ask))[0], Dispatch)
    (out,) = entry.arrive(0, make_request(**ask))
    assert out.kind is ErrorKind.OVER_LIMIT
    early = out.retry_after_ms - 1
    (again,) = entry.arrive(early, make_request(**ask, first_token_by_ms=9999))
    assert again.kind is ErrorKind.OVER_LIMIT
    (sent,) = entry.arrive(
        out.retry_after_ms, make_request(**ask, first_token_by_ms=9999)
    )
    assert isinstance(sent, Dispatch)


def test_refused_request_is_not_charged(make_entry, make_request):
    # Refusals must not use up the caller's hard limit.
    entry = make_entry(("a1",), limit_initial=1, queue_length=0)
    entry.set_limits(0, "c", CallerLimits(tokens_a_second=300, burst_s=1.5))
    entry.arrive(0, make_request())
    for _ in range(20):
        (out,) = entry.arrive(0, make_request())
        assert out.kind is ErrorKind.OVERLOADED


def test_request_that_cannot_start_in_time_is_refused_early(
    make_entry, make_request
):
    # A request behind one that doesn't end must not wait until its deadline.
    entry = make_entry(("a1",), limit_initial=1)
    running = make_request()
    entry.arrive(0, running)
    entry.first_token(300, running.request_id)
    waiting = make_request(first_token_by_ms=2_000)
    assert entry.arrive(300, waiting) == []
    now = 300
    while not (out := entry.tick(now)):
        now = entry.wake_ms()
    assert (out[0].kind, out[0].ran) == (ErrorKind.OVERLOADED, Ran.NO)
    assert now <= 2_000 - 300 + 20


def test_unknown_models_leave_no_state(make_entry, make_request):
    entry = make_entry()
    for number in range(100):
        entry.arrive(0, make_request(model=f"no such model {number}"))
    assert len(entry.status().waiting_by_model) == 0


def test_caller_under_its_share_overtakes_those_over_it(
    make_entry, make_request
):
    # A caller under its share must not queue behind one that is over its
    # share and waits for the reserved place.
    entry = make_entry(("a1",))
    entry.arrive(0, make_request(caller="small"))
    while entry.arrive(0, make_request(caller="hot")):
        pass
    entry.arrive(0, make_request(caller="hot"))
    assert entry.status().in_flight == 7
    (out,) = entry.arrive(1, make_request(caller="other"))
    assert isinstance(out, Dispatch)
    assert entry.tick(20) == []


def test_models_of_one_endpoint_take_turns(make_entry, make_request):
    # A fixed order of models would starve all but the first.
    entry = make_entry(("a1",), limit_initial=1, limit_max=1)
    both = EndpointInfo("a1", "a", frozenset({"m", "n"}))
    entry.endpoint_up(0, both)
    (running,) = entry.arrive(0, make_request())
    for now in range(1, 4):
        for model in ("m", "n"):
            late = {"first_token_by_ms": 20_000}
            entry.arrive(now, make_request(model=model, **late))
    served = []
    for now in range(4, 10):
        out = entry.ended(now, running.request_id, AttemptEnd.DONE, 1)
        running = out[0]
        served.append(running.request_id)
    assert served == ["r2", "r3", "r4", "r5", "r6", "r7"]


def test_ended_attempt_frees_its_place_for_the_next(make_entry, make_request):
    entry = make_entry(("a1",), limit_initial=1)
    first, second = make_request(), make_request()
    entry.arrive(0, first)
    assert entry.arrive(0, second) == []
    (out,) = entry.ended(100, first.request_id, AttemptEnd.DONE, 50)
    assert out == Dispatch(second.request_id, "a1")
    assert entry.status().in_flight == 1


def test_not_run_is_retried_elsewhere_and_reports_ran_no(
    make_entry, make_request
):
    entry = make_entry(("a1", "a2"))
    request = make_request(may_repeat=False)
    (first,) = entry.arrive(0, request)
    end = (request.request_id, AttemptEnd.NOT_RUN)
    (second,) = entry.ended(5, *end)
    assert second.endpoint_id != first.endpoint_id
    out = [second]
    while isinstance(out[0], Dispatch):
        out = entry.ended(9, *end)
    assert out[0].ran is Ran.NO


@pytest.mark.parametrize(
    "end", [AttemptEnd.UNKNOWN, AttemptEnd.FAILED, AttemptEnd.CRASHED]
)
def test_non_idempotent_request_that_may_have_run_is_not_retried(
    make_entry, make_request, end
):
    # A retry, or the answer "not run", could execute the call twice.
    entry = make_entry()
    request = make_request(may_repeat=False)
    entry.arrive(0, request)
    (out,) = entry.ended(5, request.request_id, end)
    assert out.kind is ErrorKind.OUTCOME_UNKNOWN
    assert (out.ran, out.retry_after_ms) == (Ran.UNKNOWN, None)


def test_partly_delivered_answer_is_not_retried(make_entry, make_request):
    entry = make_entry()
    request = make_request()
    entry.arrive(0, request)
    (out,) = entry.ended(
        5, request.request_id, AttemptEnd.UNKNOWN, 7, delivered=True
    )
    assert (out.kind, out.ran) == (ErrorKind.ENDPOINT_LOST, Ran.YES)


def test_unknown_then_not_run_stays_unknown(make_entry, make_request):
    # A request that may have run must not be reported as not run.
    entry = make_entry(("a1", "a2", "a3"))
    request = make_request()
    entry.arrive(0, request)
    out = entry.ended(5, request.request_id, AttemptEnd.UNKNOWN)
    while isinstance(out[0], Dispatch):
        out = entry.ended(9, request.request_id, AttemptEnd.NOT_RUN)
    assert out[0].ran is Ran.UNKNOWN


def test_retries_are_bounded_by_the_budget(make_entry, make_request):
    # Unlimited retries would multiply the load on a failing fleet.
    entry = make_entry(limit="none", eject_part=0.0)
    runs = 0
    for number in range(200):
        request = make_request(caller=f"c{number}")
        out = entry.arrive(0, request)
        while isinstance(out[0], Dispatch):
            runs += 1
            out = entry.ended(0, request.request_id, AttemptEnd.FAILED)
    assert runs == 210


def test_leaving_endpoint_gets_no_new_requests(make_entry, make_request):
    entry = make_entry(("a1", "a2"))
    entry.endpoint_gone(0, "a1", LossReason.LEAVING)
    sent = [entry.arrive(0, make_request())[0] for _ in range(4)]
    assert {decision.endpoint_id for decision in sent} == {"a2"}
    assert entry.report(1, report("a1")) == []
    (after,) = entry.arrive(1, make_request())
    assert after.endpoint_id == "a2"


def test_waiting_requests_are_refused_when_the_last_endpoint_goes(
    make_entry, make_request
):
    entry = make_entry(("a1",), limit_initial=1)
    running, waiting = make_request(), make_request()
    entry.arrive(0, running)
    entry.arrive(0, waiting)
    (out,) = entry.endpoint_gone(5, "a1", LossReason.UNREACHABLE)
    assert out.request_id == waiting.request_id
    assert (out.kind, out.ran) == (ErrorKind.NO_ENDPOINT, Ran.NO)
    (out,) = entry.ended(6, running.request_id, AttemptEnd.UNKNOWN)
    assert (out.kind, out.ran) == (ErrorKind.NO_ENDPOINT, Ran.UNKNOWN)


def test_crashed_endpoint_comes_back_with_a_report(make_entry, make_request):
    entry = make_entry(("a1",))
    entry.endpoint_gone(10, "a1", LossReason.CRASHED)
    entry.report(20, report("a1", age_ms=15))
    assert entry.arrive(21, make_request())[0].kind is ErrorKind.NO_ENDPOINT
    entry.report(40, report("a1", age_ms=5))
    assert isinstance(entry.arrive(41, make_request())[0], Dispatch)


def test_suspect_runs_alone_and_is_convicted_by_a_second_crash(
    make_entry, make_request
):
    # Neither waiting nor new resends of a crashing request may run.
    entry = make_entry(("a1", "a2", "a3"), limit_initial=1)
    bad, good = make_request(fingerprint="bad"), make_request(max_tokens=10)
    (sent,) = entry.arrive(0, bad)
    entry.arrive(0, good)
    resend = make_request(fingerprint="bad")
    entry.ended(5, bad.request_id, AttemptEnd.CRASHED, alongside=("bad", "f2"))
    assert entry.arrive(6, resend) == []
    (alone,) = entry.tick(20)
    assert alone.alone and alone.endpoint_id != sent.endpoint_id
    out = entry.ended(
        30, alone.request_id, AttemptEnd.CRASHED, alongside=("bad",)
    )
    assert {d.request_id for d in out} == {bad.request_id, resend.request_id}
    assert {d.kind for d in out} == {ErrorKind.CONVICTED}
    assert all(d.retry_after_ms is None for d in out)
    (conviction,) = entry.new_convictions()
    assert conviction.fingerprint == "bad"
    assert entry.new_convictions() == []
    (out,) = entry.arrive(40, make_request(fingerprint="bad"))
    assert (out.kind, out.ran) == (ErrorKind.CONVICTED, Ran.NO)


def test_request_running_beside_two_crashes_is_not_convicted(
    make_entry, make_request
):
    # Crashes beside another request are no proof; its own run clears it.
    entry = make_entry(("a1", "a2", "a3"))
    good = make_request(fingerprint="good")
    entry.arrive(0, good)
    for now in (10, 50):
        alongside = ("bad", "good")
        out = entry.ended(
            now, good.request_id, AttemptEnd.CRASHED, alongside=alongside
        )
        (again,) = out or entry.tick(now + 20)
        assert isinstance(again, Dispatch) and again.alone
    assert entry.ended(90, good.request_id, AttemptEnd.DONE, 5) == []
    sent = [entry.arrive(99, make_request()) for _ in range(3)]
    sent.append(entry.arrive(99, make_request(fingerprint="good")))
    assert not any(decision.alone for (decision,) in sent)
    # The other two endpoints are ejected after the crashes.
    assert {d.endpoint_id for (d,) in sent} == {again.endpoint_id}


def test_conviction_from_another_entry_refuses_waiting_requests(
    make_entry, make_request
):
    entry = make_entry(("a1",), limit_initial=1)
    entry.arrive(0, make_request())
    entry.arrive(0, make_request(fingerprint="bad"))
    (out,) = entry.convicted(5, "bad", 1_000)
    assert out.kind is ErrorKind.CONVICTED
    (out,) = entry.arrive(999, make_request(fingerprint="bad"))
    assert out.kind is ErrorKind.CONVICTED
    late = make_request(fingerprint="bad", first_token_by_ms=3_000)
    assert entry.arrive(1_006, late) == []


def test_request_of_a_gone_caller_still_becomes_suspect(
    make_entry, make_request
):
    # Its resend must run alone although the caller disconnected first.
    entry = make_entry(("a1", "a2"))
    request = make_request(fingerprint="bad")
    entry.arrive(0, request)
    assert entry.caller_gone(1, request.request_id) == []
    assert entry.status().in_flight == 1
    assert entry.ended(5, request.request_id, AttemptEnd.CRASHED) == []
    assert entry.status().in_flight == 0
    assert entry.arrive(6, make_request(fingerprint="bad")) == []
    (out,) = entry.tick(20)
    assert out.alone


def test_back_off_requested_by_an_agent_is_honoured(make_entry, make_request):
    entry = make_entry(("a1",))
    request = make_request(first_token_by_ms=5_000)
    entry.arrive(0, request)
    end = (request.request_id, AttemptEnd.NOT_RUN)
    assert entry.ended(10, *end, retry_after_ms=200) == []
    assert entry.tick(209) == []
    assert entry.tick(210) == [Dispatch(request.request_id, "a1")]
    assert entry.ended(300, *end, retry_after_ms=9_000) == []
    assert entry.tick(549) == []
    assert entry.tick(550) == [Dispatch(request.request_id, "a1")]


def test_state_of_idle_callers_is_discarded(make_entry, make_request):
    # Per-caller state that outlives its requests would leak memory.
    entry = make_entry(limit="none")
    limits = CallerLimits(tokens_a_second=1_000)
    for number in range(44_000):
        caller = f"c{number}"
        entry.set_limits(number, caller, limits)
        request = make_request(caller=caller, first_token_by_ms=number + 1_000)
        entry.arrive(number, request)
        entry.ended(number + 1, request.request_id, AttemptEnd.DONE, 10)
    assert entry.status().callers_remembered < 4_000


def test_repeated_endpoint_up_keeps_the_endpoint_state(
    make_entry, make_request
):
    entry = make_entry(("a1",), limit_initial=1)
    entry.arrive(0, make_request())
    entry.endpoint_up(1, EndpointInfo("a1", "a", frozenset({"m", "n"})))
    assert entry.arrive(2, make_request()) == []
    (out,) = entry.arrive(2, make_request(model="n"))[:1] or [None]
    assert out is None
