"""Stand beside one endpoint and guard what reaches it.

Usage:
  dahliashunt-agent --settings FILE [--check-settings] [--log-level LEVEL]
  dahliashunt-agent --version
  dahliashunt-agent -h | --help

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
  dahliashunt-agent --settings examples/poppenhersteld/agent-1.yaml
"""

import sys

from dahliashunt.agent.serve import serve
from dahliashunt.agent.settings import AgentSettings
from dahliashunt.daemon import run_daemon

__all__ = ["main"]


def main(argv=None) -> int:
    """Run the program; return its exit code."""
    return run_daemon(__doc__, AgentSettings, "dahliashunt-agent", serve, argv)


if __name__ == "__main__":
    sys.exit(main())
