"""Local view of all jobs, from the change feeds of their tables."""

import asyncio
from dataclasses import dataclass

from dahliashunt.decisions.lapse_grace import ReadGap
from dahliashunt.ids import JobId
from dahliashunt.ids import WorkspaceId
from dahliashunt.jobs.keys import job_key
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
    """Newest known versions of jobs and progress, by id.

    Updated by the change feeds and by this node's own transactions. A row
    of the feed that is older than a known version is ignored, and so is one
    that can't be decoded.

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

    # Listener of the change feeds.

    def replaced(self, rows) -> None:
        """Update the view with `rows`; others are kept."""
        for row in rows:
            self.changed(row)

    def changed(self, row: Row) -> None:
        """Update the view with one row."""
        try:
            if row.key.startswith(JOBS_PREFIX):
                job = decode_job(row.value)
                if row.key != job_key(job.job_id):
                    raise UnreadableRow("the row names another job")
                self.update_job(job, row.version)
            elif row.key.startswith(PROGRESS_PREFIXES):
                job_id = JobId(row.key.rsplit("/", 1)[1])
                progress = decode_progress(row.value)
                self.update_progress(job_id, progress, row.version)
        except UnreadableRow as error:
            self._log.error("row_unreadable", key=row.key, reason=str(error))

    def removed(self, key: str) -> None:
        """Remove an expired job from the view."""
        job_id = JobId(key.rsplit("/", 1)[1])
        if key.startswith(JOBS_PREFIX):
            self.job_by_id.pop(job_id, None)
            self._open.discard(job_id)
        elif key.startswith(PROGRESS_PREFIXES):
            self.progress_by_id.pop(job_id, None)

    def gap_ended(self, gap: ReadGap) -> None:
        """Do nothing: the feed resumes where it stopped."""

    # Updates and queries.

    def update_job(self, job: Job, version: int) -> None:
        """Update a job unless a version at least as new is known."""
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
        """Update progress unless a version at least as new is known."""
        known = self.progress_by_id.get(job_id)
        if known is not None and known.version >= version:
            return
        self.progress_by_id[job_id] = Versioned(progress, version)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def jobs(self) -> list[Job]:
        """Return all known jobs, open or not."""
        return [known.value for known in self.job_by_id.values()]

    def job(self, job_id: JobId) -> Job | None:
        """Return the job, or None if it isn't known."""
        known = self.job_by_id.get(job_id)
        return known.value if known else None

    def progress(self, job: Job) -> Progress:
        """Return the job's newest known progress."""
        known = self.progress_by_id.get(job.job_id)
        return known.value if known else Progress(job.accepted_by)

    def open_jobs(self) -> list[Job]:
        """Return the known open jobs."""
        return [self.job_by_id[job_id].value for job_id in self._open]

    def is_open(self, job_id: JobId) -> bool:
        """Tell whether the job is known to be open."""
        return job_id in self._open

    def finished_tokens(self, route: str, workspace: WorkspaceId) -> int:
        """Return the tokens of listed items in a workspace's open jobs."""
        total = 0
        for job in self.open_jobs():
            if job.route == route and job.workspace == workspace:
                total += sum(
                    job.items[listed.index].tokens
                    for listed in self.progress(job).listed
                    # A row of another writer may list items of no job.
                    if listed.index < len(job.items)
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
