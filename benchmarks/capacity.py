"""Measure the slopes that docs/CAPACITY.md is worked out from.

Usage:
  capacity.py [--seconds=N] [--out=FILE]
  capacity.py records N
  capacity.py -h | --help

Options:
  --seconds=N  Of each idle window [default: 3].
  --out=FILE   Slopes as JSON.

Real entry and agent processes; their peers are fakes within this process
that speak the links' frames. At most eight processes at a time, under 90
seconds. ``records N`` prints the cost of N callers, in a process of its
own so that its memory is counted alone.
"""

import asyncio
import collections
import contextlib
import hashlib
import json
import os
import pathlib
import sys
import tempfile
import time

from docopt import docopt

from benchmarks.processes import cpu_s
from benchmarks.processes import resident_mb
from benchmarks.processes import started
from dahliashunt.adapters.wire.codec import encode
from dahliashunt.adapters.wire.codec import FrameReader
from dahliashunt.adapters.wire.gen.link.ttypes import Frame
from dahliashunt.adapters.wire.gen.link.ttypes import Heartbeat
from dahliashunt.adapters.wire.gen.link.ttypes import Hello
from dahliashunt.adapters.wire.gen.link.ttypes import LoadReport
from dahliashunt.standins import serve_role
from dahliashunt.version import LINK_VERSION

LINKS = (1, 10, 40, 84)
ENTRIES = (1, 6, 20, 50)
LISTED = (8, 1_000, 7_500)
CALLERS = (1_000, 10_000, 44_000)
BEAT_S = 0.5
SETTLE_S = 1.5
CALLS_S = 12
TOKEN = "capacity"
PAGE = pathlib.Path(__file__).parents[1] / "docs" / "CAPACITY.md"


class Traffic:
    """Bytes and frames that fakes sent and received."""

    def __init__(self):
        self.sent = self.received = self.reads = self.writes = 0


class FakePeer(asyncio.Protocol):
    """One end of a link that greets and sends heartbeats.

    Parameters
    ----------
    hello : callable
        Returns the greeting, given the peer's or None.
    load : LoadReport or None
        Rides on heartbeats.
    traffic : Traffic
    first : bool
        Whether this end greets first.
    """

    def __init__(self, hello, load, traffic, first):
        self._hello = hello
        self._load = load
        self._traffic = traffic
        self._first = first
        self._beat_s = BEAT_S
        self._reader = FrameReader()
        self._timer = None
        self._seq = 0

    def connection_made(self, transport):
        """Greet, if this end greets first."""
        self._transport = transport
        if self._first:
            self._send(Frame(hello=self._hello(None)))
            self._beat()

    def data_received(self, data):
        """Count bytes, and answer a greeting."""
        self._traffic.received += len(data)
        self._traffic.reads += 1
        for frame in self._reader.feed(data):
            if frame.hello is not None and not self._first:
                self._send(Frame(hello=self._hello(frame.hello)))
                # As an agent does, beat as often as the entry asks.
                wanted_s = (frame.hello.beat_every_ms or 0) / 1000
                self._beat_s = max(BEAT_S, wanted_s)
                self._beat()

    def connection_lost(self, error):
        """Stop the heartbeats."""
        if self._timer is not None:
            self._timer.cancel()

    def _beat(self):
        self._seq += 1
        beat = Heartbeat(
            seq=self._seq, revision=0, leaving=False, load=self._load
        )
        self._send(Frame(heartbeat=beat))
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._beat_s, self._beat)

    def _send(self, frame):
        data = encode(frame)
        self._traffic.sent += len(data)
        self._traffic.writes += 1
        self._transport.write(data)


def _load():
    return LoadReport(
        running_online=3,
        running_batch=9,
        waiting_online=0,
        waiting_batch=4,
        kv_used_tokens=10_000,
        kv_total_tokens=200_000,
        step_ms=23.5,
        batch_room=8,
        models=["repair-notes"],
        age_ms=0,
        versions=["repair-notes@v1"],
        busy=["repair-notes"],
    )


async def entry_with_links(links, folder, seconds, table_url):
    """Return what an entry costs that is linked to idle agents."""
    traffic = Traffic()
    at = iter(range(links))

    def greeting(_):
        return Hello(
            node_id=f"agent-{(number := next(at, 0))}",
            incarnation=1,
            version=LINK_VERSION,
            program_version="1",
            revision=0,
            data_centre="dc-a",
            endpoint_id=f"replica-{number}",
            leaving=False,
            load=_load(),
            token=TOKEN,
        )

    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: FakePeer(greeting, _load(), traffic, False), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    settings = {
        "node_id": f"entry-{links}",
        "data_centre": "dc-a",
        "http": {"host": "127.0.0.1", "port": 0},
        "platform": {"table_url": table_url},
        "agents": [
            {
                "endpoint_id": f"replica-{number}",
                "host": "127.0.0.1",
                "port": port,
            }
            for number in range(links)
        ],
        "link_token": TOKEN,
        "batch": {"on": False},
    }
    async with server, started("entry", folder, settings) as (pid, _):
        return await _window(pid, seconds, traffic, links)


