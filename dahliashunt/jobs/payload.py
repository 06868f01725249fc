"""Port for decoding the payload of a job."""

from typing import Protocol

from dahliashunt.forwarding.call import Call
from dahliashunt.jobs.model import Job

__all__ = ["PayloadReader"]


class PayloadReader(Protocol):
    """Decodes the items' requests from a job's payload."""

    def calls(self, job: Job, payload: bytes) -> list[Call]:
        """Return the items' calls in the job's order.

        The calls have the job's workspace.
        """
