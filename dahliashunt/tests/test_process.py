"""Signals that end a program."""

import asyncio
import os
import signal
import subprocess
import sys

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


ENDS = """
import asyncio, os, signal, structlog
from dahliashunt.process import run_served

async def serve(settings, signals, log):
    return None

asyncio.run(run_served(None, serve, structlog.get_logger()))
os.kill(os.getpid(), signal.SIGTERM)
"""

STARTS = """
import os, signal
from dahliashunt.platform.__main__ import main

main(["entry", "--check-settings"])
os.kill(os.getpid(), signal.SIGHUP)
"""


@pytest.mark.parametrize("program", [ENDS, STARTS], ids=["ends", "starts"])
def test_a_signal_beside_the_loop_does_not_end_the_program(program):
    # Guards against exit codes of a signal, before the event loop listens
    # for signals and after it.
    done = subprocess.run([sys.executable, "-c", program], check=False)
    assert done.returncode == 0
