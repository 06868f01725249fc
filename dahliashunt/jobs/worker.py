"""Execution of the items of the jobs that this node owns.

The first item of `ItemQueue` requests a slot, and after a refusal the next one
that needs less (`item_refusals`). If none is free the worker retries after a
short delay. A revoked item is queued again and keeps its text.
"""

import asyncio
import math
import random

from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.decisions.item_order import ItemQueue
from dahliashunt.decisions.item_order import WaitingItem
from dahliashunt.decisions.item_refusals import Demand
from dahliashunt.decisions.item_refusals import Refusal
from dahliashunt.decisions.item_refusals import Refusals
from dahliashunt.decisions.item_refusals import refused_pause_ms
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.stream_origins import origin_key
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.answer_room import AnswerRoom
from dahliashunt.forwarding.catalog import BrokenRoute
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.catalog import RouteKind
from dahliashunt.forwarding.crash_guard import crash_keys
from dahliashunt.forwarding.excess import report_excess
from dahliashunt.forwarding.node import Node
from dahliashunt.forwarding.ports import ReplicaDialect
from dahliashunt.forwarding.replica_selector import ReplicaSelector
from dahliashunt.forwarding.reservation import SlotRequirements
from dahliashunt.forwarding.workspaces import workspace_digest
from dahliashunt.ids import JobId
from dahliashunt.jobs.item_run import ItemEnd
from dahliashunt.jobs.item_run import ItemRun
from dahliashunt.jobs.job_run import JobRun
from dahliashunt.jobs.job_run import RETRY_MS
from dahliashunt.jobs.ledger import Finished
from dahliashunt.jobs.ledger import JobLedger
from dahliashunt.jobs.model import Outcome
from dahliashunt.jobs.partials import fits_row
from dahliashunt.jobs.partials import PartialTexts
from dahliashunt.jobs.partials import without_text
from dahliashunt.jobs.payload import PayloadReader
from dahliashunt.jobs.payload_room import PayloadRoom
from dahliashunt.jobs.view import JobView

__all__ = ["JobWorker"]

SLOT_RETRY_MS = (40, 90)
"""Bounds of the random delay between slot requests while none is free. In a
busy fleet of five replicas a slot is freed every 20 ms, and each request
costs a datagram a replica."""

VIEW_POLL_MS = 250
"""Longest time between checks of the view for changed jobs."""

ABANDON_MARGIN_MS = 500
"""Grace after an item's abandon time, for the caller's round trip."""

MAX_HELD_CHARACTERS = 8_000_000
"""Size of unlisted results above which no item starts; bounds the memory
used while the store is unavailable."""

MAX_KEPT_CHARACTERS = 8_000_000
"""Size of the texts of items between their attempts above which further ones
are dropped; such items start anew."""

MAX_RUNNING_ITEMS = 128
"""Items that one node runs at once."""


