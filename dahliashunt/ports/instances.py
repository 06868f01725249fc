"""The platform's lagging list of live and leaving instances."""

from dataclasses import dataclass
import enum
from typing import Protocol

from dahliashunt.ids import DataCentreId
from dahliashunt.ids import EndpointId
from dahliashunt.ids import InstanceId

__all__ = ["Instance", "InstanceKind", "InstanceList", "InstanceState"]


class InstanceKind(enum.Enum):
    """What an instance runs."""

    ENTRY = "entry"
    AGENT = "agent"


class InstanceState(enum.Enum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """One line of the instance list.

    Attributes
    ----------
    instance_id : InstanceId
    kind : InstanceKind
    state : InstanceState
    host, port
        Where its process of the system listens for links.
    data_centre : DataCentreId
    endpoint_id : EndpointId or None
        Of an agent: the endpoint it stands beside.
    """

    instance_id: InstanceId
    kind: InstanceKind
    state: InstanceState
    host: str
    port: int
    data_centre: DataCentreId
    endpoint_id: EndpointId | None = None


class InstanceList(Protocol):
    """Reads the list. It lags by seconds and proves nothing about life."""

    async def read(self) -> tuple[Instance, ...]:
        """Return all listed instances, or raise `PlatformUnavailable`."""
