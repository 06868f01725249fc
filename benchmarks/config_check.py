"""How long ``dahliashunt-platform config check`` takes for a large file.

Usage:
  python -m benchmarks.config_check [WORKSPACES [ROUTES]]

Writes a configuration of WORKSPACES (44000 if not given) with a key each and
ROUTES (1000), and a version of it in which a tenth of the workspaces has
another rate and one of a hundred has a fault. Prints the seconds of the
whole command in a process of its own, the least and the median of RUNS, the
least seconds of processor time, which load on the machine changes less, and
the peak memory in megabytes: of the sound file, the faulty one, and the
faulty one against the sound one.
"""

import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.standins.settings import workspace_fields

WORKSPACES = 44_000
ROUTES = 1_000
RUNS = 5

RUN = """
import resource, sys
from dahliashunt.platform.__main__ import main
code = main(sys.argv[1:])
used = resource.getrusage(resource.RUSAGE_SELF)
cpu_s = used.ru_utime + used.ru_stime
print(cpu_s, used.ru_maxrss / 1000, file=sys.stderr)
sys.exit(code)
"""


def config_text(workspaces, routes, version, rate_of, key_of):
    """Return a configuration as JSON, one value a line."""
    fields = config_fields(
        [
            route_fields(name=f"r-{n:06x}", prefix=f"/p{n:06x}/{n % 7}/")
            for n in range(routes)
        ],
        version=version,
        workspaces=[
            workspace_fields(
                f"w-{n:06x}",
                key_of(n),
                burst=20,
                priority=1,
                **{"rate-per-s": rate_of(n)},
            )
            for n in range(workspaces)
        ],
    )
    return json.dumps(fields, indent=1)


def measure(words, expected):
    """Return least, median and processor seconds, and megabytes."""
    times_s, cpu_times_s, peaks_mb = [], [], []
    for _ in range(RUNS):
        began_s = time.perf_counter()
        done = subprocess.run(
            [sys.executable, "-c", RUN, "config", "check", *words],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            check=False,
        )
        times_s.append(time.perf_counter() - began_s)
        assert done.returncode == expected, done.stderr
        cpu_s, peak_mb = map(float, done.stderr.split())
        cpu_times_s.append(cpu_s)
        peaks_mb.append(peak_mb)
    return (
        min(times_s),
        statistics.median(times_s),
        min(cpu_times_s),
        max(peaks_mb),
    )


def main(argv):
    """Print a row for each call of the command."""
    workspaces, routes = (*map(int, argv), *(WORKSPACES, ROUTES)[len(argv) :])
    with tempfile.TemporaryDirectory() as folder:
        sound = pathlib.Path(folder) / "sound.json"
        faulty = pathlib.Path(folder) / "faulty.json"
        sound.write_text(
            config_text(
                workspaces, routes, 1, lambda n: 5, lambda n: f"key-{n:032x}"
            )
        )
        faulty.write_text(
            config_text(
                workspaces,
                routes,
                2,
                lambda n: 6 if n % 10 == 0 else 5,
                lambda n: 5 if n % 100 == 0 else f"key-{n:032x}",
            )
        )
        print("call            least_s  median_s  cpu_s  peak_mb")
        for name, words, expected in (
            ("sound", [sound], 0),
            ("faulty", [faulty], 2),
            ("faulty against", [faulty, "--against", sound], 2),
        ):
            least_s, median_s, cpu_s, peak_mb = measure(words, expected)
            print(
                f"{name:15} {least_s:7.2f}  {median_s:8.2f}  {cpu_s:5.2f}"
                f"  {peak_mb:7.0f}"
            )


if __name__ == "__main__":
    main(sys.argv[1:])
