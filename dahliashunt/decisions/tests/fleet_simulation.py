"""Simulation of a small fleet on virtual time, to test an entry under load.

An engine runs at most `slots` streams and queues the others in order of
arrival. Prefills are serial, and a decode step slows with the number of
running streams.
"""

from collections import Counter
from collections import deque
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
import itertools
import random

from dahliashunt.decisions.entry import EntryDecisions
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.events import AttemptEnd
from dahliashunt.decisions.events import Dispatch
from dahliashunt.decisions.events import EndpointInfo
from dahliashunt.decisions.events import EndpointReport
from dahliashunt.decisions.events import FailRequest
from dahliashunt.decisions.events import LossReason
from dahliashunt.decisions.events import OnlineRequest

MODEL = "m"
HOP_MS = 1


@dataclass(slots=True)
class Call:
    """A client's call and its result."""

    caller: str
    at: int
    prompt: int = 400
    output: int = 100
    budget_ms: int = 1_000
    keys: tuple[int, ...] = ()
    may_repeat: bool = True
    body: str = ""
    sends: int = 0
    first_at: int = 0
    first_ms: int | None = None
    done_ms: int | None = None
    refusals: list[FailRequest] = field(default_factory=list)
    answered_ms: int | None = None
    runs: int = 0

    @property
    def good(self) -> bool:
        """Whether it completed with its first token in time."""
        return self.done_ms is not None and self.first_ms <= self.budget_ms


@dataclass(slots=True, eq=False)
class Stream:
    """An attempt in an engine."""

    request_id: str
    call: Call
    entry: int
    alone: bool
    ends_at: float = 0.0


class Engine:
    """An endpoint with its agent: FIFO, and `alone` streams run alone."""

    def __init__(self, sim, endpoint_id, data_centre, slots=32, slow=1.0):
        self.sim = sim
        self.endpoint_id = endpoint_id
        self.data_centre = data_centre
        self.slots = slots
        self.slow = slow
        self.poison = ""
        self.fails = False
        self.up = True
        self.reports = True
        self.incarnation = 0
        self.reset()

    def reset(self):
        self.waiting = deque()
        self.running = {}
        self.cache = OrderedDict()
        self.cached_tokens = 0
        self.prompt_tokens = 0
        self._prefill_free = 0.0
        self._clock = 0.0
        self._clock_ms = 0.0
        self._decoding = []
        self._version = 0

    def submit(self, stream):
        stream.call.runs += 1
        self.waiting.append(stream)
        self._admit()

    def _admit(self):
        while self.waiting and len(self.running) < self.slots:
            if any(s.alone for s in self.running.values()):
                return
            if self.waiting[0].alone and self.running:
                return
            stream = self.waiting.popleft()
            self.running[stream.request_id] = stream
            start = max(self.sim.now, self._prefill_free)
            work = self._uncached(stream.call) * 0.1 * self.slow
            self._prefill_free = start + work
            end = self._prefill_free + self._step()
            self.sim.at(end, self._prefilled, stream, self.incarnation)

    def _uncached(self, call):
        cached_depth = 0
        for depth, key in enumerate(call.keys, 1):
            if key in self.cache:
                cached_depth = depth
                self.cache.move_to_end(key)
            else:
                self.cache[key] = None
        while len(self.cache) > 200:
            self.cache.popitem(last=False)
        cached = call.prompt * cached_depth // max(1, len(call.keys))
        self.cached_tokens += cached
        self.prompt_tokens += call.prompt
        return call.prompt - cached

    def _step(self):
        return (15 + 0.35 * len(self.running)) * self.slow

    def _advance(self):
        now = self.sim.now
        self._clock += (now - self._clock_ms) / self._step()
        self._clock_ms = now

    def _prefilled(self, stream, incarnation):
        if incarnation != self.incarnation:
            return
        if self.poison and stream.call.body == self.poison:
            self.crash()
            return
        if self.fails:
            self._leave(stream)
            self.sim.end(stream, AttemptEnd.FAILED)
            return
        self.sim.first_token(stream)
        self._advance()
        heappush(
            self._decoding,
            (self._clock + stream.call.output, id(stream), stream),
        )
        self._next()

    def _next(self):
        self._version += 1
        if self._decoding:
            left = max(0.0, self._decoding[0][0] - self._clock)
            at = self.sim.now + left * self._step()
            self.sim.at(at, self._step_end, self._version)

    def _step_end(self, version):
        if version != self._version:
            return
        self._advance()
        while self._decoding and self._decoding[0][0] <= self._clock + 1e-6:
            stream = heappop(self._decoding)[2]
            self._leave(stream)
            self.sim.end(stream, AttemptEnd.DONE)
        self._next()

    def _leave(self, stream):
        self._advance()
        del self.running[stream.request_id]
        self._admit()

    def crash(self, end=AttemptEnd.CRASHED, restart_ms=5_000):
        """Lose all streams; restart after `restart_ms`."""
        lost = list(self.running.values())
        not_run = list(self.waiting)
        self.sim.crashes += end is AttemptEnd.CRASHED
        self.incarnation += 1
        self.up = False
        self.reset()
        alongside = tuple({fingerprint(s.call) for s in lost})
        loss = LossReason.CRASHED
        if end is not AttemptEnd.CRASHED:
            alongside, loss = (), LossReason.UNREACHABLE
        for stream in lost:
            self.sim.end(stream, end, alongside)
        for stream in not_run:
            self.sim.end(stream, AttemptEnd.NOT_RUN)
        for decisions in self.sim.entries:
            self.sim.act(
                decisions,
                decisions.endpoint_gone(
                    int(self.sim.now), self.endpoint_id, loss
                ),
            )
        if restart_ms is not None:
            self.sim.at(self.sim.now + restart_ms, self.come_up)

    def come_up(self):
        self.up = True
        info = EndpointInfo(
            self.endpoint_id, self.data_centre, frozenset({MODEL})
        )
        for decisions in self.sim.entries:
            out = decisions.endpoint_up(int(self.sim.now), info)
            self.sim.act(decisions, out)

    def report(self):
        return EndpointReport(
            endpoint_id=self.endpoint_id,
            running_online=len(self.running),
            running_batch=0,
            waiting_online=len(self.waiting),
            kv_used_tokens=0,
            kv_total_tokens=0,
            step_ms=self._step(),
            batch_room=0,
            models=frozenset({MODEL}),
            age_ms=100,
            cached_prefixes=frozenset(self.cache),
            quarantined=any(s.alone for s in self.waiting)
            or any(s.alone for s in self.running.values()),
        )


