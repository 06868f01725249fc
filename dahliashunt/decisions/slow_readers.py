"""Which connections to end when peers read too slowly for the memory.

Load pattern
------------
Some callers read a response more slowly than it is produced, or not at all,
while others beside them read at once.

What goes wrong without it
--------------------------
Each connection is bounded: its writer waits while the write buffer is above
its mark. A few hundred slow connections together still fill the memory of a
small instance, and end the fast ones with it.

How
---
The bytes buffered for connections whose writers wait, and those read for them
and not written yet, are summed. Above the bound the connections that drained
the fewest bytes a millisecond are ended, until the sum fits. A connection is
not judged in the first `MIN_JUDGED_MS` of a wait; what those that have just
begun to wait hold is the most by which the sum can exceed its bound.

One of which nothing was read for `MAX_STALLED_MS` is ended in any case: it
keeps a slot of its replica.

Cost
----
An addition for each waiting connection at a check, and a sort if the sum
exceeds the bound.
"""

from collections.abc import Hashable
from dataclasses import dataclass

__all__ = ["SlowReaders"]

MIN_JUDGED_MS = 200
"""Milliseconds of a wait before its rate is judged. A reader that needs a
round trip for each window shows no progress for some tens of them."""

MAX_STALLED_MS = 60_000
"""Milliseconds without any progress after which a connection is ended. Proxies
commonly allow 60 s."""


@dataclass(slots=True)
class _Wait:
    since_ms: int
    first_bytes: int
    bytes: int
    progress_ms: int

    def rate(self, now_ms):
        """Return bytes drained per millisecond of the wait."""
        drained_bytes = self.first_bytes - self.bytes
        return drained_bytes / max(1, now_ms - self.since_ms)


class SlowReaders:
    """Connections whose writers wait for their readers.

    Parameters
    ----------
    max_bytes : int
        Bound of the bytes buffered for all of them.

    Examples
    --------
    >>> readers = SlowReaders(max_bytes=150)
    >>> for key in ("slow", "fast"):
    ...     readers.waits(key, 100, now_ms=0)
    >>> readers.check({"slow": 99, "fast": 60}, 0, now_ms=1_000)
    ['slow']
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self._wait_by_key: dict[Hashable, _Wait] = {}

    def __len__(self):
        return len(self._wait_by_key)

    def waits(self, key: Hashable, size: int, now_ms: int) -> None:
        """Note that `size` bytes wait for the reader of `key`."""
        self._wait_by_key[key] = _Wait(now_ms, size, size, now_ms)

    def goes_on(self, key: Hashable) -> None:
        """Note that the reader of `key` has caught up, or is gone."""
        self._wait_by_key.pop(key, None)

    def check(
        self, size_by_key: dict[Hashable, int], other_bytes: int, now_ms: int
    ) -> list[Hashable]:
        """Return the connections to end now, the slowest first.

        Parameters
        ----------
        size_by_key : dict
            Bytes that wait for each reader now.
        other_bytes : int
            Bytes read for all connections that are not in their buffers.
        now_ms : int
        """
        for key, wait in self._wait_by_key.items():
            size = size_by_key[key]
            if size < wait.bytes:
                wait.bytes = size
                wait.progress_ms = now_ms
        ended = [
            key
            for key, wait in self._wait_by_key.items()
            if now_ms - wait.progress_ms >= MAX_STALLED_MS
        ]
        # Bytes that were read for waiting connections are about equal shares.
        share = other_bytes // max(1, len(self._wait_by_key))
        total = other_bytes + sum(size_by_key.values())
        total -= sum(share + size_by_key[key] for key in ended)
        for key in self._slowest_first(now_ms):
            if total <= self.max_bytes:
                break
            if key not in ended:
                ended.append(key)
                total -= share + size_by_key[key]
        for key in ended:
            del self._wait_by_key[key]
        return ended

    def _slowest_first(self, now_ms):
        judged = [
            (wait.rate(now_ms), wait.since_ms, key)
            for key, wait in self._wait_by_key.items()
            if now_ms - wait.since_ms >= MIN_JUDGED_MS
        ]
        judged.sort(key=lambda each: each[:2])
        return [key for _, _, key in judged]
