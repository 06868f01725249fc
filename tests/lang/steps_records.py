"""Verbs of records, by the operators' routes."""

import asyncio
import pathlib
import sys

from tests.harness.fleet import OPERATOR_KEY
from tests.lang.run import STEPS

HERE = pathlib.Path(__file__).parent.parent / "scenarios"


@STEPS.register("apply")
async def apply(world, step):
    """Apply FILE from the scenarios' folder [to=ENTRY] [change=ID]."""
    name = step.word(0, "file")
    text = (HERE / name).read_text()
    for key, value in step.options.items():
        text = text.replace(f"@{key}@", value)
    status, answer = await world.fleet.apply(
        step.options.get("to", "entry-1"),
        text,
        step.options.get("change", f"{step.where}"),
    )
    if str(status) not in step.options.get("status", "200").split("|"):
        step.fail(f"{status} {answer}")


@STEPS.register("list")
async def list_instance(world, step):
    """Put AGENT on the instance list as state=live or leaving."""
    name = step.word(0, "agent")
    process = world.fleet.process_by_name[name]
    world.fleet.listed_by_name[name] = {
        "instance_id": name,
        "kind": "agent",
        "state": step.options.get("state", "live"),
        "host": "127.0.0.1",
        "port": process.port,
        "data_centre": "hall-a",
        "endpoint_id": name,
    }
    await world.fleet.list_instances()


@STEPS.register("cli")
async def cli(world, step):
    """Run the command line: WORDS... [at=ENTRY] [code=N] [says=TEXT]."""
    entry = step.options.get("at", "entry-1")
    words = " ".join(step.words)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "dahliashunt.cli.main",
        *step.words,
        f"--entry={world.fleet.url(entry)}",
        f"--key={step.options.get('key', OPERATOR_KEY)}",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        cwd=HERE,
    )
    output, _ = await process.communicate()
    text = output.decode()
    world.note_text(f"$ dahliashunt {words}", f"exit {process.returncode}")
    world.note_text(*text.splitlines())
    wanted = int(step.options.get("code", 0))
    if process.returncode != wanted:
        step.fail(f"exit code {process.returncode}, not {wanted}: {text}")
    if step.options.get("says", "") not in text:
        step.fail(f"{step.options['says']!r} is not in: {text}")