class FleetSimulation:
    """Simulation of clients, entries and engines on one virtual clock."""

    def __init__(
        self,
        policy: EntryPolicy,
        engines: int = 5,
        entries: int = 1,
        seed: int = 1,
        data_centres: tuple[str, ...] = ("a", "b", "c"),
    ):
        self.now = 0.0
        self.crashes = 0
        self.calls: list[Call] = []
        self.ran_again: Counter[str] = Counter()
        self.resend: Callable[[Call, FailRequest], int | None] = no_resend
        self._heap: list = []
        self._order = itertools.count()
        self._ids = itertools.count()
        self._call_by_id: dict[str, Call] = {}
        self._wake_ms_by_entry: dict[int, int] = {}
        rng = random.Random(seed)
        self.entries = [
            EntryDecisions(
                policy,
                random.Random(rng.random()),
                data_centres[i % len(data_centres)],
            )
            for i in range(entries)
        ]
        self.engines = [
            Engine(self, f"e{i}", data_centres[i % len(data_centres)])
            for i in range(engines)
        ]
        self.by_id = {e.endpoint_id: e for e in self.engines}
        for engine in self.engines:
            engine.come_up()
        self.at(250, self._report)

    def at(self, ms, act, *args):
        heappush(self._heap, (ms, next(self._order), act, args))

    def send(self, calls):
        for call in calls:
            self.calls.append(call)
            self.at(call.at, self._arrive, call)
        return self

    def run(self, until):
        while self._heap and self._heap[0][0] <= until:
            self.now, _, act, args = heappop(self._heap)
            act(*args)
        self.now = until
        return self

    def _arrive(self, call):
        entry = call.sends % len(self.entries)
        if not call.sends:
            entry = next(self._order) % len(self.entries)
        call.sends += 1
        request_id = f"r{next(self._ids)}"
        self._call_by_id[request_id] = call
        now = int(self.now)
        request = OnlineRequest(
            request_id=request_id,
            caller=call.caller,
            model=MODEL,
            prompt_tokens=call.prompt,
            max_tokens=4 * call.output,
            prefix_keys=call.keys,
            first_token_by_ms=now + call.budget_ms,
            may_repeat=call.may_repeat,
            fingerprint=fingerprint(call),
        )
        call.first_at = call.first_at or now
        call.at = now
        decisions = self.entries[entry]
        self.act(decisions, decisions.arrive(now, request))

    def act(self, decisions, out):
        for decision in out:
            call = self._call_by_id[decision.request_id]
            if isinstance(decision, Dispatch):
                entry = self.entries.index(decisions)
                stream = Stream(
                    decision.request_id, call, entry, decision.alone
                )
                engine = self.by_id[decision.endpoint_id]
                self.at(self.now + HOP_MS, self._submit, engine, stream)
            else:
                self._refused(call, decision)
        wake = decisions.wake_ms()
        key = id(decisions)
        if wake is not None and self._wake_ms_by_entry.get(key, -1) < self.now:
            self._wake_ms_by_entry[key] = wake = max(wake, int(self.now) + 1)
            self.at(wake, self._tick, decisions)

    def _submit(self, engine, stream):
        if engine.up:
            engine.submit(stream)
        else:
            self.end(stream, AttemptEnd.NOT_RUN)

    def _tick(self, decisions):
        self.act(decisions, decisions.tick(int(self.now)))

    def _refused(self, call, decision):
        call.refusals.append(decision)
        delay_ms = self.resend(call, decision)
        if delay_ms is None:
            call.answered_ms = int(self.now)
        else:
            self.at(self.now + delay_ms, self._arrive, call)

    def first_token(self, stream):
        call = stream.call
        if call.first_ms is None:
            call.first_ms = int(self.now) - call.at
        decisions = self.entries[stream.entry]
        out = decisions.first_token(int(self.now), stream.request_id)
        self.act(decisions, out)

    def end(self, stream, end, alongside=()):
        self.at(self.now + HOP_MS, self._ended, stream, end, alongside)

    def _ended(self, stream, end, alongside):
        call = stream.call
        decisions = self.entries[stream.entry]
        if end is AttemptEnd.DONE:
            call.done_ms = call.answered_ms = int(self.now)
        out = decisions.ended(
            int(self.now),
            stream.request_id,
            end,
            call.output if end is AttemptEnd.DONE else 0,
            None,
            alongside,
        )
        self.act(decisions, out)

    def _report(self):
        for engine in self.engines:
            if engine.up and engine.reports:
                for decisions in self.entries:
                    out = decisions.report(int(self.now), engine.report())
                    self.act(decisions, out)
        self._share_convictions()
        self.at(self.now + 250, self._report)

    def _share_convictions(self):
        for decisions in self.entries:
            for suspect in decisions.new_suspects():
                for other in self.entries:
                    other.suspected(int(self.now), suspect)
            for conviction in decisions.new_convictions():
                for other in self.entries:
                    out = other.convicted(
                        int(self.now),
                        conviction.fingerprint,
                        conviction.for_ms,
                    )
                    self.act(other, out)


