"""One process of the system under test."""

import asyncio
import json
import os
import signal
import sys

READY_WITHIN_S = 20
ENDS_WITHIN_S = 20


class ProcessFailed(AssertionError):
    """A process did not do what the scenario needs."""


class Process:
    """A program started by a scenario; its log lines are kept.

    Parameters
    ----------
    name : str
    module : str
        Run with ``python -m``.
    arguments : list of str
    """

    def __init__(self, name, module, arguments):
        self.name = name
        self.module = module
        self.arguments = arguments
        self.lines = []
        self.port = None
        self._process = None
        self._readers = []
        self._changed = asyncio.Event()

    @property
    def is_running(self):
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self):
        return self._process.pid

    @property
    def returncode(self):
        return self._process.returncode

    @property
    def events(self):
        """Structured log lines, oldest first."""
        return [line for line in self.lines if isinstance(line, dict)]

    async def start(self):
        """Start it and wait until it says that it is ready."""
        seen = len(self.lines)
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.module,
            *self.arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        self._readers = [
            asyncio.create_task(self._read(stream))
            for stream in (self._process.stdout, self._process.stderr)
        ]
        try:
            async with asyncio.timeout(READY_WITHIN_S):
                while not self._find_ready(seen):
                    await self._next_line()
        except TimeoutError:
            raise ProcessFailed(f"{self.name} is not ready") from None

    def _find_ready(self, seen):
        for line in self.lines[seen:]:
            if isinstance(line, dict) and line.get("event") == "ready":
                self.port = line["port"]
                return True
            if isinstance(line, str) and line.startswith("ready "):
                self.port = int(line.rsplit(":", 1)[1])
                return True
        if self._process.returncode is not None:
            raise ProcessFailed(
                f"{self.name} ended at once:\n"
                + "\n".join(str(line) for line in self.lines[seen:])
            )
        return False

    async def _read(self, stream):
        while raw := await stream.readline():
            text = raw.decode("utf-8", "replace").rstrip()
            try:
                self.lines.append(json.loads(text))
            except ValueError:
                self.lines.append(text)
            self._changed.set()
        self._changed.set()

    async def _next_line(self):
        self._changed.clear()
        try:
            async with asyncio.timeout(0.2):
                await self._changed.wait()
        except TimeoutError:
            return

    def send_signal(self, number):
        if self.is_running:
            os.kill(self._process.pid, number)

    async def kill(self):
        self.send_signal(signal.SIGKILL)
        await self.ended()

    def freeze(self):
        self.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.send_signal(signal.SIGCONT)

    def terminate(self):
        self.send_signal(signal.SIGTERM)

    async def ended(self):
        """Wait for its end; return the exit code."""
        async with asyncio.timeout(ENDS_WITHIN_S):
            await self._process.wait()
            await asyncio.gather(*self._readers)
        return self._process.returncode

    async def close(self):
        """Stop whatever state it is in."""
        if self.is_running:
            self.thaw()
            await self.kill()
