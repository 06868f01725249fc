"""Listeners that apply rows of the configuration and of the replicas."""

from dahliashunt.decisions.lapse_grace import ReadGap
from dahliashunt.forwarding.node import Node
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.platform.operator import CONFIG_KEY
from dahliashunt.platform.operator import decode_catalog
from dahliashunt.platform.operator import decode_replica
from dahliashunt.platform.operator import DecodeError
from dahliashunt.platform.operator import REPLICAS_PREFIX
from dahliashunt.ports import Clock
from dahliashunt.ports.table import Row

__all__ = ["ConfigListener", "ReplicaListener"]


class ConfigListener:
    """Applies configuration rows to a node."""

    def __init__(self, node: Node, log):
        self._node = node
        self._log = log

    def replaced(self, rows) -> None:
        """Apply a snapshot of the table."""
        for row in rows:
            self.changed(row)

    def changed(self, row: Row) -> None:
        """Apply one row."""
        if row.key != CONFIG_KEY:
            return
        try:
            catalog = decode_catalog(row.value)
        except DecodeError as error:
            # Keeps the configuration in force if the new one is invalid.
            self._log.error("configuration_unreadable", reason=str(error))
            self._node.is_configuration_unreadable = True
            return
        self._node.is_configuration_unreadable = False
        self._node.adopt(catalog)

    def removed(self, key: str) -> None:
        """Ignore the removal: the configuration in force stays."""

    def gap_ended(self, gap: ReadGap) -> None:
        """Do nothing: the next read delivers the changes."""


class ReplicaListener:
    """Applies rows of the list of replicas to the registry.

    Parameters
    ----------
    registry : ReplicaRegistry
    clock : Clock
    log : structlog logger
    on_restart : callable
        Called with the address of a replica that has started anew there.
    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        clock: Clock,
        log,
        on_restart=lambda address: None,
    ):
        self._registry = registry
        self._clock = clock
        self._log = log
        self._on_restart = on_restart

    def replaced(self, rows) -> None:
        """Apply a snapshot of the list."""
        decoded = [(self._decode(row), row.version) for row in rows]
        replicas = [pair for pair in decoded if pair[0] is not None]
        for replica, _ in replicas:
            self._note_restart(replica)
        self._registry.replace_all(replicas, self._clock.now_ms())
        self._log.info("replicas_read", listed=len(rows), usable=len(replicas))

    def changed(self, row: Row) -> None:
        """Apply one row, or drop its replica if it cannot be decoded."""
        replica = self._decode(row)
        if replica is None:
            self.removed(row.key)
            return
        self._note_restart(replica)
        known = self._registry.get(replica.replica_id)
        if known != replica:
            self._log.info(
                "replica_changed",
                replica=replica.replica_id,
                service=replica.service,
                leaving=replica.leaving,
                born_ms=replica.born_ms,
                version=replica.version,
                new=known is None,
            )
        self._registry.put(replica, row.version, self._clock.now_ms())

    def removed(self, key: str) -> None:
        """Remove the replica of a deleted row."""
        replica_id = key.removeprefix(REPLICAS_PREFIX)
        self._log.info("replica_removed", replica=replica_id)
        self._registry.remove(replica_id, self._clock.now_ms())

    def gap_ended(self, gap: ReadGap) -> None:
        """Keep replicas that lapsed during the gap for a grace period."""
        self._registry.gap_ended(gap)

    def _note_restart(self, replica):
        """Report that another incarnation starts at a replica's address."""
        earlier = self._registry.at(replica.address)
        if earlier is not None and earlier.incarnation != replica.incarnation:
            self._on_restart(replica.address)

    def _decode(self, row):
        replica_id = row.key.removeprefix(REPLICAS_PREFIX)
        try:
            return decode_replica(replica_id, row.value)
        except DecodeError as error:
            self._log.warning("replica_unreadable", reason=str(error))
            return None
