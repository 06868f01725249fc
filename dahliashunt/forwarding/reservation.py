"""What a place at a replica is wanted for, and what is held there."""

from dataclasses import dataclass

from dahliashunt.decisions.slot_messages import Use
from dahliashunt.forwarding.replicas import Replica

__all__ = ["Reservation", "SlotRequirements"]


@dataclass(frozen=True, slots=True)
class SlotRequirements:
    """What a place is wanted for.

    Attributes
    ----------
    service : str
    use : Use
    affinity : str
        Names the deepest shared part of the prompt; empty for none.
    wait_ms : int
        How long the request may wait for a slot.
    slack_ms : int
        Of a batch item: time until it is due. Of an online request: how
        long it may wait and still be in time, 0 if it can't be.
    avoid : frozenset
        Lives of replicas that were tried.
    on_revoke : callable
        Called when a granted slot is taken back.
    rank : int
        0 is the most urgent.
    """

    service: str
    use: Use
    affinity: str
    wait_ms: int
    slack_ms: int
    avoid: frozenset
    on_revoke: object
    rank: int = 0


class Reservation:
    """A replica to send to, and what is held there until `release`."""

    __slots__ = ("_release", "attempt_id", "replica")

    def __init__(self, replica: Replica, attempt_id: str, release):
        self.replica = replica
        self.attempt_id = attempt_id
        self._release = release

    def release(self) -> None:
        """Give back what is held; a second call does nothing."""
        release, self._release = self._release, None
        if release is not None:
            release()
