"""Which revision is in force on a node, and what to read next.

Every node holds one `Follower`. It is pure: what was read or heard goes
in with the time, and what to read comes out.

Notes
-----
A node adopts only higher revisions, and only whole snapshots of one
revision. That one rule covers a slow read overtaken by a newer one, a
lagging peer, a thawed process, and a table put back from a copy; no read
needs to be cancelled or matched with its request for it to hold.

A node polls the table's head, one row, once in
``max(MIN_POLL_MS, entries * 1000 / READS_A_SECOND)`` with jitter; so all
entries together read at most READS_A_SECOND rows a second, and a change
is everywhere within that time and one more read. With three entries that
is a second; with 500, five seconds of the 11 that are allowed. A link
that tells of a higher revision brings the read forward, spread over
HEARD_SPREAD_MS so that 500 entries do not read at one moment.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from dahliashunt.ids import NodeId
from dahliashunt.ids import Revision
from dahliashunt.records.record import Change
from dahliashunt.records.record import Record
from dahliashunt.records.snapshot import Snapshot

__all__ = [
    "AskPeer",
    "Follower",
    "Pause",
    "ReadChanges",
    "ReadHead",
    "ReadSnapshot",
    "poll_interval_ms",
]

MIN_POLL_MS = 1_000
READS_A_SECOND = 100
"""Head reads a second over all entries: a twentieth of the table's two
thousand, since batch work needs the rest."""

HEARD_SPREAD_MS = 500
PEER_TIMEOUT_MS = 2_000
"""How long a peer may take before the next one is asked."""

MAX_BACKOFF_MS = 10_000
WHOLE_SPREAD = 5
MAX_CHANGES = 500
"""Changes read one by one; further behind, a whole snapshot costs less."""


@dataclass(frozen=True, slots=True)
class Pause:
    """Nothing to read before `until_ms`, unless something is heard."""

    until_ms: int


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head row."""


@dataclass(frozen=True, slots=True)
class ReadChanges:
    """Read the changes with ``after < revision <= until``."""

    after: Revision
    until: Revision


@dataclass(frozen=True, slots=True)
class ReadSnapshot:
    """Read all records from the table."""


@dataclass(frozen=True, slots=True)
class AskPeer:
    """Ask a peer for what changed after `have`."""

    node_id: NodeId
    have: Revision


