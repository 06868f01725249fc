"""The tasks of one owner: started, watched and ended together."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from dahliashunt.batch.messages import Key
from dahliashunt.batch.messages import TaskFailed

__all__ = ["TaskSet"]


class TaskSet:
    """Tasks whose failures are told as messages.

    Parameters
    ----------
    tell : callable
        Takes a `TaskFailed`.
    """

    def __init__(self, tell: Callable):
        self._tell = tell
        self._tasks: set[asyncio.Task] = set()

    def start(self, work: Coroutine, key: Key | None) -> asyncio.Task:
        """Start a task that works for a claim, or for all if `key` is None.

        A task that ended unseen in an error would leave its claim at rest
        for ever, under a lease that goes on being renewed.
        """
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)

        def ended(task):
            self._tasks.discard(task)
            if not task.cancelled() and task.exception() is not None:
                self._tell(TaskFailed(key, task.exception()))

        task.add_done_callback(ended)
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
