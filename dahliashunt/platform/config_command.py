"""``dahliashunt-platform config check``: read, check, print."""

import asyncio
import enum
import gc
import json
import os
import sys

from dahliashunt.config_check.check import check_config
from dahliashunt.config_check.check import Report
from dahliashunt.config_check.config_file import ConfigFile
from dahliashunt.config_check.config_file import MAX_FILE_BYTES
from dahliashunt.config_check.config_file import read_config
from dahliashunt.config_check.findings import Severity
from dahliashunt.config_check.render import Baseline
from dahliashunt.config_check.render import json_report
from dahliashunt.config_check.render import text_report
from dahliashunt.errors import HistoryLost
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import SettingsError
from dahliashunt.platform.settings import load_settings
from dahliashunt.platform.settings import PlatformSettings

__all__ = ["CheckExit", "run_config_check"]

STANDARD_INPUT = "-"

READ_TRIES = 5
"""Calls of the store before it counts as unavailable. Its first timeout is
short, so that a slow store needs more than one."""

RETRY_MS = 200


class CheckExit(enum.IntEnum):
    """Exit codes of the check."""

    SOUND = 0
    WARNINGS = 1
    ERRORS = 2
    UNREADABLE = 3


class _Unreadable(Exception):
    """What was to be checked or compared with can't be read."""


def run_config_check(arguments: dict, settings_path: str) -> CheckExit:
    """Check a configuration and print the report; return the exit code.

    Parameters
    ----------
    arguments : dict
        As docopt returns them.
    settings_path : str
        Settings file, which names the platform's store.
    """
    # The records live until the process ends: collections of cyclic garbage
    # took a fifth of the time for 44,000 workspaces and freed nothing.
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return _check(arguments, settings_path)
    except _Unreadable as error:
        print(error, file=sys.stderr)
        return CheckExit.UNREADABLE
    except BrokenPipeError:
        # The reader, such as head, has gone. Without this the interpreter
        # writes a traceback when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return CheckExit.UNREADABLE
    finally:
        if was_enabled:
            gc.enable()


def _check(arguments, settings_path):
    file, against = arguments["FILE"], arguments["--against"]
    if file == against == STANDARD_INPUT:
        raise _Unreadable("standard input can be read only once")
    config = read_config(_read_file(file))
    other, baseline = None, None
    if against is not None:
        other = read_config(_read_file(against))
        baseline = _baseline(other, against)
    elif arguments["--in-force"]:
        data, age_writes = _read_in_force(settings_path)
        other = read_config(data)
        baseline = _baseline(other, "the version in force", age_writes)
    report = check_config(config, other, arguments["--in-force"])
    _print_report(arguments, report, baseline)
    return _exit_code(report, arguments["--strict"])


def _read_file(path):
    try:
        if path == STANDARD_INPUT:
            return sys.stdin.buffer.read(MAX_FILE_BYTES + 1)
        with open(path, "rb") as file:
            return file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not a file name"
        raise _Unreadable(f"{path}: {reason}") from None


def _baseline(other: ConfigFile, name, age_writes=None):
    if other.decoded is None:
        raise _Unreadable(f"{name}: nodes refuse it, so nothing is compared")
    return Baseline(name, other.decoded.records.revision, age_writes)


def _read_in_force(settings_path) -> tuple[bytes, int]:
    """Return the configuration in the store, and its age in writes."""
    if not settings_path:
        raise _Unreadable("--in-force: DAHLIASHUNT_CONFIG names no file")
    try:
        settings = load_settings(settings_path)
    except SettingsError as error:
        raise _Unreadable(str(error)) from None
    try:
        return asyncio.run(_read_row(settings))
    except (PlatformUnavailable, HistoryLost) as error:
        raise _Unreadable(f"the platform's store: {error}") from None


async def _read_row(settings: PlatformSettings):
    # Needed with --in-force only; these imports take most of a short check.
    from dahliashunt.adapters.clock import SystemClock
    from dahliashunt.adapters.http1 import ConnectionPool
    from dahliashunt.metrics import Metrics
    from dahliashunt.platform.listeners import CONFIG_KEY
    from dahliashunt.platform.store import PlatformStore

    clock = SystemClock()
    pool = ConnectionPool(clock)
    store = PlatformStore(
        settings.store.address,
        pool,
        clock,
        Metrics(settings.node_id),
        settings.store.object_bytes,
    )
    try:
        found = await _snapshot(store, CONFIG_KEY, clock)
    finally:
        pool.close()
    for row in found.rows:
        if row.key == CONFIG_KEY:
            written = row.version if type(row.version) is int else 0
            return row.value.encode(), max(0, found.version - written)
    raise _Unreadable("the platform has no configuration")


async def _snapshot(store, key, clock):
    for _ in range(READ_TRIES - 1):
        try:
            return await store.snapshot(key)
        except PlatformUnavailable:
            await clock.sleep_ms(RETRY_MS)
    return await store.snapshot(key)


def _print_report(arguments, report, baseline):
    if hasattr(sys.stdout, "reconfigure"):
        # A name may have characters that the terminal's encoding lacks.
        sys.stdout.reconfigure(errors="backslashreplace")
    file = arguments["FILE"]
    if arguments["--json"]:
        print(json.dumps(json_report(file, report, baseline), indent=2))
    else:
        print("\n".join(text_report(file, report, baseline)))
    sys.stdout.flush()


def _exit_code(report: Report, is_strict):
    if report.count(Severity.ERROR):
        return CheckExit.ERRORS
    if is_strict and report.count(Severity.WARNING):
        return CheckExit.WARNINGS
    return CheckExit.SOUND
