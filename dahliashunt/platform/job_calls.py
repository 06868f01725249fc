"""Calls about batch jobs."""

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError

__all__ = ["JobCalls"]


class JobCalls:
    """Refuses batch jobs: this node keeps none yet."""

    def parse(self, method, path, query, headers):
        """Return None: no call is about a job."""

    async def submit(self, route, headers, body, exchange):
        """Refuse a job."""
        raise RequestError(ErrorKind.OVERLOADED, "batch jobs are not kept")
