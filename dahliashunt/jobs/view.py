"""What this node knows of all jobs, from the feeds of their tables."""

import asyncio
from dataclasses import dataclass

from dahliashunt.ids import JobId
from dahliashunt.ids import WorkspaceId
from dahliashunt.jobs.keys import JOBS_PREFIX
from dahliashunt.jobs.keys import PROGRESS_PREFIXES
from dahliashunt.jobs.model import decode_job
from dahliashunt.jobs.model import decode_progress
from dahliashunt.jobs.model import Job
from dahliashunt.jobs.model import JobState
from dahliashunt.jobs.model import Progress
from dahliashunt.jobs.model import UnreadableRow
from dahliashunt.ports.table import Row

__all__ = ["JobView", "Versioned"]


@dataclass(frozen=True, slots=True)
class Versioned:
    """A value and the version of its row."""

    value: object
    version: int


class JobView:
    """Jobs and progress by id, never older than what was seen before.

    It is both a listener of the feeds and taught by this node's own
    transactions, which it must not forget when the feed is behind.

    Parameters
    ----------
    log : structlog logger
    """

    def __init__(self, log):
        self._log = log
        self.job_by_id: dict[JobId, Versioned] = {}
        self.progress_by_id: dict[JobId, Versioned] = {}
        self._open: set[JobId] = set()
        self._changed = asyncio.Event()

    # Listener of the feeds.

    def replaced(self, rows) -> None:
        """Take over rows; rows that are gone are found by reads."""
        for row in rows:
            self.changed(row)

    def changed(self, row: Row) -> None:
        """Take over one row."""
        try:
            if row.key.startswith(JOBS_PREFIX):
                self.update_job(decode_job(row.value), row.version)
            elif row.key.startswith(PROGRESS_PREFIXES):
                job_id = JobId(row.key.rsplit("/", 1)[1])
                progress = decode_progress(row.value)
                self.update_progress(job_id, progress, row.version)
        except UnreadableRow as error:
            self._log.error("row_unreadable", key=row.key, reason=str(error))

    def removed(self, key: str) -> None:
        """Forget an expired job."""
        job_id = JobId(key.rsplit("/", 1)[1])
        if key.startswith(JOBS_PREFIX):
            self.job_by_id.pop(job_id, None)
            self._open.discard(job_id)
        elif key.startswith(PROGRESS_PREFIXES):
            self.progress_by_id.pop(job_id, None)

    def outage_ended(self) -> None:
        """Nothing to do: the feed goes on where it stopped."""

    # Knowledge.

    def update_job(self, job: Job, version: int) -> None:
        """Take over a job's row unless a newer one is known."""
        known = self.job_by_id.get(job.job_id)
        if known is not None and known.version >= version:
            return
        self.job_by_id[job.job_id] = Versioned(job, version)
        if job.state is JobState.OPEN:
            self._open.add(job.job_id)
        else:
            self._open.discard(job.job_id)
        self._notify()

    def update_progress(
        self, job_id: JobId, progress: Progress, version: int
    ) -> None:
        """Take over a progress row unless a newer one is known."""
        known = self.progress_by_id.get(job_id)
        if known is not None and known.version >= version:
            return
        self.progress_by_id[job_id] = Versioned(progress, version)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def jobs(self) -> list[Job]:
        """Return every job that is known here, open or not."""
        return [known.value for known in self.job_by_id.values()]

    def job(self, job_id: JobId) -> Job | None:
        """Return the job, if it is known here."""
        known = self.job_by_id.get(job_id)
        return known.value if known else None

    def progress(self, job: Job) -> Progress:
        """Return the job's progress as known here."""
        known = self.progress_by_id.get(job.job_id)
        return known.value if known else Progress(job.accepted_by)

    def open_jobs(self) -> list[Job]:
        """Return the jobs that are open."""
        return [self.job_by_id[job_id].value for job_id in self._open]

    def is_open(self, job_id: JobId) -> bool:
        """Tell whether the job is open, as far as is known here."""
        return job_id in self._open

    def finished_tokens(self, route: str, workspace: WorkspaceId) -> int:
        """Return tokens of listed items of a workspace's open jobs."""
        total = 0
        for job in self.open_jobs():
            if job.route == route and job.workspace == workspace:
                total += sum(
                    job.items[listed.index].tokens
                    for listed in self.progress(job).listed
                )
        return total

    async def wait(self, limit_ms: int) -> None:
        """Return after a change, or after `limit_ms`."""
        changed = self._changed
        try:
            async with asyncio.timeout(limit_ms / 1000):
                await changed.wait()
        except TimeoutError:
            return
