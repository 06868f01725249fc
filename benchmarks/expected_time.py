"""What the order of replicas by expected time is worth, in a small model.

Run ``python -m benchmarks.expected_time [--seeds N] [--seconds S]
[--only TEXT]``. The fleet has 30 entries and 21 replicas of 8 slots with
relative speeds 0.55, 1.2, 1.2, 1.2 in turn. Every 600 ms, 15 % of them turn
2.5 times as slow. Online demand is a square wave, and batch items fill the
troughs. Agents push their states every 100 ms. Slots, speeds and orders are
the production decisions; run times, caches and arrivals are modelled, on a
virtual clock, without a network.
"""

import argparse
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import replace
import enum
import heapq
import itertools
import random
import statistics

from dahliashunt.adapters.slots.server import UNREAD_STEP_TOKENS
from dahliashunt.decisions.cached_parts import CachedParts
from dahliashunt.decisions.cached_parts import home_beliefs
from dahliashunt.decisions.cached_parts import relevant_prefixes
from dahliashunt.decisions.expected_time import ReplicaInputs
from dahliashunt.decisions.expected_time import RequestSize
from dahliashunt.decisions.expected_time import service_prior
from dahliashunt.decisions.item_order import ItemQueue
from dahliashunt.decisions.item_order import WaitingItem
from dahliashunt.decisions.replica_choice import Candidate
from dahliashunt.decisions.replica_choice import order_by_time
from dahliashunt.decisions.replica_choice import order_replicas
from dahliashunt.decisions.replica_choice import Placement
from dahliashunt.decisions.replica_choice import uses_expected_time
from dahliashunt.decisions.replica_speed import ReplicaSpeed
from dahliashunt.decisions.replica_speed import RunProgress
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.decisions.slot_messages import Revoked
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.decisions.slot_messages import Use

NOISE_MS, NOISE_SHARE, NOISE_FACTOR = 600, 0.15, 2.5
WAVE_MS, CALM_MS, CALM_FACTOR, WAVE_FACTOR = 5_800, 3_400, 0.383, 1.87
PUSH_MS, ROUND_TRIP_MS, MAX_ASKED = 100, 2, 6
FIRST_DUE_MS, START_MS, LATE_WAIT_MS, ITEM_DUE_MS = 310, 40, 1_200, 18_000
RETRY_MS = (40, 90)
STEP_MS, READ_TOKENS_PER_MS, CACHE_TOKENS = 2.2, 140.0, 100_000
MIN_TOKENS = 2_500


class Method(enum.Enum):
    """Way to order the replicas for one request."""

    FREE_SLOTS = "free slots (before)"
    EXPECTED_TIME = "expected time"
    TWO_CHOICES = "two choices"
    EIGHT_CHOICES = "eight choices"
    PUSHED_ONLY = "pushed states only"
    RESERVATIONS = "pushed and reserved"
    OWN_KNOWLEDGE = "parts sent from here"
    NO_CACHE_TERM = "without cached parts"
    FAST_ITEMS = "items by load"


