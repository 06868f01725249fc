"""The port through which a job's submitted form is read."""

from typing import Protocol

from dahliashunt.forwarding.call import Call

__all__ = ["PayloadReader"]


class PayloadReader(Protocol):
    """Reads the items' requests out of a job's payload."""

    def calls(self, host: str, payload: bytes) -> list[Call]:
        """Return the items' calls, in the job's order."""
