"""Verbs of faults of connections and of the platform."""

from tests.lang.run import STEPS


def _relay_of(world, step):
    pair = (step.word(0, "source"), step.word(1, "target"))
    found = world.fleet.relay_by_pair.get(pair)
    if found is None:
        step.fail(f"no relay between {pair[0]} and {pair[1]}")
    return found


@STEPS.register("cut")
async def cut(world, step):
    """Close the connections open now between two processes."""
    _relay_of(world, step).cut()


@STEPS.register("cut-after")
async def cut_after(world, step):
    """Cut the next new connections, each after its bytes=N,N... of answer.

    Also first=N last=N step=N for a whole row of counts.
    """
    options = step.options
    if "bytes" in options:
        counts = [int(each) for each in options["bytes"].split(",")]
    else:
        first, last = int(options["first"]), int(options["last"])
        counts = range(first, last + 1, int(options["step"]))
    _relay_of(world, step).cut_after(*counts)


@STEPS.register("silence")
async def silence(world, step):
    """Forward nothing more on the connections open now."""
    _relay_of(world, step).silence()


@STEPS.register("mute")
async def mute(world, step):
    """Forward no more answers on the connections open now."""
    _relay_of(world, step).mute()


@STEPS.register("hold")
async def hold(world, step):
    """Keep back what comes on the connections open now."""
    _relay_of(world, step).hold()


@STEPS.register("release")
async def release(world, step):
    """Deliver late what was kept back, though its sender has gone."""
    await _relay_of(world, step).release()


@STEPS.register("partition")
async def partition(world, step):
    """Forward nothing between two processes, old or new."""
    _relay_of(world, step).partition()


@STEPS.register("heal")
async def heal(world, step):
    """Let new connections through again."""
    _relay_of(world, step).heal()


@STEPS.register("outage")
async def outage(world, step):
    """Begin (on) or end (off) an outage of a stand-in."""
    on = step.word(1, "on or off") == "on"
    await world.fleet.faults(step.words[0], outage=on)


@STEPS.register("slow")
async def slow(world, step):
    """Delay every answer of a stand-in by ms=N."""
    ms = int(step.options["ms"])
    await world.fleet.faults(step.word(0, "stand-in"), slow_ms=ms)


@STEPS.register("drop-answers")
async def drop_answers(world, step):
    """Let the next count=N writes take effect and lose their answer."""
    count = int(step.options["count"])
    await world.fleet.faults(step.word(0, "stand-in"), drop_answers=count)
