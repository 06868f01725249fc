"""Queues of the waiting streams of an agent.

Load pattern: a burst above the capacity of the engine, and a small buffer of
batch items that fills idle seconds without a round trip.
"""

from collections import deque
from collections.abc import Iterator

from dahliashunt.decisions.streams import Stream

__all__ = ["WaitingStreams"]

_NEVER = 1 << 62


class WaitingStreams:
    """FIFO queues of online, batch and exclusive streams.

    Preempted streams go to the front, since they hold finished work, and
    don't expire.
    """

    def __init__(self):
        self.online: deque[Stream] = deque()
        self.batch: deque[Stream] = deque()
        self.alone: deque[Stream] = deque()
        self._earliest_ms = _NEVER

    def add(self, stream: Stream) -> None:
        """Add a new stream to the end of its queue."""
        self._queue(stream).append(stream)
        self._earliest_ms = min(self._earliest_ms, stream.work.start_by_ms)

    def put_back(self, stream: Stream) -> None:
        """Return a preempted stream to the front of its queue."""
        self._queue(stream).appendleft(stream)

    def remove(self, stream: Stream) -> None:
        """Remove a stream."""
        self._queue(stream).remove(stream)

    def clear(self) -> list[Stream]:
        """Remove and return all streams."""
        waiting = list(self)
        for queue in (self.alone, self.online, self.batch):
            queue.clear()
        return waiting

    def expired(self, now: int) -> list[Stream]:
        """Remove and return the streams that can't start in time any more.

        Preempted streams stay, since they did start in time.
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
        """Return the earliest time at which a stream may expire, or None.

        It is too early if that stream has left since; `expired` corrects it.
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
