"""Start an example fleet as separate processes, and stop it again.

Usage:
  examples.fleet NAME
  examples.fleet -h | --help

Run with ``python -m examples.fleet``. NAME is a folder here, such as
poppenhersteld. The fleet runs until SIGINT or SIGTERM.

The ports that the folder's files name only tell which belongs to which:
each start takes free ones instead, so that two fleets, or a fleet and
another program, do not collide.
"""

import asyncio
import contextlib
import json
import pathlib
import re
import signal
import socket
import sys
import tempfile

import aiohttp
from docopt import docopt
import yaml

HERE = pathlib.Path(__file__).parent
READY_WITHIN_S = 30
OPERATOR_KEY = "example-operator"
NAMED_PORT = re.compile(r"\b17\d{3}\b")


class ExampleFleet:
    """The processes of one example folder.

    Parameters
    ----------
    name : str
        Of the folder.
    """

    def __init__(self, name):
        self._own_folder = tempfile.TemporaryDirectory(prefix=f"{name}-")
        self.folder = pathlib.Path(self._own_folder.name)
        copy_with_free_ports(HERE / name, self.folder)
        self.plan = yaml.safe_load((self.folder / "fleet.yaml").read_text())
        self.process_by_name = {}
        self.entries = [
            self._entry_url(each)
            for each in self.plan["processes"]
            if each.get("program") == "entry"
        ]

    def _entry_url(self, each):
        settings = yaml.safe_load((self.folder / each["settings"]).read_text())
        return f"http://127.0.0.1:{settings['http']['port']}"

    async def __aenter__(self):
        try:
            for group in _groups(self.plan["processes"]):
                await asyncio.gather(*[self.start(each) for each in group])
                if any(e.get("standin") == "instances" for e in group):
                    await self._list_instances()
            await self._apply_records()
            await self._all_ready()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *exc):
        await self.stop()
        self._own_folder.cleanup()

    async def start(self, each):
        """Start one process and wait until it says that it is ready."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *_command(each, self.folder),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self.process_by_name[each["name"]] = process
        async with asyncio.timeout(READY_WITHIN_S):
            while b"ready" not in (line := await process.stdout.readline()):
                if not line:
                    raise RuntimeError(f"{each['name']} did not start")
        asyncio.create_task(_drain(process.stdout))  # noqa: RUF006

    async def kill(self, name):
        """Kill a process with SIGKILL."""
        process = self.process_by_name[name]
        process.kill()
        await process.wait()

    async def stop(self):
        """Stop all processes, entries first."""
        for process in reversed(self.process_by_name.values()):
            if process.returncode is None:
                process.terminate()
        waits = [p.wait() for p in self.process_by_name.values()]
        try:
            async with asyncio.timeout(10):
                await asyncio.gather(*waits)
        except TimeoutError:
            for process in self.process_by_name.values():
                if process.returncode is None:
                    process.kill()

    def _port(self, role):
        return next(
            each["port"]
            for each in self.plan["processes"]
            if each.get("standin") == role
        )

    async def _list_instances(self):
        url = f"http://127.0.0.1:{self._port('instances')}"
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"{url}/standin/instances", json=self.plan["instances"]
            ) as answer,
        ):
            answer.raise_for_status()

    async def _apply_records(self):
        body = {
            "documents": (self.folder / "records.yaml").read_text(),
            "change_id": "example-first",
        }
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.post(
                f"{self.entries[0]}/operator/records", json=body
            ) as answer,
        ):
            if answer.status != 200:
                raise RuntimeError(await answer.text())

    async def _all_ready(self):
        """Wait until each entry has the records and all its links.

        Links come up before the records are in force there; an entry that
        was asked in between refused the first request.
        """
        wanted = len(self.plan["instances"])
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            asyncio.timeout(READY_WITHIN_S),
        ):
            for url in self.entries:
                # Another process has no event to wait for.
                while not await is_ready(  # noqa: ASYNC110
                    session, url, wanted
                ):
                    await asyncio.sleep(0.1)


def copy_with_free_ports(folder, into):
    """Copy a fleet's files, each port that they name replaced by a free one.

    Parameters
    ----------
    folder, into : pathlib.Path
    """
    text_by_name = {path.name: path.read_text() for path in folder.iterdir()}
    named = set(NAMED_PORT.findall("".join(text_by_name.values())))
    free = _free_ports(len(named))
    port_by_named = dict(zip(sorted(named), free, strict=True))
    for name, text in text_by_name.items():
        changed = NAMED_PORT.sub(lambda m: port_by_named[m[0]], text)
        (into / name).write_text(changed)


def _free_ports(count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [str(each.getsockname()[1]) for each in sockets]


async def is_ready(session, url, wanted):
    """Tell whether an entry is ready and `wanted` endpoints are up there."""
    async with session.get(f"{url}/readyz") as answer:
        if answer.status != 200:
            return False
    return await _up(session, url) >= wanted


async def _up(session, url):
    async with session.get(f"{url}/operator/endpoints") as answer:
        if answer.status != 200:
            return 0
        endpoints = json.loads(await answer.text())["endpoints"]
        return sum(each["state"] == "up" for each in endpoints)


def _groups(processes):
    """Split into stand-ins, agents and entries, each started together."""
    standins = [each for each in processes if "standin" in each]
    agents = [each for each in processes if each.get("program") == "agent"]
    entries = [each for each in processes if each.get("program") == "entry"]
    return [standins, agents, entries]


def _command(each, folder):
    if "program" in each:
        settings = str(folder / each["settings"])
        module = f"dahliashunt.{each['program']}.main"
        return [module, "--settings", settings]
    options = [
        f"--set={key}={value}"
        for key, value in each.get("options", {}).items()
    ]
    return [
        "dahliashunt.standins.main",
        each["standin"],
        f"--port={each['port']}",
        *options,
    ]


async def _drain(stream):
    while await stream.read(65536):
        pass


async def _main(name):
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    async with ExampleFleet(name) as fleet:
        print(f"ready {' '.join(fleet.entries)}", flush=True)
        await stop.wait()


if __name__ == "__main__":
    asyncio.run(_main(docopt(__doc__)["NAME"]))
