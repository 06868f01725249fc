"""Signals, exit codes, and the life of a program's main coroutine."""

import asyncio
import enum
import signal

__all__ = ["ExitCode", "Signals", "run_served"]


class ExitCode(enum.IntEnum):
    """Exit codes of the daemons."""

    OK = 0
    FAILED = 1
    SETTINGS = 2
    STOPPED_AT_ONCE = 3


class Signals:
    """SIGTERM and SIGINT: the first asks for a graceful shutdown.

    A repeated SIGTERM changes nothing, since a platform may send it again;
    whoever is at a terminal can interrupt the shutdown.

    Attributes
    ----------
    leave : asyncio.Event
        Set by the first signal.
    stop : asyncio.Event
        Set by a SIGINT after it: stop at once.
    """

    def __init__(self):
        self.leave = asyncio.Event()
        self.stop = asyncio.Event()

    def install(self) -> None:
        """Listen for signals on the running loop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.leave.set)
        loop.add_signal_handler(signal.SIGINT, self._interrupted)

    def _interrupted(self):
        if self.leave.is_set():
            self.stop.set()
        self.leave.set()

    def ignore(self) -> None:
        """Ignore SIGTERM and SIGHUP, also once the loop is closed.

        A loop that closes, or forgets a signal, restores the action that ends
        the process.
        """
        loop = asyncio.get_running_loop()
        numbers = {signal.SIGTERM, signal.SIGHUP}
        blocked = signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
        for number in numbers:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_SETMASK, blocked)


async def run_served(settings, serve, log) -> ExitCode:
    """Run `serve` until it ends, or an interrupt stops it at once."""
    signals = Signals()
    signals.install()
    served = asyncio.create_task(serve(settings, signals, log))
    stopped = asyncio.create_task(signals.stop.wait())
    await asyncio.wait({served, stopped}, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    signals.ignore()
    if served.done():
        served.result()
        return ExitCode.OK
    log.warning("stopped_at_once")
    served.cancel()
    await asyncio.wait({served}, timeout=1)
    return ExitCode.STOPPED_AT_ONCE
