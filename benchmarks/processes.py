"""Start the system's processes and read what they cost from the kernel."""

import asyncio
import contextlib
import pathlib
import sys

import yaml

__all__ = ["cpu_s", "resident_mb", "started"]

READY_WITHIN_S = 30
_NS = 1e9


def cpu_s(pid):
    """Return the CPU seconds of all threads of a process.

    ``schedstat`` counts nanoseconds; the ticks of ``stat`` would be too
    coarse for a process that is all but idle.
    """
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    texts = [(task / "schedstat").read_text() for task in tasks]
    return sum(int(text.split()[0]) for text in texts) / _NS


def resident_mb(pid):
    """Return the resident memory of a process in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise RuntimeError("no VmRSS")


@contextlib.asynccontextmanager
async def started(program, folder, settings):
    """Run a program with `settings`; yields its pid and port."""
    path = pathlib.Path(folder) / f"{settings['node_id']}.yaml"
    path.write_text(yaml.safe_dump(settings))
    command = ["-m", f"dahliashunt.{program}.main", "--settings", str(path)]
    async with _process(command) as found:
        yield found


@contextlib.asynccontextmanager
async def standin(role, **options):
    """Run a stand-in on a free port; yields its pid and port."""
    sets = [f"--set={key}={value}" for key, value in options.items()]
    command = ["-m", "dahliashunt.standins.main", role, "--port=0", *sets]
    async with _process(command) as found:
        yield found


@contextlib.asynccontextmanager
async def _process(command):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *command,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    drain = None
    try:
        async with asyncio.timeout(READY_WITHIN_S):
            port = await _port(process.stdout)
        drain = asyncio.create_task(_drained(process.stdout))
        yield process.pid, port
    finally:
        if process.returncode is None:
            process.terminate()
        try:
            async with asyncio.timeout(10):
                await process.wait()
        except TimeoutError:
            process.kill()
        if drain is not None:
            drain.cancel()


async def _port(stream):
    """Return the port that the line with "ready" names."""
    seen = b""
    while line := await stream.readline():
        seen += line
        if b"ready" in line:
            return _number_in(line.decode())
    raise RuntimeError(f"did not start: {seen.decode()[-500:]}")


def _number_in(line):
    for mark in ('"port": ', "port=", "127.0.0.1:"):
        if mark in line:
            rest = line.split(mark, 1)[1]
            digits = ""
            for char in rest:
                if not char.isdigit():
                    break
                digits += char
            return int(digits)
    raise RuntimeError(f"no port in {line!r}")


async def _drained(stream):
    while await stream.read(65_536):
        pass