def poll_interval_ms(entries: int) -> int:
    """Return how often each of `entries` entries reads the head.

    Examples
    --------
    >>> poll_interval_ms(3), poll_interval_ms(500)
    (1000, 5000)
    """
    return max(MIN_POLL_MS, entries * 1000 // READS_A_SECOND)


class Follower:
    """The records in force on one node.

    Parameters
    ----------
    rng : random.Random
        For jitter.
    reads_table : bool
        Agents do not: they get records over links.
    poll_ms : int
        Interval of head reads; see `poll_interval_ms`.
    """

    def __init__(
        self, rng: Random, reads_table: bool = True, poll_ms: int = MIN_POLL_MS
    ):
        self.poll_ms = poll_ms
        self.snapshot: Snapshot | None = None
        self.table_behind = False
        """Whether the table's head was last seen below what is in force
        here or at a peer: the table was put back from a copy, or answered
        an old read."""

        self._rng = rng
        self._reads_table = reads_table
        self._head = Revision(0)
        self._next_read_ms = 0
        self._failures = 0
        self._whole = False
        self._revision_by_peer: dict[NodeId, Revision] = {}
        self._asked_peer: NodeId | None = None
        self._asked_until_ms = 0
        self._unhelpful: set[NodeId] = set()

    @property
    def revision(self) -> Revision:
        """Return the revision in force; 0 if none is yet."""
        return self.snapshot.revision if self.snapshot else Revision(0)

    @property
    def ready(self) -> bool:
        """Return whether there is a configuration in force."""
        return self.snapshot is not None

    @property
    def known_head(self) -> Revision:
        """Return the highest revision that was heard of."""
        return max(
            [self.revision, self._head, *self._revision_by_peer.values()]
        )

    def next_read(self, now_ms: int):
        """Return what to read from the table at `now_ms`.

        Returns
        -------
        ReadHead, ReadChanges, ReadSnapshot or Pause
        """
        if not self._reads_table or now_ms < self._next_read_ms:
            return Pause(self._next_read_ms)
        behind = self._head - self.revision
        if self._head == 0 or behind <= 0:
            return ReadHead()
        if self._needs_whole():
            return ReadSnapshot()
        return ReadChanges(self.revision, self._head)

    def next_peer(self, now_ms: int) -> AskPeer | None:
        """Return which peer to ask now, if any.

        A node that reads the table asks peers only while it has nothing,
        or while the table fails or is behind; the peer with the highest
        revision is asked first, and each once before any is asked again.
        """
        table_serves = not (self._failures or self.table_behind)
        if self._reads_table and self.ready and table_serves:
            return None
        if now_ms < self._asked_until_ms:
            return None
        if self._asked_peer is not None:
            self._unhelpful.add(self._asked_peer)
            self._asked_peer = None
        peer = self._best_peer()
        if peer is None:
            if self._unhelpful:
                self._unhelpful.clear()
                self._asked_until_ms = now_ms + PEER_TIMEOUT_MS
            return None
        self._asked_peer = peer
        self._asked_until_ms = now_ms + PEER_TIMEOUT_MS
        return AskPeer(peer, self.revision)

    def heard(self, node_id: NodeId, revision: Revision, now_ms: int) -> None:
        """Take note of a revision that a link told of."""
        before = self.known_head
        known = self._revision_by_peer.get(node_id, Revision(0))
        if revision > known:
            self._unhelpful.discard(node_id)
        self._revision_by_peer[node_id] = revision
        if revision > before and self._failures == 0:
            soon_ms = now_ms + self._rng.randrange(HEARD_SPREAD_MS)
            self._next_read_ms = min(self._next_read_ms, soon_ms)

    def peer_gone(self, node_id: NodeId) -> None:
        """Forget a peer whose link is closed."""
        self._revision_by_peer.pop(node_id, None)
        self._unhelpful.discard(node_id)
        if self._asked_peer == node_id:
            self._asked_peer = None
            self._asked_until_ms = 0

    def read_head(self, revision: Revision, now_ms: int) -> None:
        """Take in the table's head.

        Notes
        -----
        Failure: a read that was sent before a pause is answered after
        newer ones, or the table is put back from a copy. It would show
        as a limit that reverts. `_head` only grows and adoption compares
        revisions, so an old head is noted and has no effect.
        """
        self._succeeded()
        self.table_behind = revision < self.known_head
        self._head = max(self._head, revision)
        if self.known_head == 0 and self.snapshot is None:
            self.snapshot = Snapshot(Revision(0))
        if self._head <= self.revision:
            self._next_read_ms = now_ms + self._jittered(self.poll_ms)
        elif self._needs_whole():
            self._next_read_ms = now_ms + self._whole_delay_ms()
        else:
            self._next_read_ms = now_ms

    def read_changes(self, changes: Iterable[Change], now_ms: int) -> bool:
        """Take in changes in order; return whether any was adopted.

        Changes that do not connect to what is in force are not adopted,
        and a whole snapshot is read instead.
        """
        self._succeeded()
        revision = self.revision
        changed: dict = {}
        for change in changes:
            if change.revision == revision + 1:
                revision = change.revision
                changed.update((i.key, i.after) for i in change.items)
        if self.snapshot is None or revision == self.revision:
            self._whole = self._head > self.revision
            self._next_read_ms = now_ms
            return False
        advanced = self.snapshot.advanced(revision, changed.values())
        return self._adopt(advanced, now_ms)

    def read_snapshot(self, snapshot: Snapshot, now_ms: int) -> bool:
        """Take in a snapshot from the table; return if it was adopted."""
        self._succeeded()
        self._whole = False
        adopted = self._adopt(snapshot, now_ms)
        if not adopted and self._head > self.revision:
            self._next_read_ms = now_ms + self._jittered(self.poll_ms)
        return adopted

    def read_failed(self, now_ms: int) -> None:
        """Take note that a read of the table failed."""
        self._failures += 1
        most = min(MAX_BACKOFF_MS, self.poll_ms * 2 ** min(self._failures, 6))
        self._next_read_ms = now_ms + self._jittered(most)

    def peer_answered(
        self, node_id: NodeId, snapshot: Snapshot, now_ms: int
    ) -> bool:
        """Take in a peer's whole snapshot; return if it was adopted."""
        self._peer_done(node_id, snapshot.revision)
        return self._adopt(snapshot, now_ms)

    def peer_told(
        self,
        node_id: NodeId,
        since: Revision,
        revision: Revision,
        changed: Iterable[Record],
        now_ms: int,
    ) -> bool:
        """Take in what a peer says changed; return if it was adopted.

        Notes
        -----
        Failure: the answer to an old question arrives after the node has
        gone on, or before it has what the answer builds on. Applied, it
        would mix records of two revisions. It is taken only if it starts
        at or below what is in force, and newer records win one by one.
        """
        if self.snapshot is None or since > self.revision:
            self._peer_done(node_id, self.revision)
            return False
        self._peer_done(node_id, revision)
        if revision <= self.revision:
            return False
        return self._adopt(self.snapshot.advanced(revision, changed), now_ms)

    def _adopt(self, snapshot, now_ms):
        if self.snapshot is not None and (
            snapshot.revision <= self.snapshot.revision
        ):
            return False
        self.snapshot = snapshot
        self._unhelpful.clear()
        if self._head <= snapshot.revision and self._failures == 0:
            self._next_read_ms = now_ms + self._jittered(self.poll_ms)
        return True

    def _needs_whole(self):
        behind = self._head - self.revision
        return self.snapshot is None or self._whole or behind > MAX_CHANGES

    def _whole_delay_ms(self):
        """Return a wait before a whole snapshot is read.

        Failure: all entries start at once after an outage, and each reads
        44,000 rows in pages; 500 entries send 22,000 range reads to a
        table that serves two thousand a second, and none gets ready for
        all the repeats. Up to 100 entries there is no wait; 500 spread
        over 20 s, 1,100 reads a second, and take what peers hold if that
        comes first.
        """
        most = WHOLE_SPREAD * max(0, self.poll_ms - MIN_POLL_MS)
        return self._rng.randint(0, most)

    def _succeeded(self):
        self._failures = 0

    def _peer_done(self, node_id, revision):
        if self._asked_peer == node_id:
            self._asked_peer = None
            self._asked_until_ms = 0
        if revision <= self.revision:
            self._unhelpful.add(node_id)

    def _best_peer(self):
        best = [
            (revision, node_id)
            for node_id, revision in self._revision_by_peer.items()
            if node_id not in self._unhelpful
            and (revision > self.revision or self.snapshot is None)
        ]
        return max(best)[1] if best else None

    def _jittered(self, delay_ms):
        return self._rng.randint(delay_ms * 3 // 4, delay_ms)
