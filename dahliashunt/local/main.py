"""Serve the whole system in one process, to try it.

Usage:
  dahliashunt-local [--port PORT] [--log-level LEVEL]
  dahliashunt-local --version
  dahliashunt-local -h | --help

Options:
  --port PORT        Port on 127.0.0.1; 0 takes a free one [default: 8080].
  --log-level LEVEL  debug, info, warning or error [default: warning].
  --version          Print the version.
  -h --help          Print this.

API key and operator key are "local", the model is "repair-notes". The
engine is a stand-in that makes words up. Nothing is kept.

Exit codes: 0 shut down gracefully, 1 failed, 3 stopped at once.

Examples
--------
  dahliashunt-local --port 8080
"""

import asyncio
import sys

from docopt import docopt

from dahliashunt.local.fleet import KEY
from dahliashunt.local.fleet import MODEL
from dahliashunt.local.fleet import serve_local
from dahliashunt.logs import set_up_logs
from dahliashunt.process import ExitCode
from dahliashunt.process import Signals
from dahliashunt.version import VERSION

__all__ = ["main"]


def main(argv=None) -> int:
    """Run the program; return its exit code."""
    arguments = docopt(__doc__, argv, version=f"dahliashunt-local {VERSION}")
    log = set_up_logs("dahliashunt-local", "local", arguments["--log-level"])
    return asyncio.run(_run(int(arguments["--port"]), log))


async def _run(port, log):
    signals = Signals()
    signals.install()

    def ready(port):
        print(
            f"ready http://127.0.0.1:{port} key {KEY} model {MODEL}",
            flush=True,
        )

    served = asyncio.create_task(serve_local(port, signals, log, ready))
    stopped = asyncio.create_task(signals.stop.wait())
    await asyncio.wait({served, stopped}, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    if not served.done():
        served.cancel()
        return ExitCode.STOPPED_AT_ONCE
    try:
        served.result()
    except OSError as error:
        print(f"dahliashunt-local: {error}", file=sys.stderr)
        return ExitCode.FAILED
    return ExitCode.OK


if __name__ == "__main__":
    sys.exit(main())
