"""Reload the settings file on SIGHUP or when it changes.

An invalid file leaves the settings in force. SIGHUP without a handler would
terminate the process.
"""

import asyncio
import os
import signal

from dahliashunt.errors import SettingsError
from dahliashunt.platform.settings import load_settings
from dahliashunt.platform.settings import PlatformSettings
from dahliashunt.ports import Clock

__all__ = ["SettingsWatch"]

POLL_INTERVAL_MS = 500
"""Interval between checks of the file; a change takes effect within 1 s."""


class SettingsWatch:
    """Pass new settings to `apply` when the file at `path` changes.

    Parameters
    ----------
    path : str
    settings : PlatformSettings
        The settings in force.
    apply : callable
        Called with the new `PlatformSettings`.
    clock : Clock
    log : structlog logger
    """

    def __init__(
        self, path: str, settings: PlatformSettings, apply, clock: Clock, log
    ):
        self._path = path
        self._settings = settings
        self._apply = apply
        self._clock = clock
        self._log = log
        self._reload_requested = asyncio.Event()
        self._seen_state = self._file_state()

    def install(self) -> None:
        """Handle SIGHUP on the running loop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)

    async def run(self) -> None:
        """Watch the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_MS / 1000):
                    await self._reload_requested.wait()
            except TimeoutError:
                pass
            state = self._file_state()
            if self._reload_requested.is_set() or state != self._seen_state:
                self._reload_requested.clear()
                self._seen_state = state
                self.reload_settings()

    def _file_state(self):
        try:
            status = os.stat(self._path)
        except OSError as error:
            self._log.warning("settings_unreadable", reason=str(error))
            return None
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def reload_settings(self) -> None:
        """Apply the file's settings; keep those in force if it is invalid."""
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            self._log.error("settings_refused", reason=str(error))
            return
        changed = [
            name
            for name in PlatformSettings.__slots__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._log.info("settings_read", changed=changed)
        self._apply(settings)
