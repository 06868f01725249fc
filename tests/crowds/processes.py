"""One program of the system as a process, with its memory and descriptors."""

import asyncio
import json
import os
import pathlib
import signal
import sys

__all__ = ["MB", "Program", "check_limits"]

MB = 1_000_000
READY_WITHIN_S = 30
POLL_S = 0.02


def check_limits(pid, memory_bytes, descriptors):
    """Check a process's largest memory and its open descriptors."""
    peak = _peak_bytes(pid)
    print(f"{peak} bytes of memory at most")
    assert peak <= memory_bytes, (
        f"{peak} bytes of memory, {memory_bytes} at most"
    )
    count = len(os.listdir(f"/proc/{pid}/fd"))
    assert count <= descriptors, f"{count} descriptors, {descriptors} at most"


def _peak_bytes(pid):
    status = pathlib.Path(f"/proc/{pid}/status")
    for line in status.read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("the process has no memory")


class Program:
    """A process of the system under test.

    Parameters
    ----------
    folder : pathlib.Path
        For its settings and its log.
    name : str
    arguments : list of str
        Of the interpreter.
    variables : dict, optional
        Added to the environment.
    """

    def __init__(self, folder, name, arguments, variables=None):
        self._log = folder / f"{name}.log"
        self._arguments = arguments
        self._variables = variables or {}
        self._process = None

    async def start(self):
        """Start the process; its output goes to its log."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._arguments,
                stdout=log,
                stderr=log,
                env={**os.environ, **self._variables},
            )

    async def until_logged(self, event):
        """Wait for a line of the log with this event; return its fields."""
        async with asyncio.timeout(READY_WITHIN_S):
            while True:
                for line in self.lines():
                    if line.get("event") == event:
                        return line
                assert self.is_alive, self.text()
                await asyncio.sleep(POLL_S)

    def text(self):
        """Return all that the process wrote."""
        return self._log.read_text(errors="replace")

    def lines(self):
        """Return the structured lines of the log."""
        found = []
        for line in self.text().splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if isinstance(fields, dict):
                found.append(fields)
        return found

    @property
    def is_alive(self):
        """Whether the process runs."""
        return self._process.returncode is None

    @property
    def pid(self):
        """Process id."""
        return self._process.pid

    def terminate(self):
        """Ask the process to stop in order."""
        self._process.send_signal(signal.SIGTERM)

    async def ended(self):
        """Wait for the end of the process; return its exit code."""
        async with asyncio.timeout(READY_WITHIN_S):
            return await self._process.wait()

    async def stop(self):
        """End the process."""
        if self._process is not None and self.is_alive:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()
