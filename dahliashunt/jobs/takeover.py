"""Takeover of open jobs whose owner is gone."""

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
"""Longest random delay before a takeover, which avoids conflicts between
nodes."""

MAX_TAKEOVERS = 4
"""Jobs that one node takes over per poll, so that a lost node's jobs are
spread over the others."""

LEAVE_TRIES = 3
"""Tries to mark this node as gone; if all fail the others wait for the
heartbeat timeout."""


class Takeover:
    """Renews this node's heartbeat and takes over jobs of lost nodes."""

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
        """Stop renewals and takeovers, and mark this node as gone."""
        self._left = True
        told = False
        for _ in range(LEAVE_TRIES):
            # A renewal in progress may conflict with the write.
            told = told or await self._writer.leave()
        self._log.info("ownership_released", told=told)

    async def renew(self) -> None:
        """Renew this node's row while it owns jobs, until cancelled.

        The first renewal is written in any case: it ends this node's former
        incarnation for all observers without waiting for the timeout.
        """
        announced = False
        while not self._left:
            if self._worker.owns_jobs or not announced:
                announced = await self._writer.renew_row() or announced
            await self._clock.sleep_ms(period_ms(self._reader.owners))
        await asyncio.Event().wait()

    async def watch(self) -> None:
        """Take over orphaned jobs periodically until cancelled."""
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
