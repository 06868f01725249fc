"""The platform's object store."""

from typing import Protocol

__all__ = ["ObjectStore"]


class ObjectStore(Protocol):
    """Whole objects of bytes by name; names are never written twice.

    Calls raise `PlatformUnavailable`, and `put` and `delete` also
    `WriteOutcomeUnknown`. A put of an unused name may safely be repeated.
    """

    async def put(self, name: str, data: bytes) -> None:
        """Store `data` under `name`."""

    async def get(self, name: str) -> bytes | None:
        """Return the object named `name`, or None."""

    async def delete(self, name: str) -> None:
        """Delete the object named `name`, if there is one."""
