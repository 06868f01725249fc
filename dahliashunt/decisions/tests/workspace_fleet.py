"""Simulation of workspaces that share a fleet through many entries.

Slot allocation and replica order are the production code, on a virtual
clock. The fleet is fixed and the demand is split over the entries, each of
which knows the states that agents push and the replies to its own requests.
Each
workspace has its own random stream, so that the other workspaces send the
same requests with and without a hot one.
"""

from collections import Counter
from dataclasses import dataclass
import heapq
import itertools
import random

from dahliashunt.decisions.replica_choice import Candidate
from dahliashunt.decisions.replica_choice import order_replicas
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.decisions.slot_messages import Use

__all__ = ["HOT", "SharedLoad", "WorkspaceFleet"]

TROUGH_MS, PEAK_MS = 3_400, 2_400
TROUGH_FACTOR, PEAK_FACTOR = 0.383, 1.87
WAVES = 2
HOLD_MS = 660
SLACK_MS = 260
LATE_WAIT_MS = 1_200
STATE_INTERVAL_MS = 100
RESEND_MS = 100
MAX_ASKED = 6
SLOTS = 8
LARGE_SHARES = (0.2, 0.1, 0.08, 0.06)
WORKSPACES = 82
HOT = 1
"""Workspace that may send more than usual; the largest."""


@dataclass(frozen=True, slots=True)
class SharedLoad:
    """Load of one run."""

    entries: int = 36
    replicas: int = 26
    online_per_s: float = 101.0
    hot_factor: float = 1.0
    restart_ms: int = 0
    """When one agent in four restarts; 0 for never."""

    halves: bool = False
    """Whether entries reach the agents of their half only."""


@dataclass(slots=True, eq=False)
class _Stream:
    workspace: int
    arrived_ms: float
    hold_ms: float
    entry: int
    replica: int = -1


