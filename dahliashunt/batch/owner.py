"""The owner of claims: one main task with all state, helpers for I/O.

Helper tasks read, write and run; each ends by a message to the main task,
which alone changes state.
"""

import asyncio
import random

import structlog

from dahliashunt.batch.files import FileStore
from dahliashunt.batch.items import ItemEnd
from dahliashunt.batch.items import ItemOutcome
from dahliashunt.batch.items import ItemRunner
from dahliashunt.batch.messages import Accepted
from dahliashunt.batch.messages import ChunkLoaded
from dahliashunt.batch.messages import ClaimHeld
from dahliashunt.batch.messages import ClaimLost
from dahliashunt.batch.messages import Committed
from dahliashunt.batch.messages import Drain
from dahliashunt.batch.messages import Ended
from dahliashunt.batch.messages import Finished
from dahliashunt.batch.messages import Key
from dahliashunt.batch.messages import Renewed
from dahliashunt.batch.messages import Scanned
from dahliashunt.batch.messages import StopsSeen
from dahliashunt.batch.messages import TaskFailed
from dahliashunt.batch.messages import Tick
from dahliashunt.batch.order_port import JobOrder
from dahliashunt.batch.owner_io import OwnerIO
from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.batch.slots import Slot
from dahliashunt.batch.slots import Slots
from dahliashunt.batch.starter import Starter
from dahliashunt.batch.tasks import TaskSet
from dahliashunt.batch.verdicts import Verdict
from dahliashunt.batch.watch import Heartbeat
from dahliashunt.batch.watch import Scanner
from dahliashunt.batch.watch import watch_stops
from dahliashunt.batch.work import ClaimWork
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import PlatformError
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.objects import ObjectStore
from dahliashunt.ports.table import TableService

__all__ = ["Owner"]

_LOG = structlog.get_logger(__name__)


