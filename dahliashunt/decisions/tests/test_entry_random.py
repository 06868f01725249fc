"""Invariants of each request under random sequences of events."""

from dataclasses import dataclass
import random

import pytest

from dahliashunt.decisions.events import AttemptEnd
from dahliashunt.decisions.events import CallerLimits
from dahliashunt.decisions.events import Dispatch
from dahliashunt.decisions.events import EndpointInfo
from dahliashunt.decisions.events import EndpointReport
from dahliashunt.decisions.events import LossReason
from dahliashunt.errors import Ran

NAMES = ("a1", "a2", "b1", "b2", "c1")


@dataclass
class RequestState:
    may_repeat: bool
    running: bool = False
    answered: bool = False
    may_have_run: bool = False
    disconnected: bool = False


class Driver:
    """Send random events to an entry and check each decision."""

    def __init__(self, entry, make_request, seed):
        self.entry = entry
        self.make_request = make_request
        self.rng = random.Random(seed)
        self.now = 0
        self.state_by_id: dict[str, RequestState] = {}

    def check(self, out):
        for decision in out:
            state = self.state_by_id[decision.request_id]
            assert (
                not state.answered
                and not state.running
                and not state.disconnected
            )
            if isinstance(decision, Dispatch):
                assert state.may_repeat or not state.may_have_run
                state.running = True
            else:
                state.answered = True
                reported_not_run = decision.ran is Ran.NO
                assert reported_not_run == (not state.may_have_run)

    def choose_request(self, running):
        ids = [i for i, f in self.state_by_id.items() if f.running == running]
        ids = [i for i in ids if not self.state_by_id[i].answered]
        return self.rng.choice(ids) if ids else None

    def arrive(self):
        may_repeat = self.rng.random() < 0.7
        request = self.make_request(
            caller=f"c{self.rng.randrange(6)}",
            may_repeat=may_repeat,
            first_token_by_ms=self.now + self.rng.randrange(1, 3_000),
            prefix_keys=tuple(range(self.rng.randrange(5))),
            fingerprint=f"f{self.rng.randrange(40)}",
        )
        self.state_by_id[request.request_id] = RequestState(may_repeat)
        self.check(self.entry.arrive(self.now, request))

    def end_attempt(self, forced_end=None):
        request_id = self.choose_request(running=True)
        if request_id is None:
            return
        end = forced_end or self.rng.choice(list(AttemptEnd))
        state = self.state_by_id[request_id]
        state.running = False
        state.answered = end is AttemptEnd.DONE or state.disconnected
        state.may_have_run |= end is not AttemptEnd.NOT_RUN
        after = self.rng.choice((None, 50)) if not forced_end else None
        alongside = (f"f{self.rng.randrange(40)}",)
        out = self.entry.ended(self.now, request_id, end, 9, after, alongside)
        self.check(out)

    def disconnect_caller(self):
        request_id = self.choose_request(running=self.rng.random() < 0.5)
        if request_id is not None:
            state = self.state_by_id[request_id]
            if not state.disconnected:
                state.disconnected = True
                state.answered = not state.running
                self.check(self.entry.caller_gone(self.now, request_id))

    def change_endpoint(self):
        name = self.rng.choice(NAMES)
        models = frozenset({"m"}) if self.rng.random() < 0.9 else frozenset()
        if self.rng.random() < 0.3:
            loss = self.rng.choice(list(LossReason))
            self.check(self.entry.endpoint_gone(self.now, name, loss))
        elif self.rng.random() < 0.5:
            info = EndpointInfo(name, name[0], frozenset({"m"}))
            self.check(self.entry.endpoint_up(self.now, info))
        else:
            load = self.rng.randrange(20)
            report = EndpointReport(
                name, load, 0, 0, 0, 0, 20.0, 0, models,
                self.rng.randrange(500), frozenset({1, 2}),
                self.rng.random() < 0.1,
            )  # fmt: skip
            self.check(self.entry.report(self.now, report))

    def send_other_events(self):
        limits = CallerLimits(self.rng.random() * 3, 2_000)
        self.entry.set_limits(self.now, f"c{self.rng.randrange(6)}", limits)
        name = f"f{self.rng.randrange(40)}"
        self.check(self.entry.convicted(self.now, name, 500))
        running = self.choose_request(running=True)
        if running is not None:
            self.check(self.entry.first_token(self.now, running))
            self.entry.tokens(self.now, running, 3)

    def tick(self):
        self.check(self.entry.tick(self.now))

    def finish(self):
        """Complete all requests on a healthy fleet."""
        for name in NAMES:
            info = EndpointInfo(name, name[0], frozenset({"m"}))
            self.check(self.entry.endpoint_up(self.now, info))
        for _ in range(20_000):
            if all(state.answered for state in self.state_by_id.values()):
                return
            self.end_attempt(AttemptEnd.DONE)
            next_tick_ms = self.entry.wake_ms()
            self.now = max(self.now + 1, next_tick_ms or 0)
            self.tick()
        raise AssertionError("a request was not answered in 20,000 steps")


@pytest.mark.parametrize("seed", range(12))
def test_each_request_is_answered_once_and_correctly(
    make_entry, make_request, seed
):
    # No request may be answered twice, never, or wrongly as not run.
    entry = make_entry(NAMES, limit_initial=2)
    driver = Driver(entry, make_request, seed)
    steps = [driver.arrive] * 5 + [driver.end_attempt] * 4 + [driver.tick] * 2
    steps += [
        driver.disconnect_caller,
        driver.change_endpoint,
        driver.send_other_events,
    ]
    for _ in range(1_500):
        driver.now += driver.rng.randrange(20)
        driver.rng.choice(steps)()
    driver.finish()
    status = entry.status()
    assert status.in_flight == status.suspects_waiting == 0
    assert not any(status.waiting_by_model.values())
    assert all(endpoint.in_flight == 0 for endpoint in status.endpoints)
