"""Verbs that start, stop and wait."""

import asyncio
import random

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.table import HttpTableService
from dahliashunt.records import Proposal
from dahliashunt.records import read_documents
from dahliashunt.records import RecordStore
from dahliashunt.records import Schemas
from tests.harness.fleet import RECORDS
from tests.lang.probes import evaluate
from tests.lang.run import STEPS
from tests.lang.steps_requests import DEFAULT_MODEL


@STEPS.register("start")
async def start(world, step):
    """Start ROLE NAME [beside BACK-END | with AGENT...] [key=value]."""
    role, name = step.word(0, "role"), step.word(1, "name")
    options = dict(step.options)
    if role == "agent":
        await world.fleet.start_agent(name, step.word(3, "engine"), options)
    elif role == "entry":
        await world.fleet.start_entry(name, step.words[3:], options)
    else:
        if role == "engine":
            options.setdefault("models", DEFAULT_MODEL)
        await world.fleet.start_standin(name, role, options)


@STEPS.register("platform")
async def platform(world, step):
    """Start the table service and the object store, with records."""
    await world.fleet.start_standin("table", "table", step.options)
    await world.fleet.start_standin("objects", "objects", {})
    await seed(world, step)


@STEPS.register("fleet")
async def fleet(world, step):
    """Start a whole fleet: engines=N entries=N [services=N] [instances=N].

    ``relays=entry-1>agent-1,...`` names where relays stand. Options with
    a prefix go to the programs: ``engine.base_ms=5``, ``agent.timing...``,
    ``entry.links...``, ``table...``.
    """
    options = step.options
    pairs = [
        tuple(pair.split(">"))
        for pair in options.get("relays", "").split(",")
        if pair
    ]
    engines = int(options.get("engines", 1))
    services = int(options.get("services", 0))
    entries = int(options.get("entries", 1))
    back_ends = [f"engine-{n}" for n in range(1, engines + 1)]
    back_ends += [f"service-{n}" for n in range(1, services + 1)]
    await asyncio.gather(
        world.fleet.start_standin("table", "table", _of("table", options)),
        world.fleet.start_standin("objects", "objects", {}),
        *[_start_back_end(world, name, options) for name in back_ends],
    )
    if "instances" in options:
        lag = {"lag_ms": options["instances"]}
        await world.fleet.start_standin("instances", "instances", lag)
    await seed(world, step)
    agents = [f"agent-{n}" for n in range(1, len(back_ends) + 1)]
    await _relays(world, pairs, agents)
    await asyncio.gather(
        *[
            world.fleet.start_agent(agent, back_end, _of("agent", options))
            for agent, back_end in zip(agents, back_ends, strict=True)
        ]
    )
    names = [f"entry-{n}" for n in range(1, entries + 1)]
    await _relays(world, pairs, names)
    await asyncio.gather(
        *[
            world.fleet.start_entry(name, agents, _of("entry", options))
            for name in names
        ]
    )
    await _relays(world, pairs, ["client"])
    for name in names:
        await _entry_ready(world, step, name, len(agents))


async def _entry_ready(world, step, name, agents):
    """Wait until an entry has its records and all its links."""

    async def condition():
        events = world.fleet.process_by_name[name].events
        up = {e["endpoint"] for e in events if e["event"] == "endpoint_up"}
        in_force = any(e["event"] == "records_in_force" for e in events)
        return in_force and len(up) == agents, (in_force, up)

    await world.until(step, condition, f"{name} ready")


async def _relays(world, pairs, sources):
    for source, target in pairs:
        if source in sources:
            await world.fleet.relay(source, target)


async def _start_back_end(world, name, options):
    role = name.split("-")[0]
    own = _of(role, options)
    if role == "engine":
        own.setdefault("models", DEFAULT_MODEL)
    await world.fleet.start_standin(name, role, own)


def _of(prefix, options):
    """Return the options under a prefix, without it."""
    start = f"{prefix}."
    return {
        key.removeprefix(start): value
        for key, value in options.items()
        if key.startswith(start)
    }


async def seed(world, step):
    """Write the harness's records straight into the table service."""
    table = HttpTableService(world.fleet.url("table"))
    store = RecordStore(table, SystemClock(), random.Random(1))
    documents = read_documents(RECORDS.read_text(), Schemas())
    await store.apply(Proposal("seed", "harness", documents))
    await table.close()


@STEPS.register("relay")
async def relay(world, step):
    """Put a relay between SOURCE and TARGET, which must run already."""
    await world.fleet.relay(step.word(0, "source"), step.word(1, "target"))


@STEPS.register("kill")
async def kill(world, step):
    """Kill each named process with SIGKILL."""
    for name in step.words:
        await world.fleet.process_by_name[name].kill()


@STEPS.register("restart")
async def restart(world, step):
    """Start each named process again on its port."""
    for name in step.words:
        await world.fleet.restart(name)


@STEPS.register("terminate")
async def terminate(world, step):
    """Send SIGTERM to each named process."""
    for name in step.words:
        world.fleet.process_by_name[name].terminate()


@STEPS.register("ended")
async def ended(world, step):
    """Wait until a process has ended, with exit code code=N."""
    name = step.word(0, "process")
    code = await world.fleet.process_by_name[name].ended()
    wanted = int(step.options.get("code", 0))
    if code != wanted:
        step.fail(f"{name} ended with {code}, not {wanted}")


@STEPS.register("freeze")
async def freeze(world, step):
    """Stop each named process with SIGSTOP."""
    for name in step.words:
        world.fleet.process_by_name[name].freeze()


@STEPS.register("thaw")
async def thaw(world, step):
    """Let each named process go on."""
    for name in step.words:
        world.fleet.process_by_name[name].thaw()


@STEPS.register("wait-until")
async def wait_until(world, step):
    """Wait until PROBE WORD... OP VALUE holds."""

    async def condition():
        return await evaluate(world, step)

    await world.until(step, condition, " ".join(step.words))


@STEPS.register("expect")
async def expect(world, step):
    """Check that PROBE WORD... OP VALUE holds now."""
    holds, seen = await evaluate(world, step)
    if not holds:
        step.fail(f"{' '.join(step.words)}: seen {seen}")
