"""The message queue between tasks of one process."""

import asyncio
import collections

__all__ = ["Mailbox"]


class Mailbox:
    """Messages for one task, which takes all that wait at one wake-up.

    Taking many at a time is what makes relaying cheap: a burst of chunks
    costs its receiver one switch of tasks instead of one each.

    Examples
    --------
    >>> async def main():
    ...     box = Mailbox()
    ...     box.put(1)
    ...     box.put(2)
    ...     return await box.take()
    >>> asyncio.run(main())
    [1, 2]
    """

    __slots__ = ("_messages", "_waiter")

    def __init__(self):
        self._messages = collections.deque()
        self._waiter = None

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message) -> None:
        """Add `message` and wake the receiver."""
        self._messages.append(message)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def put_back(self, message) -> None:
        """Add `message` in front: it was taken and is not used yet."""
        self._messages.appendleft(message)

    async def take(self, timeout_ms: int | None = None) -> list:
        """Return all waiting messages, at least one.

        With `timeout_ms`, an empty list if none came in that time.
        """
        if not self._messages:
            await self._wait(timeout_ms)
        messages = list(self._messages)
        self._messages.clear()
        return messages

    async def _wait(self, timeout_ms):
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        timer = None
        if timeout_ms is not None:
            timer = loop.call_later(timeout_ms / 1000, _wake, waiter)
        try:
            await waiter
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()


def _wake(waiter):
    if not waiter.done():
        waiter.set_result(None)
