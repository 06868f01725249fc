"""A replica as one entry sees it, for operators and their tools."""

from dataclasses import dataclass
import enum

__all__ = ["ReplicaState", "ReplicaView"]


class ReplicaState(enum.Enum):
    """State that decides a replica's order of preference."""

    USABLE = "usable"
    ABSENT = "absent, says its agent"
    SUSPECTED = "suspected"
    AGENT_SILENT = "its agent is silent"
    COLD = "just started"
    UNHEARD = "not heard of yet"


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """State of one replica as known to an entry.

    Attributes
    ----------
    replica, data_centre : str
    partner : bool
        Whether it is a partner of the entry, which is asked first.
    state : ReplicaState
    slots : int
    own : int
        Requests of this entry at the replica.
    age_ms : int or None
        Age of the load its agent reported; None without a report.
    free, batch : int
        Idle slots, and slots held by batch items.
    wait_ms : int
        Expected wait of another online request.
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
        """Return the view as a JSON object."""
        found = {name: getattr(self, name) for name in self.__slots__}
        return {**found, "state": self.state.value}
