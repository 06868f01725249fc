"""Run the items of the jobs that this node owns, and list their results.

The waiting item that `ItemOrder` names asks for a slot; when none is to be
had the worker pauses for a moment. A revoked item waits again with what it
has.
"""

import asyncio
import random

from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.decisions.item_order import ItemOrder
from dahliashunt.decisions.item_order import WaitingItem
from dahliashunt.decisions.slot_keeper import Use
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.catalog import RouteKind
from dahliashunt.forwarding.node import Node
from dahliashunt.forwarding.placing import Places
from dahliashunt.forwarding.placing import Want
from dahliashunt.forwarding.ports import ReplicaDialect
from dahliashunt.ids import JobId
from dahliashunt.jobs.item_run import ItemEnd
from dahliashunt.jobs.item_run import ItemRun
from dahliashunt.jobs.ledger import Finished
from dahliashunt.jobs.ledger import JobLedger
from dahliashunt.jobs.ledger import OwnershipLost
from dahliashunt.jobs.model import Job
from dahliashunt.jobs.model import JobState
from dahliashunt.jobs.model import Outcome
from dahliashunt.jobs.payload import PayloadReader
from dahliashunt.jobs.view import JobView

__all__ = ["JobWorker"]

PAUSE_MS = (40, 90)
"""Between asks while every slot is taken: a slot of a busy fleet of five
replicas frees every 20 ms, and each ask costs a datagram a replica."""

RETRY_MS = (150, 400)
"""Between tries of a listing while the store does not answer."""

LOOK_MS = 250
"""Between looks for jobs that were taken over or ended, at the latest."""

ABANDON_MARGIN_MS = 500
"""Items are given up so much after the route's time: the caller's count
started up to a round trip before ours."""

HELD_CHARACTERS = 8_000_000
"""Text of unlisted results beyond which no item starts: while the store
is away a node of 128 MB must not fill up."""

MOST_RUNNING = 128
"""Items that one node runs at once."""


