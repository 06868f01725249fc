"""Structured logs: JSON lines, or coloured on a terminal."""

import logging
import os
import sys
import time

import structlog

from dahliashunt.recent_lines import RecentLines

__all__ = ["BoundedLoggerFactory", "set_up_logs"]

LINES_PER_S = 200
"""Lines a second that one process may write on average. A line costs some
40 us to make, so that logs take under 1% of a core."""

LINES_AT_ONCE = 400
"""Lines that may come in a burst."""


class BoundedLoggerFactory:
    """Makes loggers that drop lines instead of waiting.

    The failure it guards against: under overload each decision writes a
    line; a full pipe then blocks the event loop, or the lines take the
    processor from the requests that they tell of. Dropped lines are
    counted, and the count goes out with the next line that fits.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is set not to block.
    now_s : callable
        A monotonic clock in seconds.
    recent : RecentLines, optional
        Keeps what was written.
    """

    def __init__(
        self,
        descriptor: int,
        now_s=time.monotonic,
        recent: RecentLines | None = None,
    ):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now_s = now_s
        self._tokens = float(LINES_AT_ONCE)
        self._filled_s = now_s()
        self._cut = b""
        self._recent = recent
        self.dropped = 0

    def __call__(self, *args):
        """Return a logger; all share one budget."""
        return self

    def msg(self, message: str) -> None:
        """Write one line, or count it as dropped."""
        now_s = self._now_s()
        gained = (now_s - self._filled_s) * LINES_PER_S
        self._tokens = min(LINES_AT_ONCE, self._tokens + gained)
        self._filled_s = now_s
        if self._tokens < 1:
            self.dropped += 1
            return
        self._tokens -= 1
        if self._recent is not None:
            self._recent.add(message)
        self._write(message)

    log = debug = info = warn = warning = msg
    fatal = failure = err = error = critical = exception = msg

    def _write(self, message):
        line = message.encode() + b"\n"
        if self.dropped:
            line = b'{"event": "lines_dropped", "lines": %d}\n%s' % (
                self.dropped,
                line,
            )
        data = self._cut + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped += 1
            return
        self.dropped = 0
        # The rest of a line that was written in part goes out first next
        # time, so that lines never mix.
        self._cut = data[written:]


def set_up_logs(
    program: str,
    node_id: str,
    level: str = "info",
    to_stdout: bool = False,
    recent: RecentLines | None = None,
):
    """Configure `structlog` for a program; return its bound logger.

    Logs go to standard error, since standard output is for what a program
    was asked to print; with `to_stdout` they go there, bounded and never
    waiting for the reader.
    """
    if to_stdout:
        factory = BoundedLoggerFactory(sys.stdout.fileno(), recent=recent)
    else:
        factory = structlog.WriteLoggerFactory(sys.stderr)
    if not to_stdout and sys.stderr.isatty():
        renderer = structlog.dev.ConsoleRenderer()
    else:
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=factory,
    )
    return structlog.get_logger().bind(program=program, node=node_id)
