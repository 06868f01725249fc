"""Sending side of answers: what an agent knows of the attempts it took.

The log answers the one question on which "not run" rests: has this agent,
since it started, ever seen that attempt? It keeps the events of an answer
until the entry has said that it has them, so that an entry can move to a
new connection and go on from any event.
"""

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
import enum

from dahliashunt.ids import AttemptId

__all__ = ["AttemptLog", "LoggedAttempt", "Seen"]

TOMBSTONE_MS = 600_000
"""How long a refusal of a never seen attempt stands.

Only bytes of an older connection can bring the attempt later. An agent
closes a node's older connection when a newer one greets, so minutes cover
every message still queued inside the process with room to spare.
"""

MAX_TOMBSTONES = 20_000

MAX_ENDED = 5_000
"""Ends kept for entries that have not said that they have them."""


class Seen(enum.Enum):
    """What the log knows of an attempt."""

    NEW = "new"
    KNOWN = "known"
    REFUSED = "refused"
    SETTLED = "settled"


@dataclass(slots=True)
class LoggedAttempt:
    """Events and end of one attempt's answer.

    Attributes
    ----------
    node_id : str
        The entry that asked for it last.
    chunks : list of tuple
        ``(offset, events, data)`` in order, no gaps.
    outcome : object or None
        What was said at the end; None while it runs.
    """

    attempt_id: AttemptId
    node_id: str = ""
    chunks: list[tuple[int, int, bytes]] = field(default_factory=list)
    events: int = 0
    bytes: int = 0
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    outcome: object = None

    def append(self, events: int, data: bytes) -> int:
        """Add events; return the index of the first of them."""
        offset = self.events
        self.chunks.append((offset, events, data))
        self.events += events
        self.bytes += len(data)
        return offset

    def clear(self) -> None:
        """Forget all events; the attempt starts again from nothing."""
        self.chunks.clear()
        self.events = 0
        self.bytes = 0

    def since(self, offset: int) -> list[tuple[int, int, bytes]]:
        """Return the chunks that hold events from `offset` on."""
        return [c for c in self.chunks if c[0] + c[1] > offset]


@dataclass(frozen=True, slots=True)
class _Tombstone:
    """Stands for an attempt that is not to run here."""

    at_ms: int
    why: Seen


class AttemptLog:
    """All attempts of one agent since its start.

    Parameters
    ----------
    keep_bytes : int
        Most bytes of ended answers kept for entries that have not yet
        said that they have them; the oldest go first.
    """

    def __init__(self, keep_bytes: int = 8_000_000):
        self._keep_bytes = keep_bytes
        self._ended_bytes = 0
        self.by_id: dict[AttemptId, LoggedAttempt] = {}
        self._ended_by_id: OrderedDict[AttemptId, int] = OrderedDict()
        self._tomb_by_id: OrderedDict[AttemptId, _Tombstone] = OrderedDict()

    def open(self, attempt_id: AttemptId, node_id: str = "") -> Seen:
        """Note that an attempt has arrived; say what was known of it."""
        tombstone = self._tomb_by_id.get(attempt_id)
        if tombstone is not None:
            return tombstone.why
        if attempt_id in self.by_id:
            return Seen.KNOWN
        self.by_id[attempt_id] = LoggedAttempt(attempt_id, node_id)
        return Seen.NEW

    def ask(self, now: int, attempt_id: AttemptId) -> Seen:
        """Answer an entry that asks after an attempt.

        Of an attempt never seen a tombstone is left first: the entry will
        tell its caller "not run", and a late arrival after that must not
        run. Without the tombstone the caller's resend would run twice.
        """
        if attempt_id in self.by_id:
            return Seen.KNOWN
        tombstone = self._tomb_by_id.get(attempt_id)
        if tombstone is not None:
            return tombstone.why
        self._bury(now, attempt_id, Seen.REFUSED)
        return Seen.REFUSED

    def _bury(self, now, attempt_id, why):
        """Make sure that the attempt never runs here, or never again."""
        self.by_id.pop(attempt_id, None)
        self._tomb_by_id[attempt_id] = _Tombstone(now, why)
        self._drop_old_tombstones(now)

    def end(self, now: int, attempt_id: AttemptId, outcome: object) -> None:
        """Keep the end of an attempt until the entry has it."""
        entry = self.by_id[attempt_id]
        entry.outcome = outcome
        self._ended_by_id[attempt_id] = entry.bytes
        self._ended_bytes += entry.bytes
        while self._ended_bytes > self._keep_bytes:
            oldest, size = self._ended_by_id.popitem(last=False)
            self._ended_bytes -= size
            # The end itself stays: it is small, and to forget it would
            # let a later question be answered with "never seen".
            self.by_id[oldest].clear()
        if len(self._ended_by_id) > MAX_ENDED:
            oldest, size = self._ended_by_id.popitem(last=False)
            self._ended_bytes -= size
            self._bury(now, oldest, Seen.SETTLED)

    def settle(self, now: int, attempt_id: AttemptId) -> None:
        """Forget an attempt whose end the entry has received.

        A tombstone takes its place, so that a copy of its opening which
        still comes does not run it a second time. It says that the attempt
        was here: an entry that asks after it, having slept while its end
        was settled, must not be told that it did not run.
        """
        entry = self.by_id.get(attempt_id)
        if entry is None or entry.outcome is None:
            return
        self._ended_bytes -= self._ended_by_id.pop(attempt_id, 0)
        self._bury(now, attempt_id, Seen.SETTLED)

    def _drop_old_tombstones(self, now):
        tombstones = self._tomb_by_id
        while tombstones:
            oldest = next(iter(tombstones))
            old = now - tombstones[oldest].at_ms > TOMBSTONE_MS
            if not old and len(tombstones) <= MAX_TOMBSTONES:
                return
            del tombstones[oldest]
