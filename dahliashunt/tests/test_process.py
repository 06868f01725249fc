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
        loop = asyncio.get_running_loop()
        signals, handled = Signals(), asyncio.Event()
        signals.install()
        # Signals are handled in their order: the last one ends the wait.
        loop.add_signal_handler(signal.SIGUSR1, handled.set)
        for number in (*numbers, signal.SIGUSR1):
            os.kill(os.getpid(), number)
        await handled.wait()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1):
            loop.remove_signal_handler(number)
        assert signals.leave.is_set()
        return signals.stop.is_set()

    assert asyncio.run(main()) is stops


ENDS = """
import asyncio, os, signal, structlog
from dahliashunt.process import run_served

async def serve(settings, signals, log):
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, print)

asyncio.run(run_served(None, serve, structlog.get_logger()))
os.kill(os.getpid(), signal.SIGTERM)
os.kill(os.getpid(), signal.SIGHUP)
"""

STARTS = """
import os, signal
from dahliashunt.platform.__main__ import main

main(["entry", "--check-settings"])
os.kill(os.getpid(), signal.SIGHUP)
"""

IMPORTS = """
import os, runpy, signal, sys

class Interrupt:
    def find_spec(self, name, path=None, target=None):
        if name == "asyncio":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Interrupt())
sys.argv = ["dahliashunt-platform", "entry", "--help"]
runpy.run_module("dahliashunt.platform", run_name="__main__")
"""


@pytest.mark.parametrize(
    "program",
    [ENDS, STARTS, IMPORTS],
    ids=["ends", "starts", "imports"],
)
def test_a_signal_beside_the_loop_does_not_end_the_program(program):
    # Guards against exit codes of a signal, before the event loop listens
    # for signals and after it.
    done = subprocess.run([sys.executable, "-c", program], check=False)
    assert done.returncode == 0