async def agent_with_entries(entries, folder, seconds, engine_url):
    """Return what an agent costs that idle entries are linked to."""
    traffic = Traffic()
    settings = {
        "node_id": f"agent-{entries}",
        "endpoint_id": "replica-1",
        "data_centre": "dc-a",
        "listen": {"host": "127.0.0.1", "port": 0},
        "back_end": {"url": engine_url, "kind": "engine"},
        "link_token": TOKEN,
    }
    loop = asyncio.get_running_loop()

    def greeting(number):
        return lambda _: Hello(
            node_id=f"entry-{number}",
            incarnation=1,
            version=LINK_VERSION,
            program_version="1",
            revision=0,
            data_centre="dc-a",
            leaving=False,
            token=TOKEN,
        )

    async with started("agent", folder, settings) as (pid, port):
        ends = []
        for number in range(entries):
            transport, _ = await loop.create_connection(
                lambda n=number: FakePeer(greeting(n), None, traffic, True),
                "127.0.0.1",
                port,
            )
            ends.append(transport)
        row = await _window(pid, seconds, traffic, entries)
        for transport in ends:
            transport.close()
        return row


async def _window(pid, seconds, traffic, links):
    """Return the costs of a process over an idle window."""
    await asyncio.sleep(SETTLE_S)
    sent, received = traffic.sent, traffic.received
    writes, reads = traffic.writes, traffic.reads
    cpu, began = cpu_s(pid), time.perf_counter()
    await asyncio.sleep(seconds)
    span = time.perf_counter() - began
    return {
        "links": links,
        "resident_mb": resident_mb(pid),
        "core_percent": 100 * (cpu_s(pid) - cpu) / span,
        "to_it_bytes_s_link": (traffic.sent - sent) / span / links,
        "from_it_bytes_s_link": (traffic.received - received) / span / links,
        "to_it_segments_s_link": (traffic.writes - writes) / span / links,
        "from_it_segments_s_link": (traffic.reads - reads) / span / links,
    }


def records_cost(count):
    """Return the memory and time that `count` callers cost here."""
    from dahliashunt.records.catalog import Catalog
    from dahliashunt.records.snapshot import Snapshot

    idle_mb = resident_mb(os.getpid())
    body = _snapshot(count)
    began = time.process_time()
    catalog = Catalog()
    catalog.advance(Snapshot.decode(body))
    loaded_s = time.process_time() - began
    loaded_mb = resident_mb(os.getpid())
    spent = [_one_change(catalog, count, at) for at in range(20)]
    return {
        "callers": count,
        "snapshot_bytes": len(body),
        "index_bytes": catalog.callers.nbytes,
        "added_mb": loaded_mb - idle_mb,
        "load_cpu_s": loaded_s,
        "change_cpu_ms": 1000 * sum(spent) / len(spent),
    }


def _one_change(catalog, count, at):
    name = f"caller-{(at * 7919) % count:06}"
    began = time.process_time()
    revision = catalog.revision + 1
    changed = _caller(name, revision, weight=3.0)
    catalog.advance(catalog.snapshot.advanced(revision, [changed]))
    return time.process_time() - began


def _snapshot(count):
    """Return an encoded snapshot, made in a child to keep memory apart."""
    reader, writer = os.pipe()
    child = os.fork()
    if child == 0:
        from dahliashunt.records.snapshot import Snapshot

        made = Snapshot(
            1, [_caller(f"caller-{at:06}", 1) for at in range(count)]
        )
        with os.fdopen(writer, "wb") as out:
            out.write(made.encode())
        os._exit(0)
    os.close(writer)
    with os.fdopen(reader, "rb") as pipe:
        body = pipe.read()
    os.waitpid(child, 0)
    return body


def _caller(name, revision, weight=1.0):
    from dahliashunt.records.record import Record
    from dahliashunt.records.record import RecordKey
    from dahliashunt.records.schemas import Schemas

    digest = hashlib.sha256(name.encode()).hexdigest()
    spec = {
        "keys": [{"id": "first", "sha256": digest}],
        "limits": {"weight": weight},
        "permissions": {"models": ["*"], "services": [], "batch": True},
    }
    older = Schemas().older("Caller", 2, spec)
    return Record(RecordKey("Caller", name), 2, revision, spec, older)


