"""Files, batches and errors as the OpenAI clients read them."""

from dahliashunt.batch.files import FileRecord
from dahliashunt.batch.front import JobView
from dahliashunt.batch.job import JobRecord
from dahliashunt.batch.job import JobState
from dahliashunt.batch.results import ResultKind
from dahliashunt.ids import JobId

__all__ = [
    "batch_object",
    "file_object",
    "page_object",
    "parse_result_id",
    "result_file_object",
    "result_id",
]

_MS = 1000
_PREFIX_BY_KIND = {
    ResultKind.OUTPUT: "file-output-",
    ResultKind.ERROR: "file-error-",
}
_STATUS_BY_STATE = {
    JobState.IN_PROGRESS: "in_progress",
    JobState.CANCELLING: "cancelling",
    JobState.EXPIRING: "finalizing",
    JobState.COMPLETED: "completed",
    JobState.CANCELLED: "cancelled",
    JobState.EXPIRED: "expired",
}


def result_id(job_id: JobId, kind: ResultKind) -> str:
    """Return the id of the file of a job's committed lines."""
    return _PREFIX_BY_KIND[kind] + job_id


def parse_result_id(file_id: str) -> tuple[JobId, ResultKind] | None:
    """Return whose lines a file id names, or None for an uploaded file.

    Examples
    --------
    >>> parse_result_id("file-error-batch_1")
    ('batch_1', <ResultKind.ERROR: 'error'>)
    """
    for kind, prefix in _PREFIX_BY_KIND.items():
        if file_id.startswith(prefix):
            return JobId(file_id.removeprefix(prefix)), kind
    return None


def file_object(record: FileRecord) -> dict:
    """Return an uploaded file as a File object."""
    return {
        "id": record.file_id,
        "object": "file",
        "bytes": record.size,
        "created_at": record.created_ms // _MS,
        "filename": record.name,
        "purpose": record.purpose,
        "status": "processed",
    }


def result_file_object(job: JobRecord, kind: ResultKind, size: int) -> dict:
    """Return a job's committed lines as a File object."""
    return {
        "id": result_id(job.job_id, kind),
        "object": "file",
        "bytes": size,
        "created_at": (job.ended_ms or job.created_ms) // _MS,
        "filename": f"{job.job_id}_{kind.value}.jsonl",
        "purpose": "batch_output",
        "status": "processed",
    }


def batch_object(view: JobView, overrun_ms: int) -> dict:
    """Return a job as a Batch object."""
    job, counts = view.job, view.counts
    fields = {
        "id": job.job_id,
        "object": "batch",
        "endpoint": job.endpoint,
        "model": job.model,
        "input_file_id": job.file_id,
        "completion_window": job.window,
        "status": _status(view),
        "output_file_id": None,
        "error_file_id": None,
        "created_at": job.created_ms // _MS,
        "in_progress_at": job.created_ms // _MS,
        "expires_at": (job.deadline_ms + overrun_ms) // _MS,
        "request_counts": {
            "total": counts.total,
            "completed": counts.completed,
            "failed": counts.failed,
        },
        "metadata": job.metadata or None,
    }
    if counts.completed:
        fields["output_file_id"] = result_id(job.job_id, ResultKind.OUTPUT)
    if counts.failed:
        fields["error_file_id"] = result_id(job.job_id, ResultKind.ERROR)
    if job.state in (JobState.CANCELLING, JobState.CANCELLED):
        fields["cancelling_at"] = job.stopped_ms // _MS
    if job.terminal:
        fields[f"{job.state.value}_at"] = job.ended_ms // _MS
    return fields


def page_object(data: list[dict], limit: int) -> dict:
    """Return a list object; `data` holds one more than `limit` if any."""
    page = data[:limit]
    return {
        "object": "list",
        "data": page,
        "first_id": page[0]["id"] if page else None,
        "last_id": page[-1]["id"] if page else None,
        "has_more": len(data) > limit,
    }


def _status(view):
    job, counts = view.job, view.counts
    if job.live and counts.answered == counts.total:
        return "finalizing"
    return _STATUS_BY_STATE[job.state]
