"""Measure what the way through one entry and its agents adds.

Usage:
  entry_path.py [--seconds=N] [--agents=N] [--repeats=N] [--out=FILE]
  entry_path.py -h | --help

Options:
  --seconds=N  Of each run [default: 4].
  --agents=N   And engines [default: 3].
  --repeats=N  [default: 3].
  --out=FILE   Rows as JSON.

Engines answer at zero latency, so that what is seen is the system's own
cost. The same requests go straight to the engines for the baseline, in
the same run. A closed loop finds the most requests a second; latencies
are taken in an open loop at half of it.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time

import aiohttp
from docopt import docopt

from benchmarks.processes import cpu_s
from benchmarks.processes import resident_mb
from benchmarks.processes import standin
from benchmarks.processes import started
from dahliashunt.load import plan_from_dict
from dahliashunt.load import run_plan
from dahliashunt.load.client import ANSWERED
from dahliashunt.load.client import send
from dahliashunt.load.mix import Ask

MODEL = "notes"
OPERATOR = "entry-path-operator"
CALLER = "entry-path-caller"
TOKENS = 12
LANES = 48
TOKEN = "entry-path"
ZERO = {"base_ms": 0, "per_stream_ms": 0, "per_kv_ms": 0, "prefill_ms": 0}
RECORDS = """
schema_version: 1
kind: Model
name: {model}
spec: {{versions: [v1], max_tokens: 8192, floor: 1}}
---
schema_version: 2
kind: Caller
name: bench
spec:
  keys: [{{id: first, sha256: {digest}}}]
  limits: {{weight: 1.0}}
  permissions: {{models: ["*"], services: ["*"], batch: false}}
