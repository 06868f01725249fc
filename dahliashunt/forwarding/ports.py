"""What forwarding needs of the replicas' dialect and of the answer's way."""

from typing import Protocol

from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.replicas import Replica

__all__ = ["ReplicaDialect", "ResponseSink"]


class ReplicaDialect(Protocol):
    """How replicas are spoken to."""

    def request(
        self, call: Call, replica: Replica, left_ms: int, after_event: int
    ) -> bytes:
        """Return the bytes of `call` towards `replica`."""

    def answers(self, call: Call, head: ResponseHead) -> bool:
        """Tell whether `head` belongs to `call`."""

    def proves_not_run(self, head: ResponseHead) -> bool:
        """Tell whether the replica says that it did not run the call."""

    def is_signed(self, head: ResponseHead) -> bool:
        """Tell whether the answer bears its replica's signature."""

    def relayed_headers(self, head: ResponseHead) -> list[tuple[str, str]]:
        """Return the headers that go on to the caller."""


class ResponseSink(Protocol):
    """Takes one answer towards a caller, in order."""

    async def start(
        self, status: int, headers: list[tuple[str, str]], length: int | None
    ) -> None:
        """Send status and headers; `length` is None for a stream."""

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""

    async def end(self) -> None:
        """Mark the body as whole."""
