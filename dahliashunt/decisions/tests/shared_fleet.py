"""A fleet that waves of online requests and batch items share, played.

The keepers, the order of replicas and the order of items are the real
ones; runs, waves, losses of replicas and the owners' pace of asking are
drawn from a seed on a virtual clock. Online requests and jobs are drawn
apart, so that two policies meet the same ones.
"""

from dataclasses import dataclass
import heapq
import itertools
import math
import random

from dahliashunt.decisions.item_order import ItemQueue
from dahliashunt.decisions.item_order import WaitingItem
from dahliashunt.decisions.replica_choice import Candidate
from dahliashunt.decisions.replica_choice import order_replicas
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.decisions.slot_messages import Revoked
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import SlotReply
from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.decisions.slot_messages import Use

__all__ = ["EarliestDue", "Fleet", "Load", "Outcome", "Switches"]

WAVE_MS = 5_200
CALM_MS = 3_000
CALM_X, WAVE_X = 0.378, 1.85
ONLINE_RUN_MS = 680
ITEM_RUN_MS = 4_700
ITEM_SPREAD = 0.25
DUE_MS = 18_000
RESTART_MS = 30
"""An item's time from its grant to its first new event."""

WAIT_MS = 260
"""What an online request may wait: its objective less a start."""

LATE_WAIT_MS = 1_200
"""What a request that is late may wait."""

BACK_MS = (0, 600)
"""After an outage callers come back within so long."""

ROUND_TRIP_MS = 2
ASKED = 6
PAUSE_MS = (40, 90)


@dataclass(frozen=True, slots=True)
class Load:
    """What comes, and when replicas are away."""

    replicas: int = 9
    slots: int = 8
    owners: int = 9
    online_per_s: float = 41.8
    jobs_per_s: float = 0.514
    length_ms: int = 34_000
    burst: tuple[int, int, float] = (0, 0, 1.0)
    """From, until, and how many times the jobs."""

    loss: tuple[int, int, int] = (0, 0, 0)
    """From, until, and how many replicas are away."""

    outage: tuple[int, int] = (0, 0)
    """From and until when callers find no entry at all."""


class EarliestDue(ItemQueue):
    """The baseline: by due time alone, in the queue and at the keeper."""

    def spare_ms(self, item, now_ms):
        return 0


class NeverRevokes(SlotAllocator):
    """The baseline: online requests wait for an item's end."""

    __slots__ = ()

    def _revoke(self, now_ms):
        return None


@dataclass(frozen=True, slots=True)
class Switches:
    """Mechanisms that a trial may switch off, one by one."""

    order: type = ItemQueue
    allocator: type = SlotAllocator
    idle_first: bool = True
    queues: bool = True
    """Whether an online request may wait at a full replica."""

    late_yields: bool = True
    """Whether a request that is late waits longer, and behind others."""

    return_ms: tuple[int, int] | None = None
    """From when until when after a refusal a caller comes once more; None
    if callers don't come back."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of the items and of the online requests."""

    items: int
    late: int
    unfinished: int
    revokes: int
    refused: int
    in_time: int
    """Online requests that got a slot in time."""

    returned_in_time: int
    """Those that did so after a refusal, counted from their return."""

    served_late: int


@dataclass(slots=True, eq=False)
class _Online:
    run_ms: float
    came_ms: float
    waited_ms: float = 0
    refused: bool = False
    last: bool = False


@dataclass(slots=True, eq=False)
class _Item:
    due_ms: int
    work_ms: float
    owner: int
    ran_ms: float = 0
    began_ms: float = 0
    ended_ms: float | None = None


SWITCHES = Switches()
"""Everything on."""


