"""Selection of an entry's partners in each service."""

from dahliashunt.decisions.link_choice import choose_links
from dahliashunt.decisions.partners import MAX_PARTNERS
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.ids import NodeId

__all__ = ["Partners"]


class Partners:
    """Selects partners and caches them until a service's list changes.

    Parameters
    ----------
    registry : ReplicaRegistry
    node_id : NodeId
        Id of this entry.
    """

    def __init__(self, registry: ReplicaRegistry, node_id: NodeId):
        self._registry = registry
        self._node_id = node_id
        self._chosen_by_service: dict[str, tuple[tuple, tuple]] = {}

    def of_service(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of `service` that this entry asks first."""
        listed = self._registry.of_service(service)
        held = self._chosen_by_service.get(service)
        if held is not None and held[0] is listed:
            return held[1]
        chosen = self._choose(listed)
        self._chosen_by_service[service] = (listed, chosen)
        return chosen

    def _choose(self, listed):
        if len(listed) <= MAX_PARTNERS:
            return listed
        ids = (replica.replica_id for replica in listed)
        chosen = choose_links(self._node_id, ids, MAX_PARTNERS)
        return tuple(one for one in listed if one.replica_id in chosen)
