"""Measure an example fleet as real processes with `dahliashunt-load`.

Usage:
  fleet_load.py NAME [--parts=LIST] [--repeats=N] [--seconds=N]
                     [--out=FILE] [--seed=N]
  fleet_load.py tables FILE...
  fleet_load.py -h | --help

Options:
  --parts=LIST   Of alone,beside,bursts,overload,hot,after_burst,
                 after_loss; all without it.
  --repeats=N    Of each run, with another seed each [default: 3].
  --seconds=N    Of each run [default: 4].
  --seed=N       Of the first repeat [default: 1].
  --out=FILE     Rows as JSON, written after each run.

Ports of the example fleets are fixed: one at a time on a machine.
"""

import asyncio
import json
import os
import pathlib
import statistics
import subprocess
import sys

from docopt import docopt

from dahliashunt.load import plan_from_dict
from dahliashunt.load import run_plan
from examples.fleet import ExampleFleet

MODELS = {"poppenhersteld": "repair-notes", "breakyard": "parts-lists"}
ONLINE = {"poppenhersteld": "example-bench", "breakyard": "example-foremen"}
BATCH = {"poppenhersteld": "example-museum", "breakyard": "example-intake"}
LONG_TOKENS = {"kind": "lognormal", "mean": 64, "spread": 0.4}
PAUSE_S = 1.0
BATCH_S = 10
"""Of a run beside batch: items count once committed, which may take five
seconds, so a shorter window would show little but the steps."""

RAMP = (60, 100, 160, 250, 400)
RATES = (20, 100, 300)
BURSTS = (3, 6)
ITEMS = 9000
PARTS = {}


def part(name):
    """Add an experiment to the registry under `name`."""

    def add(function):
        PARTS[name] = function
        return function

    return add


class Bench:
    """Runs plans against one example fleet and keeps rows."""

    def __init__(self, name, seconds, out, repeat, seed):
        self.name = name
        self.seconds = seconds
        self.rows = []
        self.repeat = repeat
        self.seed = seed
        self.fleet = None
        self._out = out

    async def run(self, label, **values):
        """Run one plan; return its result."""
        plan = plan_from_dict(
            {
                "entries": list(self.fleet.entries),
                "callers": [{"key": ONLINE[self.name]}],
                "model": MODELS[self.name],
                "seconds": self.seconds,
                "seed": self.seed,
                "check": True,
                **values,
            }
        )
        result = (await run_plan(plan)).as_dict()
        self.keep(label, _row(result))
        await asyncio.sleep(PAUSE_S)
        return result

    def keep(self, label, row):
        """Add a row and write all of them."""
        full = {
            "fleet": self.name,
            "label": label,
            "repeat": self.repeat,
            "seed": self.seed,
            "load_average": os.getloadavg()[0],
            **row,
        }
        self.rows.append(full)
        print(json.dumps(full), flush=True)
        if self._out:
            text = json.dumps({"commit": _commit(), "rows": self.rows})
            pathlib.Path(self._out).write_text(text + "\n")

    def batch(self):
        """Return the plan's part for a job beside."""
        return {"key": BATCH[self.name], "items": ITEMS, "lead_s": 3}


@part("alone")
async def alone(bench):
    """Measure online load with no batch."""
    for rate in RATES:
        await bench.run(f"{rate}/s alone", rate=rate)


@part("beside")
async def beside(bench):
    """Measure batch items a second and harm, by online load."""
    batch = bench.batch()
    await bench.run("batch alone", rate=0, batch=batch, seconds=BATCH_S)
    for rate in RATES:
        label = f"{rate}/s beside batch"
        await bench.run(label, rate=rate, batch=batch, seconds=BATCH_S)


@part("bursts")
async def bursts(bench):
    """Measure harm by size of burst."""
    for times in BURSTS:
        burst = {"at_s": 2, "for_s": 2, "times": times}
        values = {"rate": 50, "bursts": [burst], "seconds": 5}
        await bench.run(f"burst {times}x alone", **values)
        await bench.run(
            f"burst {times}x beside batch", batch=bench.batch(), **values
        )


@part("overload")
async def overload(bench):
    """Find what the fleet can do, then offer 1, 2 and 5 times that."""
    best = 0.0
    for rate in RAMP:
        result = await bench.run(
            f"ramp {rate}/s", rate=rate, answer_tokens=LONG_TOKENS, seconds=3
        )
        best = max(best, result["goodput_per_s"])
        if result["good"] < 0.9 * result["asked"]:
            break
    for times in (1, 2, 5):
        await bench.run(
            f"offered {times}x", rate=times * best, answer_tokens=LONG_TOKENS
        )


