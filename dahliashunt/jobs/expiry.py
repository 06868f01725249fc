"""Removal of expired jobs from the store.

The store has no expiry of its own. Without removal the rows, the time of a
node's start and the memory of each node grow without bound.
"""

import random

from dahliashunt.decisions.job_expiry import may_remove
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import RequestError
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.jobs.ledger import JobLedger
from dahliashunt.jobs.model import Job
from dahliashunt.jobs.model import JobState
from dahliashunt.jobs.view import JobView
from dahliashunt.ports import Clock

__all__ = ["Expiry"]

SWEEP_PERIOD_MS = (10_000, 20_000)
"""Bounds of the random time between sweeps, which keeps nodes apart."""

MAX_REMOVALS = 8
"""Jobs removed in one sweep, so that listing results isn't delayed. One owner
removes at least 23,000 jobs a day."""


class Expiry:
    """Removes jobs that ended long ago.

    Parameters
    ----------
    view : JobView
    ledger : JobLedger
    keep_ms : int
        How long results stay readable after a job's acceptance.
    store_now_ms : callable
        Returns this node's estimate of the store's clock.
    clock : Clock
    rng : random.Random
    log : structlog logger
    """

    def __init__(
        self,
        view: JobView,
        ledger: JobLedger,
        keep_ms: int,
        store_now_ms,
        clock: Clock,
        rng: random.Random,
        log,
    ):
        self._view = view
        self._ledger = ledger
        self._keep_ms = keep_ms
        self._store_now_ms = store_now_ms
        self._clock = clock
        self._rng = rng
        self._log = log

    async def run(self) -> None:
        """Remove expired jobs periodically until cancelled."""
        while True:
            await self._clock.sleep_ms(self._rng.randint(*SWEEP_PERIOD_MS))
            await self.look(self._store_now_ms())

    async def look(self, store_now_ms: int) -> None:
        """Remove some of the jobs that have expired by `store_now_ms`."""
        expired = [
            job
            for job in self._view.jobs()
            if self._is_expired(job, store_now_ms)
        ]
        self._rng.shuffle(expired)
        for job in expired[:MAX_REMOVALS]:
            try:
                await self._ledger.remove(job)
            except (
                PlatformUnavailable,
                RequestError,
                TransactionConflict,
                WriteOutcomeUnknown,
            ) as error:
                # The job's row is removed last: a later sweep retries it.
                self._log.warning(
                    "job_removal_failed", job_id=job.job_id, reason=str(error)
                )
                return
            self._log.info("job_removed", job_id=job.job_id)

    def _is_expired(self, job: Job, store_now_ms):
        if job.state is JobState.OPEN:
            return False
        return may_remove(
            store_now_ms - job.accepted_ms,
            self._keep_ms,
            self._view.progress(job).owner == self._ledger.owner,
        )
