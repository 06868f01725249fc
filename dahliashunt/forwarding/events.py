"""Split a stream of server-sent events into complete events.

References
----------
.. [1] WHATWG, HTML Living Standard, "Server-sent events".
"""

from dataclasses import dataclass

from dahliashunt.errors import EngineError

__all__ = ["Event", "EventOutOfOrder", "EventSplitter", "EventTooLong"]

MAX_EVENT_BYTES = 1_048_576
"""Longest event; a longer one ends the attempt."""


_CRLF_BLANK_LINE = b"\r\n\r\n"


class EventOutOfOrder(EngineError):
    """A stream's events are not consecutive, or one is too long."""


class EventTooLong(EventOutOfOrder):
    """An event exceeds `MAX_EVENT_BYTES`."""


@dataclass(frozen=True, slots=True)
class Event:
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
        """Return the joined ``data`` fields."""
        parts = []
        for line in self.raw.decode("utf-8").splitlines():
            name, _, value = line.partition(":")
            if name == "data":
                parts.append(value.removeprefix(" "))
        return "\n".join(parts)


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

    @property
    def rest(self) -> bytes:
        """Bytes of the event that is not complete yet."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that `data` completes.

        Bytes that were searched before are not searched again, so that an
        event in many small parts costs no more than in one.

        Raises
        ------
        EventTooLong
            An event exceeds `MAX_EVENT_BYTES`.
        """
        searched = max(0, len(self._buffer) - len(_CRLF_BLANK_LINE) + 1)
        self._buffer += data
        self._has_cr = self._has_cr or b"\r" in data
        events = []
        offset = 0
        while True:
            end, size = self._find_blank_line(max(offset, searched))
            if end < 0:
                break
            raw = bytes(self._buffer[offset : end + size])
            events.append(Event(_event_id(raw), raw))
            offset = end + size
        del self._buffer[:offset]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _find_blank_line(self, offset):
        lf_end = self._buffer.find(b"\n\n", offset)
        if not self._has_cr:
            return lf_end, 2
        crlf_end = self._buffer.find(_CRLF_BLANK_LINE, offset)
        if crlf_end >= 0 and (lf_end < 0 or crlf_end < lf_end):
            return crlf_end, 4
        return lf_end, 2


def _event_id(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
