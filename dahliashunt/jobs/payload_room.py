"""Memory for the payloads of the jobs that a node runs.

A node keeps the requests of a job's items until the job has ended. Jobs of
the largest size would fill the memory of a small instance, so that a large
one waits while others run. A job has the share of what is left that a
connection has of callers' memory, so that large ones leave room for a small
one.
"""

from dahliashunt.decisions.client_memory import is_within_share
from dahliashunt.ids import JobId

__all__ = ["PayloadRoom"]


class PayloadRoom:
    """Bytes of payloads by job, and the bound of their sum.

    Parameters
    ----------
    max_bytes : int

    Attributes
    ----------
    held_bytes : int

    Examples
    --------
    >>> room = PayloadRoom(max_bytes=100)
    >>> room.take("large", 60), room.take("other", 60), room.take("small", 9)
    (True, False, True)
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._size_by_job: dict[JobId, int] = {}
        self.held_bytes = 0

    def fits(self, size: int) -> bool:
        """Return whether a job of `size` bytes may be held now.

        One that is too large beside any other may be held alone.
        """
        free_bytes = self._max_bytes - self.held_bytes - size
        return not self._size_by_job or is_within_share(size, free_bytes)

    def take(self, job_id: JobId, size: int) -> bool:
        """Hold a job's payload if it fits; return whether it is held."""
        self.release(job_id)
        if not self.fits(size):
            return False
        self._size_by_job[job_id] = size
        self.held_bytes += size
        return True

    def release(self, job_id: JobId) -> None:
        """Hold a job's payload no longer."""
        self.held_bytes -= self._size_by_job.pop(job_id, 0)
