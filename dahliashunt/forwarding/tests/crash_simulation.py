"""Entries, replicas and callers without a network, some requests of which
crash their replicas.

Entries share one table, which each of them reads a little late. A replica
that crashes loses all that runs there and is back after some seconds.
"""

import asyncio
from dataclasses import dataclass
import random

import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.table.memory import MemoryTableService
from dahliashunt.forwarding.crash_guard import crash_keys
from dahliashunt.forwarding.crash_guard import CrashGuard
from dahliashunt.forwarding.losses import LOSSES_PREFIX
from dahliashunt.forwarding.losses import SharedLosses

__all__ = ["POPULAR", "CrashSimulation", "Incarnation"]

FEED_MS = 100
SOUND_MS = 400
CRASH_MS = 60
DOWN_MS = 2_000
SLOTS = 8
MAX_ATTEMPTS = 2
FIRST_PARTS = 8
MIDDLE_PARTS = 700
STEP_MS = 20
POPULAR = "popular"
WAIT_MS = 1_500
"""Longest wait of a request for the end of a trial."""


class _Replica:
    def __init__(self, replica_id):
        self.replica_id = replica_id
        self.up_ms = 0
        self.running = set()


@dataclass(frozen=True)
class Incarnation:
    """What the guard asks of a replica."""

    replica_id: str
    born_ms: int

    @property
    def incarnation(self):
        """Id and start time."""
        return (self.replica_id, self.born_ms)


class _Listener:
    """Delivers the table to one entry, as its feed does."""

    def __init__(self, losses):
        self.losses = losses
        self.known = {}

    def deliver(self, rows):
        found = {row.key: row for row in rows}
        for key, row in found.items():
            if self.known.get(key) != row:
                self.losses.changed(row)
        for key in self.known.keys() - found.keys():
            self.losses.removed(key)
        self.known = found


