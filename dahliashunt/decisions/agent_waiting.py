"""What waits in an agent: online, batch, and work that must run alone.

Load pattern: a burst above what the engine takes, and the small buffer of
batch items that fills idle seconds without a round trip. Preempted streams
go to the front of theirs, since they hold work done, and don't expire.
"""

from collections import deque
from collections.abc import Iterator

from dahliashunt.decisions.streams import Stream

__all__ = ["WaitingStreams"]

_NEVER = 1 << 62


class WaitingStreams:
    """Three queues, each first in first out.

    Preempted batch streams go to the front: they hold work done.
    """

    def __init__(self):
        self.online: deque[Stream] = deque()
        self.batch: deque[Stream] = deque()
        self.alone: deque[Stream] = deque()
        self._earliest_ms = _NEVER

    def add(self, stream: Stream) -> None:
        """Put a new stream last in its queue."""
        self._queue(stream).append(stream)
        self._earliest_ms = min(self._earliest_ms, stream.work.start_by_ms)

    def put_back(self, stream: Stream) -> None:
        """Put a preempted stream first in its queue."""
        self._queue(stream).appendleft(stream)

    def remove(self, stream: Stream) -> None:
        """Take a stream out."""
        self._queue(stream).remove(stream)

    def clear(self) -> list[Stream]:
        """Take all out and return them."""
        waiting = list(self)
        for queue in (self.alone, self.online, self.batch):
            queue.clear()
        return waiting

    def expired(self, now: int) -> list[Stream]:
        """Take out and return what should have started before now.

        A preempted stream did start in time, so it stays.
        """
        if now <= self._earliest_ms:
            return []
        late = [
            stream
            for stream in self
            if stream.work.start_by_ms < now and not stream.preemptions
        ]
        for stream in late:
            self.remove(stream)
        self._earliest_ms = self._earliest()
        return late

    def wake_ms(self) -> int | None:
        """Return when the first of them may expire, or None.

        Early by what left since: `expired` looks closer then.
        """
        if not (self.alone or self.online or self.batch):
            self._earliest_ms = _NEVER
            return None
        return self._earliest_ms + 1

    def __iter__(self) -> Iterator[Stream]:
        yield from self.alone
        yield from self.online
        yield from self.batch

    def _earliest(self) -> int:
        return min(
            (s.work.start_by_ms for s in self if not s.preemptions),
            default=_NEVER,
        )

    def _queue(self, stream: Stream) -> deque[Stream]:
        if stream.work.alone:
            return self.alone
        return self.online if stream.online else self.batch
