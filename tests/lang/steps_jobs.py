"""Verbs of batch jobs."""

import asyncio
import json

from tests.lang.run import STEPS
from tests.lang.steps_requests import DEFAULT_MODEL
from tests.lang.steps_requests import expected_answer


@STEPS.register("submit")
async def submit(world, step):
    """Submit a job: NAME items=N [to=ENTRY] [tokens=N] [bad=N].

    The upload and the acceptance are kept apart, so that `resubmit` can
    send the same acceptance again.
    """
    name = step.word(0, "job")
    entry = step.options.get("to", "entry-1")
    lines = _job_lines(name, step.options)
    file_id = await _upload(world, step, entry, name, lines)
    body = {
        "input_file_id": file_id,
        "endpoint": "/v1/completions",
        "completion_window": "24h",
        "metadata": {"job_key": step.options.get("key", name)},
    }
    world.job_by_name[name] = {"body": body, "lines": lines, "id": None}
    if step.options.get("accept") != "later":
        await accept(world, step)


def _job_lines(name, options):
    count = int(options.get("items", 10))
    bad = int(options.get("bad", 0))
    lines = []
    for at in range(count):
        prompt = f"catalogue {name} entry {at}"
        prompt += " word" * int(options.get("prompt_words", 0))
        if at < bad:
            prompt += " CANNOT-BE-DONE"
        if at < int(options.get("crash", 0)):
            prompt += " CRASH-ENGINE"
        body = {
            "model": options.get("model", DEFAULT_MODEL),
            "prompt": prompt,
            "max_tokens": int(options.get("tokens", 8)),
            "seed": 1,
        }
        lines.append(
            {
                "custom_id": f"{name}-{at}",
                "method": "POST",
                "url": "/v1/completions",
                "body": body,
            }
        )
    return lines


async def _upload(world, step, entry, name, lines):
    boundary = "scenario-boundary"
    data = "\n".join(json.dumps(line) for line in lines) + "\n"
    body = (
        f'--{boundary}\r\nContent-Disposition: form-data; name="purpose"'
        f"\r\n\r\nbatch\r\n--{boundary}\r\nContent-Disposition: form-data; "
        f'name="file"; filename="{name}.jsonl"\r\n'
        f"Content-Type: application/jsonl\r\n\r\n{data}\r\n--{boundary}--\r\n"
    )
    reply = world.fleet.caller.send(
        "POST",
        world.fleet.url(entry) + "/v1/files",
        body.encode(),
        {"Content-Type": f"multipart/form-data; boundary={boundary}"},
    )
    await reply.task
    world.note_sent("POST /v1/files", {}, reply, data)
    if reply.status != 200:
        step.fail(f"upload: {reply.status} {reply.body!r} {reply.cut}")
    return json.loads(reply.body)["id"]


@STEPS.register("accept")
async def accept(world, step):
    """Send a job's acceptance [to=ENTRY,ENTRY...], to all at once.

    An answer may be refused=RAN, whatever the refusal says it ran.
    """
    job = world.job_by_name[step.word(0, "job")]
    entries = step.options.get("to", "entry-1").split(",")
    await asyncio.gather(
        *[_accept_at(world, step, job, entry) for entry in entries]
    )


async def _accept_at(world, step, job, entry):
    status, answer = await world.fleet.caller.json(
        "POST", world.fleet.url(entry) + "/v1/batches", job["body"]
    )
    wanted = step.options.get("refused")
    if wanted is not None:
        if status < 400 or answer["error"]["ran"] != wanted:
            step.fail(f"{status} {answer}")
        return
    world.note_text("POST /v1/batches", json.dumps(job["body"]))
    world.note_text(str(status), json.dumps(answer, sort_keys=True))
    if status != 200:
        step.fail(f"{status} {answer}")
    if job["id"] not in (None, answer["id"]):
        step.fail(f"a second job {answer['id']} beside {job['id']}")
    job["id"] = answer["id"]


@STEPS.register("cancel")
async def cancel(world, step):
    """Cancel a job [to=ENTRY] [status=N]."""
    job = world.job_by_name[step.word(0, "job")]
    entry = step.options.get("to", "entry-1")
    url = f"{world.fleet.url(entry)}/v1/batches/{job['id']}/cancel"
    status, answer = await world.fleet.caller.json("POST", url)
    if str(status) not in step.options.get("status", "200").split("|"):
        step.fail(f"{status} {answer}")
    refused = step.options.get("refused")
    if refused is not None and answer["error"]["ran"] != refused:
        step.fail(f"{answer}")


@STEPS.register("results")
async def results(world, step):
    """Each item of a job has exactly one right result, at each entry."""
    job = world.job_by_name[step.word(0, "job")]
    for entry in step.words[1:] or ("entry-1",):
        lines = await result_lines(world, step, entry, job)
        _check_results(step, job, lines)


async def result_lines(world, step, entry, job):
    """Return the lines of a job's two result files, read at an entry."""
    base = world.fleet.url(entry)
    status, view = await world.fleet.caller.json(
        "GET", f"{base}/v1/batches/{job['id']}"
    )
    if status != 200:
        step.fail(f"{entry}: {status} {view}")
    lines = []
    for file_id in (view["output_file_id"], view["error_file_id"]):
        if file_id is None:
            continue
        reply = world.fleet.caller.send(
            "GET", f"{base}/v1/files/{file_id}/content"
        )
        await reply.task
        if reply.status != 200 or reply.cut:
            step.fail(f"{entry}: {file_id}: {reply.status} {reply.cut}")
        lines += [json.loads(line) for line in reply.body.splitlines()]
    return lines


def _check_results(step, job, lines):
    got = sorted(line["custom_id"] for line in lines)
    wanted = sorted(line["custom_id"] for line in job["lines"])
    if step.options.get("partial") == "yes":
        if len(set(got)) != len(got):
            step.fail("an item has two results")
    elif got != wanted:
        lost = set(wanted) - set(got)
        doubled = {name for name in got if got.count(name) > 1}
        step.fail(f"lost {sorted(lost)[:5]}, doubled {sorted(doubled)[:5]}")
    body_by_id = {line["custom_id"]: line["body"] for line in job["lines"]}
    for line in lines:
        body = body_by_id[line["custom_id"]]
        if "CANNOT-BE-DONE" in body["prompt"]:
            continue
        if "CRASH-ENGINE" in body["prompt"]:
            if line["error"]["code"] != "convicted":
                step.fail(f"{line}")
            continue
        answer = (line["response"] or {}).get("body", {})
        if "choices" not in answer:
            step.fail(f"{line['custom_id']}: failed: {line}")
        text = answer["choices"][0]["text"]
        if text != expected_answer("completion", body):
            step.fail(f"{line['custom_id']}: wrong text {text!r}")
