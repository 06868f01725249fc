"""Simulated entries, meters and a lossy network on a virtual clock.

`RateLimitSimulation` sends requests of workspaces through the policies of
`RATE_LIMIT_POLICIES` and records which were admitted. `overruns` compares
these with the bound of the limit in each window, and `lost` with one exact
bucket.
"""

import bisect
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import random

from dahliashunt.decisions.link_choice import rendezvous_rank
from dahliashunt.decisions.meter import Meter
from dahliashunt.decisions.metered import METERS_PER_WORKSPACE
from dahliashunt.decisions.rate_limits import Level
from dahliashunt.decisions.rate_limits import PendingVerdict
from dahliashunt.decisions.rate_limits import RATE_LIMIT_POLICIES
from dahliashunt.decisions.rate_limits import RateLimitVerdict

__all__ = ["RateLimitSimulation", "arrivals", "lost", "overruns"]

WINDOW_MS = 5_000
OVERRUN_SHARE = 0.1
OVERRUN_REQUESTS = 20
TICK_MS = 25

HEARTBEAT_MS = 1_000

HOP_MS = (1, 3)
"""Range of the one-way delay within a region, processing included."""

REPORT_BYTES = 64
"""Encoded size of a report or reading with the datagram's headers."""


@dataclass
class Request:
    """A request and the decision on it."""

    at_ms: int
    workspace: int
    verdict: object = None
    decided_ms: int = 0


@dataclass
class _Entry:
    policy: object
    frozen_until_ms: int = 0
    pending: dict = field(default_factory=dict)
    deferred: list = field(default_factory=list)


