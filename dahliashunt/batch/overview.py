"""Jobs that are not at their end, over all callers, for operators."""

from dahliashunt.batch.front import JobView
from dahliashunt.batch.lease import Claim
from dahliashunt.batch.rows import CLAIMS
from dahliashunt.batch.rows import prefix_end
from dahliashunt.batch.steps import count
from dahliashunt.batch.steps import read_all
from dahliashunt.batch.steps import read_job
from dahliashunt.ports.table import TableService

__all__ = ["unfinished"]


async def unfinished(table: TableService, limit: int) -> list[JobView]:
    """Return unfinished jobs, oldest id first, at most `limit`.

    Notes
    -----
    Claims of a job exist until it has ended, so their range is the list of
    unfinished jobs; it costs a read a page and two reads a job.
    """
    job_ids = set()
    async for row in read_all(table, CLAIMS, prefix_end(CLAIMS)):
        job_ids.add(Claim.from_row(row).job_id)
        if len(job_ids) >= limit:
            break
    views = []
    for job_id in sorted(job_ids):
        job = await read_job(table, job_id)
        if job is not None and not job.terminal:
            views.append(JobView(job, await count(table, job)))
    return views
