"""Simulation of a fleet shared by online requests and batch items.

Slot allocation, replica order and item order are the production code. Run
times, bursts, losses of replicas and retries are drawn from a seed, on a
virtual clock. Online requests and jobs use separate random streams, so that
two policies meet the same load.
"""

from dataclasses import dataclass
import heapq
import itertools
import math
import random

from dahliashunt.decisions.batch_room import allot
from dahliashunt.decisions.batch_room import batch_room
from dahliashunt.decisions.batch_room import clear_run_ms
from dahliashunt.decisions.batch_room import reserved_slots
from dahliashunt.decisions.demand_wave import CHECK_HORIZON_MS
from dahliashunt.decisions.demand_wave import DemandWave
from dahliashunt.decisions.item_order import ItemQueue
from dahliashunt.decisions.item_order import WaitingItem
from dahliashunt.decisions.replica_choice import Candidate
from dahliashunt.decisions.replica_choice import order_replicas
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.decisions.slot_ask_order import idle_slots
from dahliashunt.decisions.slot_ask_order import plan_asks
from dahliashunt.decisions.slot_messages import Revoked
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import SlotReply
from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.decisions.slot_messages import Use

__all__ = ["EarliestDue", "Fleet", "Load", "Outcome", "Switches", "Wave"]

WAVE_MS = 5_200
CALM_MS = 3_000
CALM_FACTOR, WAVE_FACTOR = 0.378, 1.85
ONLINE_RUN_MS = 680
ITEM_RUN_MS = 4_700
ITEM_SPREAD = 0.25
DUE_MS = 18_000
RESTART_MS = 30
"""Time from an item's grant to its first new event."""

WAIT_MS = 260
"""Longest wait of an online request that meets its deadline."""

LATE_WAIT_MS = 1_200
"""Longest wait of a request that has missed its deadline."""

RETURN_DELAY_MS = (0, 600)
"""Bounds of the delay after an outage until a caller returns."""

ROUND_TRIP_MS = 2
MAX_ASKED = 6
RETRY_PAUSE_MS = (40, 90)
PUSH_MS = 100
"""Interval at which an agent sends its state to the entries."""


@dataclass(frozen=True, slots=True)
class Wave:
    """Online demand over time, as factors on the mean rate.

    Attributes
    ----------
    calm_ms, peak_ms : int
        Lengths of the two parts of a period.
    calm, peak : float
        Factors on the rate in each.
    spread : float
        Largest relative change of each length, drawn anew each period.
    stops_ms : int
        Time after which the rate is the mean; 0 for never.
    slows_ms : int
        Time after which both parts last twice as long; 0 for never.
    noise : float
        Largest relative change of the rate, drawn anew every second.
    """

    calm_ms: int = CALM_MS
    peak_ms: int = WAVE_MS - CALM_MS
    calm: float = CALM_FACTOR
    peak: float = WAVE_FACTOR
    spread: float = 0.0
    stops_ms: int = 0
    slows_ms: int = 0
    noise: float = 0.0

    @property
    def highest(self) -> float:
        """Upper bound of the factor."""
        return self.peak * (1 + self.noise)

    def parts(self, until_ms, rng):
        """Return pairs of the end of each part and its factor."""
        parts = []
        end_ms = 0.0
        while end_ms < until_ms:
            scale = 2 if self.slows_ms and end_ms >= self.slows_ms else 1
            for length_ms, factor in (
                (self.calm_ms, self.calm),
                (self.peak_ms, self.peak),
            ):
                varied = 1 + self.spread * rng.uniform(-1, 1)
                end_ms += scale * length_ms * varied
                parts.append((end_ms, factor))
        if self.stops_ms:
            parts = [part for part in parts if part[0] <= self.stops_ms]
            parts.append((math.inf, 1.0))
        return parts