class RateLimitSimulation:
    """Simulation of a fleet of entries and meters.

    Parameters
    ----------
    policy : str
        Name in `RATE_LIMIT_POLICIES`.
    entries, meters : int
    limit : RateLimit
        Limit of every workspace.
    seed : int
    known_entries : int, optional
        Number of entries that the entries assume; default `entries`.
    """

    def __init__(
        self, policy, entries, meters, limit, seed=0, known_entries=None
    ):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.limit_by_entry = dict.fromkeys(range(entries), limit)
        self.requests: list[Request] = []
        self.messages = 0
        self.loss = self.doubling = 0.0
        self.cut = lambda entry, host: False
        self._policy = policy
        self._known = known_entries or entries
        self._hosts = [f"m{n}" for n in range(meters)]
        self.meters = {host: Meter() for host in self._hosts}
        self.entries = {n: self._start(n) for n in range(entries)}
        self._events = []
        self._order = itertools.count()
        self._ticking = set()
        for number in range(entries):
            first_ms = self.rng.randrange(HEARTBEAT_MS)
            self.at(first_ms, lambda n=number: self._send_heartbeat(n))

    def _start(self, number):
        member = RATE_LIMIT_POLICIES.get(self._policy)
        return _Entry(member(lambda: self._known, self._meters_of, self.rng))

    def _meters_of(self, workspace):
        ranked = sorted(
            self._hosts,
            key=lambda host: rendezvous_rank(str(workspace), host),
            reverse=True,
        )
        return tuple(ranked[:METERS_PER_WORKSPACE])

    def at(self, at_ms, action):
        """Schedule `action` at `at_ms`."""
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    def kill_entry(self, number):
        """Replace an entry by a new one that has no state."""
        self.entries[number] = self._start(number)

    def kill_meter(self, host):
        """Replace a meter by a new one that has no state."""
        self.meters[host] = Meter()

    def freeze(self, number, for_ms):
        """Pause an entry; input is deferred until it resumes."""
        self.entries[number].frozen_until_ms = self.now_ms + for_ms
        self.at(self.now_ms + for_ms, lambda: self._wake(number))

    def _wake(self, number):
        entry = self.entries[number]
        deferred, entry.deferred = entry.deferred, []
        for action in deferred:
            action()

    def _send_heartbeat(self, number):
        """Renew an entry's slots, which tells all meters that it is alive."""
        self.at(
            self.now_ms + HEARTBEAT_MS, lambda: self._send_heartbeat(number)
        )
        if self.now_ms < self.entries[number].frozen_until_ms:
            return
        for host in self._hosts:
            if not self.cut(number, host):
                self.meters[host].heard.note(self.now_ms, number)

    def send(self, at_ms, number, workspace):
        """Schedule a request of a workspace to entry `number`."""
        request = Request(at_ms, workspace)
        self.requests.append(request)
        self.at(at_ms, lambda: self._arrive(number, request))
        return request

    def _arrive(self, number, request):
        entry = self.entries[number]
        if self.now_ms < entry.frozen_until_ms:
            entry.deferred.append(lambda: self._arrive(number, request))
            return
        limit = self.limit_by_entry[number]
        answer = entry.policy.take(self.now_ms, request.workspace, limit)
        if isinstance(answer, PendingVerdict):
            entry.pending[answer.number] = request
        else:
            self._decide(request, answer)
        self._flush(number)

    def _decide(self, request, verdict):
        request.verdict, request.decided_ms = verdict, self.now_ms

    def _outcomes(self, number, outcomes):
        pending = self.entries[number].pending
        for outcome in outcomes:
            self._decide(pending.pop(outcome.number), outcome.verdict)

    def _flush(self, number):
        entry = self.entries[number]
        for host, report in entry.policy.outbox():
            self._transmit(
                number,
                host,
                lambda h=host, r=report, e=entry: self._deliver_report(
                    number, h, r, e
                ),
            )
        if entry.policy.needs_tick and number not in self._ticking:
            self._ticking.add(number)
            self.at(self.now_ms + TICK_MS, lambda: self._tick(number))

    def _tick(self, number):
        self._ticking.discard(number)
        entry = self.entries[number]
        if self.now_ms < entry.frozen_until_ms:
            entry.deferred.append(lambda: self._tick(number))
            return
        self._outcomes(number, entry.policy.tick(self.now_ms))
        self._flush(number)

    def _transmit(self, number, host, action):
        self.messages += 1
        if self.cut(number, host) or self.rng.random() < self.loss:
            return
        copies = 1 + (self.rng.random() < self.doubling)
        for _ in range(copies):
            self.at(self.now_ms + self.rng.randint(*HOP_MS), action)

    def _deliver_report(self, number, host, report, entry):
        reading = self.meters[host].report(self.now_ms, number, report)
        self._transmit(
            number,
            host,
            lambda: self._deliver_reading(number, host, reading, entry),
        )

    def _deliver_reading(self, number, host, reading, entry):
        if self.entries[number] is not entry:
            return
        if self.now_ms < entry.frozen_until_ms:
            entry.deferred.append(
                lambda: self._deliver_reading(number, host, reading, entry)
            )
            return
        self._outcomes(number, entry.policy.heard(self.now_ms, host, reading))
        self._flush(number)

    def run(self, until_ms):
        """Run all events up to `until_ms`."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = until_ms

    def admitted(self, workspace):
        """Return the sorted times at which a workspace's requests passed."""
        return sorted(
            r.decided_ms
            for r in self.requests
            if r.workspace == workspace
            and r.verdict is RateLimitVerdict.ADMITTED
        )


def arrivals(rng, rate, from_ms, until_ms):
    """Return times of a Poisson stream of `rate` requests a second."""
    times, at_ms = [], float(from_ms)
    while True:
        at_ms += rng.expovariate(rate / 1000)
        if at_ms >= until_ms:
            return times
        times.append(int(at_ms))


def overruns(sim, workspace, limit, burst):
    """Return the largest excess of a window over the allowed requests."""
    times = sim.admitted(workspace)
    allowed = (limit.rate * WINDOW_MS / 1000 + burst) * (
        1 + OVERRUN_SHARE
    ) + OVERRUN_REQUESTS
    worst = -allowed
    for index, start_ms in enumerate(times):
        end = bisect.bisect_left(times, start_ms + WINDOW_MS)
        worst = max(worst, end - index - allowed)
    return worst


def lost(sim, workspace, rate, burst):
    """Return how many more requests one exact bucket would have admitted."""
    exact, expected = Level(), 0
    for request in sorted(sim.requests, key=lambda r: r.at_ms):
        if request.workspace != workspace:
            continue
        if exact.at(request.at_ms, rate) + 1 <= burst:
            exact.add(request.at_ms, rate)
            expected += 1
    return expected - len(sim.admitted(workspace))
