"""Send attempts' answers and ends to the entries that asked for them."""

from collections.abc import Callable

from dahliashunt.adapters.wire.gen.link.ttypes import Chunk
from dahliashunt.adapters.wire.gen.link.ttypes import Frame
from dahliashunt.adapters.wire.gen.link.ttypes import Outcome
from dahliashunt.agent.peers import Peers
from dahliashunt.ids import NodeId
from dahliashunt.online.attempt_log import LoggedAttempt
from dahliashunt.ports import Clock

__all__ = ["AnswerSender"]


class AnswerSender:
    """Frames towards entries; those without a connection get none.

    What is not sent stays in the log, from which an entry that comes back
    asks for it.

    Parameters
    ----------
    peers : Peers
    load : callable
        Returns the load report that goes with each end.
    clock : Clock
    """

    def __init__(self, peers: Peers, load: Callable, clock: Clock):
        self._peers = peers
        self._load = load
        self._clock = clock

    def chunk(
        self,
        node_id: NodeId,
        logged: LoggedAttempt,
        offset: int,
        events: int,
        data: bytes,
    ) -> None:
        """Send events from `offset` on; the first chunk brings the head."""
        chunk = Chunk(logged.attempt_id, offset, events, data)
        if offset == 0:
            chunk.status = logged.status
            chunk.headers = logged.headers
        self._peers.send(node_id, Frame(chunk=chunk), self._clock.now_ms())

    def whole(self, node_id: NodeId, logged: LoggedAttempt) -> None:
        """Send all events that are logged."""
        for offset, events, data in logged.chunks:
            self.chunk(node_id, logged, offset, events, data)

    def outcome(self, node_id: NodeId, outcome: Outcome) -> None:
        """Send an attempt's end, with the load as it is now."""
        outcome.load = self._load()
        now_ms = self._clock.now_ms()
        self._peers.send(node_id, Frame(outcome=outcome), now_ms)
