"""Execution of one owned job: its items' tasks and listing of results."""

import asyncio

from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.losses import request_fingerprint
from dahliashunt.jobs.item_run import ItemRun
from dahliashunt.jobs.ledger import Finished
from dahliashunt.jobs.ledger import OwnershipLost
from dahliashunt.jobs.model import Job
from dahliashunt.jobs.model import JobState
from dahliashunt.jobs.model import Outcome

__all__ = ["RETRY_MS", "JobRun"]

RETRY_MS = (150, 400)
"""Bounds of the random delay before a failed store call is retried."""

ITEM_BYTES = 3_000
"""Memory of an item beside its part of the payload."""


class JobRun:
    """Runs one job until all of its items are listed or it is stopped.

    Parameters
    ----------
    worker : JobWorker
        Starts the items when slots are free.
    job : Job
    decided : list of Finished, optional
        Unlisted outcomes of an earlier run of this job on this node; given
        if that run has failed.

    Attributes
    ----------
    stopped : bool
        Whether `stop` was called: the job has ended or another owner, or
        one of its tasks failed.
    began_ms : int
        Time by which the job, and so its route, had been written.
    item_by_index : dict
        Items with an attempt in progress.
    """

    def __init__(self, worker, job: Job, decided: list | None = None):
        self.job = job
        self.stopped = False
        self.began_ms: int = worker.clock.now_ms()
        self.item_by_index: dict[int, ItemRun] = {}
        self._listed: frozenset[int] = frozenset()
        self._worker = worker
        self._tasks = set()
        self._finished: list[Finished] = list(decided or ())
        self._is_restart = decided is not None
        self._unfinished_by_index: dict[int, ItemRun] = {}
        self._changed = asyncio.Event()
        if decided:
            self._changed.set()
        self.spawn(self._run())

    def spawn(self, work) -> None:
        """Run `work` as a task of this job."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._worker.log.error(
                "job_task_failed",
                job_id=self.job.job_id,
                reason=repr(task.exception()),
            )
            self._worker.restart_later(self)

    def stop(self) -> None:
        """Cancel all tasks; closed connections stop the replicas."""
        self.stopped = True
        for task in list(self._tasks):
            task.cancel()
        for item in self._unfinished_by_index.values():
            self._worker.forget_kept(item)
        self._worker.room.release(self.job.job_id)
        for finished in self._finished:
            self._worker.held_characters -= len(finished.text)
        self._finished.clear()

    def take_finished(self) -> list[Finished]:
        """Remove the items that aren't listed; return the decided ones.

        An item that this node gave up for its own view of time and routes
        is left to the next owner.
        """
        finished, self._finished = self._finished, []
        decided = [each for each in finished if each.by_replica]
        if len(decided) < len(finished):
            self._worker.log.info(
                "dead_items_dropped",
                job_id=self.job.job_id,
                items=len(finished) - len(decided),
            )
        return decided

    def unfinished(self) -> list[ItemRun]:
        """Return the items that are neither done nor listed."""
        return [
            item
            for index, item in self._unfinished_by_index.items()
            if index not in self._listed
        ]

    def is_listed(self, item: ItemRun) -> bool:
        """Tell whether the result of `item` is listed."""
        return item.index in self._listed

    def stop_listed_items(self) -> None:
        """Stop the attempts of items that another node has listed."""
        listed = self._worker.view.progress(self.job).indices
        if listed == self._listed:
            return
        self._listed = listed
        for index, item in self.item_by_index.items():
            if index in listed:
                item.revoke()
        self._changed.set()

    def abandon(self, item: ItemRun, reason: str) -> None:
        """Queue an item for listing as dead that no replica has decided."""
        self.finish(item, Outcome.DEAD, reason, by_replica=False)

    def finish(
        self,
        item: ItemRun,
        outcome: Outcome,
        reason: str,
        by_replica: bool = True,
    ) -> None:
        """Queue an item's outcome for listing."""
        self._worker.forget_kept(item)
        text = item.text if outcome is Outcome.DONE else ""
        if outcome is Outcome.DEAD:
            self._worker.log.warning(
                "item_dead",
                request_id=item.call.request_id,
                job_id=self.job.job_id,
                reason=reason,
            )
        self._worker.held_characters += len(text)
        self._unfinished_by_index.pop(item.index, None)
        self._finished.append(
            Finished(item.index, outcome, text, item.saved, by_replica)
        )
        self._changed.set()

    async def _run(self):
        worker = self._worker
        calls = await self._calls()
        route = await self._route()
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
        partial_by_index = await self._partials()
        ended = listed | {finished.index for finished in self._finished}
        for index, call in enumerate(calls):
            if index not in ended:
                digest = request_fingerprint(self.job.host, call)
                item = ItemRun(index, call, digest, due_ms, abandon_ms)
                if index in partial_by_index:
                    item.resume(partial_by_index[index])
                self._unfinished_by_index[index] = item
                worker.wait_for_slot(self, item)
        await self._list_all()

    async def _route(self):
        """Return the job's route; None once it is known to be removed.

        The node that accepted the job may have had a newer configuration.
        """
        node, name = self._worker.node, self.job.route
        is_logged = False
        while True:
            catalog = node.catalog
            route = catalog.batch_route(name) if catalog else None
            if route is not None:
                return route
            is_current = node.is_configured_as_of(self.began_ms)
            if catalog and is_current and not catalog.may_hide(name):
                return None
            if not is_logged:
                is_logged = True
                node.log.warning(
                    "job_waits_for_route",
                    job_id=self.job.job_id,
                    route=name,
                    revision=catalog.revision if catalog else None,
                    is_current=is_current,
                )
            await self._retry_pause()

    async def _partials(self):
        """Return the partial texts that a former owner has saved."""
        worker = self._worker
        is_new = (
            not self._is_restart
            and self.job.accepted_by == worker.ledger.owner
            and self.job.job_id not in worker.view.progress_by_id
        )
        if is_new:
            return {}
        items = len(self.job.items)
        while True:
            found = await worker.partials.load(self.job.job_id, items)
            if found is not None:
                break
            await self._retry_pause()
        worker.log.info(
            "items_resumed", job_id=self.job.job_id, items=len(found)
        )
        return found

    async def _calls(self):
        worker, job_id = self._worker, self.job.job_id
        while True:
            try:
                payload = await worker.ledger.payload(self.job)
            except RequestError as error:
                worker.log.warning(
                    "payload_read_failed",
                    job_id=job_id,
                    reason=error.message,
                )
                await self._retry_pause()
                continue
            size = len(payload) + ITEM_BYTES * len(self.job.items)
            if worker.room.take(job_id, size):
                return worker.payloads.calls(self.job, payload)
            del payload
            await self._wait_for_room(size)

    async def _wait_for_room(self, size):
        worker = self._worker
        worker.node.metrics.count("jobs_waited_for_memory")
        worker.log.info(
            "job_waits_for_memory",
            job_id=self.job.job_id,
            bytes=size,
            held=worker.room.held_bytes,
        )
        while not worker.room.fits(size):
            await self._retry_pause()

    async def _retry_pause(self):
        worker = self._worker
        await worker.clock.sleep_ms(worker.node.rng.randint(*RETRY_MS))

    async def _list_all(self):
        worker = self._worker
        total = len(self.job.items)
        while len(worker.view.progress(self.job).listed) < total:
            await self._changed.wait()
            self._changed.clear()
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
            worker.log.warning("job_ownership_lost", job_id=self.job.job_id)
            worker.release_job(self.job.job_id)
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
