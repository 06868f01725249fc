"""Attempts of one batch item at replicas, and its text so far."""

import asyncio
import contextlib
import enum

from dahliashunt.adapters.http1 import Bound
from dahliashunt.adapters.http1 import ConnectFailed
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http1 import End
from dahliashunt.adapters.http1 import PoolExhausted
from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.decisions.stream_origins import origin_key
from dahliashunt.forwarding.answer_room import AnswerRoom
from dahliashunt.forwarding.answer_room import GrowingHold
from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.events import EventOutOfOrder
from dahliashunt.forwarding.events import EventSplitter
from dahliashunt.forwarding.events import EventTooLong
from dahliashunt.forwarding.ports import ReplicaDialect
from dahliashunt.forwarding.reservation import Reservation
from dahliashunt.ids import Fingerprint
from dahliashunt.ids import JobId
from dahliashunt.jobs.partials import Partial
from dahliashunt.ports import Clock

__all__ = ["ItemEnd", "ItemRun", "allowed_silence_ms"]

SILENCE_MS = 1_500
"""Silence after which an attempt is given up, beside the time to read the
prompt. Events come every few milliseconds, ten times as slowly at a slowed
replica; the text is kept, so that giving up costs a prompt's reading only."""

READ_TOKENS_PER_MS = 20
"""Assumed rate at which a replica reads a prompt, also after a preemption;
that of a replica with many other prompts to read."""

MAX_READ_MS = 30_000
"""Longest assumed time to read a prompt, whatever length the caller states."""

MAX_DOUBLED_SILENCE_MS = 12_000
"""Bound up to which the silence allowed doubles with each silent attempt in a
row, without an event: the rate may be lower than is assumed."""

REFUSED_WAIT_MS = 100
"""Delay before the next attempt after a refusal. Without it one item makes
250 attempts a second at a replica that was replaced."""

MAX_UNUSABLE_WAIT_MS = 3_200
"""Longest delay after unusable responses, which doubles with each in a row.
An item that gets no others is attempted until it is given up."""

HELD_BACK_SHARE = 8
"""Divisor of the time that an item has left: no wait for its lost runs takes
more."""

MIN_HELD_BACK_MS = 500
"""Shortest bound of a wait for lost runs."""

MAX_IDLE_MS = 3_000
"""Longest idle time of a pooled connection that an attempt reuses."""

GROW_WAIT_S = 0.1
MAX_GROW_WAITS = 20
"""Waits for memory of an attempt, after which its slot is released."""

MAX_TEXT_CHARACTERS = 1_048_576
"""Longest text of an item, one hundred times that of an item of 2,100 tokens.
A node runs up to 128 items at once."""

REJECTED_STATUS = 422
"""An item with this response can never be done."""

_DECISIVE_ERRORS = (REJECTED_STATUS, 500)

MAX_DROPPED_BYTES = 262_144
"""Bytes of one attempt that add no text: the body of an error response, and
comments and other events without a number."""