@dataclass(frozen=True, slots=True)
class Load:
    """Fleet and load of a run."""

    entries: int = 30
    replicas: int = 21
    slots: int = 8
    speeds: tuple[float, ...] = (0.55, 1.2, 1.2, 1.2)
    noise_share: float = NOISE_SHARE
    online_per_s: float = 94.0
    items_per_s: float = 11.7
    output: int = 310
    item_output: int = 2_100
    seconds: int = 18
    long_prompts: tuple[tuple[float, int, int], ...] = ()
    """Share of requests, shared tokens, and number of distinct parts."""

    short_shared: tuple[int, int] = (100, 200)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Figures of one run."""

    online: int
    in_time: float
    first_ms: float
    long_first_ms: float
    mean_ms: float
    refused: int
    read_again: int
    items: int
    late: int
    revokes: int


@dataclass(eq=False, slots=True)
class _Work:
    use: Use
    entry: int
    arrived_ms: float
    prompt: int
    shared: int
    part: str
    output: int
    tokens_done: int = 0
    ran_ms: float = 0.0


@dataclass(slots=True)
class _Run:
    work: _Work
    from_ms: float
    base: float


class _Replica:
    """One replica: token progress over time, cache, slots and speed."""

    def __init__(self, load, number, seed):
        rng = random.Random(f"noise{seed}.{number}")
        self.speed = load.speeds[number % len(load.speeds)]
        windows = (load.seconds + 40) * 1_000 // NOISE_MS + 1
        self._token_ms = [
            STEP_MS
            / self.speed
            * (NOISE_FACTOR if rng.random() < load.noise_share else 1)
            for _ in range(windows)
        ]
        gained = (NOISE_MS / token_ms for token_ms in self._token_ms)
        self._total = [0.0, *itertools.accumulate(gained)]
        self.allocator = SlotAllocator(load.slots)
        self.observed = ReplicaSpeed()
        self._last_runs = {}
        self.state = self.allocator.state()
        self.run_by_id: dict[str, _Run] = {}
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.reads_until_ms = 0.0
        self.read_again = 0

    def progress(self, at_ms):
        window = int(at_ms // NOISE_MS)
        rest_ms = at_ms - window * NOISE_MS
        return self._total[window] + rest_ms / self._token_ms[window]

    def time_of(self, progress, from_ms):
        window = int(from_ms // NOISE_MS)
        while self._total[window + 1] < progress:
            window += 1
        rest = progress - self._total[window]
        return window * NOISE_MS + rest * self._token_ms[window]

    def read(self, work, now_ms):
        """Read the prompt; return when its first token is due."""
        cached = self.cache.get(work.part, 0)
        if work.part and not cached:
            self.read_again += work.shared
        unread = work.prompt + work.tokens_done - cached
        if work.part:
            self.cache[work.part] = work.shared
            self.cache.move_to_end(work.part)
            while sum(self.cache.values()) > CACHE_TOKENS:
                self.cache.popitem(last=False)
        read_ms = unread / (READ_TOKENS_PER_MS * self.speed)
        self.reads_until_ms = max(self.reads_until_ms, now_ms) + read_ms
        return self.reads_until_ms

    def push(self, now_ms):
        """Take a report and publish the state."""
        runs = {}
        for run_id, run in self.run_by_id.items():
            runs[run_id] = self._progress_of(run, now_ms)
        self._last_runs = runs
        self.observed.report(runs, int(now_ms))
        self.state = self.current_state()

    def _progress_of(self, run, now_ms):
        prompt = run.work.prompt
        if now_ms >= run.from_ms:
            tokens = int(self.progress(now_ms) - run.base)
            return RunProgress(prompt + tokens, tokens)
        unread = int((run.from_ms - now_ms) * READ_TOKENS_PER_MS * self.speed)
        return RunProgress(max(0, prompt - unread), 0)

    def current_state(self):
        """Return the state that the agent sends."""
        state = self.allocator.state()
        unread = self.allocator.unread_tokens(self._last_runs)
        unread -= unread % UNREAD_STEP_TOKENS
        return replace(
            state,
            token_us=self.observed.token_us,
            read_tokens_per_ms=self.observed.read_tokens_per_ms,
            waiting_tokens=state.waiting_tokens + unread,
        )


class Model:
    """One run of a load with one method and seed."""

    def __init__(self, load: Load, method: Method, seed: int):
        self._load = load
        self._method = method
        self._online_rng = random.Random(f"online{seed}")
        self._items_rng = random.Random(f"items{seed}")
        self._rng = random.Random(f"rest{seed}")
        self._replicas = [
            _Replica(load, number, seed) for number in range(load.replicas)
        ]
        entries = range(load.entries)
        self._pushed_ms = [0.0] * load.replicas
        self._answers = [{} for _ in entries]
        self._reserved = [{} for _ in entries]
        self._parts = [CachedParts() for _ in entries]
        self._queues = [ItemQueue() for _ in entries]
        self._dispatching = set()
        self._sequence = itertools.count()
        self._events = []
        self._now_ms = 0.0
        self._first_ms, self._long_first_ms, self._total_ms = [], [], []
        self._refused = self._items = self._late = self._revokes = 0

    def play(self) -> Outcome:
        """Run the arrivals and what they leave."""
        self._schedule(0, self._online_arrives)
        self._schedule(0, self._item_arrives)
        for number in range(self._load.replicas):
            self._schedule(self._rng.uniform(0, PUSH_MS), self._push, number)
        end_ms = self._load.seconds * 1_000 + ITEM_DUE_MS
        while self._events and self._events[0][0] < end_ms:
            self._now_ms, _, step, values = heapq.heappop(self._events)
            step(*values)
        waiting = sum(map(len, self._queues))
        online = len(self._first_ms) + self._refused
        good = sum(ms <= FIRST_DUE_MS for ms in self._first_ms)
        return Outcome(
            online,
            good / online,
            statistics.mean(self._first_ms),
            statistics.mean(self._long_first_ms or [0]),
            statistics.mean(self._total_ms),
            self._refused,
            sum(one.read_again for one in self._replicas),
            self._items,
            self._late + waiting,
            self._revokes,
        )

    def _schedule(self, at_ms, step, *values):
        event = (at_ms, next(self._sequence), step, values)
        heapq.heappush(self._events, event)

    def _push(self, number):
        self._replicas[number].push(self._now_ms)
        self._pushed_ms[number] = self._now_ms
        self._schedule(self._now_ms + PUSH_MS, self._push, number)

    # Arrivals.

    def _online_arrives(self):
        rng, load = self._online_rng, self._load
        if self._now_ms > load.seconds * 1_000:
            return
        peak = load.online_per_s * WAVE_FACTOR / 1_000
        later_ms = self._now_ms + rng.expovariate(peak)
        self._schedule(later_ms, self._online_arrives)
        calm = self._now_ms % WAVE_MS < CALM_MS
        work = self._draw_online(rng)
        if rng.random() < (CALM_FACTOR / WAVE_FACTOR if calm else 1):
            self._place_online(work)

    def _draw_online(self, rng):
        load, kind = self._load, rng.random()
        shared = rng.randint(*load.short_shared)
        part = f"short{rng.randrange(40)}"
        for share, tokens, count in load.long_prompts:
            if 0 <= kind < share:
                shared, part = tokens, f"{tokens}.{rng.randrange(count)}"
            kind -= share
        output = max(20, int(rng.gauss(load.output, load.output / 4)))
        return _Work(
            Use.ONLINE,
            rng.randrange(load.entries),
            self._now_ms,
            shared + rng.randint(200, 250),
            shared,
            part,
            output,
        )

    def _item_arrives(self):
        rng, load = self._items_rng, self._load
        if self._now_ms > load.seconds * 1_000:
            return
        gap_ms = rng.expovariate(load.items_per_s / 1_000)
        self._schedule(self._now_ms + gap_ms, self._item_arrives)
        output = int(load.item_output * rng.lognormvariate(0, 0.25))
        entry = rng.randrange(load.entries)
        self._items += 1
        self._wait(_Work(Use.BATCH, entry, self._now_ms, 400, 0, "", output))

    def _wait(self, work):
        due_ms = int(work.arrived_ms) + ITEM_DUE_MS
        queue = self._queues[work.entry]
        queue.put(WaitingItem(due_ms, int(work.ran_ms), work))
        if work.entry not in self._dispatching:
            self._dispatching.add(work.entry)
            self._schedule(self._now_ms + 1, self._dispatch, work.entry)

    def _dispatch(self, entry):
        queue, now_ms = self._queues[entry], int(self._now_ms)
        waiting = queue.take(now_ms)
        if waiting is None:
            self._dispatching.discard(entry)
            return
        work = waiting.work
        slack_ms = queue.slack_ms(waiting, now_ms)
        pause_ms = ROUND_TRIP_MS
        if self._ask_in_turn(work, 0, slack_ms)[0] is None:
            queue.put(waiting)
            pause_ms = self._rng.uniform(*RETRY_MS)
        self._schedule(self._now_ms + pause_ms, self._dispatch, entry)

    # Placement.

    def _place_online(self, work):
        granted, asked = self._ask_in_turn(work, 0, 0)
        if granted is None:
            slack_ms = FIRST_DUE_MS - START_MS
            number = min(
                asked, key=lambda one: self._known(work, one)[0].wait_ms
            )
            wait_ms = slack_ms + LATE_WAIT_MS
            verdict = self._ask(number, work, wait_ms, slack_ms)
            if verdict is SlotDecision.FULL:
                self._refused += 1

    def _ask_in_turn(self, work, wait_ms, slack_ms):
        """Return the replica that granted a slot or None, and those asked."""
        asked = self._ordered(work, slack_ms)[:MAX_ASKED]
        for number in asked:
            verdict = self._ask(number, work, wait_ms, slack_ms)
            if verdict is SlotDecision.GRANTED:
                return number, asked
        return None, asked

    def _ask(self, number, work, wait_ms, slack_ms):
        name = f"r{next(self._sequence)}"
        replica = self._replicas[number]
        ask = SlotRequest(
            name,
            name,
            (number, work),
            work.use,
            wait_ms,
            slack_ms,
            prompt_tokens=work.prompt,
        )
        effects = replica.allocator.ask(ask, int(self._now_ms))
        self._apply(effects)
        answer = (replica.current_state(), self._now_ms)
        self._answers[work.entry][number] = answer
        verdict = effects[-1].verdict
        if verdict is not SlotDecision.FULL:
            placed = self._reserved[work.entry].setdefault(number, [])
            placed.append((self._now_ms, work.use))
            self._parts[work.entry].sent(
                (number, 0), self._prefixes(work), int(self._now_ms)
            )
        return verdict

    def _apply(self, effects):
        for effect in effects:
            number, work = effect.requester
            if isinstance(effect, Revoked):
                self._revoked(number, effect.attempt_id)
            elif effect.verdict is SlotDecision.GRANTED:
                self._start(number, effect.attempt_id, work)

    def _start(self, number, name, work):
        replica = self._replicas[number]
        read_ms = replica.read(work, self._now_ms + ROUND_TRIP_MS)
        base = replica.progress(read_ms)
        replica.run_by_id[name] = _Run(work, read_ms, base)
        tokens = max(1, work.output - work.tokens_done)
        end_ms = replica.time_of(base + tokens, read_ms)
        self._schedule(end_ms, self._ended, number, name)
        if work.use is Use.ONLINE:
            first_ms = replica.time_of(base + 1, read_ms) - work.arrived_ms
            self._first_ms.append(first_ms)
            if work.shared >= MIN_TOKENS:
                self._long_first_ms.append(first_ms)
            self._total_ms.append(end_ms - work.arrived_ms)

    def _ended(self, number, name):
        replica = self._replicas[number]
        run = replica.run_by_id.pop(name, None)
        if run is None:
            return
        work = run.work
        if work.use is Use.BATCH:
            ran_ms = work.ran_ms + self._now_ms - run.from_ms
            self._queues[work.entry].done(int(ran_ms))
            self._late += self._now_ms - work.arrived_ms > ITEM_DUE_MS
        self._apply(replica.allocator.release(name, int(self._now_ms)))

    def _revoked(self, number, name):
        replica = self._replicas[number]
        run = replica.run_by_id.pop(name, None)
        if run is None:
            return
        self._revokes += 1
        work = run.work
        done = replica.progress(self._now_ms) - run.base
        work.tokens_done += max(0, int(done))
        work.ran_ms += max(0.0, self._now_ms - run.from_ms)
        self._wait(work)

    # What an entry knows.

    def _known(self, work, number):
        """Return the last state and its age."""
        state, at_ms = self._replicas[number].state, self._pushed_ms[number]
        is_pushed_only = self._method in (
            Method.PUSHED_ONLY,
            Method.RESERVATIONS,
        )
        answer = self._answers[work.entry].get(number)
        if answer is not None and answer[1] > at_ms and not is_pushed_only:
            state, at_ms = answer
        return state, int(self._now_ms - at_ms)

    def _prefixes(self, work):
        return relevant_prefixes([(work.part, work.shared)], MIN_TOKENS)

    def _candidates(self, work):
        prefixes, numbers = self._prefixes(work), range(self._load.replicas)
        homes = home_beliefs(prefixes, map(str, numbers))
        return [
            self._candidate(work, number, prefixes, homes)
            for number in numbers
        ]

    def _candidate(self, work, number, prefixes, homes):
        state, age_ms = self._known(work, number)
        online, batch = state.online + state.waiting, state.batch
        if self._method is Method.RESERVATIONS:
            since_ms = self._now_ms - age_ms
            placed = self._reserved[work.entry].get(number, [])
            placed[:] = [each for each in placed if each[0] > since_ms]
            online += sum(use is Use.ONLINE for _, use in placed)
            batch += sum(use is Use.BATCH for _, use in placed)
        cached = 0.0
        if prefixes and self._method is not Method.NO_CACHE_TERM:
            cached = self._parts[work.entry].expected_tokens(
                (number, 0), prefixes, int(self._now_ms)
            )
            belief = homes.get(str(number), 0.0)
            if self._method is Method.OWN_KNOWLEDGE:
                belief = 0.0
            cached = max(cached, belief * work.shared)
        inputs = ReplicaInputs(
            token_us=state.token_us,
            read_tokens_per_ms=state.read_tokens_per_ms,
            age_ms=age_ms,
            wait_ms=state.wait_ms,
            waiting_tokens=state.waiting_tokens,
            cached_tokens=cached,
        )
        return Candidate(
            str(number),
            state.slots,
            online,
            age_ms,
            False,
            True,
            batch=batch,
            inputs=inputs,
        )

    def _ordered(self, work, slack_ms):
        candidates = self._candidates(work)
        size = RequestSize(work.prompt, work.output, work.shared)
        prior = service_prior([one.inputs for one in candidates])
        method = self._method
        by_load = method is Method.FREE_SLOTS or (
            method is Method.FAST_ITEMS and work.use is Use.BATCH
        )
        if by_load or not uses_expected_time(candidates, size, prior):
            ordered = order_replicas(candidates, work.part, self._rng)
        else:
            placement = Placement(size, work.use, slack_ms)
            ordered = self._by_time(candidates, placement, prior)
        return [int(one.replica_id) for one in ordered]

    def _by_time(self, candidates, placement, prior):
        count = {Method.TWO_CHOICES: 2, Method.EIGHT_CHOICES: 8}
        first = []
        if self._method in count:
            idle = [one for one in candidates if one.taken + one.batch < 8]
            size = min(len(idle), count[self._method])
            first = self._rng.sample(idle, size)
        rest = [one for one in candidates if one not in first]
        parts = (part for part in (first, rest) if part)
        return [
            one
            for part in parts
            for one in order_by_time(part, placement, prior, self._rng)
        ]


PLAIN_METHODS = (
    Method.FREE_SLOTS,
    Method.EXPECTED_TIME,
    Method.TWO_CHOICES,
    Method.EIGHT_CHOICES,
    Method.PUSHED_ONLY,
    Method.RESERVATIONS,
    Method.FAST_ITEMS,
)
LONG_METHODS = (
    Method.FREE_SLOTS,
    Method.NO_CACHE_TERM,
    Method.OWN_KNOWLEDGE,
    Method.EXPECTED_TIME,
)
LONG = Load(long_prompts=((0.03, 32_000, 8), (0.06, 8_000, 24)))
LOADS = {
    "unequal speeds": (Load(), PLAIN_METHODS),
    "equal speeds": (Load(speeds=(1.0,), noise_share=0.0), PLAIN_METHODS[:2]),
    "unequal, demand +15 %": (Load(online_per_s=108.0), PLAIN_METHODS),
    "long prompts": (LONG, LONG_METHODS),
    "long prompts, equal speeds": (
        replace(LONG, speeds=(1.0,), noise_share=0.0),
        LONG_METHODS,
    ),
}


def main() -> None:
    """Print a table of means over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--seconds", type=int, default=18)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    print(
        "load / method               in time  first  long first  mean ms"
        "  refused  read again  late  revokes"
    )
    for name, (load, methods) in LOADS.items():
        if options.only not in name:
            continue
        load = replace(load, seconds=options.seconds)
        print(name)
        for method in methods:
            outcomes = [
                Model(load, method, seed).play()
                for seed in range(options.seeds)
            ]
            print_row(method, outcomes)


def print_row(method: Method, outcomes: list[Outcome]) -> None:
    """Print the means of one method."""

    def mean(name):
        return statistics.mean(getattr(one, name) for one in outcomes)

    print(
        f"  {method.value:24} {mean('in_time'):8.4f} {mean('first_ms'):6.1f}"
        f" {mean('long_first_ms'):10.1f} {mean('mean_ms'):9.1f}"
        f" {mean('refused'):8.1f} {mean('read_again'):11.0f}"
        f" {mean('late'):5.1f} {mean('revokes'):8.1f}"
    )


if __name__ == "__main__":
    main()
