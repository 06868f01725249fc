"""The agent's side of its links to entries: greetings, beats, records.

Part of the core's task. What concerns attempts is passed on to the core by
frame name; the rest is handled here.

Notes
-----
Heartbeats carry the load report. An entry says in its greeting how often
it wants one: rarely if it links to many agents, so that the sum stays
within what a node may spend on control. On a link with attempts in flight
the agent also speaks whenever it has been quiet for `heartbeat_ms`, so
that silence there is noticed at once.
"""

from collections.abc import Callable

from dahliashunt.adapters.wire.gen.link.ttypes import Frame
from dahliashunt.adapters.wire.gen.link.ttypes import Heartbeat
from dahliashunt.adapters.wire.gen.link.ttypes import Leaving
from dahliashunt.adapters.wire.gen.link.ttypes import NodeRevision
from dahliashunt.agent.convictions import Convictions
from dahliashunt.agent.greeting import hello
from dahliashunt.agent.peers import Peer
from dahliashunt.agent.peers import Peers
from dahliashunt.ids import NodeId

__all__ = ["EntryLinks"]

MAX_LAGGING = 8
"""Entries named as lagging in one heartbeat, the furthest behind first."""


class EntryLinks:
    """Linked entries, what they are told and what they tell.

    Parameters
    ----------
    settings : AgentSettings
    records : RecordsKeeper
        Holds the newest records that any entry has sent.
    incarnation : int
        New at each start, so that entries can tell a restarted agent.
    clock : Clock
    log : structlog logger
    load : callable
        Returns the load report of now.
    handler_by_frame : dict of str to callable
        Called with the peer and the message, for the core's frames.
    """

    def __init__(
        self,
        settings,
        records,
        incarnation: int,
        clock,
        log,
        load: Callable,
        handler_by_frame: dict[str, Callable],
    ):
        self.peers = Peers()
        self.convictions = Convictions()
        self.leaving = False
        self._settings = settings
        self._records = records
        self._incarnation = incarnation
        self._clock = clock
        self._log = log
        self._load = load
        self._handler_by_frame = {
            **handler_by_frame,
            "heartbeat": self._on_heartbeat,
            "records_wanted": self._on_records_wanted,
            "records_snapshot": self._on_records_snapshot,
            "convictions": self._on_convictions,
        }

    def on_opened(self, message) -> None:
        """Wait for the greeting; nothing is believed before it."""

    def on_closed(self, message) -> None:
        """Note that a connection is gone."""
        self.peers.closed(self._clock.now_ms(), message.connection)

    def on_received(self, message) -> None:
        """Handle frames in order; those before a greeting end the link."""
        now = self._clock.now_ms()
        for frame in message.frames:
            if frame.hello is not None:
                self._on_hello(message.connection, frame.hello)
                continue
            peer = self.peers.of(message.connection)
            if peer is None:
                message.connection.abort()
                return
            peer.heard_ms = now
            self._on_frame(peer, frame)

    def _on_frame(self, peer, frame):
        for name, handler in self._handler_by_frame.items():
            message = getattr(frame, name)
            if message is not None:
                handler(peer, message)
                return

    def _on_hello(self, connection, greeting):
        if greeting.token != self._settings.link_token:
            self._log.warning("link_refused", peer=greeting.node_id)
            connection.abort()
            return
        connection.greeted()
        now = self._clock.now_ms()
        peer = self.peers.greet(now, connection, greeting)
        own = hello(
            self._settings,
            self._incarnation,
            self._records.revision,
            self.leaving,
            self._load(),
        )
        connection.send(Frame(hello=own))
        self._want_records(peer)
        held = self.convictions.frame(now)
        if held is not None:
            connection.send(held)
        self._log.info("linked", entry=peer.node_id)

    def leave(self, reason: str) -> None:
        """Tell all entries that this endpoint is leaving."""
        self.leaving = True
        within_ms = self._settings.timing.drain_ms
        self.peers.send_all(
            Frame(leaving=Leaving(within_ms=within_ms, reason=reason))
        )

    # Heartbeats.

    def beat(self, now: int, active: set[NodeId]) -> None:
        """Send the heartbeats that are due.

        Parameters
        ----------
        now : int
        active : set of NodeId
            Entries with attempts in flight here.
        """
        heartbeat_ms = self._settings.timing.heartbeat_ms
        for peer in self.peers.by_id.values():
            every_ms = max(peer.beat_every_ms, heartbeat_ms)
            due = now - peer.beat_ms >= every_ms
            quiet = now - peer.sent_ms >= heartbeat_ms
            if due or (quiet and peer.node_id in active):
                self._beat(now, peer)

    def _beat(self, now, peer):
        peer.beat_ms = now
        peer.beats += 1
        heartbeat = Heartbeat(
            seq=peer.beats,
            revision=self._records.revision,
            leaving=self.leaving,
            load=self._load(),
            lagging=self._lagging() or None,
        )
        self.peers.send(peer.node_id, Frame(heartbeat=heartbeat), now)

    def _on_heartbeat(self, peer, heartbeat):
        peer.revision = heartbeat.revision
        self._want_records(peer)
        now = self._clock.now_ms()
        if now - peer.sent_ms >= self._settings.timing.heartbeat_ms:
            # The entry asks because it has heard nothing for a while.
            self._beat(now, peer)

    def _lagging(self):
        """Return entries whose records are older than those held here."""
        behind = [
            NodeRevision(node_id=peer.node_id, revision=peer.revision)
            for peer in self.peers.by_id.values()
            if peer.revision < self._records.revision
        ]
        return sorted(behind, key=lambda node: node.revision)[:MAX_LAGGING]

    # Records and convictions.

    def _want_records(self, peer: Peer):
        wanted = self._records.wanted(peer.revision, self._clock.now_ms())
        if wanted is not None:
            self.peers.send(peer.node_id, Frame(records_wanted=wanted))

    def _on_records_wanted(self, peer, wanted):
        snapshot = self._records.snapshot_after(wanted.have_revision)
        if snapshot is not None:
            self.peers.send(peer.node_id, Frame(records_snapshot=snapshot))

    def _on_records_snapshot(self, peer, snapshot):
        if self._records.offer(snapshot):
            self._log.info("records_adopted", revision=snapshot.revision)

    def _on_convictions(self, peer, message):
        """Pass convictions on to the other entries and obey them here.

        Suspicions are passed on only: after a crash every entry runs the
        fingerprint alone, so that a resend elsewhere takes no neighbours
        down with it.
        """
        news = self.convictions.add(self._clock.now_ms(), message)
        if news is not None:
            self.peers.send_others(peer.node_id, news)