"""


def _sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


class System:
    """One entry, its agents and their engines."""

    def __init__(self):
        self.engine_urls = []
        self.agent_pids = []
        self.agent_ports = []
        self.entry_pid = 0
        self.entry_url = ""

    async def start(self, stack, agents):
        """Start all processes; `stack` ends them."""
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        start = stack.enter_async_context
        _, table_port = await start(standin("table"))
        for number in range(agents):
            _, port = await start(standin("engine", models=MODEL, **ZERO))
            self.engine_urls.append(f"http://127.0.0.1:{port}")
            await self._agent(start, folder, number)
        settings = {
            "node_id": "entry-1",
            "data_centre": "dc-a",
            "http": {"host": "127.0.0.1", "port": 0},
            "platform": {"table_url": f"http://127.0.0.1:{table_port}"},
            "agents": [
                {"endpoint_id": f"replica-{n}", "host": "127.0.0.1", "port": p}
                for n, p in enumerate(self.agent_ports)
            ],
            "operator_key_sha256": _sha256(OPERATOR),
            "link_token": TOKEN,
        }
        self.entry_pid, port = await start(started("entry", folder, settings))
        self.entry_url = f"http://127.0.0.1:{port}"
        await self._apply()

    async def _agent(self, start, folder, number):
        settings = {
            "node_id": f"agent-{number}",
            "endpoint_id": f"replica-{number}",
            "data_centre": "dc-a",
            "listen": {"host": "127.0.0.1", "port": 0},
            "back_end": {"url": self.engine_urls[-1], "kind": "engine"},
            "link_token": TOKEN,
        }
        pid, port = await start(started("agent", folder, settings))
        self.agent_pids.append(pid)
        self.agent_ports.append(port)

    async def _apply(self):
        documents = RECORDS.format(model=MODEL, digest=_sha256(CALLER))
        body = {"documents": documents, "change_id": "entry-path-first"}
        headers = {"Authorization": f"Bearer {OPERATOR}"}
        url = f"{self.entry_url}/operator"
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            asyncio.timeout(30),
        ):
            async with session.post(f"{url}/records", json=body) as answer:
                if answer.status != 200:
                    raise RuntimeError(await answer.text())
            # Another process has no event to wait for.
            while not await self._all_up(session, url):  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    async def _all_up(self, session, url):
        async with session.get(f"{url}/endpoints") as answer:
            found = (await answer.json())["endpoints"]
        up = sum(e["state"] == "up" and MODEL in e["models"] for e in found)
        return up == len(self.agent_ports)


def _plan(urls, **values):
    return plan_from_dict(
        {
            "entries": list(urls),
            "callers": [{"key": CALLER}],
            "model": MODEL,
            "answer_tokens": {"mean": TOKENS},
            **values,
        }
    )


async def closed_loop(urls, seconds, streamed):
    """Return whole answers a second with `LANES` requests at a time."""
    plan = _plan(urls)
    done = {"answered": 0, "other": 0}
    numbers = iter(range(10**9))

    async def lane(session, until):
        while time.perf_counter() < until:
            number = next(numbers)
            prompt = f"question {number} {'bisque ' * 20}"
            ask = Ask(number, 0.0, CALLER, prompt, TOKENS, streamed)
            url = urls[number % len(urls)]
            due = time.perf_counter_ns()
            outcome = await send(session, url, plan, ask, due)
            done["answered" if outcome.code == ANSWERED else "other"] += 1

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        began = time.perf_counter()
        until = began + seconds
        await asyncio.gather(*[lane(session, until) for _ in range(LANES)])
        span = time.perf_counter() - began
    return done["answered"] / span, done


async def _one_repeat(system, seconds):
    row = {"load_average": os.getloadavg()[0]}
    pids = {"entry": system.entry_pid, "agent": system.agent_pids[0]}
    for name, pid in pids.items():
        row[f"{name} idle MB"] = resident_mb(pid)
    for kind, streamed in (("streamed", True), ("whole", False)):
        for way, urls in (
            ("direct", system.engine_urls),
            ("entry", [system.entry_url]),
        ):
            before = _cost(system)
            own = time.process_time()
            rate, done = await closed_loop(urls, seconds, streamed)
            spent = {k: v - before[k] for k, v in _cost(system).items()}
            row[f"{kind} {way} most/s"] = rate
            row[f"{kind} {way} not answered"] = done["other"]
            asked = max(1, done["answered"])
            row[f"{kind} {way} client CPU ms"] = (
                1000 * (time.process_time() - own) / asked
            )
            if way == "entry":
                for name in ("entry", "agents"):
                    row[f"{kind} {name} CPU ms a request"] = (
                        1000 * spent[name] / asked
                    )
                row[f"{kind} link bytes a request"] = spent["bytes"] / asked
    row["tokens/s relayed"] = row["streamed entry most/s"] * TOKENS
    await _half_load(system, seconds, row)
    for name, pid in pids.items():
        row[f"{name} loaded MB"] = resident_mb(pid)
    return row


async def _half_load(system, seconds, row):
    rate = row["streamed entry most/s"] / 2
    row["half load/s"] = rate
    for way, urls in (
        ("direct", system.engine_urls),
        ("entry", [system.entry_url]),
    ):
        plan = _plan(urls, rate=rate, seconds=seconds)
        found = (await run_plan(plan)).as_dict()
        for p in ("p50", "p99"):
            row[f"{way} first {p} ms"] = found["first_token_ms"][p]
            row[f"{way} whole {p} ms"] = found["whole_ms"][p]
            row[f"{way} sent late {p} ms"] = found["sent_late_ms"][p]
        row[f"{way} half load not answered"] = (
            found["asked"] - found["answered"]
        )
    for p in ("p50", "p99"):
        for what in ("first", "whole"):
            row[f"added {what} {p} ms"] = (
                row[f"entry {what} {p} ms"] - row[f"direct {what} {p} ms"]
            )


def _cost(system):
    return {
        "entry": cpu_s(system.entry_pid),
        "agents": sum(cpu_s(pid) for pid in system.agent_pids),
        "bytes": _link_bytes(system.agent_ports),
    }


def _link_bytes(ports):
    """Return bytes sent both ways on the links, from the kernel by ss."""
    ss = shutil.which("ss")
    if ss is None:
        return float("nan")
    total = 0
    for port in ports:
        out = subprocess.run(
            [ss, "-tinH", "state", "established", f"sport = :{port}"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for word in out.split():
            if word.startswith(("bytes_sent:", "bytes_received:")):
                total += int(word.split(":")[1])
    return total


async def measure(agents, seconds, repeats):
    """Return one row a repeat."""
    rows = []
    async with contextlib.AsyncExitStack() as stack:
        system = System()
        await system.start(stack, agents)
        for _ in range(repeats):
            rows.append(await _one_repeat(system, seconds))
            print(json.dumps(rows[-1]), flush=True)
    return rows


def show(rows):
    """Print the middle and the spread of each figure."""
    print("| figure | middle | lowest | highest |\n|---|---|---|---|")
    for name in rows[0]:
        values = sorted(row[name] for row in rows)
        middle = values[len(values) // 2]
        print(
            f"| {name} | {middle:.4g} | {values[0]:.4g} | {values[-1]:.4g} |"
        )


def main(argv=None):
    """Run the program and return its exit code."""
    args = docopt(__doc__, argv)
    rows = asyncio.run(
        measure(
            int(args["--agents"]),
            float(args["--seconds"]),
            int(args["--repeats"]),
        )
    )
    show(rows)
    if args["--out"]:
        pathlib.Path(args["--out"]).write_text(json.dumps(rows) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
