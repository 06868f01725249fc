"""Shift a process's wall clock: imported by Python itself at its start.

``SOAK_SKEW_MS`` shifts it from the start, and each SIGUSR1 by
``SOAK_JUMP_MS`` more.
"""

import os
import signal
import time

_shift_ms = [int(os.environ.get("SOAK_SKEW_MS", "0"))]
_jump_ms = int(os.environ.get("SOAK_JUMP_MS", "0"))
_time, _time_ns = time.time, time.time_ns

time.time = lambda: _time() + _shift_ms[0] / 1_000
time.time_ns = lambda: _time_ns() + _shift_ms[0] * 1_000_000


def _jump(number, frame):
    _shift_ms[0] += _jump_ms


signal.signal(signal.SIGUSR1, _jump)
