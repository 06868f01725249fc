"""One batch item on its way: attempts at replicas, and its text so far."""

import enum

from dahliashunt.adapters.http1 import ConnectFailed
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http1 import End
from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.events import EventOutOfOrder
from dahliashunt.forwarding.events import EventSplitter
from dahliashunt.forwarding.ports import ReplicaDialect
from dahliashunt.forwarding.reservation import Reservation
from dahliashunt.ids import JobId
from dahliashunt.jobs.partials import Partial
from dahliashunt.ports import Clock

__all__ = ["ItemEnd", "ItemRun"]

SILENCE_MS = 1_500
"""An item's replica that sends nothing for so long is left. Tokens come
every few milliseconds, ten times as slowly at a slowed replica; what was
made is kept, so that leaving costs a prompt's reading only."""

CRASH_LOSSES = 3
"""Losses in a row without an event after which an item is suspected to
crash its replicas, and waits `CRASHED_WAIT_MS` before each further try."""

CRASHED_WAIT_MS = 15_000
"""Longer than replicas need to come back: a crashing item then takes one
replica down now and then, instead of all of them one after another."""

REFUSED_WAIT_MS = 100
"""Before an item that a replica refused is tried again. Without it one
item and a replica that was replaced made 250 attempts a second."""

MAX_IDLE_MS = 3_000
"""Idle time of a connection that an item may take."""


class ItemEnd(enum.Enum):
    """How an attempt at a replica ended."""

    DONE = "done"
    REVOKED = "revoked"
    """Its slot was taken back for an online request."""

    NOT_RUN = "not_run"
    LOST = "lost"
    FAILED = "failed"
    """The replica ran it and answered with a failure of its own."""

    IMPOSSIBLE = "impossible"
    """The replica says that the item can never be done."""


class ItemRun:
    """An item's text and failures over all its attempts.

    Parameters
    ----------
    index : int
        Of the item in its job.
    call : Call
    due_ms, abandon_ms : int
        Monotonic times of this node.

    Attributes
    ----------
    failures : int
        Failures that its replicas answered.
    not_before_ms : int
        It is not to be tried again sooner.
    ran_ms : int
        How long it has held slots here; what it made is kept.
    started_ms : int or None
        When it first held one here.
    revokes : int
        How often its slot was taken back.
    last_event : int
        It has the events up to here.
    saved_event : int
        The store has its text up to here.
    """

    def __init__(self, index: int, call: Call, due_ms: int, abandon_ms: int):
        self.index = index
        self.call = call
        self.due_ms = due_ms
        self.abandon_ms = abandon_ms
        self.failures = 0
        self.not_before_ms = 0
        self.ran_ms = 0
        self.started_ms: int | None = None
        self.revokes = 0
        self.last_event = 0
        self.saved_event = 0
        self._losses = 0
        self._texts: list[str] = []
        self._connection = None
        self._revoked = False

    @property
    def text(self) -> str:
        """Data of all events so far, joined by line feeds."""
        return "\n".join(self._texts)

    def partial(self, job_id: JobId) -> Partial:
        """Return what it has, to be kept."""
        return Partial(job_id, self.index, self.last_event, self.text)

    def resume(self, partial: Partial) -> None:
        """Go on from what was kept of it, before its first attempt."""
        self.last_event = self.saved_event = partial.last_event
        self._texts = [partial.text]

    def is_ready(self, now_ms: int) -> bool:
        """Tell whether it may be tried, or is to be given up, now."""
        return now_ms >= min(self.not_before_ms, self.abandon_ms)

    def revoke(self) -> None:
        """Stop the attempt in progress: its slot is wanted elsewhere."""
        self._revoked = True
        if self._connection is not None:
            self._connection.abort()

    async def attempt(
        self,
        reservation: Reservation,
        pool: ConnectionPool,
        dialect: ReplicaDialect,
        clock: Clock,
    ) -> ItemEnd:
        """Run the item at `reservation`, from its last event on."""
        address = reservation.replica.address
        try:
            connection = await pool.take(address, MAX_IDLE_MS)
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
        began_ms = clock.now_ms()
        if self.started_ms is None:
            self.started_ms = began_ms
        end = ItemEnd.LOST
        try:
            end = await self._relay(connection, mailbox, dialect)
        finally:
            self._connection = None
            self.ran_ms += clock.now_ms() - began_ms
            if end in (ItemEnd.LOST, ItemEnd.REVOKED):
                connection.abort()
            pool.give_back(address, connection)
        return self._record_end(end, clock)

    def _record_end(self, end, clock):
        if self._revoked:
            self._revoked = False
            if end is ItemEnd.LOST:
                self.revokes += 1
                return ItemEnd.REVOKED
        if end is ItemEnd.FAILED:
            self.failures += 1
        if end is ItemEnd.NOT_RUN:
            self.not_before_ms = clock.now_ms() + REFUSED_WAIT_MS
        if end is ItemEnd.LOST:
            self._losses += 1
            if self._losses >= CRASH_LOSSES:
                self.not_before_ms = clock.now_ms() + CRASHED_WAIT_MS
        return end

    async def _relay(self, connection, mailbox, dialect):
        head = None
        splitter = EventSplitter()
        while True:
            events = await mailbox.take(SILENCE_MS)
            if not events:
                return ItemEnd.LOST
            for event in events:
                if isinstance(event, ResponseHead):
                    head = event
                elif isinstance(event, End):
                    return self._classify_end(event, head, splitter, dialect)
                else:
                    connection.taken(len(event))
                    if 200 <= head.status < 300 and not self._append_events(
                        splitter, event
                    ):
                        return ItemEnd.LOST

    def _append_events(self, splitter, data):
        """Keep the text of whole events; False if they do not follow."""
        try:
            for event in splitter.feed(data):
                if event.number is None:
                    continue
                if event.number != self.last_event + 1:
                    return False
                self.last_event = event.number
                self._texts.append(event.data())
                self._losses = 0
        except EventOutOfOrder:
            return False
        return True

    def _classify_end(self, end, head, splitter, dialect):
        if end is End.UNSENT:
            return ItemEnd.NOT_RUN
        if end is End.BROKEN or head is None:
            return ItemEnd.LOST
        if dialect.proves_not_run(head):
            return ItemEnd.NOT_RUN
        if head.status == 422:
            return ItemEnd.IMPOSSIBLE
        if head.status >= 300:
            return ItemEnd.FAILED
        if splitter.rest or not dialect.is_signed(head):
            return ItemEnd.LOST
        return ItemEnd.DONE
