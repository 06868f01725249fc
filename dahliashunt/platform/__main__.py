"""Run an entry or an agent on the users' platform, or check a configuration.

Usage:
  dahliashunt-platform entry [--metrics-port PORT] [--caps POLICY]
                             [--check-settings]
  dahliashunt-platform agent [--metrics-port PORT] [--check-settings]
  dahliashunt-platform config check FILE [--against OLD | --in-force]
                                    [--strict] [--json]
  dahliashunt-platform -h | --help

Options:
  --metrics-port PORT  Serve metrics at /metrics on this port of the
                       machine's address; 0 serves none [default: 0].
  --caps POLICY        How the limits of workspaces bind all entries:
                       metered, by counts that a few agents keep, or
                       equal-share, by each entry alone [default: metered].
  --check-settings     Only check the settings; exit 0 if they are right.
  --against OLD        Report the differences from the file OLD as well.
  --in-force           Report the differences from the platform's version.
  --strict             Exit with 1 if there are warnings only.
  --json               Print the report as a JSON object.
  -h --help            Print this.

config check reports what nodes would refuse or leave out of the configuration
in FILE, or on standard input if FILE is -, and what can have no effect. It
changes nothing and never prints a key. --in-force reads the platform's store.

The environment variable DAHLIASHUNT_CONFIG names the platform's settings
file. Logs are JSON lines on standard output.

Signals: SIGTERM lets requests in progress end and then stops; SIGHUP, or
a change of the file without it, reads the settings again.

Exit codes: 0 stopped in order, 1 failed, 2 settings are wrong, 3 stopped
at once by a SIGINT after the signal. Of config check: 0 sound, 1 warnings
only, with --strict, 2 errors, 3 could not read.
"""

import signal
import sys

__all__ = ["main"]


def main(argv=None) -> int:
    """Run the program; return its exit code."""
    # Until the settings are watched; the default action ends the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Its imports take most of the start, so that they come after that.
    from dahliashunt.platform.program import run

    return run(__doc__, argv)


if __name__ == "__main__":
    sys.exit(main())
