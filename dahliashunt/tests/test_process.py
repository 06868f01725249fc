"""Signals that end a program."""

import asyncio
import os
import signal

import pytest

from dahliashunt.process import Signals


@pytest.mark.parametrize(
    ("numbers", "stops"),
    [
        ((signal.SIGTERM, signal.SIGTERM), False),
        ((signal.SIGINT, signal.SIGTERM), False),
        ((signal.SIGINT, signal.SIGINT), True),
        ((signal.SIGTERM, signal.SIGINT), True),
    ],
    ids=["terminate twice", "interrupt", "interrupt twice", "both"],
)
def test_only_an_interrupt_cuts_a_graceful_shutdown(numbers, stops):
    # Guards against requests that are cut since the platform sent SIGTERM
    # again to a process that leaves already.
    async def main():
        signals = Signals()
        signals.install()
        for number in numbers:
            os.kill(os.getpid(), number)
            await asyncio.sleep(0)
            await signals.leave.wait()
        await asyncio.sleep(0.05)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().remove_signal_handler(number)
        return signals.stop.is_set()

    assert asyncio.run(main()) is stops
