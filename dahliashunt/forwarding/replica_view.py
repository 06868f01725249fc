"""A replica as one entry sees it, for people and their programs."""

from dataclasses import dataclass
import enum

__all__ = ["ReplicaState", "ReplicaView"]


class ReplicaState(enum.Enum):
    """Why a replica is asked first, or not."""

    USABLE = "usable"
    ABSENT = "absent, says its agent"
    SUSPECTED = "suspected"
    AGENT_SILENT = "its agent is silent"
    COLD = "just started"
    UNHEARD = "not heard of yet"


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """What an entry knows of one replica.

    Attributes
    ----------
    replica, data_centre : str
    partner : bool
        It is asked first, and its agent is heard.
    state : ReplicaState
    slots : int
    own : int
        Requests that this entry has there.
    age_ms : int or None
        Of what its agent said; None if it said nothing.
    free, batch : int
        Slots that are idle, and that batch items hold.
    wait_ms : int
        Expected wait of one more online request.
    """

    replica: str
    data_centre: str
    partner: bool
    state: ReplicaState
    slots: int
    own: int
    age_ms: int | None
    free: int
    batch: int
    wait_ms: int

    def fields(self) -> dict:
        """Return the view as JSON takes it."""
        found = {name: getattr(self, name) for name in self.__slots__}
        return {**found, "state": self.state.value}
