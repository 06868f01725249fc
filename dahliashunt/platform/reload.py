"""Read the settings file again, on SIGHUP or when it has changed.

The failure it guards against: SIGHUP ends a process that does not handle
it, in the middle of every answer; and a broken file must change nothing.
"""

import asyncio
import os
import signal

from dahliashunt.errors import SettingsError
from dahliashunt.platform.boot import Boot
from dahliashunt.platform.boot import load_boot
from dahliashunt.ports import Clock

__all__ = ["SettingsWatch"]

LOOK_MS = 500
"""Between looks at the file's time and size: a change that no signal
announces is in force within a second."""


class SettingsWatch:
    """Hands new settings to `apply` when the file at `path` changes.

    Parameters
    ----------
    path : str
    boot : Boot
        The settings in force.
    apply : callable
        Given the new `Boot`.
    clock : Clock
    log : structlog logger
    """

    def __init__(self, path: str, boot: Boot, apply, clock: Clock, log):
        self._path = path
        self._boot = boot
        self._apply = apply
        self._clock = clock
        self._log = log
        self._asked = asyncio.Event()
        self._mark = self._file_mark()

    def install(self) -> None:
        """Listen for SIGHUP on the running loop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._asked.set)

    async def run(self) -> None:
        """Watch for ever."""
        while True:
            try:
                async with asyncio.timeout(LOOK_MS / 1000):
                    await self._asked.wait()
            except TimeoutError:
                pass
            mark = self._file_mark()
            if self._asked.is_set() or mark != self._mark:
                self._asked.clear()
                self._mark = mark
                self.read_again()

    def _file_mark(self):
        try:
            status = os.stat(self._path)
        except OSError as error:
            self._log.warning("settings_unreadable", reason=str(error))
            return None
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def read_again(self) -> None:
        """Take over the file's settings, or keep those in force."""
        try:
            boot = load_boot(self._path)
        except SettingsError as error:
            self._log.error("settings_refused", reason=str(error))
            return
        changed = [
            name
            for name in Boot.__slots__
            if getattr(boot, name) != getattr(self._boot, name)
        ]
        self._boot = boot
        self._log.info("settings_read", changed=changed)
        self._apply(boot)
