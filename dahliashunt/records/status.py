"""What the operators' pages show of the fleet, as typed data."""

from dataclasses import dataclass

from dahliashunt.ids import CallerId
from dahliashunt.ids import DataCentreId
from dahliashunt.ids import EndpointId
from dahliashunt.ids import JobId
from dahliashunt.ids import NodeId
from dahliashunt.ids import Revision

__all__ = [
    "Alert",
    "EndpointStatus",
    "JobStatus",
    "NodeStatus",
    "laggards",
    "lowest_in_force",
]


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """A node as last heard of.

    Attributes
    ----------
    role : str
        ``entry`` or ``agent``.
    not_applied : tuple of str
        Records that its program cannot apply as written.
    """

    node_id: NodeId
    role: str
    data_centre: DataCentreId
    revision: Revision
    program_version: str = ""
    leaving: bool = False
    not_applied: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """An endpoint as its agent reports it; `models` are what is loaded."""

    endpoint_id: EndpointId
    data_centre: DataCentreId
    state: str
    models: tuple[str, ...] = ()
    wanted: tuple[str, ...] = ()
    running_online: int = 0
    running_batch: int = 0


@dataclass(frozen=True, slots=True)
class JobStatus:
    """A batch job that is not at its end."""

    job_id: JobId
    caller: CallerId
    model: str
    state: str
    completed: int
    failed: int
    total: int
    due_wall_ms: int


@dataclass(frozen=True, slots=True)
class Alert:
    """Something that an operator should look at."""

    name: str
    severity: str
    text: str


def lowest_in_force(nodes: tuple[NodeStatus, ...]) -> Revision | None:
    """Return the lowest revision on any node; None without nodes."""
    return min((node.revision for node in nodes), default=None)


def laggards(
    nodes: tuple[NodeStatus, ...], head: Revision
) -> tuple[NodeStatus, ...]:
    """Return the nodes below `head`, the furthest behind first."""
    behind = [node for node in nodes if node.revision < head]
    return tuple(sorted(behind, key=lambda n: (n.revision, n.node_id)))
