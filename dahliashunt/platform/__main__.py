"""Run an entry or an agent on the users' platform.

Usage:
  dahliashunt-platform entry [--metrics-port PORT] [--caps POLICY]
                             [--check-settings]
  dahliashunt-platform agent [--metrics-port PORT] [--check-settings]
  dahliashunt-platform -h | --help

Options:
  --metrics-port PORT  Serve metrics at /metrics on this port of the
                       machine's address; 0 serves none [default: 0].
  --caps POLICY        How the limits of workspaces bind all entries:
                       metered, by counts that a few agents keep, or
                       equal-share, by each entry alone [default: metered].
  --check-settings     Only check the settings; exit 0 if they are right.
  -h --help            Print this.

The environment variable DAHLIASHUNT_CONFIG names the platform's settings
file. Logs are JSON lines on standard output.

Signals: SIGTERM lets requests in progress end and then stops; SIGHUP, or
a change of the file without it, reads the settings again.

Exit codes: 0 stopped in order, 1 failed, 2 settings are wrong, 3 stopped
at once by a SIGINT after the signal.
"""

import asyncio
import os
import signal
import sys

from docopt import docopt

from dahliashunt.errors import SettingsError
from dahliashunt.logs import set_up_logs
from dahliashunt.platform.settings import LaunchOptions
from dahliashunt.platform.settings import load_settings
from dahliashunt.process import ExitCode
from dahliashunt.process import run_served
from dahliashunt.recent_lines import RecentLines

__all__ = ["main"]

CAP_POLICIES = ("equal-share", "metered")
"""Keys of `RATE_LIMIT_POLICIES`; repeated here because an agent does not
import its modules."""

LAST_PORT = 65_535
SETTINGS_VARIABLE = "DAHLIASHUNT_CONFIG"


def main(argv=None) -> int:
    """Run the program; return its exit code."""
    # Until the settings are watched; the default action ends the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    arguments = docopt(__doc__, argv)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return ExitCode.SETTINGS
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
    port = arguments["--metrics-port"]
    if not port.isdigit() or int(port) > LAST_PORT:
        print(
            f"--metrics-port: expected a port number, got {port}",
            file=sys.stderr,
        )
        return ExitCode.SETTINGS
    role = "entry" if arguments["entry"] else "agent"
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


def _serve(role):
    # Imports only the modules of this role, which shortens start-up.
    if role == "entry":
        from dahliashunt.platform.serve_entry import serve_entry

        return serve_entry
    from dahliashunt.platform.serve_agent import serve_agent

    return serve_agent


if __name__ == "__main__":
    sys.exit(main())