class JobWorker:
    """Works on this node's jobs until cancelled.

    Parameters
    ----------
    node : Node
    view : JobView
    ledger : JobLedger
    places : Places
    pool : ConnectionPool
    dialect : ReplicaDialect
    payloads : PayloadReader
    store_now_ms : callable
        The store's clock, as known here.
    """

    def __init__(
        self,
        node: Node,
        view: JobView,
        ledger: JobLedger,
        places: Places,
        pool: ConnectionPool,
        dialect: ReplicaDialect,
        payloads: PayloadReader,
        store_now_ms,
    ):
        self.node = node
        self.view = view
        self.ledger = ledger
        self.places = places
        self.pool = pool
        self.dialect = dialect
        self.payloads = payloads
        self.store_now_ms = store_now_ms
        self.clock = node.clock
        self.log = node.log
        self._rng: random.Random = node.rng
        self._run_by_id: dict[JobId, _JobRun] = {}
        self._waiting = ItemOrder()
        self._woken = asyncio.Event()
        self._running = 0
        self.held_characters = 0

    @property
    def owns_jobs(self) -> bool:
        """Whether this node owns open jobs."""
        return bool(self._run_by_id)

    async def run(self) -> None:
        """Follow the view and start items, for ever."""
        pump = asyncio.create_task(self._pump())
        try:
            while True:
                self._match_view()
                await self.view.wait(LOOK_MS)
                if pump.done():
                    pump.result()
        finally:
            pump.cancel()
            for run in self._run_by_id.values():
                run.stop()

    def _match_view(self):
        mine = {
            job.job_id: job
            for job in self.view.open_jobs()
            if self.view.progress(job).owner == self.ledger.owner
        }
        for job_id in list(self._run_by_id):
            if job_id not in mine:
                self._run_by_id.pop(job_id).stop()
        for job_id, job in mine.items():
            if job_id not in self._run_by_id:
                self._run_by_id[job_id] = _JobRun(self, job)

    def forget(self, job_id: JobId) -> None:
        """Drop a job that failed; it starts anew at the next look."""
        self._run_by_id.pop(job_id, None)

    def wait_for_slot(self, job_run, item: ItemRun) -> None:
        """Queue `item` for a slot."""
        work = (job_run, item)
        self._waiting.put(WaitingItem(item.due_ms, item.ran_ms, work))
        self._woken.set()

    async def _pump(self):
        while True:
            entry = self._next()
            if entry is None:
                self._woken.clear()
                await self._pause_or_wake()
                continue
            job_run, item = entry.work
            place = await self._place(entry)
            if place is _NOWHERE:
                continue
            if place is None:
                self._waiting.put(entry)
                await self._pause()
                continue
            if job_run.stopped:
                place.release()
                continue
            self._running += 1
            job_run.spawn(self._attempt(job_run, item, place))

    async def _pause(self):
        await self.clock.sleep_ms(self._rng.randint(*PAUSE_MS))

    async def _pause_or_wake(self):
        try:
            async with asyncio.timeout(LOOK_MS / 1000):
                await self._woken.wait()
        except TimeoutError:
            return

    def _next(self):
        """Take the item that goes next out of those that may run now."""
        if self._running >= MOST_RUNNING:
            return None
        if self.held_characters > HELD_CHARACTERS:
            return None
        now_ms = self.clock.now_ms()
        later = []
        found = None
        while len(self._waiting) and found is None:
            entry = self._waiting.take(now_ms)
            job_run, item = entry.work
            if job_run.stopped:
                continue
            if item.is_ready(now_ms):
                found = entry
            else:
                later.append(entry)
        for entry in later:
            self._waiting.put(entry)
        return found

    async def _place(self, entry):
        """Return a place for an item, or None if there is no slot now."""
        job_run, item = entry.work
        now_ms = self.clock.now_ms()
        route = self.node.catalog.match(job_run.job.host, item.call.target)
        if route is None or route.kind is not RouteKind.BATCH:
            job_run.finish(item, Outcome.DEAD, "its route has ended")
            return _NOWHERE
        if now_ms >= item.abandon_ms + ABANDON_MARGIN_MS:
            job_run.finish(item, Outcome.DEAD, "it waited too long")
            return _NOWHERE
        service = route.service_for(item.call.request_id)
        parts = item.call.shared_parts
        want = Want(
            service=service,
            use=Use.BATCH,
            affinity=parts[-1] if parts else "",
            wait_ms=0,
            slack_ms=self._waiting.slack_ms(entry, now_ms),
            avoid=frozenset(),
            on_revoke=item.revoke,
        )
        keeps = self.node.keeps_slots(service)
        try:
            return await self.places.find(want, item.call.request_id, keeps)
        except RequestError:
            # No slot or no replica: not logged, since a full fleet answers
            # so to every ask; the waiting items are counted instead.
            self.node.metrics.gauge("items_waiting", len(self._waiting) + 1)
            return None

    async def _attempt(self, job_run, item, place):
        end = ItemEnd.LOST
        try:
            end = await item.attempt(
                place, self.pool, self.dialect, self.clock
            )
        finally:
            place.release()
            self._running -= 1
        self.node.metrics.count("item_attempts", end=end.value)
        if end not in (ItemEnd.DONE, ItemEnd.REVOKED):
            self.log.info(
                "item_attempt_ended",
                request_id=item.call.request_id,
                job_id=job_run.job.job_id,
                replica=place.replica.replica_id,
                end=end.value,
                failures=item.failures,
            )
        self._judge(job_run, item, place, end)

    def _judge(self, job_run, item, place, end):
        suspicion = self.node.forwarder.suspicion
        life = place.replica.life
        if end is ItemEnd.DONE:
            suspicion.served(life)
            self._learn(job_run, item)
            job_run.finish(item, Outcome.DONE, "")
            return
        if end in (ItemEnd.LOST, ItemEnd.FAILED, ItemEnd.NOT_RUN):
            # Also where it did not run: the address may be another
            # replica's by now, and its refusal comes within a millisecond.
            suspicion.failed(life, self.clock.now_ms())
        route = self.node.catalog.match(job_run.job.host, item.call.target)
        most = route.max_attempts if route else 1
        if end is ItemEnd.IMPOSSIBLE:
            job_run.finish(item, Outcome.DEAD, "it can never be done")
        elif item.failures >= most:
            job_run.finish(item, Outcome.DEAD, "its attempts are used up")
        else:
            self.wait_for_slot(job_run, item)

    def _learn(self, job_run, item):
        now_ms = self.clock.now_ms()
        took_ms = now_ms - item.started_ms
        self._waiting.done(item.ran_ms, took_ms)
        self.log.info(
            "item_done",
            request_id=item.call.request_id,
            job_id=job_run.job.job_id,
            ran_ms=item.ran_ms,
            took_ms=took_ms,
            revokes=item.revokes,
            left_ms=item.due_ms - now_ms,
        )


