"""Messages to the entry's core task from its other tasks."""

from dataclasses import dataclass

from dahliashunt.entry.agent_link import AgentLink
from dahliashunt.entry.calls import BatchCall
from dahliashunt.entry.calls import OnlineCall
from dahliashunt.ids import EndpointId

__all__ = [
    "Arrive",
    "BatchGone",
    "CallerGone",
    "CaughtUp",
    "DrainsChanged",
    "LinkDropped",
    "ListedLeaving",
    "SendItem",
]


@dataclass(frozen=True, slots=True)
class Arrive:
    """An online request has arrived."""

    call: OnlineCall


@dataclass(frozen=True, slots=True)
class CallerGone:
    """Nobody waits for the answer any more."""

    call: OnlineCall


@dataclass(frozen=True, slots=True)
class CaughtUp:
    """A slow caller has taken what was passed on."""

    call: OnlineCall


@dataclass(frozen=True, slots=True)
class SendItem:
    """A batch item is to be run."""

    call: BatchCall


@dataclass(frozen=True, slots=True)
class BatchGone:
    """A batch item is to be stopped."""

    call: BatchCall


@dataclass(frozen=True, slots=True)
class LinkDropped:
    """An agent is no longer listed; its link was stopped."""

    link: AgentLink


@dataclass(frozen=True, slots=True)
class ListedLeaving:
    """The instance list calls these endpoints leaving, and no others."""

    leaving: frozenset[EndpointId]


@dataclass(frozen=True, slots=True)
class DrainsChanged:
    """The records in force drain these endpoints, and no others."""

    drained: frozenset[EndpointId]
