"""Measure an outage of the store, and how fast lost work is taken over.

Usage:
  outage_and_takeover [--outage-s S]
  outage_and_takeover -h | --help

Options:
  --outage-s S  Length of the outage [default: 20].
  -h --help     Print this.

Real processes with the stand-ins, on loopback. The figures that it prints
are held against the waits that docs/design/related-paper.md discusses.
"""

import asyncio
import pathlib
import tempfile
import time

from docopt import docopt

from tests.lang import verbs  # noqa: F401  registers the verbs
from tests.lang.parser import parse
from tests.lang.run import STEPS
from tests.lang.world import World

FLEET = "fleet engines=2 entries=2 engine.base_ms=10"
LOAD = "load w completion tokens=20 at_once=4 to=entry-1,entry-2"
LOOK_S = 0.01
ORPHANS_S = 11
GIVE_UP_S = 120


async def play(world, text):
    """Carry out steps of the scenario language."""
    for step in parse(text, "measure"):
        await STEPS.get(step.verb)(world, step)


async def wait_for(condition):
    """Return the milliseconds until a condition holds."""
    began = time.monotonic()
    while not await condition():
        if time.monotonic() - began > GIVE_UP_S:
            raise TimeoutError
        await asyncio.sleep(LOOK_S)
    return round((time.monotonic() - began) * 1000)


def logged(world, name, event):
    """Return a condition: a process logs `event` from now on."""
    process = world.fleet.process_by_name[name]
    seen = len(process.events)

    async def condition():
        return any(e["event"] == event for e in process.events[seen:])

    return condition


def print_failed(load):
    """Print how many requests of a load failed, and how."""
    print(f"failed: {len(load.failed)}")
    for name, entry, status, cut, body in load.failed:
        print(" ", name, entry, status, cut, body)


async def outage(world, seconds):
    """Answers in an outage of table service and object store."""
    await play(world, f"{FLEET}\n{LOAD}")
    load = world.load_by_name["w"]
    await asyncio.sleep(5)
    before = load.answered
    await play(world, "outage table on\noutage objects on")
    await asyncio.sleep(seconds)
    within = load.answered - before
    await play(world, "outage table off\noutage objects off")
    await load.stop()
    print(f"answered in 5 s before the outage: {before}")
    print(f"answered in the outage of {seconds} s: {within}")
    print_failed(load)


async def killed(world):
    """Time to judge a killed endpoint down; what callers saw."""
    await play(world, f"{FLEET}\n{LOAD}\nwait-until loaded w >= 20")
    downs = [logged(world, f"entry-{n}", "endpoint_down") for n in (1, 2)]
    await play(world, "kill engine-1 agent-1")
    taken = await asyncio.gather(*map(wait_for, downs))
    load = world.load_by_name["w"]
    await asyncio.sleep(2)
    await load.stop()
    print(f"killed, connections refused: down after {taken} ms")
    print(f"answered: {load.answered}")
    print_failed(load)


async def silent(world):
    """Time to judge an endpoint down that answers nothing any more."""
    await play(world, f"{FLEET} relays=entry-1>agent-1,entry-2>agent-1")
    await play(world, f"{LOAD}\nwait-until loaded w >= 20")
    downs = [logged(world, f"entry-{n}", "endpoint_down") for n in (1, 2)]
    await play(world, "partition entry-1 agent-1\npartition entry-2 agent-1")
    taken = await asyncio.gather(*map(wait_for, downs))
    load = world.load_by_name["w"]
    await asyncio.sleep(2)
    await load.stop()
    print(f"partitioned, connections silent: down after {taken} ms")
    print(f"answered: {load.answered}")
    print_failed(load)


async def takeover(world):
    """Time until another entry works on a dead entry's job.

    An agent starts what the dead entry had sent it until it has been gone
    for `ORPHANS_S`; starts after that are the next owner's.
    """
    await play(world, "fleet engines=2 entries=2 engine.base_ms=10")
    await play(world, "submit lot items=2000 tokens=40")
    await play(world, "wait-until starts all >= 10\nkill entry-1")
    began = time.monotonic()
    await asyncio.sleep(ORPHANS_S)
    await play(world, "note n starts all\nwait-until starts all > $n")
    taken = round((time.monotonic() - began) * 1000)
    print(f"owner killed: another entry runs its items after {taken} ms")


async def main():
    """Run all four, one after the other."""
    arguments = docopt(__doc__)
    seconds = int(arguments["--outage-s"])
    for part in (
        lambda world: outage(world, seconds),
        killed,
        silent,
        takeover,
    ):
        with tempfile.TemporaryDirectory() as folder:
            world = World(pathlib.Path(folder))
            try:
                await part(world)
            finally:
                await world.close()


if __name__ == "__main__":
    asyncio.run(main())
