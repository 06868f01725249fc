"""Split a stream of server-sent events into complete events.

References
----------
.. [1] WHATWG, HTML Living Standard, "Server-sent events".
"""

import re
from typing import NamedTuple

from dahliashunt.errors import EngineError

__all__ = [
    "Event",
    "EventOutOfOrder",
    "EventSplitter",
    "EventTooLong",
    "TooManyEvents",
]

MAX_EVENT_BYTES = 1_048_576
"""Longest event; a longer one ends the attempt."""

MAX_ID_DIGITS = 18
"""Longest event id; `int` raises an error at some thousands of digits."""

_LINE_ENDS = b"\r\n"
_BLANK_LINE = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
_CR_BLANK_LINE = b"\r\r"
_LONGEST_BLANK_LINE = b"\r\n\r\n"

_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class EventOutOfOrder(EngineError):
    """A stream's events are not consecutive, or one is too long."""


class EventTooLong(EventOutOfOrder):
    """An event exceeds `MAX_EVENT_BYTES`."""


class TooManyEvents(EventOutOfOrder):
    """A stream has more events than its request can produce."""


class Event(NamedTuple):
    """One server-sent event.

    Attributes
    ----------
    number : int or None
        Event id; None for a comment or an event without a numeric id.
    raw : bytes
        Bytes as received, with the closing blank line.
    """

    number: int | None
    raw: bytes

    def data(self) -> str:
        """Return the joined ``data`` fields.

        Raises
        ------
        UnicodeDecodeError
            The event is not valid UTF-8.
        """
        values = [
            value for name, value in _fields(self.raw) if name == b"data"
        ]
        return b"\n".join(values).decode("utf-8")


class EventSplitter:
    r"""Buffers bytes and returns complete events.

    A replica may stop within an event; the replica that resumes the stream
    sends that event again from its start.

    Examples
    --------
    >>> cutter = EventSplitter()
    >>> cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda")[0].number
    1
    >>> cutter.rest
    b'id: 2\nda'
    """

    def __init__(self):
        self._buffer = bytearray()
        self._has_cr = False
        # Not the error: its traceback would keep this buffer alive.
        self._fault: tuple[type[EventOutOfOrder], str] | None = None

    @property
    def buffered_bytes(self) -> int:
        """Length of the event that is not complete yet."""
        return len(self._buffer)

    @property
    def rest(self) -> bytes:
        """Bytes of the event that is not complete yet."""
        return b"" if self.blank_lines else bytes(self._buffer)

    @property
    def blank_lines(self) -> bytes:
        """Further blank lines after the last event, which begin none."""
        is_blank = not self._buffer.strip(_LINE_ENDS)
        return bytes(self._buffer) if is_blank else b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that `data` completes.

        The events before one that raises an error are returned; `rest` holds
        that one, and the next call raises.

        Bytes that were searched before are not searched again, so that an
        event in many small parts costs no more than in one.

        Raises
        ------
        EventTooLong
            An event exceeds `MAX_EVENT_BYTES`.
        EventOutOfOrder
            An event's id exceeds `MAX_ID_DIGITS`.
        """
        self._raise_fault()
        unread, searched = data, 0
        if self._buffer:
            searched = max(0, len(self._buffer) - len(_LONGEST_BLANK_LINE) + 1)
            self._buffer += data
            unread = self._buffer
        self._has_cr = self._has_cr or b"\r" in data
        events = []
        offset = 0
        while True:
            end = _after_blank_line(
                unread, max(offset, searched), self._has_cr
            )
            if not end:
                break
            raw = bytes(unread[offset:end])
            try:
                events.append(Event(_event_id(raw), raw))
            except EventOutOfOrder as error:
                self._fault = (type(error), str(error))
                break
            offset = end
        if unread is data:
            if offset < len(data):
                self._buffer += data[offset:]
        else:
            del self._buffer[:offset]
        if len(self._buffer) > MAX_EVENT_BYTES:
            text = f"event exceeds {MAX_EVENT_BYTES} bytes"
            self._fault = (EventTooLong, text)
        if not events:
            self._raise_fault()
        return events

    def _raise_fault(self):
        if self._fault is not None:
            kind, text = self._fault
            raise kind(text)


def _after_blank_line(data, offset, has_cr):
    """Return the index after the next blank line, 0 without one.

    Lines end with LF, CRLF or CR, as the standard has it.
    """
    if not has_cr:
        found = data.find(b"\n\n", offset)
        return found + 2 if found >= 0 else 0
    match = _BLANK_LINE.search(data, offset)
    if match is None:
        return 0
    if match.end() == len(data) and match.group().endswith(b"\r"):
        # The other half of a CRLF may follow, unless lines end with CR.
        return match.end() if match.group() == _CR_BLANK_LINE else 0
    return match.end()


def _fields(raw):
    """Yield the names and values of an event's fields.

    Only LF, CR and CRLF end a line, as for `bytes.splitlines`; other
    separators, which `str.splitlines` splits at as well, are data.
    """
    for line in raw.removeprefix(_BYTE_ORDER_MARK).splitlines():
        name, _, value = line.partition(b":")
        yield name, value.removeprefix(b" ")


def _event_id(raw):
    if raw.startswith(b"id:"):
        # The usual form, whose other lines need not be split.
        text = raw[3 : raw.find(b"\n")].strip(b" ")
        if text.isdigit():
            return _number(text)
    for name, value in _fields(raw):
        if name == b"id":
            text = value.strip(b" ")
            return _number(text) if text.isdigit() else None
    return None


def _number(digits):
    if len(digits) > MAX_ID_DIGITS:
        raise EventOutOfOrder(f"an event id exceeds {MAX_ID_DIGITS} digits")
    return int(digits)
