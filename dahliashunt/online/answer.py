"""Receiving side of an answer: whole, in order, each event once.

An answer comes as chunks that carry the index of their first event. After
a link was moved to a new connection some events may come twice, and events
of the old connection may come late; a slow caller may have let some fall.
"""

from dahliashunt.errors import LinkError

__all__ = ["Answer", "AnswerGap"]

_EVENT_END = b"\n\n"


class AnswerGap(LinkError):
    """A chunk starts after the next event wanted; ask for a resume."""


class Answer:
    r"""How far an answer has come.

    Examples
    --------
    >>> answer = Answer()
    >>> answer.accept(0, 2, b"a\n\nb\n\n")
    b'a\n\nb\n\n'
    >>> answer.accept(1, 2, b"b\n\nc\n\n")
    b'c\n\n'
    >>> answer.is_whole(3)
    True
    """

    __slots__ = ("next_event",)

    def __init__(self):
        self.next_event = 0

    def accept(self, offset: int, events: int, data: bytes) -> bytes:
        """Return the part of `data` that is new.

        Parameters
        ----------
        offset : int
            Index of the first event in `data`.
        events : int
            How many events `data` holds.

        Raises
        ------
        AnswerGap
            Events before `offset` are missing. Nothing was taken: giving
            `data` out would join two parts of an answer that do not meet,
            which the caller could not see.
        """
        if offset > self.next_event:
            raise AnswerGap(f"event {self.next_event} wanted, got {offset}")
        end = offset + events
        if end <= self.next_event:
            return b""
        seen = self.next_event - offset
        self.next_event = end
        return _drop_events(data, seen) if seen else data

    def is_whole(self, total_events: int) -> bool:
        """Return whether all of `total_events` have come."""
        return self.next_event == total_events


def _drop_events(data, count):
    """Return `data` without its first `count` events."""
    at = 0
    for _ in range(count):
        at = data.index(_EVENT_END, at) + len(_EVENT_END)
    return data[at:]
