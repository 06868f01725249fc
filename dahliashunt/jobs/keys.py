"""Keys of the table rows of jobs."""

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
"""Number of table partitions that progress, results and partial texts are
spread over; each has its own limit of transactions per second."""

JOBS_PREFIX = "jobs//"
PROGRESS_PREFIXES = tuple(f"progress/{n}/" for n in range(SHARDS))


def shard_of(job_id: JobId) -> int:
    """Return the shard of `job_id`."""
    digest = hashlib.blake2b(job_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest) % SHARDS


def job_key(job_id: JobId) -> str:
    """Return the key of the job's row."""
    return f"{JOBS_PREFIX}{job_id}"


def quota_key(route: str, workspace: WorkspaceId) -> str:
    """Return the key of the count of waiting tokens on a route.

    It counts one workspace, or all callers if `workspace` is empty. The
    names are hashed, since together they may exceed the length of a key.
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
    """Return the key range of positions `first` to `last` - 1."""
    prefix = f"results/{shard_of(job_id)}/{job_id}"
    return f"{prefix}/{first:05d}", f"{prefix}/{last:05d}"


def partial_key(job_id: JobId, index: int) -> str:
    """Return the key of an unfinished item's text."""
    return f"partials/{shard_of(job_id)}/{job_id}/{index:05d}"


def partial_index(key: str) -> int:
    """Return the item's index from a key made by `partial_key`."""
    return int(key.rsplit("/", 1)[1])


def partials_range(job_id: JobId) -> tuple[str, str]:
    """Return the key range of a job's partial texts."""
    prefix = f"partials/{shard_of(job_id)}/{job_id}"
    return f"{prefix}/", f"{prefix}0"
