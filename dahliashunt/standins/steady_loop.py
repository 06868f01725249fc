"""An event loop for tests, whose time stands still while it is stalled.

A test that serves a stand-in and calls it with timeouts of a fraction of a
second fails if its process gets no processor for as long: both sides miss
the time, and the timer is due before what had arrived is read.
"""

import asyncio
from collections.abc import Coroutine
import selectors

__all__ = ["SteadyEventLoop", "run_steadily"]

MAX_STEP_S = 0.002
"""Time that passes at most between two readings of the loop's clock."""


class _ShortSelector(selectors.DefaultSelector):
    """Waits for `MAX_STEP_S` at most, so that no wait looks like a stall."""

    def select(self, timeout=None):
        """Return what is ready, possibly nothing before `timeout`."""
        if timeout is None or timeout > MAX_STEP_S:
            timeout = MAX_STEP_S
        return super().select(timeout)


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers don't count the time of a stall."""

    def __init__(self):
        self._read_s: float | None = None
        self._stalled_s = 0.0
        super().__init__(_ShortSelector())

    def time(self) -> float:
        """Return seconds without those of stalls."""
        read_s = super().time()
        if self._read_s is not None:
            gap_s = read_s - self._read_s
            self._stalled_s += max(0.0, gap_s - MAX_STEP_S)
        self._read_s = read_s
        return read_s - self._stalled_s


def run_steadily(coroutine: Coroutine):
    """Run `coroutine` on a `SteadyEventLoop` and return its result."""
    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        return runner.run(coroutine)
