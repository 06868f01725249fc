"""Stand-ins for the platform and the back ends, one role a process.

Usage:
  dahliashunt-standin ROLE [--host=H] [--port=P] [--seed=N]
                      [--set=KEY=VALUE]...
  dahliashunt-standin --help

Options:
  --host=H         Address to listen on [default: 127.0.0.1].
  --port=P         Port; 0 takes a free one [default: 0].
  --seed=N         Of the random source [default: 0].
  --set=KEY=VALUE  An option of the role.

Roles: table, objects, instances, weights, service, engine.
"""

import asyncio
from dataclasses import dataclass
import random
import signal
import sys

from docopt import docopt

from dahliashunt.errors import DahliashuntError
from dahliashunt.errors import SettingsError
from dahliashunt.standins.roles import create_app
from dahliashunt.standins.serving import serve

__all__ = ["main"]


@dataclass(frozen=True, slots=True)
class _Arguments:
    role: str
    host: str
    port: int
    seed: int
    options: dict[str, str]


def main(argv=None) -> int:
    """Run one stand-in until SIGTERM; return the exit status."""
    args = docopt(__doc__, argv)
    try:
        asyncio.run(_run(_parse(args)))
    except (DahliashuntError, OSError) as error:
        print(f"dahliashunt-standin: {error}", file=sys.stderr)
        return 2
    return 0


def _parse(args) -> _Arguments:
    try:
        port, seed = int(args["--port"]), int(args["--seed"])
    except ValueError as error:
        raise SettingsError(f"--port, --seed: {error}") from error
    options = _options(args["--set"])
    return _Arguments(args["ROLE"], args["--host"], port, seed, options)


def _options(settings) -> dict[str, str]:
    value_by_name = {}
    for setting in settings:
        name, equals, value = setting.partition("=")
        if not equals:
            raise SettingsError(f"--set {setting}: no KEY=VALUE")
        value_by_name[name] = value
    return value_by_name


async def _run(args):
    rng = random.Random(args.seed)
    app = create_app(args.role, args.options, rng=rng)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with serve(app, args.host, args.port) as url:
        print(f"ready {args.role} {url}", flush=True)
        await stop.wait()


if __name__ == "__main__":
    sys.exit(main())
