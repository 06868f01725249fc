"""Settings, logs and exit code of an entry or an agent."""

import asyncio
import os
import sys

from docopt import docopt
from docopt import DocoptExit

from dahliashunt.errors import SettingsError
from dahliashunt.logs import set_up_logs
from dahliashunt.platform.settings import LaunchOptions
from dahliashunt.platform.settings import load_settings
from dahliashunt.process import ExitCode
from dahliashunt.process import run_served
from dahliashunt.recent_lines import RecentLines

__all__ = ["run"]

CAP_POLICIES = ("equal-share", "metered")
"""Keys of `RATE_LIMIT_POLICIES`; repeated here because an agent does not
import its modules."""

CHECK_USAGE = 3
"""Exit code of a wrong call of the check: nothing was read."""

LAST_PORT = 65_535
SETTINGS_VARIABLE = "DAHLIASHUNT_CONFIG"


def run(usage: str, argv=None) -> int:
    """Run the program that `usage` describes; return its exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    arguments = _arguments(usage, argv)
    if arguments is None:
        return CHECK_USAGE
    if arguments["config"]:
        from dahliashunt.platform.config_command import run_config_check

        return run_config_check(arguments, path)
    try:
        settings = load_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return ExitCode.SETTINGS
    role = "entry" if arguments["entry"] else "agent"
    policy = arguments["--caps"]
    if policy not in CAP_POLICIES:
        print(
            f"--caps: expected equal-share or metered, got {policy}",
            file=sys.stderr,
        )
        return ExitCode.SETTINGS
    if arguments["--check-settings"]:
        print(f"{path}: ok")
        return ExitCode.OK
    if role == "agent" and settings.replica is None:
        print(
            f"{path}: app: expected the HOST:PORT of the agent's replica",
            file=sys.stderr,
        )
        return ExitCode.SETTINGS
    port = arguments["--metrics-port"]
    if not port.isdigit() or int(port) > LAST_PORT:
        print(
            f"--metrics-port: expected a port number, got {port}",
            file=sys.stderr,
        )
        return ExitCode.SETTINGS
    recent = RecentLines()
    log = set_up_logs(
        f"dahliashunt-{role}", settings.node_id, to_stdout=True, recent=recent
    )
    options = LaunchOptions(path, settings, int(port), recent, policy)
    try:
        return asyncio.run(run_served(options, _serve(role), log))
    except OSError as error:
        log.error("failed", reason=str(error))
        return ExitCode.FAILED


def _arguments(usage, argv):
    """Return the arguments; None after a wrong call of the check.

    Other wrong calls exit with 1, which a check uses for warnings.
    """
    words = sys.argv[1:] if argv is None else argv
    try:
        return docopt(usage, argv)
    except DocoptExit as error:
        if words[:1] != ["config"]:
            raise
        print(error, file=sys.stderr)
        return None


def _serve(role):
    # Imports only the modules of this role, which shortens start-up.
    if role == "entry":
        from dahliashunt.platform.serve_entry import serve_entry

        return serve_entry
    from dahliashunt.platform.serve_agent import serve_agent

    return serve_agent