@part("hot")
async def hot(bench):
    """Measure shares where one caller sends nine tenths of an overload."""
    callers = [
        {"key": BATCH[bench.name], "share": 9},
        {"key": ONLINE[bench.name], "share": 1},
    ]
    await bench.run(
        "hot caller", rate=400, answer_tokens=LONG_TOKENS, callers=callers
    )


@part("after_burst")
async def after_burst(bench):
    """Measure the seconds until a burst is over for callers too."""
    burst = {"at_s": 3, "for_s": 3, "times": 6}
    result = await bench.run(
        "recovery after burst",
        rate=80,
        answer_tokens=LONG_TOKENS,
        bursts=[burst],
        seconds=14,
    )
    bench.keep("recovered after burst", {"s": _recovered(result, 6)})


@part("after_loss")
async def after_loss(bench):
    """Measure the seconds until the loss of an endpoint is over."""
    run = asyncio.create_task(
        bench.run("recovery after loss", rate=100, seconds=12)
    )
    # The fourth second: before it the run shows what was usual.
    await asyncio.sleep(4)
    await bench.fleet.kill("agent-2")
    await bench.fleet.kill("engine-2")
    bench.keep("recovered after loss", {"s": _recovered(await run, 4)})


def _recovered(result, from_s):
    """Return the seconds after which 95 in 100 stay good, or None."""
    last_bad = from_s
    end = from_s
    for each in result["by_second"]:
        if each["second"] < from_s:
            continue
        end = each["second"] + 1
        if each["good"] < 0.95 * each["asked"]:
            last_bad = end
    return None if last_bad == end else last_bad - from_s


def _row(result):
    row = {
        "asked": result["asked"],
        "answered": result["answered"],
        "good": result["good"],
        "goodput": result["goodput_per_s"],
        "codes": result["codes"],
        "batch": result["batch_items_per_s"],
        "submit_refusals": result["submit_refusals"],
        "max_min": result["max_min_share"],
        "shares": result["share_by_key"],
    }
    for name in ("first_token_ms", "token_gap_ms", "sent_late_ms"):
        for p in ("p50", "p95", "p99"):
            row[f"{name} {p}"] = result[name][p]
    return row


def _commit():
    command = ["git", "rev-parse", "--short", "HEAD"]
    return subprocess.run(
        command, capture_output=True, text=True, check=True
    ).stdout.strip()


async def measure(args):
    """Run the experiments, each repeat on a fresh fleet."""
    rows = []
    given = args["--parts"]
    parts = given.split(",") if given else list(PARTS)
    for repeat in range(int(args["--repeats"])):
        bench = Bench(
            args["NAME"],
            float(args["--seconds"]),
            args["--out"],
            repeat,
            int(args["--seed"]) + repeat,
        )
        bench.rows = rows
        async with ExampleFleet(args["NAME"]) as bench.fleet:
            for name in parts:
                await PARTS[name](bench)


def tables(paths):
    """Print rows as Markdown: the middle repeat, and the spread."""
    by_label = {}
    for path in paths:
        found = json.loads(pathlib.Path(path).read_text())
        for row in found["rows"]:
            by_label.setdefault((row["fleet"], row["label"]), []).append(row)
    heads = (
        "goodput",
        "first_token_ms p50",
        "first_token_ms p95",
        "first_token_ms p99",
        "token_gap_ms p50",
        "token_gap_ms p95",
        "token_gap_ms p99",
        "batch",
        "max_min",
        "s",
    )
    print("| fleet | run | " + " | ".join(heads) + " | not answered |")
    print("|---" * (len(heads) + 3) + "|")
    for (fleet, label), rows in by_label.items():
        cells = " | ".join(_cell(rows, head) for head in heads)
        print(f"| {fleet} | {label} | {cells} | {_codes(rows)} |")


def _cell(rows, head):
    values = [row[head] for row in rows if row.get(head) is not None]
    if not values:
        return "none" if head == "s" and head in rows[0] else ""
    middle = statistics.median(values)
    return f"{middle:.3g} ({min(values):.3g}-{max(values):.3g})"


def _codes(rows):
    total = {}
    for row in rows:
        for code, count in row.get("codes", {}).items():
            if code != "answered":
                total[code] = total.get(code, 0) + count
    asked = sum(row.get("asked", 0) for row in rows)
    parts = [f"{code} {count}" for code, count in sorted(total.items())]
    return f"{', '.join(parts)} of {asked}" if parts else ""


def main(argv=None):
    """Run the program and return its exit code."""
    args = docopt(__doc__, argv)
    if args["tables"]:
        tables(args["FILE"])
    else:
        asyncio.run(measure(args))
    return 0


if __name__ == "__main__":
    sys.exit(main())
