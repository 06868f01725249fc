"""How long ``dahliashunt route list --all`` takes for many routes.

Usage:
  python -m benchmarks.route_list [COUNT]

Serves a node's page with COUNT routes (20000 if not given) on loopback and
runs the command in a process of its own; prints seconds, the command's
peak memory in megabytes, and the longest time in milliseconds for which a
page held the node's loop.
"""

import asyncio
import json
import os
import sys
import time

import structlog

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.http_server import HttpServer
from dahliashunt.forwarding.explain import Explainer
from dahliashunt.forwarding.node import Node
from dahliashunt.metrics import Metrics
from dahliashunt.platform.inspect_page import InspectPage
from dahliashunt.platform.operator import decode_catalog
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.recent_lines import RecentLines

COUNT = 20_000
TICK_S = 0.002

RUN = """
import resource, sys
from dahliashunt.cli.main import main
code = main(sys.argv[1:])
peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000
print(peak, file=sys.stderr)
sys.exit(code)
"""


class _NoReplicas:
    """A fleet whose services have no replica."""

    def listed(self, service):
        return ()

    def views(self, service):
        return []


async def measure(count):
    """Return seconds, megabytes, and milliseconds of the longest hold."""
    routes = [
        route_fields(name=f"r-{n:06x}", prefix=f"/p{n:06x}/{n % 7}/")
        for n in range(count)
    ]
    clock = SystemClock()
    node = Node(clock, None, Metrics("n"), structlog.get_logger(), None)
    node.config_read_ms = clock.now_ms
    node.adopt(decode_catalog(json.dumps(config_fields(routes))))
    explainer = Explainer(node, None, _NoReplicas())
    page = InspectPage(explainer, RecentLines(), None)
    server = HttpServer(page, "127.0.0.1", 0, lifespan=False)
    await server.start()
    holds = []
    watch = asyncio.create_task(_watch(holds))
    began_s = time.perf_counter()
    words = ("route", "list", "--all", "--node", f"127.0.0.1:{server.port}")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        RUN,
        *words,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
        env=dict(os.environ),
    )
    _, said = await process.communicate()
    took_s = time.perf_counter() - began_s
    watch.cancel()
    await server.stop_now()
    assert process.returncode == 0, said
    return round(took_s, 2), float(said), round(1000 * max(holds), 1)


async def _watch(holds):
    while True:
        began_s = time.perf_counter()
        await asyncio.sleep(TICK_S)
        holds.append(time.perf_counter() - began_s - TICK_S)


if __name__ == "__main__":
    print("seconds  peak_mb  longest_hold_ms")
    print(*asyncio.run(measure(int((sys.argv[1:] or [COUNT])[0]))))