class CrashSimulation:
    """A fleet under traffic.

    Parameters
    ----------
    seed : int
    entries, replicas : int
    guard : callable
        Makes the guard of an entry of its `SharedLosses` and the clock.

    Attributes
    ----------
    crashes_ms : list of int
        Times of crashes that a guilty request caused.
    guilty_ms : list of int
        Times at which guilty requests reached replicas.
    lost : list of (int, str)
        Time of each crash for any cause, and the replica's id.
    replicas : list
    sound : list of (int, str, bool)
        Time of each sound request, its first part, and whether its first
        attempt began.
    """

    def __init__(self, seed, entries=7, replicas=9, guard=CrashGuard):
        self.clock = VirtualClock(1_000)
        self.rng = random.Random(seed)
        self.table = MemoryTableService()
        self.crashes_ms = []
        self.guilty_ms = []
        self.sound = []
        self.lost = []
        self._make_guard = guard
        self.replicas = [_Replica(f"i-{n}") for n in range(replicas)]
        self._entries = []
        self._numbers = iter(range(10**9))
        self._writes_ms = []
        self._transact, self.table.transact = self.table.transact, self._write
        self._tasks = set()
        for _ in range(entries):
            self.add_entry()

    def add_entry(self):
        """Start an entry, which knows the table."""
        losses = SharedLosses(
            self.table,
            self.clock,
            self.clock.now_ms,
            self.rng,
            structlog.get_logger(),
        )
        listener = _Listener(losses)
        guard = self._make_guard(losses, self.clock)
        self._entries.append((guard, listener))
        self._start(losses.run())
        self._start(guard.follow())
        return guard

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, writes):
        self._writes_ms.append(self.clock.now_ms())
        return await self._transact(writes)

    def most_writes(self):
        """Return the most transactions that began in one second."""
        seconds = [at_ms // 1_000 for at_ms in self._writes_ms]
        return max(map(seconds.count, set(seconds)), default=0)

    def crash(self, count):
        """Crash some replicas, as a rack that loses power does."""
        for replica in self.rng.sample(self.replicas, count):
            self._lose(replica)

    def _lose(self, replica):
        self.lost.append((self.clock.now_ms(), replica.replica_id))
        replica.up_ms = self.clock.now_ms() + DOWN_MS
        for lost in replica.running:
            lost.set()
        replica.running = set()

    async def play(
        self,
        for_ms,
        rate,
        guilty_rate=0.0,
        guilty="bad",
        firsts=8,
        popular=0.0,
    ):
        """Play traffic of `rate` sound requests a second for some time.

        A share `popular` of them is the same request.
        """
        until_ms = self.clock.now_ms() + for_ms
        while self.clock.now_ms() < until_ms:
            for each_rate, part in ((rate, None), (guilty_rate, guilty)):
                for _ in range(self._due(each_rate)):
                    is_popular = not part and self.rng.random() < popular
                    self._start(self._call(part, firsts, is_popular))
            await self.clock.advance(STEP_MS)
            if self.clock.now_ms() % FEED_MS < STEP_MS:
                await self._spread()

    def _due(self, rate):
        """Return how many requests of a rate begin in one step."""
        whole, part = divmod(rate * STEP_MS / 1_000, 1)
        return int(whole) + (self.rng.random() < part)

    def burst(self, count, guilty="bad"):
        """Send guilty requests at one moment."""
        for _ in range(count):
            self._start(self._call(guilty, FIRST_PARTS, False))

    async def _spread(self):
        rows = await self.table.read_range(
            LOSSES_PREFIX, LOSSES_PREFIX + "~", 10_000
        )
        for _, listener in self._entries:
            listener.deliver(rows)

    async def _call(self, guilty, firsts, is_popular):
        number = next(self._numbers)
        first = f"first{self.rng.randrange(firsts)}"
        middle = guilty or f"middle{self.rng.randrange(MIDDLE_PARTS)}"
        keys = crash_keys(f"r{number}", "s", (first, middle))
        if is_popular:
            first, keys = POPULAR, crash_keys(POPULAR, "s", ())
        guard, _ = self.rng.choice(self._entries)
        began = False
        for _ in range(MAX_ATTEMPTS):
            permit = await self._admit(guard, keys)
            if permit is None:
                break
            if await self._run(guard, permit, number, guilty):
                began = True
                break
        if not guilty:
            self.sound.append((self.clock.now_ms(), first, began))

    async def _admit(self, guard, keys):
        """Return the permit to run, as an entry does; None if it refuses."""
        until_ms = self.clock.now_ms() + WAIT_MS
        while not guard.is_quarantined(keys):
            permit = None
            if not guard.must_wait(keys):
                permit = await guard.admit(keys)
            if permit is not None or self.clock.now_ms() >= until_ms:
                return permit
            await self.clock.sleep_ms(STEP_MS)
        return None

    def _pick_replica(self):
        """Return a replica that is up and has room, None without one."""
        now_ms = self.clock.now_ms()
        first = self.rng.randrange(len(self.replicas))
        count = len(self.replicas)
        for number in range(first, first + count):
            replica = self.replicas[number % count]
            if replica.up_ms <= now_ms and len(replica.running) < SLOTS:
                return replica
        return None

    async def _run(self, guard, permit, number, guilty):
        now_ms = self.clock.now_ms()
        replica = self._pick_replica()
        if replica is None:
            guard.ended_unharmed(permit)
            return False
        incarnation = Incarnation(replica.replica_id, replica.up_ms)
        lost = asyncio.Event()
        replica.running.add(lost)
        if guilty:
            self.guilty_ms.append(now_ms)
            await self.clock.sleep_ms(CRASH_MS)
            if not lost.is_set():
                self.crashes_ms.append(self.clock.now_ms())
                self._lose(replica)
        else:
            await self._sleep_unless(lost, SOUND_MS)
        replica.running.discard(lost)
        if lost.is_set():
            guard.lost(permit, f"r{number}", incarnation)
            return False
        guard.served(permit.keys)
        return True

    async def _sleep_unless(self, lost, delay_ms):
        waits = [
            asyncio.ensure_future(each)
            for each in (self.clock.sleep_ms(delay_ms), lost.wait())
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    def late_guilty(self, contact_ms, crash=5):
        """Return how many guilty runs began late after a crash."""
        if len(self.crashes_ms) < crash:
            return 0
        from_ms = self.crashes_ms[crash - 1] + contact_ms
        return sum(began_ms > from_ms for began_ms in self.guilty_ms)

    def sound_share(self, from_ms, until_ms=10**9, first=None):
        """Return the share of sound requests that began at once."""
        found = [
            began
            for at_ms, part, began in self.sound
            if from_ms <= at_ms < until_ms and first in (None, part)
        ]
        return sum(found) / max(1, len(found))

    def stop(self):
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