class WorkspaceFleet:
    """Simulation of one load with one seed."""

    def __init__(self, load, seed=1, allocator=SlotAllocator):
        self._load = load
        self._seed = seed
        self._rng = random.Random(f"placement{seed}")
        self._new_agent = lambda: allocator(SLOTS)
        self._agents = [self._new_agent() for _ in range(load.replicas)]
        self._running = [set() for _ in range(load.replicas)]
        self._states = [agent.state() for agent in self._agents]
        self._own_states = [{} for _ in range(load.entries)]
        self._stream_by_id = {}
        self._events = []
        self._sequence = itertools.count()
        self._now_ms = 0.0
        self.in_time: Counter = Counter()
        self.sent: Counter = Counter()
        self.idle_while_waiting = 0

    def play(self) -> "WorkspaceFleet":
        """Run to the end of the last wave."""
        for workspace in range(1, WORKSPACES + 1):
            self._add_arrivals(workspace)
        until_ms = WAVES * (TROUGH_MS + PEAK_MS)
        for at_ms in range(0, until_ms, STATE_INTERVAL_MS):
            self._schedule(at_ms, self._report)
        if self._load.restart_ms:
            self._schedule(self._load.restart_ms, self._restart_agents)
        while self._events:
            self._now_ms, _, step, values = heapq.heappop(self._events)
            step(*values)
        return self

    def others(self) -> int:
        """Return the requests in time of all workspaces but the hot one."""
        return sum(self.in_time.values()) - self.in_time[HOT]

    def _schedule(self, at_ms, step, *values):
        heapq.heappush(
            self._events, (at_ms, next(self._sequence), step, values)
        )

    def _add_arrivals(self, workspace):
        rng = random.Random(f"{self._seed} {workspace}")
        rate = self._load.online_per_s * _share(workspace) / 1_000
        if workspace == HOT:
            rate *= self._load.hot_factor
        at_ms = 0.0
        while at_ms < WAVES * (TROUGH_MS + PEAK_MS):
            at_ms += rng.expovariate(rate * PEAK_FACTOR)
            hold_ms = max(150, rng.gauss(HOLD_MS, HOLD_MS / 4))
            is_peak = at_ms % (TROUGH_MS + PEAK_MS) >= TROUGH_MS
            if is_peak or rng.random() < TROUGH_FACTOR / PEAK_FACTOR:
                entry = rng.randrange(10_000) % self._load.entries
                stream = _Stream(workspace, at_ms, hold_ms, entry)
                self._schedule(at_ms, self._arrive, stream)

    def _arrive(self, stream):
        self.sent[stream.workspace] += 1
        full = []
        for number in self._candidates(stream.entry)[:MAX_ASKED]:
            reply = self._ask(stream, number, 0)
            if reply.verdict is SlotDecision.GRANTED:
                return
            wait_ms = reply.wait_ms or self._agents[number].state().wait_ms
            full.append((wait_ms, number))
        full.sort(key=lambda pair: pair[0])
        self._ask(stream, full[0][1], SLACK_MS + LATE_WAIT_MS)

    def _candidates(self, entry):
        numbers = range(self._load.replicas)
        if self._load.halves:
            numbers = [each for each in numbers if each % 2 == entry % 2]
        states = self._own_states[entry]
        candidates = [
            self._candidate(number, states.get(number, self._states[number]))
            for number in numbers
        ]
        ordered = order_replicas(candidates, "", self._rng)
        return [int(each.replica_id) for each in ordered]

    def _candidate(self, number, state):
        taken = state.online + state.waiting
        return Candidate(
            str(number), state.slots, taken, 0, False, True, state.batch
        )

    def _ask(self, stream, number, wait_ms):
        waited_ms = int(self._now_ms - stream.arrived_ms)
        name = f"{stream.workspace} {next(self._sequence)}"
        self._stream_by_id[name] = stream
        stream.replica = number
        request = SlotRequest(
            name,
            name,
            "entry",
            Use.ONLINE,
            wait_ms,
            max(0, SLACK_MS - waited_ms),
            workspace=stream.workspace,
            prompt_tokens=400,
            output_tokens=200,
        )
        effects = self._agents[number].ask(request, self._now_ms)
        self._apply(effects)
        state = self._agents[number].state()
        self._own_states[stream.entry][number] = state
        return effects[-1]

    def _apply(self, effects):
        for effect in effects:
            stream = self._stream_by_id[effect.attempt_id]
            if effect.verdict is not SlotDecision.GRANTED:
                continue
            number, name = stream.replica, effect.attempt_id
            self._running[number].add(name)
            if self._now_ms - stream.arrived_ms <= SLACK_MS:
                self.in_time[stream.workspace] += 1
            end_ms = self._now_ms + stream.hold_ms
            self._schedule(end_ms, self._release, number, name)

    def _release(self, number, name):
        self._running[number].discard(name)
        agent = self._agents[number]
        self._apply(agent.release(name, self._now_ms))
        self._check_work_conserving(agent)

    def _check_work_conserving(self, agent):
        state = agent.state()
        if state.waiting and state.online < state.slots:
            self.idle_while_waiting += 1

    def _report(self):
        for number, agent in enumerate(self._agents):
            running = frozenset(self._running[number])
            self._apply(agent.report(running, 0, self._now_ms))
            self._states[number] = agent.state()
        for states in self._own_states:
            states.clear()

    def _restart_agents(self):
        for number in range(0, self._load.replicas, 4):
            waiting = self._agents[number].waiting
            self._agents[number] = self._new_agent()
            running = frozenset(self._running[number])
            self._agents[number].report(running, 0, self._now_ms)
            for name in waiting:
                again = (self._stream_by_id[name], number)
                self._schedule(self._now_ms + RESEND_MS, self._resend, *again)

    def _resend(self, stream, number):
        self._ask(stream, number, SLACK_MS + LATE_WAIT_MS)


def _share(workspace):
    if workspace <= len(LARGE_SHARES):
        return LARGE_SHARES[workspace - 1]
    rest = 1 - sum(LARGE_SHARES)
    return rest / (WORKSPACES - len(LARGE_SHARES))
