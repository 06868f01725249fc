"""How a process divides its memory and its descriptors among clients' uses."""

from dataclasses import dataclass
import resource

__all__ = ["SIDE_BYTES", "SIDE_CONNECTIONS", "ProcessShares"]

OWN_DESCRIPTORS = 56
"""Listeners, the event loop, the UDP socket, the feeds of the store, and
connections that were taken or closed in this turn of the event loop."""

SIDE_CONNECTIONS = 16
"""Most connections to a listener for readiness or metrics."""

SIDE_BYTES = 4_000_000
"""Most bytes held for the connections of such a listener."""

MIN_DESCRIPTORS = 20
"""Descriptors for clients' uses however few a process has."""

HELD_PART = 0.25
"""Part of the memory for what callers have sent and for jobs' payloads. A
process takes some 45 MB before it serves, and parsing a job's longest body
or reading two payloads some 20 MB at once."""

UNREAD_PART = 0.125
"""Part of the memory for responses that callers have not read yet."""

TEXT_PART = 0.0625
"""Part of the memory for the texts of running items."""

PAYLOAD_PART = 0.125
"""Part of the memory for the payloads of jobs in progress, which count among
what is held as well."""


@dataclass(frozen=True, slots=True)
class ProcessShares:
    """Bounds of what clients can make a process hold.

    Attributes
    ----------
    caller_connections, replica_connections, store_connections : int
    held_bytes, unread_bytes, text_bytes, payload_bytes : int
    """

    caller_connections: int
    replica_connections: int
    store_connections: int
    held_bytes: int
    unread_bytes: int
    text_bytes: int
    payload_bytes: int

    @classmethod
    def of(
        cls, memory_bytes: int, descriptors: int, reserved: int = 0
    ) -> "ProcessShares":
        """Return the shares of a process with these limits.

        Parameters
        ----------
        memory_bytes, descriptors : int
            The system's own limit of open files counts if it is lower.
        reserved : int
            Descriptors for other uses than clients'.
        """
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft != resource.RLIM_INFINITY:
            descriptors = min(descriptors, soft)
        own = reserved + OWN_DESCRIPTORS + 2 * SIDE_CONNECTIONS
        usable = max(MIN_DESCRIPTORS, descriptors - own)
        return cls(
            caller_connections=usable // 2,
            replica_connections=usable * 2 // 5,
            store_connections=usable // 10,
            held_bytes=int(memory_bytes * HELD_PART),
            unread_bytes=int(memory_bytes * UNREAD_PART),
            text_bytes=int(memory_bytes * TEXT_PART),
            payload_bytes=int(memory_bytes * PAYLOAD_PART),
        )
