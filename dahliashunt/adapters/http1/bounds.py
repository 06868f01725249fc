"""Bounds of what is read from another process for one message.

A peer may send bytes that never become a valid message. The parser holds an
incomplete line, and any number of complete ones, for as long as they come.
`MessageMeter` counts bytes that are not body, and stops the parser at a
bound. Its cost is an addition for each read, field and part of a body.
"""

import enum

from dahliashunt.errors import DahliashuntError

__all__ = [
    "Bound",
    "BoundExceeded",
    "MessageMeter",
    "is_final_status",
]

MAX_HEAD_BYTES = 65_536
"""Names and values of one message's header or trailer fields together. Heads
of honest peers are below 8 KB; servers commonly accept 8 to 64 KB."""

MAX_FIELD_BYTES = 32_768
"""Name and value of one field. Long honest ones are cookies and tokens, of
4 to 16 KB."""

MAX_FIELDS = 256
"""Fields of one message, head and trailers together. Honest heads have up to
some 50."""

MAX_FRAMING_BYTES = 65_536
"""Bytes beyond `MAX_HEAD_BYTES` that are received without progress of the
body: a start line, separators, chunk sizes and extensions. One read (256 KB
in asyncio) can exceed it before it is checked."""

FRAMING_BYTES_PER_BODY_BYTE = 16
"""Framing bytes that one body byte accounts for. A chunk of one byte has five
bytes of framing."""

_BYTES_PER_BODY_BYTE = 1 + FRAMING_BYTES_PER_BODY_BYTE

MAX_INTERIM_RESPONSES = 16
"""Interim (1xx) responses before a response. Honest peers send one or two."""

MAX_SKIPPED_BYTES = 1_048_576
"""Body bytes of late responses to earlier requests that are read and dropped
before the expected response."""


class Bound(enum.Enum):
    """What exceeded its bound; the value is a label of logs and metrics."""

    HEAD = "head_bytes"
    FIELD = "field_bytes"
    FIELDS = "fields"
    FRAMING = "framing_bytes"
    INTERIM = "interim_responses"
    SKIPPED = "skipped_bytes"
    BODY = "body_bytes"
    EVENT = "event_bytes"
    EVENTS = "events"
    TEXT = "text_bytes"
    PIPELINE = "pipelined_requests"
    MEMORY = "memory"
    STATUS = "status"


def is_final_status(status: int) -> bool:
    """Return whether a final response may have this status.

    Examples
    --------
    >>> [is_final_status(status) for status in (0, 100, 200, 599, 600)]
    [False, False, True, True, False]

    References
    ----------
    .. [1] RFC 9110, "HTTP Semantics", section 15.
    """
    return 200 <= status <= 599


class BoundExceeded(DahliashuntError):
    """A message exceeds a bound, and is not read further.

    Attributes
    ----------
    bound : Bound
    """

    def __init__(self, bound: Bound):
        super().__init__(f"{bound.value} exceeded")
        self.bound = bound


class MessageMeter:
    """Counts what is received beside the bodies of successive messages.

    Parameters
    ----------
    head_bytes, fields : int
        Bounds of each message's fields.

    Attributes
    ----------
    exceeded : Bound or None
        The first bound that was exceeded.

    Examples
    --------
    >>> meter = MessageMeter()
    >>> meter.received(MAX_HEAD_BYTES + MAX_FRAMING_BYTES)
    >>> meter.check()
    >>> meter.body(1)
    >>> meter.received(100)
    >>> meter.check()
    Traceback (most recent call last):
        ...
    dahliashunt.adapters.http1.bounds.BoundExceeded: framing_bytes exceeded
    """

    __slots__ = (
        "_field_count",
        "_framing_bytes",
        "_head_bytes",
        "_interim",
        "_max_fields",
        "_max_framing_bytes",
        "_max_head_bytes",
        "_skipped_bytes",
        "exceeded",
    )

    def __init__(
        self, head_bytes: int = MAX_HEAD_BYTES, fields: int = MAX_FIELDS
    ):
        self._max_head_bytes = head_bytes
        self._max_framing_bytes = head_bytes + MAX_FRAMING_BYTES
        self._max_fields = fields
        self.exceeded: Bound | None = None
        self._framing_bytes = 0
        self._interim = 0
        self._skipped_bytes = 0
        self.begin()

    @property
    def framing_bytes(self) -> int:
        """Bytes received beside the body of the incomplete message."""
        return self._framing_bytes

    def begin(self) -> None:
        """Count the fields of a new message."""
        self._head_bytes = 0
        self._field_count = 0

    def end(self) -> None:
        """Note that a message is complete, so that its framing has ended."""
        self._framing_bytes = 0

    def received(self, size: int) -> None:
        """Count `size` bytes before the parser gets them."""
        self._framing_bytes += size

    def check(self) -> None:
        """Check the framing after the parser has taken what was received.

        Raises
        ------
        BoundExceeded
        """
        if self._framing_bytes > self._max_framing_bytes:
            self.fail(Bound.FRAMING)

    def field(self, size: int) -> None:
        """Count one field, or a part of the start line, of `size` bytes.

        Raises
        ------
        BoundExceeded
        """
        self._head_bytes += size
        self._field_count += 1
        if size > MAX_FIELD_BYTES:
            self.fail(Bound.FIELD)
        if self._head_bytes > self._max_head_bytes:
            self.fail(Bound.HEAD)
        if self._field_count > self._max_fields:
            self.fail(Bound.FIELDS)

    def interim(self) -> None:
        """Count an interim response.

        Raises
        ------
        BoundExceeded
        """
        self._interim += 1
        if self._interim > MAX_INTERIM_RESPONSES:
            self.fail(Bound.INTERIM)

    def body(self, size: int) -> None:
        """Note that `size` bytes of those received were body."""
        left_bytes = self._framing_bytes - size * _BYTES_PER_BODY_BYTE
        self._framing_bytes = left_bytes if left_bytes > 0 else 0

    def progress(self, size: int, body_bytes: int) -> None:
        """Count a read of `size` bytes, `body_bytes` of them body.

        The same as `received`, `body` and `check`, in one call.

        Raises
        ------
        BoundExceeded
        """
        left_bytes = self._framing_bytes + size
        left_bytes -= body_bytes * _BYTES_PER_BODY_BYTE
        self._framing_bytes = left_bytes if left_bytes > 0 else 0
        if left_bytes > self._max_framing_bytes:
            self.fail(Bound.FRAMING)

    def skipped(self, size: int) -> None:
        """Count body bytes that are dropped.

        Raises
        ------
        BoundExceeded
        """
        self._framing_bytes -= size
        self._skipped_bytes += size
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            self.fail(Bound.SKIPPED)

    def fail(self, bound: Bound) -> None:
        """Record that `bound` is exceeded, and raise.

        Raises
        ------
        BoundExceeded
        """
        if self.exceeded is None:
            self.exceeded = bound
        raise BoundExceeded(bound)