class JobWorker:
    """Works on this node's jobs until cancelled.

    Parameters
    ----------
    node : Node
    view : JobView
    ledger : JobLedger
    places : ReplicaSelector
    pool : ConnectionPool
    dialect : ReplicaDialect
    payloads : PayloadReader
    partials : PartialTexts
    store_now_ms : callable
        Returns this node's estimate of the store's clock.
    room : PayloadRoom
    text_room : AnswerRoom
        Memory for the texts of running items.

    Attributes
    ----------
    kept_characters : int
        Size of the texts of items between their attempts.
    held_characters : int
        Size of the results that are not listed yet.
    restarts : int
        Number of jobs started again after a failure of one of their tasks.
    """

    def __init__(
        self,
        node: Node,
        view: JobView,
        ledger: JobLedger,
        replica_selector: ReplicaSelector,
        pool: ConnectionPool,
        dialect: ReplicaDialect,
        payloads: PayloadReader,
        partials: PartialTexts,
        store_now_ms,
        room: PayloadRoom,
        text_room: AnswerRoom,
    ):
        self.room = room
        self._text_room = text_room
        self.node = node
        self.view = view
        self.ledger = ledger
        self.replica_selector = replica_selector
        self.pool = pool
        self.dialect = dialect
        self.payloads = payloads
        self.partials = partials
        self.store_now_ms = store_now_ms
        self.clock = node.clock
        self.log = node.log
        self._rng: random.Random = node.rng
        self._run_by_id: dict[JobId, JobRun] = {}
        self._decided_by_id: dict[JobId, list[Finished]] = {}
        self._waiting = ItemQueue()
        self._item_queued = asyncio.Event()
        self._running = 0
        self._flush_tasks = set()
        self._leaving = False
        self.held_characters = 0
        self.kept_characters = 0
        self.restarts = 0

    @property
    def owns_jobs(self) -> bool:
        """Whether this node owns open jobs."""
        return bool(self._run_by_id)

    async def run(self) -> None:
        """Follow the view and start items until cancelled."""
        starter = asyncio.create_task(self._start_items())
        try:
            while True:
                self._sync_with_view()
                await self.view.wait(VIEW_POLL_MS)
                if starter.done():
                    starter.result()
        finally:
            starter.cancel()
            for task in self._flush_tasks:
                task.cancel()
            for run in self._run_by_id.values():
                run.stop()

    def unfinished(self) -> list[tuple[JobId, ItemRun]]:
        """Return the unfinished items of this node's jobs."""
        return [
            (job_id, item)
            for job_id, run in self._run_by_id.items()
            for item in run.unfinished()
        ]

    def leave(self) -> None:
        """Stop all jobs for good and list their finished items.

        Save the texts of unfinished items before.
        """
        self._leaving = True
        for job_id in list(self._run_by_id):
            self.release_job(job_id)

    def _sync_with_view(self):
        if self._leaving:
            return
        owned = {
            job.job_id: job
            for job in self.view.open_jobs()
            if self.view.progress(job).owner == self.ledger.owner
        }
        for job_id in list(self._run_by_id):
            if job_id not in owned:
                self.release_job(job_id)
        for job_id, job in owned.items():
            if job_id not in self._run_by_id:
                decided = self._decided_by_id.pop(job_id, None)
                self._run_by_id[job_id] = JobRun(self, job, decided)
            self._run_by_id[job_id].stop_listed_items()
        for job_id in list(self._decided_by_id):
            decided = self._decided_by_id.pop(job_id)
            self._start_flush(self.view.job(job_id), decided)

    def release_job(self, job_id: JobId) -> None:
        """Stop a job that this node doesn't own; list its finished items.

        A node that lost the job during a store outage may have finished
        items that the new owner still runs.
        """
        run = self._run_by_id.pop(job_id, None)
        if run is None:
            return
        finished = run.take_finished()
        run.stop()
        self._start_flush(run.job, finished)

    def _start_flush(self, job, finished):
        if not finished:
            return
        task = asyncio.create_task(self._flush(job, finished))
        self._flush_tasks.add(task)
        task.add_done_callback(self._flush_done)

    def _flush_done(self, task):
        self._flush_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.error(
                "results_flush_failed", reason=repr(task.exception())
            )

    async def _flush(self, job, finished):
        held = sum(len(each.text) for each in finished)
        count = len(finished)
        try:
            while finished and self.view.is_open(job.job_id):
                finished = await self._flush_some(job, finished)
        finally:
            self.held_characters -= held
        self.log.info(
            "results_flushed",
            job_id=job.job_id,
            held=count,
            left=len(finished),
        )

    async def _flush_some(self, job, finished):
        try:
            await self.ledger.list_as_former_owner(job, finished)
        except PlatformUnavailable as error:
            self.log.warning(
                "listing_failed",
                job_id=job.job_id,
                held=len(finished),
                reason=str(error),
            )
            await self.clock.sleep_ms(self._rng.randint(*RETRY_MS))
        listed = self.view.progress(job).indices
        return [each for each in finished if each.index not in listed]

    def job_run(self, job_id: JobId) -> JobRun | None:
        """Return the run of a job that this node owns."""
        return self._run_by_id.get(job_id)

    def restart_later(self, run: JobRun) -> None:
        """Stop a failed job; the next view update starts it again.

        What its replicas have answered for good stays known.
        """
        job_id = run.job.job_id
        if self._run_by_id.get(job_id) is run:
            del self._run_by_id[job_id]
            self._decided_by_id[job_id] = run.take_finished()
            self.restarts += 1
        run.stop()

    def wait_for_slot(self, job_run, item: ItemRun) -> None:
        """Queue `item` for a slot."""
        waiting = WaitingItem(
            item.due_ms,
            item.ran_ms,
            work=(job_run, item),
            workspace=workspace_digest(item.call.workspace),
            prompt_tokens=item.call.prompt_tokens,
            output_tokens=item.call.output_tokens,
        )
        self._waiting.put(waiting)
        self._item_queued.set()

    async def _start_items(self):
        while True:
            if await self._pass_over_items():
                await self._pause()
            else:
                self._item_queued.clear()
                await self._pause_or_wake()

    async def _pass_over_items(self):
        """Start the items that get a slot; return whether one was refused."""
        refusals = Refusals()
        first = None
        while not (refusals and refusals.end_pass(self._services())):
            entry = self._next_ready(refusals)
            if entry is None:
                break
            if await self._start_or_refuse(entry, refusals):
                continue
            if first is None:
                first = entry
            else:
                self._park(entry)
        if first is not None:
            self._waiting.put(first)
        return bool(refusals)

    async def _start_or_refuse(self, entry, refusals):
        """Start an item; return False if it has to be asked for again."""
        job_run, item = entry.work
        reservation = await self._reserve(entry, refusals)
        if reservation is _NOT_NEEDED:
            return True
        if reservation is None:
            return False
        if job_run.stopped:
            reservation.release()
            return True
        item.refusals = 0
        self._running += 1
        self._waiting.started(entry, self.clock.now_ms())
        job_run.spawn(self._attempt(job_run, item, reservation))
        return True

    def _park(self, entry):
        _, item = entry.work
        item.refusals += 1
        pause_ms = refused_pause_ms(item.refusals)
        self._waiting.park(entry, self.clock.now_ms() + pause_ms)

    def _services(self):
        """Return the services of the routes of this node's jobs."""
        routes = (
            self.node.catalog.batch_route(run.job.route)
            for run in self._run_by_id.values()
        )
        return frozenset().union(
            *(route.weight_by_service for route in routes if route)
        )

    async def _pause(self):
        await self.clock.sleep_ms(self._rng.randint(*SLOT_RETRY_MS))

    async def _pause_or_wake(self):
        try:
            async with asyncio.timeout(VIEW_POLL_MS / 1000):
                await self._item_queued.wait()
        except TimeoutError:
            return

    def _next_ready(self, refusals):
        """Remove and return the first waiting item that may get a slot."""
        if self._running >= MAX_RUNNING_ITEMS:
            return None
        if self.held_characters > MAX_HELD_CHARACTERS:
            return None
        now_ms = self.clock.now_ms()
        later = []
        found = None
        while found is None:
            entry = self._waiting.take(now_ms)
            if entry is None:
                break
            job_run, item = entry.work
            if job_run.stopped or job_run.is_listed(item):
                self.forget_kept(item)
                continue
            if not item.is_ready(now_ms) or self._is_held_back(job_run, item):
                later.append(entry)
            elif (
                refusals
                and now_ms < item.abandon_ms
                and refusals.covers(self._demand(entry))
            ):
                self._park(entry)
            else:
                found = entry
        for entry in later:
            self._waiting.put(entry)
        return found

    def _demand(self, entry):
        job_run, item = entry.work
        service = self._service(job_run, item)
        return Demand(
            service=service,
            version=self._version_to_continue(job_run, item, service),
            tokens=entry.prompt_tokens + entry.output_tokens,
            run_ms=self._waiting.run_ms(entry),
        )

    def _service(self, job_run, item):
        """Return the service of an item, "" without a route."""
        route = self._route(job_run, item)
        if route is None:
            return ""
        if isinstance(route, BrokenRoute):
            return _UNREADABLE
        return route.service_for(item.call.request_id)

    def _route(self, job_run, item):
        """Return an item's route; `BrokenRoute` if it may exist unread."""
        job = job_run.job
        route = self.node.catalog.match(job.host, item.call.target)
        if isinstance(route, BrokenRoute) or _is_batch(route):
            return route
        if self.node.is_configured_as_of(job_run.began_ms):
            return route
        return BrokenRoute(
            job.route, job.host, "", "the configuration may be outdated"
        )

    def _is_held_back(self, job_run, item):
        """Return whether an item may neither run nor be given up yet."""
        if self.clock.now_ms() >= item.abandon_ms:
            return False
        guard = self.node.forwarder.crash_guard
        keys = self._crash_keys(job_run, item)
        return guard.is_quarantined(keys) or guard.must_wait(keys)

    def _crash_keys(self, job_run, item):
        return crash_keys(
            item.digest,
            self._service(job_run, item),
            item.call.shared_parts,
            item.longest_wait_ms(self.clock.now_ms()),
        )

    async def _reserve(self, entry, refusals):
        """Return a reservation, None without a slot, or `_NOT_NEEDED`.

        A refusal is noted in `refusals`.
        """
        job_run, item = entry.work
        now_ms = self.clock.now_ms()
        route = self._route(job_run, item)
        if isinstance(route, BrokenRoute):
            # The route may still exist: the item waits.
            refusals.note(Demand(_UNREADABLE), Refusal.FULL)
            return None
        if not _is_batch(route):
            job_run.abandon(item, "the batch route no longer exists")
            return _NOT_NEEDED
        if now_ms >= item.abandon_ms + ABANDON_MARGIN_MS:
            job_run.abandon(item, "the time limit of its route has passed")
            return _NOT_NEEDED
        requirements = self._requirements(entry, route)
        with_agents = self.node.has_agents(requirements.service)
        try:
            return await self.replica_selector.find(
                requirements, item.call.request_id, with_agents
            )
        except RequestError as error:
            self._note_refusal(entry, requirements, error, refusals)
            return None

    def _requirements(self, entry, route):
        job_run, item = entry.work
        call = item.call
        service = route.service_for(call.request_id)
        parts = call.shared_parts
        return SlotRequirements(
            service=service,
            use=Use.BATCH,
            affinity=parts[-1] if parts else "",
            wait_ms=0,
            slack_ms=self._waiting.slack_ms(entry, self.clock.now_ms()),
            run_ms=self._waiting.run_ms(entry),
            avoid=frozenset(),
            on_revoke=item.revoke,
            version=self._version_to_continue(job_run, item, service),
            workspace=workspace_digest(call.workspace),
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            shared_parts=tuple(zip(parts, call.shared_tokens, strict=False)),
        )

    def _note_refusal(self, entry, requirements, error, refusals):
        """Note why an item got no slot.

        It is not logged, since it is usual in a full fleet; the metrics show
        the waiting items and the reasons.
        """
        self.node.metrics.gauge("items_waiting", len(self._waiting) + 1)
        refusal, room = Refusal.UNASKED, math.inf
        if error.kind is ErrorKind.OVERLOADED:
            room = self.replica_selector.batch_room(requirements)
            refusal = Refusal.ASKED if room else Refusal.FULL
        self.node.metrics.count("items_refused", reason=refusal.value)
        refusals.note(self._demand(entry), refusal, room)

    def _version_to_continue(self, job_run, item, service):
        """Return the version that must continue the item; None for any.

        An item whose text no listed replica can continue is restarted.
        """
        if not item.last_event:
            return None
        listed = self.node.registry.of_service(service)
        for version in {replica.version for replica in listed}:
            if item.origin == origin_key(service, version) and version:
                return version
        if listed:
            self.log.info(
                "item_restarted",
                request_id=item.call.request_id,
                job_id=job_run.job.job_id,
                last_event=item.last_event,
            )
            item.restart()
        return None

    async def _attempt(self, job_run, item, reservation):
        end = ItemEnd.LOST
        self.forget_kept(item)
        job_run.item_by_index[item.index] = item
        try:
            end = await self._run_item(job_run, item, reservation)
        finally:
            del job_run.item_by_index[item.index]
            reservation.release()
            self._running -= 1
        self.node.metrics.count("item_attempts", end=end.value)
        self._report_excess(item, reservation.replica)
        if end not in _UNLOGGED_ENDS:
            self.log.info(
                "item_attempt_ended",
                request_id=item.call.request_id,
                job_id=job_run.job.job_id,
                replica=reservation.replica.replica_id,
                version=reservation.replica.version,
                end=end.value,
                last_event=item.last_event,
                status=item.status,
                failures=item.failures,
                losses=self.node.forwarder.crash_guard.losses(
                    self._crash_keys(job_run, item)
                ),
            )
        self._keep(item)
        self._handle_end(job_run, item, reservation, end)

    def _keep(self, item):
        """Count the text of an item whose attempt has ended."""
        if self.kept_characters + item.characters > MAX_KEPT_CHARACTERS:
            self.node.metrics.count("item_texts_dropped")
            item.restart()
        item.kept_characters = item.characters
        self.kept_characters += item.characters

    def forget_kept(self, item: ItemRun) -> None:
        """Count the text of an item no more: it runs, or has ended."""
        self.kept_characters -= item.kept_characters
        item.kept_characters = 0

    def _report_excess(self, item, replica):
        """Count and log a response that was not read past a bound."""
        exceeded, item.exceeded = item.exceeded, None
        if exceeded is not None:
            report_excess(
                self.node.metrics,
                self.log,
                exceeded,
                item.call.request_id,
                replica.replica_id,
            )

    async def _run_item(self, job_run, item, reservation):
        """Attempt the item, unless it is held back for lost runs."""
        guard = self.node.forwarder.crash_guard
        keys = self._crash_keys(job_run, item)
        permit = await guard.admit(keys)
        if permit is None:
            item.wait_after_refusal(self.clock)
            return ItemEnd.QUARANTINED
        events_before = item.last_event
        end = None
        try:
            end = await item.attempt(
                reservation,
                self.pool,
                self.dialect,
                self.clock,
                self._text_room,
            )
        finally:
            self._note_end(item, reservation.replica, permit, end)
        if end is ItemEnd.LOST:
            guard.lost(
                permit,
                item.call.request_id,
                reservation.replica,
                has_progress=item.last_event > events_before,
            )
        return end

    def _note_end(self, item, replica, permit, end):
        """Tell the guard how a run ended, but for one that was lost."""
        guard = self.node.forwarder.crash_guard
        if end is ItemEnd.DONE:
            guard.served(permit.keys)
        elif end in _LEFT_ENDS:
            guard.left(permit, item.call.request_id, replica)
        elif end is not ItemEnd.LOST:
            guard.ended_unharmed(permit)

    def _handle_end(self, job_run, item, reservation, end):
        suspicion = self.node.forwarder.suspicion
        incarnation = reservation.replica.incarnation
        if end is ItemEnd.DONE:
            suspicion.served(incarnation)
            self._record_done(job_run, item, reservation.replica)
            job_run.finish(item, Outcome.DONE, "")
            return
        if end in _FAULTY_ENDS:
            # A refusal counts as well: the address may belong to another
            # replica by now.
            suspicion.failed(incarnation, self.clock.now_ms())
        route = self._route(job_run, item)
        most = route.max_attempts if isinstance(route, Route) else 1
        if isinstance(route, BrokenRoute):
            # How often the item may fail is known once it can be read.
            most = math.inf
        if end is ItemEnd.IMPOSSIBLE:
            job_run.finish(
                item, Outcome.DEAD, "the replica rejected it with status 422"
            )
        elif item.failures >= most:
            job_run.finish(
                item, Outcome.DEAD, "all attempts of its route have failed"
            )
        elif end is ItemEnd.FAILED:
            job_run.spawn(self._retry_once_counted(job_run, item))
        else:
            self.wait_for_slot(job_run, item)

    async def _retry_once_counted(self, job_run, item):
        """Queue a failed item again once the store has its failures.

        The next owner would otherwise give it all of its attempts again.
        """
        partial = item.partial(job_run.job.job_id)
        if not fits_row(partial):
            partial = without_text(partial)
        while not await self.partials.save([partial]):
            await self.clock.sleep_ms(self._rng.randint(*RETRY_MS))
        item.note_saved(partial)
        self.wait_for_slot(job_run, item)

    def _record_done(self, job_run, item, replica):
        now_ms = self.clock.now_ms()
        took_ms = now_ms - item.started_ms
        self._waiting.done(item.ran_ms)
        self.log.info(
            "item_done",
            request_id=item.call.request_id,
            job_id=job_run.job.job_id,
            replica=replica.replica_id,
            data_centre=replica.data_centre,
            ran_ms=item.ran_ms,
            took_ms=took_ms,
            revokes=item.revokes,
            left_ms=item.due_ms - now_ms,
        )


def _is_batch(route):
    return isinstance(route, Route) and route.kind is RouteKind.BATCH


_UNLOGGED_ENDS = (ItemEnd.DONE, ItemEnd.REVOKED, ItemEnd.QUARANTINED)
"""Ends that have another log line, or none as they are usual."""

_LEFT_ENDS = (None, ItemEnd.REVOKED, ItemEnd.SILENT, ItemEnd.UNUSABLE)
"""Ends brought about here, after which the replica may still work."""

_FAULTY_ENDS = (
    ItemEnd.LOST,
    ItemEnd.SILENT,
    ItemEnd.UNUSABLE,
    ItemEnd.FAILED,
    ItemEnd.NOT_RUN,
)
"""Ends after which a replica is suspected."""

_UNREADABLE = "unreadable route"
"""Stands for the service of an item whose route can't be read."""

_NOT_NEEDED = object()
"""Sentinel: the item has ended and needs no reservation."""
