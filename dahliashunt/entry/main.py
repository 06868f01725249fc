"""Serve callers and operators, and own batch jobs.

Usage:
  dahliashunt-entry --settings FILE [--check-settings] [--log-level LEVEL]
  dahliashunt-entry --version
  dahliashunt-entry -h | --help

Options:
  --settings FILE    YAML settings.
  --check-settings   Only check the settings; exit 0 if they are right.
  --log-level LEVEL  debug, info, warning or error [default: info].
  --version          Print the version.
  -h --help          Print this.

Signals: the first SIGTERM or SIGINT lets requests in progress end and
refuses new ones as not run; a SIGINT after it stops at once.

Exit codes: 0 shut down gracefully, 1 failed, 2 settings are wrong,
3 stopped at once.

Examples
--------
  dahliashunt-entry --settings examples/poppenhersteld/entry-1.yaml
"""

import sys

from dahliashunt.daemon import run_daemon
from dahliashunt.entry.serve import serve
from dahliashunt.entry.settings import EntrySettings

__all__ = ["main"]


def main(argv=None) -> int:
    """Run the program; return its exit code."""
    return run_daemon(__doc__, EntrySettings, "dahliashunt-entry", serve, argv)


if __name__ == "__main__":
    sys.exit(main())
