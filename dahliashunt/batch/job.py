"""A job's row: what was accepted, its state, and how it ends."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import enum
import hashlib

from dahliashunt.batch.rows import encode
from dahliashunt.batch.rows import job_key
from dahliashunt.batch.rows import known_fields
from dahliashunt.ids import CallerId
from dahliashunt.ids import JobId
from dahliashunt.ids import ModelId
from dahliashunt.ids import Revision
from dahliashunt.ports.table import Row

__all__ = [
    "JobCounts",
    "JobRecord",
    "JobState",
    "derive_job_id",
    "ended",
    "group_bounds",
    "groups",
    "stopping",
]


class JobState(enum.Enum):
    """Where a job stands; only ``IN_PROGRESS`` lets commits through."""

    IN_PROGRESS = "in_progress"
    CANCELLING = "cancelling"
    EXPIRING = "expiring"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


_END_BY_STATE = {
    JobState.IN_PROGRESS: JobState.COMPLETED,
    JobState.CANCELLING: JobState.CANCELLED,
    JobState.EXPIRING: JobState.EXPIRED,
}


@dataclass(frozen=True, slots=True)
class JobCounts:
    """Items of a job by how they stand."""

    total: int
    completed: int = 0
    failed: int = 0

    @property
    def answered(self) -> int:
        """Items with a committed line, of either file."""
        return self.completed + self.failed


@dataclass(frozen=True, slots=True)
class JobRecord:
    """One job as accepted.

    The row changes only when the job's state does. Its version is
    therefore what a commit checks to know that the job is still live.

    Attributes
    ----------
    digest : str
        Of what was asked, so that a key used for another job shows.
    objects : str
        Name prefix of the input chunks.
    lines : tuple of int
        Lines by chunk.
    created_ms, deadline_ms, stopped_ms, ended_ms : int
        Wall time; 0 where it has not happened.
    revision : Revision
        Of the records that the job was accepted with; 0 in rows of earlier
        releases.
    version : int
        Of the row; 0 before it is written.
    """

    job_id: JobId
    caller: CallerId
    digest: str
    file_id: str
    objects: str
    endpoint: str
    model: ModelId
    window: str
    metadata: dict[str, str] = field(hash=False)
    lines: tuple[int, ...]
    group_chunks: int
    created_ms: int
    deadline_ms: int
    state: JobState = JobState.IN_PROGRESS
    stopped_ms: int = 0
    ended_ms: int = 0
    completed: int = 0
    failed: int = 0
    revision: Revision = Revision(0)
    version: int = 0

    @property
    def live(self) -> bool:
        """Whether items may still complete."""
        return self.state is JobState.IN_PROGRESS

    @property
    def terminal(self) -> bool:
        """Whether the job has ended for good."""
        return self.state not in _END_BY_STATE

    @property
    def total(self) -> int:
        """Number of items."""
        return sum(self.lines)

    @property
    def key(self) -> str:
        """Key of the row."""
        return job_key(self.job_id)

    def to_value(self) -> str:
        """Return the row's value."""
        fields = {
            name: getattr(self, name)
            for name in self.__slots__
            if name != "version"
        }
        fields["state"] = self.state.value
        return encode(fields)

    @classmethod
    def from_row(cls, row: Row) -> "JobRecord":
        """Return the job of a row."""
        fields = known_fields(cls, row.value)
        fields["state"] = JobState(fields["state"])
        fields["lines"] = tuple(fields["lines"])
        return cls(**fields, version=row.version)


def derive_job_id(caller: CallerId, key: str) -> JobId:
    """Return the job id of a caller's job key.

    A resend, at whichever entry, therefore names the same row, and the
    row's absence is the condition of acceptance.
    """
    text = f"{len(caller)}:{caller}{key}"
    return JobId("batch_" + hashlib.sha256(text.encode()).hexdigest()[:32])


def groups(job: JobRecord) -> int:
    """Return how many claims share the job's chunks."""
    return max(1, -(-len(job.lines) // job.group_chunks))


def group_bounds(job: JobRecord, group: int) -> tuple[int, int]:
    """Return the first chunk of a group, and the first after it."""
    first = group * job.group_chunks
    return first, min(first + job.group_chunks, len(job.lines))


def stopping(job: JobRecord, state: JobState, wall_ms: int) -> JobRecord:
    """Return `job` being cancelled or expired; it must be live."""
    if not job.live:
        raise ValueError(f"job {job.job_id} is {job.state.value}")
    return replace(job, state=state, stopped_ms=wall_ms)


def ended(job: JobRecord, counts: JobCounts, wall_ms: int) -> JobRecord:
    """Return `job` in the terminal state that follows its own.

    An expired job's unanswered items count as failed: readers get an
    error line for each of them.
    """
    end = _END_BY_STATE[job.state]
    failed = counts.failed
    if end is JobState.EXPIRED:
        failed = counts.total - counts.completed
    return replace(
        job,
        state=end,
        ended_ms=wall_ms,
        completed=counts.completed,
        failed=failed,
    )