def allowed_silence_ms(tokens: int, silent_attempts: int) -> int:
    """Return the silence after which an attempt is given up.

    Parameters
    ----------
    tokens : int
        Tokens that the replica reads before its next event.
    silent_attempts : int
        Silent attempts in a row before this one.

    Examples
    --------
    >>> [allowed_silence_ms(0, attempts) for attempts in (0, 1, 9)]
    [1500, 3000, 12000]
    >>> [allowed_silence_ms(140_000, attempts) for attempts in (0, 9)]
    [8500, 12000]
    >>> allowed_silence_ms(2**31, 1_000_000)
    31500
    """
    read_ms = min(tokens // READ_TOKENS_PER_MS, MAX_READ_MS)
    silence_ms = SILENCE_MS + read_ms
    doubled_ms = silence_ms << min(silent_attempts, 10)
    return max(silence_ms, min(doubled_ms, MAX_DOUBLED_SILENCE_MS))


class ItemEnd(enum.Enum):
    """How an attempt at a replica ended."""

    DONE = "done"
    REVOKED = "revoked"
    """The slot was revoked for an online request."""

    QUARANTINED = "quarantined"
    """Not sent, since its runs were lost with their replicas."""

    NOT_RUN = "not_run"
    NO_CONNECTION = "no_connection"
    """Not sent, since this node may open no more connections."""

    LOST = "lost"
    SILENT = "silent"
    """Given up for its silence; the replica may still work on it."""

    UNUSABLE = "unusable"
    """The response is not the replica's, exceeds a bound, has other events
    than the next ones, or decides nothing on the item."""

    FAILED = "failed"
    """The replica ran the item and answered with status 500."""

    IMPOSSIBLE = "impossible"
    """The replica rejected the item for good (status 422)."""


_ABORTED_ENDS = (
    ItemEnd.LOST,
    ItemEnd.REVOKED,
    ItemEnd.SILENT,
    ItemEnd.UNUSABLE,
)
"""Ends after which the replica may still work on the item."""


class ItemRun:
    """An item's text and failures over all its attempts.

    Parameters
    ----------
    index : int
        Index of the item in its job.
    call : Call
    digest : Fingerprint
        Identifies the item's request among all that were lost.
    due_ms, abandon_ms : int
        Monotonic times at which the item is due, and is given up.

    Attributes
    ----------
    failures : int
        Number of error answers from replicas.
    not_before_ms : int
        Earliest monotonic time of the next attempt.
    ran_ms : int
        Total time that attempts on this node have held slots.
    started_ms : int or None
        Start of the first attempt on this node.
    revokes : int
        Number of attempts ended by a revoked slot.
    refusals : int
        Slot requests in a row that were refused or not worth sending.
    status : int or None
        Status of the latest answer; None without one.
    last_event : int
        Number of the last event received.
    saved_event : int
        Number of the last event in the saved text.
    origin : int
        Digest of the service and software version that wrote the text; 0 if
        unknown, or without a text.
    saved : bool
        Whether the store may hold a row of this item.
    exceeded : Bound or None
        The bound at which the latest attempt was ended.
    kept_characters : int
        Length of the text as counted by the worker between attempts.
    """

    def __init__(
        self,
        index: int,
        call: Call,
        digest: Fingerprint,
        due_ms: int,
        abandon_ms: int,
    ):
        self.index = index
        self.call = call
        self.digest = digest
        self.due_ms = due_ms
        self.abandon_ms = abandon_ms
        self.failures = 0
        self.not_before_ms = 0
        self.ran_ms = 0
        self.started_ms: int | None = None
        self.revokes = 0
        self.refusals = 0
        self.last_event = 0
        self.saved_event = 0
        self.origin = 0
        self.saved = False
        self.status: int | None = None
        self.exceeded: Bound | None = None
        self.kept_characters = 0
        self._texts: list[str] = []
        self._characters = 0
        self._room: GrowingHold | None = None
        self._dropped_bytes = 0
        self._connection = None
        self._attempt_origin = 0
        self._unusable_in_row = 0
        self._silent_in_row = 0
        self._revoked = False

    @property
    def characters(self) -> int:
        """Length of the text so far."""
        return self._characters

    @property
    def text(self) -> str:
        """Data of all events so far, joined by line feeds."""
        return "\n".join(self._texts)

    def partial(self, job_id: JobId) -> Partial:
        """Return the item's text and failures so far, to be saved."""
        return Partial(
            job_id,
            self.index,
            self.last_event,
            self.text,
            self.failures,
            self.origin,
        )

    def resume(self, partial: Partial) -> None:
        """Restore what was saved; call it before the first attempt."""
        self.last_event = self.saved_event = partial.last_event
        self.failures = partial.failures
        self.origin = partial.origin
        self.saved = True
        self._texts = [partial.text] if partial.last_event else []
        self._characters = len(self.text)

    def note_saved(self, partial: Partial) -> None:
        """Note that `partial` is in the store."""
        self.saved = True
        if partial.origin == self.origin:
            self.saved_event = max(self.saved_event, partial.last_event)

    def restart(self) -> None:
        """Drop the text: no replica can continue it."""
        self.last_event = self.saved_event = self.origin = 0
        self._texts = []
        self._characters = 0

    def is_ready(self, now_ms: int) -> bool:
        """Tell whether the item may be attempted, or is to be given up."""
        return now_ms >= min(self.not_before_ms, self.abandon_ms)

    def longest_wait_ms(self, now_ms: int) -> int:
        """Return the longest wait that its lost runs may cause.

        It follows from the time until the item is due, then from the time
        until it is given up.
        """
        until_ms = self.due_ms if now_ms < self.due_ms else self.abandon_ms
        left_ms = until_ms - now_ms
        return max(MIN_HELD_BACK_MS, left_ms // HELD_BACK_SHARE)

    def revoke(self) -> None:
        """Abort the attempt in progress, since its slot was revoked."""
        self._revoked = True
        if self._connection is not None:
            self._connection.abort()

    async def attempt(
        self,
        reservation: Reservation,
        pool: ConnectionPool,
        dialect: ReplicaDialect,
        clock: Clock,
        room: AnswerRoom,
    ) -> ItemEnd:
        """Run the item at `reservation`, resuming after its last event.

        Memory for its text is reserved in `room` as it grows.
        """
        with room.growing() as self._room:
            return await self._attempt(reservation, pool, dialect, clock)

    async def _attempt(self, reservation, pool, dialect, clock):
        address = reservation.replica.address
        try:
            connection = await pool.take(address, MAX_IDLE_MS)
        except PoolExhausted:
            return self._record_end(ItemEnd.NO_CONNECTION, clock)
        except ConnectFailed:
            return self._record_end(ItemEnd.NOT_RUN, clock)
        if self._revoked:
            self._revoked = False
            pool.give_back(address, connection)
            return ItemEnd.REVOKED
        left_ms = self.abandon_ms - clock.now_ms()
        request = dialect.request(
            self.call, reservation.replica, left_ms, self.last_event
        )
        mailbox = connection.start(
            request, lambda head: dialect.answers(self.call, head)
        )
        self._connection = connection
        self._attempt_origin = _origin(reservation.replica)
        began_ms = clock.now_ms()
        if self.started_ms is None:
            self.started_ms = began_ms
        end = ItemEnd.LOST
        try:
            end = await self._relay(connection, mailbox, dialect)
        finally:
            self._connection = None
            self.exceeded = connection.exceeded
            self.ran_ms += clock.now_ms() - began_ms
            if end in _ABORTED_ENDS:
                connection.abort()
            pool.give_back(address, connection)
        return self._record_end(end, clock)

    def _record_end(self, end, clock):
        if self._revoked:
            self._revoked = False
            if end in (ItemEnd.LOST, ItemEnd.SILENT):
                self.revokes += 1
                return ItemEnd.REVOKED
        if end is ItemEnd.FAILED:
            self.failures += 1
        if end in (ItemEnd.NOT_RUN, ItemEnd.NO_CONNECTION):
            self.wait_after_refusal(clock)
        if end is ItemEnd.SILENT:
            self._silent_in_row += 1
        self._unusable_in_row += 1
        if end is ItemEnd.UNUSABLE:
            wait_ms = REFUSED_WAIT_MS << min(self._unusable_in_row - 1, 16)
            wait_ms = min(wait_ms, MAX_UNUSABLE_WAIT_MS)
            self.not_before_ms = clock.now_ms() + wait_ms
        else:
            self._unusable_in_row = 0
        return end

    def wait_after_refusal(self, clock: Clock) -> None:
        """Delay the next attempt."""
        self.not_before_ms = clock.now_ms() + REFUSED_WAIT_MS

    async def _relay(self, connection, mailbox, dialect):
        self.status = head = None
        self._dropped_bytes = 0
        splitter = EventSplitter()
        while True:
            tokens = self.call.prompt_tokens + self.last_event
            silence_ms = allowed_silence_ms(tokens, self._silent_in_row)
            events = await mailbox.take(silence_ms)
            if not events:
                end = self._classify_end(End.BROKEN, head, splitter, dialect)
                return ItemEnd.SILENT if end is ItemEnd.LOST else end
            size = 0
            for event in events:
                if isinstance(event, ResponseHead):
                    head = event
                    self.status = head.status
                    if not _is_usable(head, dialect):
                        return ItemEnd.UNUSABLE
                elif isinstance(event, End):
                    if connection.exceeded is not None:
                        return ItemEnd.UNUSABLE
                    return self._classify_end(event, head, splitter, dialect)
                else:
                    size += len(event)
                    if not self._take_part(connection, head, splitter, event):
                        return ItemEnd.UNUSABLE
            if not await self._grow(splitter):
                return ItemEnd.SILENT
            # Until then it counts as unread, which pauses the replica.
            connection.taken(size)

    def _take_part(self, connection, head, splitter, data):
        """Take a part of the body; return False if the run is of no use."""
        if 200 <= head.status < 300:
            return self._append_events(connection, splitter, data)
        return self._drop(connection, len(data))

    async def _grow(self, splitter):
        """Wait for memory; return False once the slot is better used."""
        size = self._characters + splitter.buffered_bytes
        for _ in range(MAX_GROW_WAITS):
            if self._revoked:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(GROW_WAIT_S):
                    await self._room.grow(size)
                    return True
        self._revoked = True
        return False

    def _drop(self, connection, size):
        """Count bytes that make no text; return False past their bound."""
        self._dropped_bytes += size
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            connection.exceed(Bound.BODY)
            return False
        return True

    def _append_events(self, connection, splitter, data):
        """Append the whole events; return False if one is malformed."""
        try:
            for event in splitter.feed(data):
                if event.number is None:
                    if not self._drop(connection, len(event.raw)):
                        return False
                    continue
                if event.number != self.last_event + 1:
                    return False
                self._append_text(event.data())
        except EventTooLong:
            connection.exceed(Bound.EVENT)
            return False
        except (EventOutOfOrder, UnicodeDecodeError):
            return False
        if self._characters > MAX_TEXT_CHARACTERS:
            connection.exceed(Bound.TEXT)
            # No other replica can complete it.
            self.restart()
            return False
        return True

    def _append_text(self, text):
        self._texts.append(text)
        self._characters += len(text) + 1
        self.origin = self._attempt_origin
        self.last_event += 1
        self._silent_in_row = 0

    def _classify_end(self, end, head, splitter, dialect):
        if end is End.UNSENT:
            return ItemEnd.NOT_RUN
        if head is None:
            return ItemEnd.LOST
        if dialect.proves_not_run(head):
            return ItemEnd.NOT_RUN
        if head.status == REJECTED_STATUS:
            return ItemEnd.IMPOSSIBLE
        if head.status >= 300:
            return ItemEnd.FAILED
        if end is End.BROKEN or splitter.rest:
            return ItemEnd.LOST
        return ItemEnd.DONE


def _is_usable(head, dialect):
    """Return whether a response, if it ends, decides on the item.

    A success adds to the text only if it is the replica's. No other status
    than these counts as a failure of the item.
    """
    if dialect.proves_not_run(head):
        return True
    is_decisive = 200 <= head.status < 300 or head.status in _DECISIVE_ERRORS
    return is_decisive and dialect.is_from_replica(head)


def _origin(replica):
    if not replica.version:
        return 0
    return origin_key(replica.service, replica.version)
