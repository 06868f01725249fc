"""Agents that keep the notes of a stream."""

from collections.abc import Callable

from dahliashunt.decisions.hash_ring import HashRing
from dahliashunt.forwarding.replicas import ReplicaRegistry

__all__ = ["AgentRing"]


class AgentRing:
    """Hash ring over the hosts of all listed replicas with agents.

    Leaving replicas are included: their agents run until the hosts stop.

    Parameters
    ----------
    registry : ReplicaRegistry
    has_agents : callable
        Given a service's name, returns whether its replicas have agents.
    """

    def __init__(
        self, registry: ReplicaRegistry, has_agents: Callable[[str], bool]
    ):
        self._registry = registry
        self._has_agents = has_agents
        self._seen = None
        self._ring = HashRing()

    def owners(self, key: int, count: int) -> tuple[str, ...]:
        """Return up to `count` hosts for `key`, the preferred one first."""
        services = frozenset(
            filter(self._has_agents, self._registry.services())
        )
        seen = (self._registry.changes, services)
        if seen != self._seen:
            self._seen = seen
            hosts = {
                replica.host
                for replica in self._registry.all()
                if replica.service in services
            }
            if hosts != self._ring.hosts:
                self._ring = HashRing(hosts)
        return self._ring.owners(key, count)
