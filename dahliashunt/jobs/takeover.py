"""Take over open jobs whose owner is gone."""

import asyncio
import random

from dahliashunt.errors import PlatformUnavailable
from dahliashunt.jobs.beats import BeatReader
from dahliashunt.jobs.beats import BeatWriter
from dahliashunt.jobs.beats import period_ms
from dahliashunt.jobs.ledger import JobLedger
from dahliashunt.jobs.view import JobView
from dahliashunt.jobs.worker import JobWorker
from dahliashunt.ports import Clock

__all__ = ["Takeover"]

MAX_JITTER_MS = 400
"""Most time by which nodes wait at random before they take a job over:
the first one's row reaches the others within some 20 ms."""

MAX_TAKEOVERS = 4
"""Jobs that one node takes over in one look: the jobs of a lost node
spread over those that are left."""


LEAVE_TRIES = 3
"""Tries to say that this node has left; the others find out by its silence
where none is taken."""


class Takeover:
    """Renews this node's own row and watches the others'."""

    def __init__(
        self,
        view: JobView,
        ledger: JobLedger,
        worker: JobWorker,
        writer: BeatWriter,
        reader: BeatReader,
        clock: Clock,
        rng: random.Random,
        log,
    ):
        self._view = view
        self._ledger = ledger
        self._worker = worker
        self._writer = writer
        self._reader = reader
        self._clock = clock
        self._rng = rng
        self._log = log
        self._left = False

    async def leave(self) -> None:
        """Renew no more, take nothing over, and say so to the others."""
        self._left = True
        told = False
        for _ in range(LEAVE_TRIES):
            # A renewal that was on its way may have been ahead.
            told = told or await self._writer.leave()
        self._log.info("ownership_released", told=told)

    async def renew(self) -> None:
        """Renew this node's row while it owns jobs, for ever.

        The first renewal is written in any case: it ends this node's
        former life at once for everybody, instead of after the term.
        With everything restarted, jobs go on within a second or two
        instead of five.
        """
        announced = False
        while not self._left:
            if self._worker.owns_jobs or not announced:
                announced = await self._writer.renew_row() or announced
            await self._clock.sleep_ms(period_ms(self._reader.owners))
        await asyncio.Event().wait()

    async def watch(self) -> None:
        """Look for orphaned jobs, for ever."""
        while not self._left:
            others = [
                job
                for job in self._view.open_jobs()
                if self._view.progress(job).owner != self._ledger.owner
            ]
            if others:
                owners = {self._view.progress(job).owner for job in others}
                await self._reader.poll(owners)
                await self._take_over_some(others)
            await self._clock.sleep_ms(period_ms(self._reader.owners))
        await asyncio.Event().wait()

    async def _take_over_some(self, others):
        orphans = [
            job
            for job in others
            if self._reader.is_gone(self._view.progress(job).owner)
        ]
        if not orphans:
            return
        self._rng.shuffle(orphans)
        await self._clock.sleep_ms(self._rng.randint(0, MAX_JITTER_MS))
        for job in orphans[:MAX_TAKEOVERS]:
            if self._left:
                return
            owner = self._view.progress(job).owner
            if owner == self._ledger.owner or not self._reader.is_gone(owner):
                continue
            try:
                taken = await self._ledger.take_over(job)
            except PlatformUnavailable as error:
                self._log.warning(
                    "takeover_failed", job_id=job.job_id, reason=str(error)
                )
                return
            if taken:
                self._log.info(
                    "job_taken_over",
                    job_id=job.job_id,
                    from_node=owner.node_id,
                )
