"""Keys of the jobs' rows."""

import hashlib

from dahliashunt.ids import JobId
from dahliashunt.ids import WorkspaceId

__all__ = [
    "JOBS_PREFIX",
    "PROGRESS_PREFIXES",
    "job_key",
    "partial_index",
    "partial_key",
    "partials_range",
    "progress_key",
    "quota_key",
    "result_key",
    "results_range",
    "shard_of",
]

SHARDS = 8
"""Parts that progress and results are spread over. A part takes 150
transactions a second on the platforms known; eight carry 12 million items
a day (139 a second) eight times over, and a restart reads eight pages."""

JOBS_PREFIX = "jobs//"
PROGRESS_PREFIXES = tuple(f"progress/{n}/" for n in range(SHARDS))


def shard_of(job_id: JobId) -> int:
    """Return the part that `job_id` is in."""
    digest = hashlib.blake2b(job_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest) % SHARDS


def job_key(job_id: JobId) -> str:
    """Return the key of the job's row."""
    return f"{JOBS_PREFIX}{job_id}"


def quota_key(route: str, workspace: WorkspaceId) -> str:
    """Return the key of the count of tokens that wait on a route.

    Of one workspace, or of all callers together where there are none. Names
    are digested: together they may be longer than a key.
    """
    if not workspace:
        return f"quotas//{route}"
    both = f"{route}\0{workspace}".encode()
    digest = hashlib.blake2b(both, digest_size=16).hexdigest()
    return f"quotas//of-workspace/{digest}"


def progress_key(job_id: JobId) -> str:
    """Return the key of the job's progress."""
    return f"progress/{shard_of(job_id)}/{job_id}"


def result_key(job_id: JobId, position: int, piece: int) -> str:
    """Return the key of one piece of a result's text."""
    shard = shard_of(job_id)
    return f"results/{shard}/{job_id}/{position:05d}/{piece:03d}"


def results_range(job_id: JobId, first: int, last: int) -> tuple[str, str]:
    """Return where rows of positions `first` to `last` - 1 lie."""
    prefix = f"results/{shard_of(job_id)}/{job_id}"
    return f"{prefix}/{first:05d}", f"{prefix}/{last:05d}"


def partial_key(job_id: JobId, index: int) -> str:
    """Return the key of an unfinished item's text."""
    return f"partials/{shard_of(job_id)}/{job_id}/{index:05d}"


def partial_index(key: str) -> int:
    """Return the item's index in a key of `partial_key`."""
    return int(key.rsplit("/", 1)[1])


def partials_range(job_id: JobId) -> tuple[str, str]:
    """Return where a job's unfinished texts lie."""
    prefix = f"partials/{shard_of(job_id)}/{job_id}"
    return f"{prefix}/", f"{prefix}0"
