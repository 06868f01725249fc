"""What every daemon does alike: arguments, settings, signals, exit codes."""

import asyncio
import sys

from docopt import docopt

from dahliashunt.errors import SettingsError
from dahliashunt.logs import set_up_logs
from dahliashunt.process import ExitCode
from dahliashunt.process import run_served
from dahliashunt.settings import load_settings
from dahliashunt.version import VERSION

__all__ = ["run_daemon"]


def run_daemon(usage, schema, program, serve, argv=None) -> int:
    """Run `serve` as a daemon; return its exit code.

    Parameters
    ----------
    usage : str
        docopt text with ``--settings FILE``, ``--check-settings`` and
        ``--log-level``.
    schema : type
        Dataclass of the settings; has ``node_id``.
    program : str
    serve : coroutine function
        Called with settings, `Signals` and the logger; returns when the
        shutdown is over.
    """
    arguments = docopt(usage, argv, version=f"{program} {VERSION}")
    try:
        settings = load_settings(arguments["--settings"], schema)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return ExitCode.SETTINGS
    if arguments["--check-settings"]:
        print(f"{arguments['--settings']}: ok")
        return ExitCode.OK
    log = set_up_logs(program, settings.node_id, arguments["--log-level"])
    try:
        return asyncio.run(run_served(settings, serve, log))
    except (SettingsError, OSError) as error:
        print(f"{program}: {error}", file=sys.stderr)
        if isinstance(error, SettingsError):
            return ExitCode.SETTINGS
        return ExitCode.FAILED