class Owner:
    """Works on the claims of one run of a node.

    Parameters
    ----------
    table, objects, clock
        Ports.
    rng : random.Random
    owner : str
        Name of this run, new at every start.
    runner : ItemRunner
    order : JobOrder
    files : FileStore
    policy : BatchPolicy
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        rng: random.Random,
        owner: str,
        runner: ItemRunner,
        order: JobOrder,
        files: FileStore,
        policy: BatchPolicy,
    ):
        self._table = table
        self._clock = clock
        self._rng = rng
        self._runner = runner
        self._policy = policy
        self._inbox: asyncio.Queue = asyncio.Queue()
        self._heartbeat = Heartbeat(table, clock, policy, owner, self._inbox)
        self._scanner = Scanner(table, clock, policy, owner, rng, self._inbox)
        self._slots = Slots()
        self._opening: set[Key] = set()
        self._tasks = TaskSet(self.tell)
        self._io = OwnerIO(
            table,
            objects,
            clock,
            rng,
            owner,
            files,
            policy.commits_at_once,
            self.tell,
        )
        self._starter = Starter(
            self._slots,
            order,
            runner,
            clock,
            policy,
            rng,
            self._start_try,
            self._start_load,
        )
        self._expiries_due_ms = 0
        self._must_scan = False
        self._outage = False
        self._drain_by_ms: int | None = None
        self._drained = asyncio.Event()
        self._handlers = {
            Accepted: self._on_accepted,
            ChunkLoaded: self._on_loaded,
            ClaimHeld: self._on_held,
            ClaimLost: self._on_lost,
            Committed: self._on_committed,
            Drain: self._on_drain,
            Ended: self._on_ended,
            Finished: self._on_finished,
            Renewed: self._on_renewed,
            Scanned: self._on_scanned,
            StopsSeen: self._on_stops,
            TaskFailed: self._on_failed,
            Tick: self._on_tick,
        }

    @property
    def held_bytes(self) -> int:
        """Result bytes that are not known to be committed."""
        return sum(slot.work.held_bytes for slot in self._slots)

    @property
    def running(self) -> int:
        """Tries in progress."""
        return sum(len(slot.tries) for slot in self._slots)

    @property
    def takes_claims(self) -> bool:
        """Whether this node should hold one more claim."""
        room = len(self._slots) < self._policy.max_claims
        return room and self._drain_by_ms is None

    def tell(self, message) -> None:
        """Put a message in the main task's inbox."""
        self._inbox.put_nowait(message)

    async def run(self) -> None:
        """Work until cancelled or drained; then stop every stream."""
        helpers = [
            self._heartbeat.run(),
            self._scanner.run(),
            watch_stops(self._table, self._clock, self._policy, self._inbox),
            self._tick(),
        ]
        for helper in helpers:
            self._tasks.start(helper, None)
        try:
            while not self._drained.is_set():
                await self._turn()
            await self._heartbeat.leave()
        finally:
            self._tasks.cancel()

    async def drain(self) -> None:
        """Leave gracefully: return once all claims are given up."""
        self.tell(Drain())
        await self._drained.wait()

    async def _turn(self):
        """Handle all messages that wait, then start what there is room for."""
        message = await self._inbox.get()
        while True:
            self._handlers[type(message)](message)
            if self._inbox.empty():
                break
            message = self._inbox.get_nowait()
        self._settle_busy()
        self._starter.tell_order()
        if self._drain_by_ms is not None:
            self._go_on_draining()
        elif not self._must_scan:
            self._starter.start()

    async def _tick(self):
        while True:
            self.tell(Tick())
            await self._clock.sleep_ms(self._policy.tick_ms)

    # Messages

    def _on_accepted(self, message):
        self._open(message.job.job_id, 0)

    def _on_held(self, message):
        work = ClaimWork(
            message.job,
            message.claim,
            message.chunks,
            self._policy,
            self._rng,
        )
        self._opening.discard(work.key)
        slot = Slot(work, self._clock.now_ms())
        slot.stopping = not message.job.live
        self._slots.add(slot)
        self._starter.changed(message.job.job_id)

    def _on_lost(self, message):
        """Drop a claim that another holds: its streams end, unbilled."""
        self._opening.discard(message.key)
        slot = self._slots.pop(message.key)
        if slot is None:
            return
        _LOG.info("claim lost", job=message.key[0], group=message.key[1])
        for task in (*slot.tries.values(), *slot.io):
            task.cancel()
        self._starter.changed(message.key[0])

    def _on_loaded(self, message):
        slot = self._slots.get(message.key)
        if slot is None:
            return
        slot.loading = False
        now = self._clock.now_ms()
        if message.lines is None:
            slot.work.lost_chunk(message.chunk, now)
        else:
            slot.work.load(message.chunk, message.lines, now)
        self._changed(slot)

    def _on_ended(self, message):
        slot = self._slots.get(message.key)
        if slot is None or slot.tries.pop(message.item.ref, None) is None:
            return
        now = self._clock.now_ms()
        verdict = slot.work.ended(message.item, message.outcome, now)
        if verdict not in (Verdict.ANSWERED, Verdict.REPEAT):
            self._starter.failed(slot.work.job.job_id)
        self._changed(slot)

    def _on_committed(self, message):
        slot = self._slots.get(message.key)
        if slot is not None:
            slot.work.committed(message.record)
            self._slots.touch(slot)

    def _on_finished(self, message):
        slot = self._slots.pop(message.key)
        if slot is not None:
            self._starter.changed(message.key[0])

    def _on_renewed(self, message):
        """Note a renewal; a failed one means that the store is out.

        In an outage nobody can take the claims, so work in hand goes on.
        After it the claims may have gone to others: look before starting.
        """
        if not message.effect:
            self._must_scan = False
        elif self._outage:
            self._look_first()
        self._outage = not message.effect

    def _on_scanned(self, message):
        """Drop claims that are gone, open ones that are new.

        A claim opened after the scan began to read may be missing in it.
        """
        mine = [(claim.job_id, claim.group) for claim in message.mine]
        held = set(mine)
        for slot in self._slots:
            key = slot.work.key
            seen = slot.opened_ms < message.started_ms
            if key not in held and seen and not slot.ending:
                self._on_lost(ClaimLost(key))
        if self._drain_by_ms is None:
            for job_id, group in mine:
                self._open(job_id, group)
        self._must_scan = False

    def _on_stops(self, message):
        for job_id in sorted(message.job_ids):
            for slot in self._slots.of_job(job_id):
                slot.stop()
                self._changed(slot)

    def _on_failed(self, message):
        """Fail loudly if a periodic task did; else begin a claim anew."""
        if message.key is None:
            raise message.error
        _LOG.error("batch task failed", exc_info=message.error)
        self._on_lost(ClaimLost(message.key))

    def _on_tick(self, message):
        now, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        # A holder that was paused past its lease still believes that it
        # holds its claims: it would start items that another now runs.
        # It starts nothing before a scan has shown what it still holds.
        if self._heartbeat.lease.lapsed(now) and not self._outage:
            self._look_first()
        for slot in self._slots.busy():
            if slot.work.retry_due(now):
                self._starter.changed(slot.work.job.job_id)
        if now >= self._expiries_due_ms:
            self._expiries_due_ms = now + self._policy.watch_ms
            self._expire(wall_ms)

    def _on_drain(self, message):
        self._scanner.taking = False
        if self._drain_by_ms is None:
            now = self._clock.now_ms()
            self._drain_by_ms = now + self._policy.drain_ms

    # Steps of the main task

    def _look_first(self):
        """Start nothing until a scan has shown which claims are held."""
        if not self._must_scan:
            self._must_scan = True
            self._tasks.start(self._scan_now(), None)

    def _open(self, job_id, group):
        key = (job_id, group)
        if key in self._slots or key in self._opening:
            return
        self._opening.add(key)
        self._tasks.start(self._io.open_claim(key), key)

    def _changed(self, slot):
        self._slots.touch(slot)
        self._starter.changed(slot.work.job.job_id)

    def _expire(self, wall_ms):
        for slot in self._slots:
            job = slot.work.job
            due_ms = job.deadline_ms + self._policy.overrun_ms
            if wall_ms >= due_ms and slot.active and not slot.expiring:
                slot.expiring = True
                self._spawn_io(slot, self._io.expire(job))

    def _settle_busy(self):
        """Start the commits that are due, and the ends of finished work."""
        now = self._clock.now_ms()
        draining = self._drain_by_ms is not None
        for slot in self._slots.busy():
            if not slot.active:
                self._end(slot)
                continue
            while batch := slot.work.due_commit(now, draining):
                self._spawn_io(slot, self._io.commit(slot.work, batch))
            if slot.work.finished:
                self._end(slot)

    def _end(self, slot):
        if slot.ending or slot.tries:
            return
        slot.ending = True
        for task in slot.io:
            task.cancel()
        self._spawn_io(slot, self._io.finish(slot.work))

    def _start_try(self, slot, item):
        task = self._tasks.start(self._try(slot.work.key, item), slot.work.key)
        slot.tries[item.ref] = task
        self._slots.touch(slot)

    def _start_load(self, slot, chunk):
        self._spawn_io(slot, self._io.load(slot.work, chunk))
        self._slots.touch(slot)

    def _go_on_draining(self):
        now = self._clock.now_ms()
        late = now >= self._drain_by_ms
        for slot in self._slots:
            if late:
                slot.stop()
            busy = slot.tries or slot.work.unsettled
            if slot.ending or (busy and not late):
                continue
            slot.ending = True
            self._spawn_io(slot, self._io.give_up(slot.work))
        if not len(self._slots) and not self._opening:
            self._drained.set()
        # In an outage no claim can be given up. Without this bound the
        # process would never end; its claims lapse by themselves.
        if now >= self._drain_by_ms + self._policy.lease_term_ms:
            self._drained.set()

    # Helper tasks

    def _spawn_io(self, slot, work):
        task = self._tasks.start(work, slot.work.key)
        slot.io.add(task)
        task.add_done_callback(slot.io.discard)

    async def _try(self, key, item):
        try:
            outcome = await self._runner.run(item)
        except Exception:
            _LOG.exception("item runner failed", request=item.request_id)
            outcome = ItemOutcome(
                ItemEnd.UNKNOWN, kind=ErrorKind.INTERNAL, message="internal"
            )
        self.tell(Ended(key, item, outcome))

    async def _scan_now(self):
        try:
            await self._scanner.scan()
        except PlatformError:
            self.tell(Renewed(False))