def list_cost(instances):
    """Return what one read of the instance list costs a node."""
    from dahliashunt.adapters.instances.http import instance_fields
    from dahliashunt.adapters.instances.http import parse_instance
    from dahliashunt.decisions.link_choice import choose_links
    from dahliashunt.ports.instances import Instance
    from dahliashunt.ports.instances import InstanceKind
    from dahliashunt.ports.instances import InstanceState

    rows = [
        instance_fields(
            Instance(
                f"agent-{at:05}",
                InstanceKind.AGENT,
                InstanceState.LIVE,
                "10.11.12.13",
                17101,
                "leiden-a",
                f"replica-{at:05}",
            )
        )
        for at in range(instances)
    ]
    body = json.dumps(rows)
    began = time.process_time()
    listed = [parse_instance(each) for each in json.loads(body)]
    parsed = time.process_time()
    choose_links("entry-1", [each.endpoint_id for each in listed], LINKS[-1])
    chosen = time.process_time()
    return {
        "instances": instances,
        "bytes": len(body),
        "parse_cpu_ms": 1000 * (parsed - began),
        "choose_cpu_ms": 1000 * (chosen - parsed),
    }


async def _records_rows():
    rows = []
    for count in CALLERS:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.capacity",
            "records",
            str(count),
            stdout=asyncio.subprocess.PIPE,
        )
        out, _ = await process.communicate()
        rows.append(json.loads(out))
    return rows


class _CallCounter:
    """ASGI application that counts another's calls by what they touch."""

    def __init__(self, app):
        self._app = app
        self.count_by_name = collections.Counter()

    async def __call__(self, scope, receive, send):
        async def counted():
            message = await receive()
            if message["type"] == "http.request" and message.get("body"):
                name = _touched(scope["path"], message["body"])
                self.count_by_name[name] += 1
            return message

        await self._app(scope, counted, send)


def _touched(path, body):
    """Return the operation and the first parts of the first key."""
    try:
        wanted = json.loads(body)
        first = wanted["writes"][0]["key"] if "writes" in wanted else ""
        key = first or wanted.get("key") or wanted.get("start", "")
    except (ValueError, KeyError, IndexError):
        return path
    return f"{path} {'/'.join(key.split('/')[:2])}"


async def _table_calls(folder, seconds):
    """Return an idle entry's calls of the table a second, by name."""
    from dahliashunt.standins import create_app
    from dahliashunt.standins import serve

    counter = _CallCounter(create_app("table", {}))
    async with serve(counter) as url:
        settings = {
            "node_id": "entry-reads",
            "data_centre": "dc-a",
            "http": {"host": "127.0.0.1", "port": 0},
            "platform": {"table_url": url, "objects_url": url},
        }
        async with started("entry", folder, settings):
            await asyncio.sleep(SETTLE_S)
            before = collections.Counter(counter.count_by_name)
            began = time.perf_counter()
            await asyncio.sleep(seconds)
            span = time.perf_counter() - began
            made = counter.count_by_name - before
            return {name: count / span for name, count in made.items()}


async def measure(seconds):
    """Return all slopes."""
    found = {"load_average": os.getloadavg()[0], "cores": os.cpu_count()}
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        table = await stack.enter_async_context(serve_role("table"))
        engine = await stack.enter_async_context(serve_role("engine"))
        found["entry"] = [
            await entry_with_links(links, folder, seconds, table.url)
            for links in LINKS
        ]
        found["agent"] = [
            await agent_with_entries(entries, folder, seconds, engine.url)
            for entries in ENTRIES
        ]
        found["table_calls_s_entry"] = await _table_calls(folder, CALLS_S)
    found["records"] = await _records_rows()
    found["list"] = [list_cost(count) for count in LISTED]
    return found


def show(found):
    """Print the slopes as tables, and where the page's are."""
    print(
        f"load average {found['load_average']:.1f} "
        f"on {found['cores']} cores at the start"
    )
    for role in ("entry", "agent", "records", "list"):
        rows = found[role]
        print(f"\n| {role}: " + " | ".join(rows[0]) + " |")
        print("|---" * len(rows[0]) + "|")
        for row in rows:
            print("| " + " | ".join(f"{v:.4g}" for v in row.values()) + " |")
    print("\nCalls of the table by one idle entry, a second:")
    for name, rate in sorted(found["table_calls_s_entry"].items()):
        print(f"  {name}: {rate:.2f}")
    if PAGE.exists():
        print(f"\nThe page's ({PAGE.name}):")
        for line in PAGE.read_text().splitlines():
            if _is_slope(line):
                print(line)


def _is_slope(line):
    """Return whether a line is of one of the page's tables of slopes."""
    first = line.split("|")[1].strip() if line.startswith("| ") else ""
    named = first.startswith(("entry:", "agent:", "records:", "list:"))
    return named or first.replace(",", "").isdigit()


def main(argv=None):
    """Run the program and return its exit code."""
    args = docopt(__doc__, argv)
    if args["records"]:
        print(json.dumps(records_cost(int(args["N"]))))
        return 0
    found = asyncio.run(measure(float(args["--seconds"])))
    show(found)
    if args["--out"]:
        pathlib.Path(args["--out"]).write_text(json.dumps(found) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
