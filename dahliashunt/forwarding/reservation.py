"""Reservations of a replica for a request."""

from dataclasses import dataclass

from dahliashunt.decisions.slot_messages import Use
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.ids import SoftwareVersion

__all__ = ["Reservation", "SlotRequirements"]


@dataclass(frozen=True, slots=True)
class SlotRequirements:
    """Requirements of a reservation.

    Attributes
    ----------
    service : str
    use : Use
    affinity : str
        Id of the deepest shared part of the prompt; empty for none.
    wait_ms : int
        Longest wait for a slot.
    slack_ms : int
        Time until a batch item is due, or longest wait with which an online
        request meets its objective; 0 if it can't.
    avoid : frozenset
        Incarnations of replicas that were tried.
    on_revoke : callable
        Called when a granted slot is revoked.
    rank : int
        0 is the most urgent.
    version : SoftwareVersion or None
        Software version that must serve; None for any. An empty one is
        unknown, so that no replica is known to have it.
    workspace : int
        Digest of the workspace's name; 0 for none.
    prompt_tokens, output_tokens : int
        Length of the prompt and stated maximum of the output; 0 if unknown.
    shared_parts : tuple of pairs
        Id and tokens of the prompt's shared parts, in order.
    run_ms : int
        Expected remaining run of a batch item; 0 if unknown.
    """

    service: str
    use: Use
    affinity: str
    wait_ms: int
    slack_ms: int
    avoid: frozenset
    on_revoke: object
    rank: int = 0
    version: SoftwareVersion | None = None
    workspace: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_parts: tuple[tuple[str, int], ...] = ()
    run_ms: int = 0

    @property
    def tokens(self) -> int:
        """Memory that the request may take; 0 if unknown."""
        return self.prompt_tokens + self.output_tokens

    def admits(self, replica: Replica) -> bool:
        """Return whether `replica` is untried and of a fitting version."""
        if replica.incarnation in self.avoid:
            return False
        if self.version is None:
            return True
        return bool(self.version) and replica.version == self.version


class Reservation:
    """A replica to send to and the slot held there until `release`."""

    __slots__ = ("_release", "attempt_id", "replica")

    def __init__(self, replica: Replica, attempt_id: str, release):
        self.replica = replica
        self.attempt_id = attempt_id
        self._release = release

    def release(self) -> None:
        """Release the slot; further calls do nothing."""
        release, self._release = self._release, None
        if release is not None:
            release()
