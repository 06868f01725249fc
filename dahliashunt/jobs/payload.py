"""The port through which a job's submitted form is read."""

from typing import Protocol

from dahliashunt.forwarding.call import Call
from dahliashunt.jobs.model import Job

__all__ = ["PayloadReader"]


class PayloadReader(Protocol):
    """Reads the items' requests out of a job's payload."""

    def calls(self, job: Job, payload: bytes) -> list[Call]:
        """Return the items' calls, in the job's order.

        They run in the name of the job's workspace, whoever reads it.
        """
