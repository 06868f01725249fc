"""Protocols of the replicas' dialect and of the response's receiver."""

from typing import Protocol

from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.replicas import Replica

__all__ = ["ReplicaDialect", "ResponseSink"]


class ReplicaDialect(Protocol):
    """Encodes requests to replicas and interprets their responses."""

    def request(
        self, call: Call, replica: Replica, left_ms: int, after_event: int
    ) -> bytes:
        """Return the request bytes of `call` for `replica`."""

    def answers(self, call: Call, head: ResponseHead) -> bool:
        """Return whether `head` is a response to `call`."""

    def proves_not_run(self, head: ResponseHead) -> bool:
        """Return whether the replica reports that it did not run the call."""

    def names_request(self, head: ResponseHead) -> bool:
        """Return whether the response names the request that it is for."""

    def is_from_replica(self, head: ResponseHead) -> bool:
        """Return whether a replica has made the response."""

    def unsigned_headers(self, head: ResponseHead) -> list[tuple[str, str]]:
        """Return the headers to pass on with another status."""

    def relayed_headers(self, head: ResponseHead) -> list[tuple[str, str]]:
        """Return the headers that are relayed to the caller."""


class ResponseSink(Protocol):
    """Receives one response for a caller, in order."""

    async def start(
        self, status: int, headers: list[tuple[str, str]], length: int | None
    ) -> None:
        """Send status and headers; `length` is None for a stream."""

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""

    async def end(self) -> None:
        """Mark the body as complete."""
