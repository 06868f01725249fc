"""Cut a stream of server-sent events into whole events.

References
----------
.. [1] WHATWG, HTML Living Standard, "Server-sent events".
"""

from dataclasses import dataclass

from dahliashunt.errors import EngineError

__all__ = ["Event", "EventCutter", "EventOutOfOrder"]

MAX_EVENT_BYTES = 1_048_576
"""A longer event is taken for a broken stream."""


class EventOutOfOrder(EngineError):
    """The events of a stream do not follow one another."""


@dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes
    ----------
    number : int or None
        Its id; None for a comment or an event without one.
    raw : bytes
        As it came, with its blank line.
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


class EventCutter:
    r"""Collects bytes and returns the events that are whole.

    Only whole events are passed on: a replica may stop in the middle of
    one, and the replica that goes on sends that event again from its
    start.

    Examples
    --------
    >>> cutter = EventCutter()
    >>> cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda")[0].number
    1
    >>> cutter.rest
    b'id: 2\nda'
    """

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that `data` completes.

        Raises
        ------
        EventOutOfOrder
            An event is longer than `MAX_EVENT_BYTES`.
        """
        data = self.rest + data
        events = []
        offset = 0
        while True:
            end, size = _blank_line(data, offset)
            if end < 0:
                break
            raw = data[offset : end + size]
            events.append(Event(_number(raw), raw))
            offset = end + size
        self.rest = data[offset:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventOutOfOrder("an event has no end")
        return events


def _blank_line(data, offset):
    plain = data.find(b"\n\n", offset)
    if b"\r" not in data:
        return plain, 2
    other = data.find(b"\r\n\r\n", offset)
    if other >= 0 and (plain < 0 or other < plain):
        return other, 4
    return plain, 2


def _number(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