def fingerprint(call):
    """Return a fingerprint that is equal for all resends of a call."""
    return call.body or f"f{id(call)}"


def no_resend(call, decision):
    """Never retry."""
    return None


def honour_retry_after(call, decision):
    """Retry after the given delay, up to five times."""
    return decision.retry_after_ms if call.sends < 6 else None


def retry_after_50_ms(call, decision):
    """Retry after 50 ms, whatever Retry-After says."""
    return 50 if call.sends < 20 else None


def poisson(rng, rate, start, stop, make):
    """Return calls of a Poisson process with `rate` calls a second."""
    calls = []
    at = start + rng.expovariate(rate) * 1000
    while at < stop:
        calls.append(make(int(at)))
        at += rng.expovariate(rate) * 1000
    return calls


def goodput(calls, start, stop):
    """Return good answers a second to calls sent in the window."""
    good = sum(1 for c in calls if start <= c.at < stop and c.good)
    return good * 1000 / (stop - start)


def late_share(calls, start, stop):
    """Return the share of completed calls with a late first token."""
    done = [c for c in calls if start <= c.at < stop and c.done_ms]
    return sum(1 for c in done if not c.good) / max(1, len(done))


def quantile(values, q):
    """Return the `q` quantile of `values`, or 0 if there are none."""
    ranked = sorted(values) or [0]
    return ranked[min(len(ranked) - 1, int(q * len(ranked)))]