class Fleet:
    """Plays one load once."""

    def __init__(self, load, seed, switches=SWITCHES):
        self.load = load
        self.switches = switches
        self._online_rng = random.Random(f"online{seed}")
        self._jobs_rng = random.Random(f"jobs{seed}")
        self._rng = random.Random(f"rest{seed}")
        self._keepers = [self._keeper() for _ in range(load.replicas)]
        self._away = set()
        self._queues = [switches.order() for _ in range(load.owners)]
        self._pumping = set()
        self._item_by_attempt = {}
        self._items = []
        self._events = []
        self._numbers = itertools.count()
        self._revokes = self._refused = 0
        self._in_time = self._returned_in_time = self._served_late = 0
        self._now_ms = 0

    def _keeper(self):
        return self.switches.allocator(self.load.slots)

    def play(self) -> Outcome:
        """Play to the end; items run on for 18 s after the traffic."""
        self._at(0, self._online_comes)
        self._at(0, self._job_comes)
        from_ms, until_ms, count = self.load.loss
        if count:
            self._at(from_ms, self._lose, count)
            self._at(until_ms, self._away.clear)
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
        )

    def _at(self, at_ms, step, *values):
        entry = (at_ms, next(self._numbers), step, values)
        heapq.heappush(self._events, entry)

    # Online requests.

    def _online_comes(self):
        rng = self._online_rng
        if self._now_ms > self.load.length_ms:
            return
        most_per_ms = self.load.online_per_s * WAVE_X / 1_000
        self._at(
            self._now_ms + rng.expovariate(most_per_ms), self._online_comes
        )
        is_calm = self._now_ms % WAVE_MS < CALM_MS
        run_ms = max(150, rng.gauss(ONLINE_RUN_MS, ONLINE_RUN_MS / 4))
        if rng.random() < (CALM_X if is_calm else WAVE_X) / WAVE_X:
            self._comes_first(run_ms)

    def _comes_first(self, run_ms):
        from_ms, until_ms = self.load.outage
        if from_ms <= self._now_ms < until_ms:
            back_ms = until_ms + self._online_rng.uniform(*BACK_MS)
            waited_ms = back_ms - self._now_ms
            online = _Online(run_ms, back_ms, waited_ms, last=True)
            self._at(back_ms, self._place_online, online)
        else:
            self._place_online(_Online(run_ms, self._now_ms))

    def _place_online(self, online):
        name = f"online{next(self._numbers)}"
        asked = self._ordered()[:ASKED]
        rounds = [(0, asked)]
        wait_ms, slack_ms = WAIT_MS, WAIT_MS
        if self.switches.late_yields:
            slack_ms = max(0, WAIT_MS - int(online.waited_ms))
            wait_ms = slack_ms + LATE_WAIT_MS
        if self.switches.queues:
            rounds.append((wait_ms, asked[:1]))
        for wait_ms, numbers in rounds:
            for number in numbers:
                requester = ("online", number, online)
                ask = SlotRequest(
                    name, name, requester, Use.ONLINE, wait_ms, slack_ms
                )
                verdict = self._tell(self._keepers[number], ask)
                if verdict is not SlotDecision.FULL:
                    return
        self._refuse(online)

    def _refuse(self, online):
        return_ms = self.switches.return_ms
        if return_ms is None or online.last:
            self._refused += 1
            return
        after_ms = self._online_rng.uniform(*return_ms)
        online.waited_ms += after_ms
        online.came_ms = self._now_ms + after_ms
        online.refused = online.last = True
        self._at(online.came_ms, self._place_online, online)

    def _tell(self, allocator, ask):
        effects = allocator.ask(ask, self._now_ms)
        self._obey(effects)
        return effects[-1].verdict

    def _obey(self, effects):
        for effect in effects:
            if isinstance(effect, Revoked):
                self._revoked(effect.attempt_id)
            elif effect.requester[0] == "online":
                self._online_answered(effect)

    def _online_answered(self, answered: SlotReply):
        _, number, online = answered.requester
        if answered.verdict is SlotDecision.GRANTED:
            ended = (number, answered.attempt_id)
            self._at(self._now_ms + online.run_ms, self._release, *ended)
            self._count_served(online)

    def _count_served(self, online):
        if self._now_ms - online.came_ms > WAIT_MS:
            self._served_late += 1
        elif online.refused:
            self._returned_in_time += 1
        elif online.waited_ms:
            self._served_late += 1
        else:
            self._in_time += 1

    def _release(self, number, attempt_id):
        allocator = self._keepers[number]
        self._obey(allocator.release(attempt_id, self._now_ms))

    def _ordered(self):
        candidates = [
            self._candidate(number, allocator.state())
            for number, allocator in enumerate(self._keepers)
            if number not in self._away
        ]
        ordered = order_replicas(candidates, "", self._rng)
        return [int(one.replica_id) for one in ordered]

    def _candidate(self, number, state):
        return Candidate(
            replica_id=str(number),
            slots=state.slots,
            taken=state.online + state.waiting,
            age_ms=0,
            avoided=False,
            near=True,
            batch=state.batch if self.switches.idle_first else 0,
        )

    # Batch items.

    def _job_comes(self):
        rng = self._jobs_rng
        if self._now_ms > self.load.length_ms:
            return
        from_ms, until_ms, x = self.load.burst
        most = max(1.0, x)
        gap_ms = rng.expovariate(self.load.jobs_per_s * most / 1_000)
        self._at(self._now_ms + gap_ms, self._job_comes)
        now_x = x if from_ms <= self._now_ms < until_ms else 1.0
        if rng.random() < now_x / most:
            self._add_job()

    def _add_job(self):
        rng = self._jobs_rng
        owner = rng.randrange(self.load.owners)
        usual = math.log(ITEM_RUN_MS)
        for _ in range(max(1, min(24, int(rng.gauss(10, 4))))):
            work_ms = rng.lognormvariate(usual, ITEM_SPREAD)
            item = _Item(int(self._now_ms) + DUE_MS, work_ms, owner)
            self._items.append(item)
            self._wait(item)

    def _wait(self, item):
        waiting = WaitingItem(item.due_ms, int(item.ran_ms), item)
        self._queues[item.owner].put(waiting)
        if item.owner not in self._pumping:
            self._pumping.add(item.owner)
            self._at(self._now_ms + 1, self._pump, item.owner)

    def _pump(self, owner):
        queue = self._queues[owner]
        now_ms = int(self._now_ms)
        waiting = queue.take(now_ms)
        if waiting is None:
            self._pumping.discard(owner)
            return
        name = f"item{next(self._numbers)}"
        slack_ms = queue.slack_ms(waiting, now_ms)
        ask = SlotRequest(name, name, ("item",), Use.BATCH, 0, slack_ms)
        for number in self._ordered()[:ASKED]:
            if self._tell(self._keepers[number], ask) is SlotDecision.GRANTED:
                self._start(waiting.work, number, name)
                self._at(self._now_ms + ROUND_TRIP_MS, self._pump, owner)
                return
        queue.put(waiting)
        pause_ms = ASKED * ROUND_TRIP_MS / 2 + self._rng.uniform(*PAUSE_MS)
        self._at(self._now_ms + pause_ms, self._pump, owner)

    def _start(self, item, number, name):
        item.began_ms = self._now_ms
        self._item_by_attempt[name] = item
        left_ms = RESTART_MS + item.work_ms - item.ran_ms
        self._at(self._now_ms + left_ms, self._done, number, name)

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
        made_ms = max(0, self._now_ms - item.began_ms - RESTART_MS)
        item.ran_ms = min(item.work_ms - 1, item.ran_ms + made_ms)
        self._wait(item)

    def _lose(self, count):
        for number in range(count):
            self._away.add(number)
            for name in list(self._keepers[number].held):
                self._revoked(name)
            self._keepers[number] = self._keeper()
