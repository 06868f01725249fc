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
        self._changes: int | None = None
        self._listed: set[str] = set()
        self._services: frozenset[str] = frozenset()
        self._ring = HashRing()

    def owners(self, key: int, count: int) -> tuple[str, ...]:
        """Return up to `count` hosts for `key`, the preferred one first."""
        self._refresh()
        return self._ring.owners(key, count)

    def _refresh(self):
        """Update the ring if the list or the configuration changed."""
        has_changed = self._registry.changes != self._changes
        if has_changed:
            self._changes = self._registry.changes
            self._listed = self._registry.services()
        services = frozenset(filter(self._has_agents, self._listed))
        if not has_changed and services == self._services:
            return
        self._services = services
        hosts = {
            replica.host
            for replica in self._registry.all()
            if replica.service in services
        }
        if hosts != self._ring.hosts:
            self._ring.update(hosts)
