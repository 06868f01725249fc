"""What the batch part asks of the decision on the order of items."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from dahliashunt.ids import CallerId
from dahliashunt.ids import JobId
from dahliashunt.ids import ModelId

__all__ = ["Grant", "JobDemand", "JobOrder"]


@dataclass(frozen=True, slots=True)
class JobDemand:
    """What the order needs to know of a job.

    Attributes
    ----------
    items_left : int
        Items that this node could start, now or after loading them.
    deadline_ms : int
        Monotonic time of this process.
    """

    job_id: JobId
    caller: CallerId
    model: ModelId
    items_left: int
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Grant:
    """Start that many items of the job now."""

    job_id: JobId
    items: int


class JobOrder(Protocol):
    """Chooses whose items start when there is room."""

    def job(self, now: int, shape: JobDemand) -> None:
        """Take note of a job, or of how it has changed."""

    def remove_job(self, job_id: JobId) -> None:
        """Forget a job."""

    def choose(
        self, now: int, room_by_model: dict[ModelId, int]
    ) -> Iterable[Grant]:
        """Return whose items to start in the room there is."""

    def item_failed(self, now: int, job_id: JobId) -> None:
        """Take note that a try of one of the job's items failed."""
