"""Open-loop load against running entries.

Usage:
  dahliashunt-load run --plan=FILE [--out=FILE] [--rate=N] [--seconds=N]
                       [--seed=N]
  dahliashunt-load run --entry=URL... --key=KEY... --model=NAME
                       [--rate=N] [--seconds=N] [--seed=N] [--tokens=N]
                       [--streamed=SHARE] [--burst=AT:FOR:TIMES]...
                       [--batch-key=KEY] [--batch-items=N] [--batch-jobs=N]
                       [--check] [--out=FILE]
  dahliashunt-load compare A B
  dahliashunt-load plot RESULT... --out=FILE
  dahliashunt-load -h | --help

Options:
  --plan=FILE         YAML with the keys of dahliashunt.load.plan.Plan.
  --out=FILE          Result as JSON, or the plot as PNG.
  --rate=N            Online requests a second.
  --seconds=N         For how long.
  --seed=N            Of arrivals, lengths and callers.
  --tokens=N          Length of each answer.
  --streamed=SHARE    Share of requests that are streamed, 0 to 1.
  --burst=AT:FOR:TIMES  TIMES the rate, from second AT, for FOR seconds.
  --batch-key=KEY     Key of the caller whose batch jobs run beside.
  --batch-items=N     Items a job [default: 2000].
  --batch-jobs=N      Number of jobs [default: 1].
  --check             Compare each text with the stand-in engine's.

For example:
  dahliashunt-load run --plan=night.yaml --rate=100 --out=a.json
  dahliashunt-load plot a.json b.json --out=ab.png
"""

import asyncio
import dataclasses
import json
import pathlib
import sys

from docopt import docopt

from dahliashunt.errors import DahliashuntError
from dahliashunt.errors import SettingsError
from dahliashunt.load.plan import Plan
from dahliashunt.load.plan import plan_from_dict
from dahliashunt.load.plan import read_plan
from dahliashunt.load.runner import run_plan
from dahliashunt.load.tables import compared
from dahliashunt.load.tables import result_table

__all__ = ["main"]

_NUMBERS = {"--rate": "rate", "--seconds": "seconds", "--seed": "seed"}


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    args = docopt(__doc__, argv)
    try:
        if args["compare"]:
            print(compared(_read(args["A"]), _read(args["B"])))
        elif args["plot"]:
            _plot(args["RESULT"], args["--out"])
        else:
            _run(_plan(args), args["--out"])
    except (DahliashuntError, OSError, ValueError) as error:
        print(f"dahliashunt-load: {error}", file=sys.stderr)
        return 2
    return 0


def _run(plan, out):
    result = asyncio.run(run_plan(plan)).as_dict()
    print(result_table(result))
    if out:
        pathlib.Path(out).write_text(json.dumps(result, indent=1) + "\n")


def _plot(paths, out):
    from dahliashunt.load.plots import plot_results

    plot_results({pathlib.Path(p).stem: _read(p) for p in paths}, out)


def _plan(args) -> Plan:
    if args["--plan"]:
        plan = read_plan(args["--plan"])
        return dataclasses.replace(plan, **_numbers(args))
    found = {
        "entries": args["--entry"],
        "callers": [{"key": key} for key in args["--key"]],
        "model": args["--model"],
        "check": args["--check"],
        "bursts": [_burst(each) for each in args["--burst"]],
        **_numbers(args),
    }
    if args["--tokens"]:
        found["answer_tokens"] = {"mean": float(args["--tokens"])}
    if args["--streamed"]:
        found["streamed"] = float(args["--streamed"])
    if args["--batch-key"]:
        found["batch"] = {
            "key": args["--batch-key"],
            "items": int(args["--batch-items"]),
            "jobs": int(args["--batch-jobs"]),
        }
    return plan_from_dict(found)


def _numbers(args):
    return {
        name: int(args[option]) if name == "seed" else float(args[option])
        for option, name in _NUMBERS.items()
        if args[option]
    }


def _burst(text):
    parts = text.split(":")
    if len(parts) != 3:
        raise SettingsError(f"--burst: {text!r} is not AT:FOR:TIMES")
    at, lasting, times = map(float, parts)
    return {"at_s": at, "for_s": lasting, "times": times}


def _read(path):
    return json.loads(pathlib.Path(path).read_text())


if __name__ == "__main__":
    sys.exit(main())