_NOWHERE = object()
"""Stands for the place of an item that no longer needs one."""


class _JobRun:
    """One owned job: its items' tasks, and the listing of results."""

    def __init__(self, worker, job: Job):
        self.job = job
        self.stopped = False
        self._worker = worker
        self._tasks = set()
        self._finished: list[Finished] = []
        self._more = asyncio.Event()
        self.spawn(self._run())

    def spawn(self, work) -> None:
        """Run `work` as a task of this job."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._worker.log.error(
                "job_task_failed",
                job_id=self.job.job_id,
                reason=repr(task.exception()),
            )
            # The view brings the job back with what is listed.
            self.stop()
            self._worker.forget(self.job.job_id)

    def stop(self) -> None:
        """Cancel everything: closing connections stops the replicas."""
        self.stopped = True
        for task in list(self._tasks):
            task.cancel()
        for finished in self._finished:
            self._worker.held_characters -= len(finished.text)
        self._finished.clear()

    def finish(self, item: ItemRun, outcome: Outcome, reason: str) -> None:
        """Take an item's outcome; it is listed as soon as possible."""
        text = item.text if outcome is Outcome.DONE else ""
        if outcome is Outcome.DEAD:
            self._worker.log.warning(
                "item_dead",
                request_id=item.call.request_id,
                job_id=self.job.job_id,
                reason=reason,
            )
        self._worker.held_characters += len(text)
        self._finished.append(Finished(item.index, outcome, text))
        self._more.set()

    async def _run(self):
        worker = self._worker
        calls = await self._calls()
        route = worker.node.catalog.batch_route(self.job.route)
        age_ms = worker.store_now_ms() - self.job.accepted_ms
        start_ms = worker.clock.now_ms() - max(0, age_ms)
        due_ms = start_ms + (route.completion_ms if route else 0)
        abandon_ms = start_ms + (route.abandon_ms if route else 0)
        listed = worker.view.progress(self.job).indices
        worker.log.info(
            "job_started",
            job_id=self.job.job_id,
            items=len(calls),
            listed=len(listed),
            age_ms=age_ms,
        )
        for index, call in enumerate(calls):
            if index not in listed:
                item = ItemRun(index, call, due_ms, abandon_ms)
                worker.wait_for_slot(self, item)
        await self._list_all()

    async def _calls(self):
        while True:
            try:
                payload = await self._worker.ledger.payload(self.job)
            except RequestError as error:
                self._worker.log.warning(
                    "payload_unread",
                    job_id=self.job.job_id,
                    reason=error.message,
                )
                await self._retry_pause()
                continue
            return self._worker.payloads.calls(self.job.host, payload)

    async def _retry_pause(self):
        worker = self._worker
        await worker.clock.sleep_ms(worker.node.rng.randint(*RETRY_MS))

    async def _list_all(self):
        worker = self._worker
        total = len(self.job.items)
        while len(worker.view.progress(self.job).listed) < total:
            await self._more.wait()
            self._more.clear()
            while self._finished:
                await self._list_some()
        worker.log.info("job_listed", job_id=self.job.job_id, items=total)
        await self._close()

    async def _list_some(self):
        worker = self._worker
        batch = list(self._finished)
        try:
            await worker.ledger.list_results(self.job, batch)
        except OwnershipLost:
            worker.log.warning("job_lost", job_id=self.job.job_id)
            self.stop()
            return
        except PlatformUnavailable as error:
            worker.log.warning(
                "listing_failed",
                job_id=self.job.job_id,
                held=len(batch),
                reason=str(error),
            )
            await self._retry_pause()
            return
        listed = worker.view.progress(self.job).indices
        for finished in [f for f in batch if f.index in listed]:
            self._finished.remove(finished)
            worker.held_characters -= len(finished.text)

    async def _close(self):
        while True:
            try:
                await self._worker.ledger.set_state(
                    self.job.job_id, JobState.CLOSED
                )
                return
            except RequestError:
                await self._retry_pause()
