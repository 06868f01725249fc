"""The entries that are linked to an agent, and their connections."""

from dataclasses import dataclass

from dahliashunt.adapters.wire.connection import Connection
from dahliashunt.ids import NodeId

__all__ = ["Peer", "Peers"]


@dataclass(slots=True)
class Peer:
    """One entry.

    Attributes
    ----------
    connection : Connection or None
        The newest connection; None while there is none.
    heard_ms : int
        When something last came from it.
    beat_every_ms : int
        How often it wants a heartbeat.
    beat_ms, sent_ms : int
        When a heartbeat, and when anything, was last sent to it.
    gone_ms : int or None
        Since when it has had no connection.
    """

    node_id: NodeId
    connection: Connection | None
    incarnation: int
    revision: int
    heard_ms: int
    beat_every_ms: int = 0
    beat_ms: int = 0
    sent_ms: int = 0
    beats: int = 0
    gone_ms: int | None = None


class Peers:
    """Entries by node id, with the connection that speaks for each."""

    def __init__(self):
        self.by_id: dict[NodeId, Peer] = {}
        self._id_by_connection: dict[Connection, NodeId] = {}

    def of(self, connection: Connection) -> Peer | None:
        """Return the entry that speaks on `connection`."""
        node_id = self._id_by_connection.get(connection)
        return None if node_id is None else self.by_id[node_id]

    def greet(self, now: int, connection: Connection, hello) -> Peer:
        """Take a connection on which a greeting came.

        An older connection of the same entry is cut and nothing more is
        read from it. Otherwise an attempt stuck on the silent one could
        arrive after the entry was told that it had never been seen.
        """
        peer = self.by_id.get(hello.node_id)
        if peer is None:
            peer = Peer(
                hello.node_id, None, hello.incarnation, hello.revision, now
            )
            self.by_id[hello.node_id] = peer
        older = peer.connection
        if older is not None and older is not connection:
            self._id_by_connection.pop(older, None)
            older.abort()
        peer.connection = connection
        peer.incarnation = hello.incarnation
        peer.revision = hello.revision
        peer.heard_ms = now
        peer.gone_ms = None
        peer.beat_every_ms = hello.beat_every_ms or 0
        self._id_by_connection[connection] = peer.node_id
        return peer

    def closed(self, now: int, connection: Connection) -> None:
        """Note that a connection is gone."""
        node_id = self._id_by_connection.pop(connection, None)
        if node_id is None:
            return
        peer = self.by_id[node_id]
        if peer.connection is connection:
            peer.connection = None
            peer.gone_ms = now

    def gone_for(self, now: int, limit_ms: int) -> list[Peer]:
        """Return and forget entries without a connection for too long."""
        gone = [
            peer
            for peer in self.by_id.values()
            if peer.gone_ms is not None and now - peer.gone_ms >= limit_ms
        ]
        for peer in gone:
            del self.by_id[peer.node_id]
        return gone

    def send(self, node_id: NodeId, frame, now: int | None = None) -> bool:
        """Send to an entry if it has a connection now.

        With `now` the entry counts as spoken to.
        """
        peer = self.by_id.get(node_id)
        if peer is None or peer.connection is None:
            return False
        if now is not None:
            peer.sent_ms = now
        return peer.connection.send(frame)

    def is_connected(self, node_id: NodeId) -> bool:
        """Whether an entry has a connection now."""
        peer = self.by_id.get(node_id)
        return peer is not None and peer.connection is not None

    def send_all(self, frame) -> None:
        """Send to every linked entry."""
        for peer in self.by_id.values():
            if peer.connection is not None:
                peer.connection.send(frame)

    def send_others(self, node_id: NodeId, frame) -> None:
        """Send to every linked entry but one."""
        for peer in self.by_id.values():
            if peer.node_id != node_id and peer.connection is not None:
                peer.connection.send(frame)