@dataclass(frozen=True, slots=True)
class Load:
    """Load of one run: arrivals, and when replicas are down."""

    replicas: int = 9
    slots: int = 8
    owners: int = 9
    online_per_s: float = 41.8
    jobs_per_s: float = 0.514
    length_ms: int = 34_000
    burst: tuple[int, int, float] = (0, 0, 1.0)
    """Start, end, and factor on the rate of jobs."""

    loss: tuple[int, int, int] = (0, 0, 0)
    """Start, end, and number of replicas that are down."""

    outage: tuple[int, int] = (0, 0)
    """Start and end of the time in which no entry is reachable."""

    entries: int = 0
    """Entries that know each replica's state from its last answer or its
    last push; 0 if all states are known exactly."""

    wave: Wave = Wave()


class EarliestDue(ItemQueue):
    """Baseline: earliest due date first, without regard to feasibility."""

    def laxity_ms(self, item, now_ms):
        return 0


class NeverRevokes(SlotAllocator):
    """Baseline: online requests wait until an item ends."""

    __slots__ = ()

    def _revoke(self, ask, now_ms):
        return []


@dataclass(frozen=True, slots=True)
class Switches:
    """Mechanisms that can be replaced or disabled one by one."""

    order: type = ItemQueue
    allocator: type = SlotAllocator
    idle_first: bool = True
    forecast: bool = True
    """Whether items start by the forecast of online demand."""

    two_phase: bool = True
    """Whether replicas are first asked without revocation."""

    queues: bool = True
    """Whether an online request may wait at a full replica."""

    late_yields: bool = True
    """Whether a late request may wait longer, but behind others."""

    return_ms: tuple[int, int] | None = None
    """Bounds of the delay after which a refused caller retries once; None
    for no retry."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """Counts of items and online requests by outcome."""

    items: int
    late: int
    unfinished: int
    revokes: int
    refused: int
    in_time: int
    """Online requests granted a slot in time at the first try."""

    returned_in_time: int
    """Online requests granted a slot in time after a refusal, timed from
    their return."""

    served_late: int
    needless: int = 0
    """Items revoked while a replica that the request had been refused an
    idle slot at, or would have asked next, had one."""


@dataclass(slots=True, eq=False)
class _Online:
    run_ms: float
    arrived_ms: float
    waited_ms: float = 0
    refused: bool = False
    is_final: bool = False


@dataclass(slots=True, eq=False)
class _Item:
    due_ms: int
    work_ms: float
    owner: int
    ran_ms: float = 0
    started_ms: float = 0
    ended_ms: float | None = None


SWITCHES = Switches()
"""All mechanisms enabled."""


class Fleet:
    """Simulation of one load with one seed."""

    def __init__(self, load, seed, switches=SWITCHES):
        self.load = load
        self.switches = switches
        self._online_rng = random.Random(f"online{seed}")
        self._jobs_rng = random.Random(f"jobs{seed}")
        self._rng = random.Random(f"rest{seed}")
        self._keepers = [self._keeper() for _ in range(load.replicas)]
        self._away = set()
        self._queues = [switches.order() for _ in range(load.owners)]
        self._dispatching = set()
        self._item_by_attempt = {}
        self._items = []
        self._events = []
        self._sequence = itertools.count()
        self._known_by_entry = [{} for _ in range(load.entries)]
        self._pushed = [keeper.state() for keeper in self._keepers]
        self._wave_rng = random.Random(f"wave{seed}")
        self._parts = load.wave.parts(load.length_ms, self._wave_rng)
        self._noise = [
            1 + load.wave.noise * self._wave_rng.uniform(-1, 1)
            for _ in range(load.length_ms // 1_000 + 2)
        ]
        self._slots_by_id = {
            str(number): load.slots for number in range(load.replicas)
        }
        self._reserved = ()
        self._wave = DemandWave()
        self._revokes = self._needless = self._refused = 0
        self._in_time = self._returned_in_time = self._served_late = 0
        self._now_ms = 0

    def _keeper(self):
        return self.switches.allocator(self.load.slots)

    def play(self) -> Outcome:
        """Run to the end; items run on for `DUE_MS` after the traffic."""
        self._schedule(0, self._online_arrives)
        self._schedule(0, self._job_arrives)
        if self.load.entries:
            self._schedule(0, self._learn)
            for number in range(self.load.replicas):
                offset_ms = number * PUSH_MS / self.load.replicas
                self._schedule(offset_ms, self._push, number)
        from_ms, until_ms, count = self.load.loss
        if count:
            self._schedule(from_ms, self._lose_replicas, count)
            self._schedule(until_ms, self._away.clear)
        while self._events:
            self._now_ms, _, step, values = heapq.heappop(self._events)
            if self._now_ms > self.load.length_ms + DUE_MS:
                break
            step(*values)
        late = [
            item
            for item in self._items
            if item.ended_ms is None or item.ended_ms > item.due_ms
        ]
        unfinished = [item for item in late if item.ended_ms is None]
        return Outcome(
            len(self._items),
            len(late),
            len(unfinished),
            self._revokes,
            self._refused,
            self._in_time,
            self._returned_in_time,
            self._served_late,
            self._needless,
        )

    def _schedule(self, at_ms, step, *values):
        entry = (at_ms, next(self._sequence), step, values)
        heapq.heappush(self._events, entry)

    # Online requests.

    def _online_arrives(self):
        rng = self._online_rng
        if self._now_ms > self.load.length_ms:
            return
        highest = self.load.wave.highest
        peak_per_ms = self.load.online_per_s * highest / 1_000
        self._schedule(
            self._now_ms + rng.expovariate(peak_per_ms), self._online_arrives
        )
        run_ms = max(150, rng.gauss(ONLINE_RUN_MS, ONLINE_RUN_MS / 4))
        if rng.random() < self._factor() / highest:
            self._arrive_first(run_ms)

    def _factor(self):
        """Return the factor on the rate of online requests now."""
        while self._parts[0][0] <= self._now_ms:
            del self._parts[0]
        return self._parts[0][1] * self._noise[int(self._now_ms) // 1_000]

    def _arrive_first(self, run_ms):
        from_ms, until_ms = self.load.outage
        if from_ms <= self._now_ms < until_ms:
            back_ms = until_ms + self._online_rng.uniform(*RETURN_DELAY_MS)
            waited_ms = back_ms - self._now_ms
            online = _Online(run_ms, back_ms, waited_ms, is_final=True)
            self._schedule(back_ms, self._place_online, online)
        else:
            self._place_online(_Online(run_ms, self._now_ms))

    def _place_online(self, online):
        name = f"online{next(self._sequence)}"
        entry = self._entry()
        ordered = self._ordered(entry, self._reserved)
        asked = ordered[:MAX_ASKED]
        wait_ms, slack_ms = WAIT_MS, WAIT_MS
        if self.switches.late_yields:
            slack_ms = max(0, WAIT_MS - int(online.waited_ms))
            wait_ms = slack_ms + LATE_WAIT_MS
        rounds = [(0, False, number) for number in asked]
        if self.switches.two_phase:
            rounds = (
                (0, idle_only, number)
                for number, idle_only in plan_asks(
                    asked,
                    ordered[MAX_ASKED:],
                    lambda number: self._known(entry, number),
                )
            )
        if self.switches.queues:
            rounds = itertools.chain(rounds, [(wait_ms, False, asked[0])])
        for wait_ms, idle_only, number in rounds:
            requester = ("online", number, online)
            ask = SlotRequest(
                name,
                name,
                requester,
                Use.ONLINE,
                wait_ms,
                slack_ms,
                idle_only=idle_only,
            )
            verdict = self._request_slot(number, ask, entry, asked)
            if verdict is not SlotDecision.FULL:
                return
        self._refuse(online)

    def _entry(self):
        """Return the entry of one request; None if states are exact."""
        entries = self.load.entries
        return self._rng.randrange(entries) if entries else None

    def _known(self, entry, number):
        """Return the state of a replica that `entry` knows."""
        if entry is None:
            return self._keepers[number].state()
        return self._known_by_entry[entry].get(number, self._pushed[number])

    def _learn(self):
        """Sample the pushed states, as each entry does."""
        states = self._pushed
        slots = sum(state.slots for state in states)
        online = sum(state.online + state.waiting for state in states)
        self._wave.observe(int(self._now_ms), online / slots)
        self._reserved = self._reserved_numbers()
        self._schedule(self._now_ms + PUSH_MS, self._learn)

    def _room(self, run_ms):
        """Return the slots that items may hold; None if unknown."""
        if not self.switches.forecast:
            return None
        slots = self.load.replicas * self.load.slots
        return batch_room(slots, self._wave.peak(int(run_ms)))

    def _reserved_numbers(self):
        room = self._room(CHECK_HORIZON_MS)
        if room is None:
            return ()
        slots = self.load.replicas * self.load.slots
        batch = sum(state.batch for state in self._pushed)
        return allot(self._slots_by_id, reserved_slots(slots, batch, room))

    def _item_order(self, owner, slack_ms, run_ms):
        """Return the replicas to ask for an item; none if it waits."""
        entry = owner if self.load.entries else None
        ordered = self._ordered(entry)
        clear_ms = clear_run_ms(slack_ms, run_ms, self._wave.period_ms)
        room = self._room(clear_ms)
        if room is None or clear_ms == 0:
            return ordered[:MAX_ASKED]
        return [
            int(replica_id)
            for replica_id, slots in allot(self._slots_by_id, room).items()
            if int(replica_id) in ordered
            and self._known(entry, int(replica_id)).batch < slots
        ][:MAX_ASKED]

    def _push(self, number):
        self._pushed[number] = self._keepers[number].state()
        for known in self._known_by_entry:
            known.pop(number, None)
        self._schedule(self._now_ms + PUSH_MS, self._push, number)

    def _refuse(self, online):
        return_ms = self.switches.return_ms
        if return_ms is None or online.is_final:
            self._refused += 1
            return
        after_ms = self._online_rng.uniform(*return_ms)
        online.waited_ms += after_ms
        online.arrived_ms = self._now_ms + after_ms
        online.refused = online.is_final = True
        self._schedule(online.arrived_ms, self._place_online, online)

    def _request_slot(self, number, ask, entry, asked=()):
        allocator = self._keepers[number]
        effects = allocator.ask(ask, self._now_ms)
        if isinstance(effects[0], Revoked):
            self._needless += any(
                idle_slots(self._keepers[other].state()) for other in asked
            )
        self._apply_effects(effects)
        if entry is not None:
            self._known_by_entry[entry][number] = allocator.state()
        return effects[-1].verdict

    def _apply_effects(self, effects):
        for effect in effects:
            if isinstance(effect, Revoked):
                self._revoked(effect.attempt_id)
            elif effect.requester[0] == "online":
                self._online_answered(effect)

    def _online_answered(self, answered: SlotReply):
        _, number, online = answered.requester
        if answered.verdict is SlotDecision.GRANTED:
            ended = (number, answered.attempt_id)
            self._schedule(self._now_ms + online.run_ms, self._release, *ended)
            self._count_served(online)

    def _count_served(self, online):
        if self._now_ms - online.arrived_ms > WAIT_MS:
            self._served_late += 1
        elif online.refused:
            self._returned_in_time += 1
        elif online.waited_ms:
            self._served_late += 1
        else:
            self._in_time += 1

    def _release(self, number, attempt_id):
        allocator = self._keepers[number]
        self._apply_effects(allocator.release(attempt_id, self._now_ms))

    def _ordered(self, entry, reserved=()):
        candidates = [
            self._candidate(number, self._known(entry, number), reserved)
            for number in range(len(self._keepers))
            if number not in self._away
        ]
        ordered = order_replicas(candidates, "", self._rng)
        return [int(one.replica_id) for one in ordered]

    def _candidate(self, number, state, reserved):
        return Candidate(
            replica_id=str(number),
            slots=state.slots,
            taken=state.online + state.waiting,
            age_ms=0,
            avoided=False,
            near=True,
            reserved=str(number) in reserved,
            batch=state.batch if self.switches.idle_first else 0,
        )

    # Batch items.

    def _job_arrives(self):
        rng = self._jobs_rng
        if self._now_ms > self.load.length_ms:
            return
        from_ms, until_ms, factor = self.load.burst
        max_factor = max(1.0, factor)
        gap_ms = rng.expovariate(self.load.jobs_per_s * max_factor / 1_000)
        self._schedule(self._now_ms + gap_ms, self._job_arrives)
        current_factor = factor if from_ms <= self._now_ms < until_ms else 1.0
        if rng.random() < current_factor / max_factor:
            self._add_job()

    def _add_job(self):
        rng = self._jobs_rng
        owner = rng.randrange(self.load.owners)
        mean_log_ms = math.log(ITEM_RUN_MS)
        for _ in range(max(1, min(24, int(rng.gauss(10, 4))))):
            work_ms = rng.lognormvariate(mean_log_ms, ITEM_SPREAD)
            item = _Item(int(self._now_ms) + DUE_MS, work_ms, owner)
            self._items.append(item)
            self._wait(item)

    def _wait(self, item):
        waiting = WaitingItem(item.due_ms, int(item.ran_ms), item)
        self._queues[item.owner].put(waiting)
        if item.owner not in self._dispatching:
            self._dispatching.add(item.owner)
            self._schedule(self._now_ms + 1, self._dispatch_next, item.owner)

    def _dispatch_next(self, owner):
        queue = self._queues[owner]
        now_ms = int(self._now_ms)
        waiting = queue.take(now_ms)
        if waiting is None:
            self._dispatching.discard(owner)
            return
        name = f"item{next(self._sequence)}"
        slack_ms = queue.slack_ms(waiting, now_ms)
        ask = SlotRequest(name, name, ("item",), Use.BATCH, 0, slack_ms)
        entry = owner if self.load.entries else None
        run_ms = queue.run_ms(waiting)
        for number in self._item_order(owner, slack_ms, run_ms):
            verdict = self._request_slot(number, ask, entry)
            if verdict is SlotDecision.GRANTED:
                self._start(waiting.work, number, name)
                self._schedule(
                    self._now_ms + ROUND_TRIP_MS, self._dispatch_next, owner
                )
                return
        queue.put(waiting)
        pause_ms = MAX_ASKED * ROUND_TRIP_MS / 2 + self._rng.uniform(
            *RETRY_PAUSE_MS
        )
        self._schedule(self._now_ms + pause_ms, self._dispatch_next, owner)

    def _start(self, item, number, name):
        item.started_ms = self._now_ms
        self._item_by_attempt[name] = item
        remaining_ms = RESTART_MS + item.work_ms - item.ran_ms
        self._schedule(self._now_ms + remaining_ms, self._done, number, name)

    def _done(self, number, name):
        item = self._item_by_attempt.pop(name, None)
        if item is None:
            return
        item.ended_ms = self._now_ms
        self._queues[item.owner].done(int(item.work_ms))
        self._release(number, name)

    def _revoked(self, name):
        item = self._item_by_attempt.pop(name, None)
        if item is None:
            return
        self._revokes += 1
        progress_ms = max(0, self._now_ms - item.started_ms - RESTART_MS)
        item.ran_ms = min(item.work_ms - 1, item.ran_ms + progress_ms)
        self._wait(item)

    def _lose_replicas(self, count):
        for number in range(count):
            self._away.add(number)
            for name in list(self._keepers[number].held):
                self._revoked(name)
            self._keepers[number] = self._keeper()
