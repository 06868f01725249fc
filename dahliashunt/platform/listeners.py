"""Rows of the operator's table and of the list, handed to the product."""

from dahliashunt.forwarding.node import Node
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.platform.operator import decode_catalog
from dahliashunt.platform.operator import decode_replica
from dahliashunt.platform.operator import DecodeError
from dahliashunt.ports import Clock
from dahliashunt.ports.table import Row

__all__ = [
    "CONFIG_KEY",
    "REPLICAS_PREFIX",
    "ConfigListener",
    "ReplicaListener",
]

CONFIG_KEY = "op//config"
REPLICAS_PREFIX = "servers//"


class ConfigListener:
    """Adopts configurations."""

    def __init__(self, node: Node, log):
        self._node = node
        self._log = log

    def replaced(self, rows) -> None:
        """Take over the newest one, if there is one."""
        for row in rows:
            self.changed(row)

    def changed(self, row: Row) -> None:
        """Take over one row."""
        if row.key != CONFIG_KEY:
            return
        try:
            catalog = decode_catalog(row.value)
        except DecodeError as error:
            # What is in force stays: a broken row changes nothing.
            self._log.error("configuration_unreadable", reason=str(error))
            return
        self._node.adopt(catalog)

    def removed(self, key: str) -> None:
        """Keep what is in force: a configuration is never taken away."""

    def outage_ended(self) -> None:
        """Nothing to do: the next read brings what changed."""


class ReplicaListener:
    """Keeps the book of replicas."""

    def __init__(self, registry: ReplicaRegistry, clock: Clock, log):
        self._registry = registry
        self._clock = clock
        self._log = log

    def replaced(self, rows) -> None:
        """Take over the whole list."""
        decoded = [(self._decode(row), row.version) for row in rows]
        replicas = [pair for pair in decoded if pair[0] is not None]
        self._registry.replace_all(replicas, self._clock.now_ms())
        self._log.info("replicas_read", listed=len(rows), usable=len(replicas))

    def changed(self, row: Row) -> None:
        """Take over one entry."""
        replica = self._decode(row)
        if replica is None:
            self.removed(row.key)
            return
        known = self._registry.get(replica.replica_id)
        if known != replica:
            self._log.info(
                "replica_changed",
                replica=replica.replica_id,
                service=replica.service,
                leaving=replica.leaving,
                born_ms=replica.born_ms,
                new=known is None,
            )
        self._registry.put(replica, row.version, self._clock.now_ms())

    def removed(self, key: str) -> None:
        """Drop one entry."""
        replica_id = key.removeprefix(REPLICAS_PREFIX)
        self._log.info("replica_removed", replica=replica_id)
        self._registry.remove(replica_id, self._clock.now_ms())

    def outage_ended(self) -> None:
        """Entries that lapsed meanwhile are kept for a while."""
        self._registry.outage_ended(self._clock.now_ms())

    def _decode(self, row):
        replica_id = row.key.removeprefix(REPLICAS_PREFIX)
        try:
            return decode_replica(replica_id, row.value)
        except DecodeError as error:
            self._log.warning("replica_unreadable", reason=str(error))
            return None
