"""What a configuration of many routes costs an entry.

Usage:
  python -m benchmarks.routes [COUNT...]

For each COUNT (10, 1000 and 20000 if none is given): bytes of the
configuration, milliseconds to decode it, megabytes that it holds, and
microseconds to find a route, the median of 2,000 look-ups on one host.
"""

import json
import statistics
import sys
import time
import tracemalloc

from dahliashunt.platform.operator import decode_catalog
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import route_fields

COUNTS = (10, 1_000, 20_000)
LOOK_UPS = 2_000


def measure(count):
    """Return the row of one configuration."""
    routes = [
        route_fields(name=f"r-{n:06x}", prefix=f"/p{n:06x}/{n % 7}/")
        for n in range(count)
    ]
    text = json.dumps(config_fields(routes))
    began_s = time.perf_counter()
    decode_catalog(text)
    decode_ms = 1000 * (time.perf_counter() - began_s)
    tracemalloc.start()
    catalog = decode_catalog(text)
    held_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    times_us = []
    for n in range(LOOK_UPS):
        at = n * 7919 % count
        path = f"/p{at:06x}/{at % 7}/x/y"
        began_s = time.perf_counter()
        found = catalog.match("a.example", path)
        times_us.append(1e6 * (time.perf_counter() - began_s))
        assert found is not None
    return (
        count,
        len(text),
        round(decode_ms, 1),
        round(held_mb, 2),
        round(statistics.median(times_us), 1),
    )


def main(argv):
    """Print a row for each count."""
    print("routes  bytes  decode_ms  held_mb  look_up_us")
    for count in map(int, argv or COUNTS):
        print(*measure(count), sep="  ")


if __name__ == "__main__":
    main(sys.argv[1:])
