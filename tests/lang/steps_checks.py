"""Verbs that check what must hold whatever has happened."""

import asyncio
import json

from tests.lang.parser import parse
from tests.lang.probes import evaluate_probe
from tests.lang.run import STEPS
from tests.lang.steps_jobs import result_lines
from tests.lang.steps_requests import ended_of
from tests.lang.steps_requests import expected_answer
from tests.lang.steps_requests import names_of


@STEPS.register("note")
async def note(world, step):
    """Keep what PROBE WORD... shows as $NAME: NAME PROBE WORD..."""
    name, probe, *words = step.words
    world.noted_by_name[name] = await evaluate_probe(world, step, probe, words)


@STEPS.register("answered")
async def answered(world, step):
    """Each named request ends whole and right, or in a visible error."""
    for name in names_of(world, step):
        await ended_of(world, step, name)
        reply = world.reply_by_name[name]
        if reply.is_whole:
            _check_right(world, step, name)
        elif reply.error is None and reply.cut is None:
            step.fail(f"{name}: no error, no end: {reply.body[-300:]!r}")


def _check_right(world, step, name):
    kind, body = world.request_by_name[name]
    if kind == "service":
        return
    wanted = expected_answer(kind, json.loads(body))
    if world.reply_by_name[name].text != wanted:
        step.fail(f"{name}: a whole answer that is not its own")


@STEPS.register("truthful")
async def truthful(world, step):
    """No request that was told "not run" was started by any back end.

    The engines count starts by the id that each answer carries. Counts of
    an engine that was killed are gone with it.
    """
    starts = await world.fleet.origin_starts()
    for name, reply in world.reply_by_name.items():
        error = reply.error if reply.status not in (None, 200) else None
        if error is None or error["ran"] != "no":
            continue
        request_id = reply.headers.get("x-request-id")
        if request_id is None:
            step.fail(f"{name}: a refusal without an id")
        if starts.get(request_id, 0):
            step.fail(f"{name}: told not run, was started")


@STEPS.register("same")
async def same(world, step):
    """All named requests got the same answer."""
    bodies = {world.reply_by_name[name].body for name in step.words}
    if len(bodies) != 1:
        step.fail(f"{bodies}")


@STEPS.register("remember")
async def remember(world, step):
    """Keep a job's results as they are now: JOB [ENTRY]."""
    job = world.job_by_name[step.word(0, "job")]
    entry = step.words[1] if len(step.words) > 1 else "entry-1"
    job["remembered"] = _ids(await result_lines(world, step, entry, job))


@STEPS.register("unchanged")
async def unchanged(world, step):
    """A job's results are those remembered: JOB [ENTRY...]."""
    job = world.job_by_name[step.word(0, "job")]
    for entry in step.words[1:] or ("entry-1",):
        seen = _ids(await result_lines(world, step, entry, job))
        if seen != job["remembered"]:
            step.fail(
                f"{entry}: {len(seen)} results, not {len(job['remembered'])}"
            )


def _ids(lines):
    return sorted(line["custom_id"] for line in lines)


@STEPS.register("at-once")
async def at_once(world, step):
    """Run several steps at the same time: STEP ; STEP ; ..."""
    parts = [[]]
    for word in step.words:
        if word == ";":
            parts.append([])
        else:
            parts[-1].append(word)
    await asyncio.gather(
        *[
            STEPS.get(verb)(world, _part(step, verb, words))
            for verb, *words in parts
        ]
    )


def _part(step, verb, words):
    (part,) = parse(" ".join([verb, *words]), step.where)
    return part
