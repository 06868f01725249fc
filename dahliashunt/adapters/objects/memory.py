"""In-memory object store for unit tests."""

from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import WriteOutcomeUnknown

__all__ = ["MemoryObjectStore"]


class MemoryObjectStore:
    """In-memory `ObjectStore` with fault injection.

    Attributes
    ----------
    outage : bool
        Whether every call raises `PlatformUnavailable`.
    drop_answers : int
        Number of writes that take effect and then raise
        `WriteOutcomeUnknown`.
    """

    def __init__(self):
        self.by_name: dict[str, bytes] = {}
        self.outage = False
        self.drop_answers = 0

    async def put(self, name: str, data: bytes) -> None:
        """Store `data` under `name`."""
        self._check_outage()
        self.by_name[name] = bytes(data)
        self._lose_answer()

    async def get(self, name: str) -> bytes | None:
        """Return the object named `name`, or None."""
        self._check_outage()
        return self.by_name.get(name)

    async def delete(self, name: str) -> None:
        """Delete the object named `name`, if there is one."""
        self._check_outage()
        self.by_name.pop(name, None)
        self._lose_answer()

    def _check_outage(self):
        if self.outage:
            raise PlatformUnavailable("injected outage of the object store")

    def _lose_answer(self):
        if self.drop_answers > 0:
            self.drop_answers -= 1
            raise WriteOutcomeUnknown("injected loss of the response")
