"""Verbs of online requests."""

import asyncio
from fnmatch import fnmatchcase
import json

from dahliashunt.standins import expected_text
from dahliashunt.standins.text import prompt_text
from tests.lang.run import STEPS

DEFAULT_MODEL = "repair-notes"


@STEPS.register("send")
async def send(world, step):
    """Send a request: NAME KIND [to=ENTRY] [prompt=...] [tokens=N]...

    KIND is completion, chat, stream (a streamed completion), or service.
    """
    name, kind = step.word(0, "name"), step.word(1, "kind")
    options = step.options
    headers = {}
    if "key" in options:
        headers["Idempotency-Key"] = options["key"]
    if "idempotent" in options:
        headers["Dahliashunt-Idempotent"] = options["idempotent"]
    entry = options.get("to", "entry-1")
    path, body = request_of(kind, name, options)
    pause = None
    if options.get("reading") == "held":
        pause = world.resume_by_name[name] = asyncio.Event()
    if "raw" in options:
        body = options["raw"]
    if "size" in options:
        body += " " * int(options["size"])
    world.request_by_name[name] = (kind, body)
    caller = world.fleet.caller_named(options.get("as", "bench"))
    world.reply_by_name[name] = caller.send(
        "POST", world.fleet.url(entry) + path, body, headers, pause
    )
    world.note_sent(f"POST {path}", headers, world.reply_by_name[name], body)


@STEPS.register("read")
async def read(world, step):
    """Let a caller whose reading was held read on."""
    world.resume_by_name[step.word(0, "request")].set()


def request_of(kind, name, options):
    """Return path and body of a request."""
    if kind == "service":
        path = f"/services/{options.get('path', 'title/stamp/' + name)}"
        return path, options.get("body", name)
    prompt = options.get("prompt", f"repair note for {name}")
    body = {
        "model": options.get("model", DEFAULT_MODEL),
        "max_tokens": int(options.get("tokens", 16)),
        "seed": int(options.get("seed", 1)),
    }
    if kind == "chat":
        body["messages"] = [{"role": "user", "content": prompt}]
        return "/v1/chat/completions", json.dumps(body)
    body["prompt"] = prompt
    body["stream"] = kind == "stream"
    return "/v1/completions", json.dumps(body)


def names_of(world, step):
    """Return the requests that a step's words or patterns name."""
    found = []
    for pattern in step.words:
        hit = [n for n in world.reply_by_name if fnmatchcase(n, pattern)]
        if not hit:
            step.fail(f"no request {pattern}")
        found += hit
    return found


@STEPS.register("hang-up")
async def hang_up(world, step):
    """Let the caller of a request go away."""
    world.reply_by_name[step.word(0, "request")].task.cancel()


@STEPS.register("whole")
async def whole(world, step):
    """Each named request gets its own whole and right answer."""
    for name in names_of(world, step):
        reply = world.reply_by_name[name]
        await ended_of(world, step, name)
        if not reply.is_whole:
            step.fail(
                f"{name}: status {reply.status}, cut {reply.cut}, "
                f"{reply.body[-400:]!r}"
            )
        kind, body = world.request_by_name[name]
        if kind == "service":
            continue
        wanted = expected_answer(kind, json.loads(body))
        if reply.text != wanted:
            step.fail(f"{name}: got {reply.text!r}, wanted {wanted!r}")


def expected_answer(kind, body):
    """Return the text that a request must get."""
    return expected_text(
        body["model"], prompt_text(body), body["seed"], body["max_tokens"]
    )


@STEPS.register("refused")
async def refused(world, step):
    """Each named request got an error: kind=CODE [ran=...] [status=N]."""
    for name in names_of(world, step):
        reply = world.reply_by_name[name]
        await ended_of(world, step, name)
        error = reply.error
        if error is None:
            step.fail(f"{name}: no error, {reply.status} {reply.body!r}")
        seen = {
            "kind": error["code"],
            "ran": error["ran"],
            "status": str(reply.status),
            "retry": "yes" if "retry-after" in reply.headers else "no",
        }
        for key, wanted in step.options.items():
            if seen[key] not in wanted.split("|"):
                step.fail(f"{name}: {key} is {seen[key]}, not {wanted}")


async def ended_of(world, step, name):
    """Wait until a request has ended."""
    reply = world.reply_by_name[name]

    async def condition():
        return reply.ended, reply.status

    await world.until(step, condition, f"the end of {name}")
