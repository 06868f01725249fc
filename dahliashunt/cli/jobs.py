"""Commands of batch users, over the OpenAI dialect."""

from collections.abc import Iterator
import contextlib
import os
import pathlib
import sys
from typing import Any

from dahliashunt.cli.client import Ask
from dahliashunt.cli.exits import CommandError
from dahliashunt.cli.exits import Exit
from dahliashunt.cli.output import table
from dahliashunt.cli.output import time_text
from dahliashunt.cli.registry import command
from dahliashunt.cli.registry import Context
from dahliashunt.cli.registry import new_id
from dahliashunt.cli.registry import whole
from dahliashunt.errors import Ran

__all__ = ["cancel", "list_jobs", "results", "show", "submit", "watch"]

ENDED = {"completed", "failed", "expired", "cancelled"}
PIECE_BYTES = 65_536


@command("jobs submit")
def submit(args: dict[str, Any], context: Context) -> int:
    """Submit a batch job: a file with one request a line.

    Usage:
      dahliashunt jobs submit [options] [--entry=URL]... [--] <file>

    Options:
      --path=PATH      The path that all requests are for
                       [default: /v1/chat/completions].
      --window=TIME    When it is due, from now [default: 24h].
      --job-key=KEY    Names the job. A second submit with the same key
                       and --file-id finds the first one's job; with
                       another upload it is refused and names that job.
      --file-id=ID     The file was uploaded already, under this id.
      --watch          Wait for the end, as "jobs watch" does.
      --timeout=S      How long --watch waits [default: 86400].

    For example:
      dahliashunt jobs submit lot-17.jsonl --job-key lot-17
      dahliashunt jobs submit night.jsonl --window 8h --watch
    """
    timeout_s = whole(args, "--timeout")
    file_id = args["--file-id"] or _upload(args["<file>"], context)
    context.printer.progress(f"uploaded as {file_id}")
    job_key = args["--job-key"] or new_id()
    ask = Ask(
        "POST",
        "/v1/batches",
        body={
            "input_file_id": file_id,
            "endpoint": args["--path"],
            "completion_window": args["--window"],
        },
        headers={"Idempotency-Key": _header(job_key)},
    )
    try:
        job = context.client.ask(ask)
    except CommandError as error:
        if error.ran is Ran.UNKNOWN:
            error.message += (
                f"; repeat it with --job-key {job_key} --file-id {file_id}"
            )
        raise
    context.printer.show(job, f"{job['id']}  {job['status']}")
    if args["--watch"]:
        return _watch(job["id"], timeout_s, context)
    return Exit.OK


@command("jobs list")
def list_jobs(args: dict[str, Any], context: Context) -> int:
    """List the caller's jobs, newest first.

    Usage:
      dahliashunt jobs list [options] [--entry=URL]...

    Options:
      --limit=N    Most jobs shown [default: 20].

    For example:
      dahliashunt jobs list --limit 100
    """
    limit = whole(args, "--limit")
    found: list[dict] = []
    after, more = None, True
    while more and len(found) < limit:
        page = context.client.get(
            "/v1/batches", limit=min(100, limit - len(found)), after=after
        )
        found.extend(page["data"])
        more = page.get("has_more", False) and bool(page["data"])
        after = found[-1]["id"] if found else None
    heads = ["JOB", "STATUS", "DONE", "FAILED", "TOTAL", "CREATED"]
    text = table(heads, map(_row, found))
    context.printer.show({"data": found}, text)
    return Exit.OK


@command("jobs show")
def show(args: dict[str, Any], context: Context) -> int:
    """Show one job.

    Usage:
      dahliashunt jobs show [options] [--entry=URL]... <job>

    For example:
      dahliashunt jobs show batch_17 --output yaml
    """
    job = context.client.get(f"/v1/batches/{_id(args['<job>'])}")
    rows = [[name, value] for name, value in job.items() if value is not None]
    context.printer.show(job, table(["FIELD", "VALUE"], rows))
    return Exit.OK


@command("jobs watch")
def watch(args: dict[str, Any], context: Context) -> int:
    """Wait for the end of a job, showing how it goes.

    Usage:
      dahliashunt jobs watch [options] [--entry=URL]... <job>

    Progress goes to standard error. The exit code is 0 if every item has
    a result, 10 if some failed or the job was cancelled or expired.

    Options:
      --timeout=S    How long to wait [default: 86400].

    For example:
      dahliashunt jobs watch batch_17 && dahliashunt jobs results batch_17
    """
    return _watch(args["<job>"], whole(args, "--timeout"), context)


@command("jobs cancel")
def cancel(args: dict[str, Any], context: Context) -> int:
    """Cancel a job; results that it has already stay readable.

    Usage:
      dahliashunt jobs cancel [options] [--entry=URL]... <job>

    For example:
      dahliashunt jobs cancel batch_17
    """
    path = f"/v1/batches/{_id(args['<job>'])}/cancel"
    job = context.client.post(path, {})
    context.printer.show(job, f"{job['id']}  {job['status']}")
    return Exit.OK


@command("jobs results")
def results(args: dict[str, Any], context: Context) -> int:
    """Write the results of a job, one a line.

    Usage:
      dahliashunt jobs results [options] [--entry=URL]... <job>

    Options:
      --errors     The items that failed, instead.
      --to=FILE    Write this file, when it is whole, and not to standard
                   output.

    For example:
      dahliashunt jobs results batch_17 --to results.jsonl
      dahliashunt jobs results batch_17 --errors
    """
    job = context.client.get(f"/v1/batches/{_id(args['<job>'])}")
    name = "error_file_id" if args["--errors"] else "output_file_id"
    if not job.get(name):
        raise CommandError(
            Exit.NOT_FOUND, f"job {job['id']} has no such lines yet"
        )
    pieces = context.client.stream(f"/v1/files/{_id(job[name])}/content")
    if args["--to"]:
        _write(args["--to"], pieces)
    else:
        for piece in pieces:
            sys.stdout.buffer.write(piece)
        sys.stdout.buffer.flush()
    return Exit.OK


def _watch(job_id, timeout_s, context):
    job: dict[str, Any] = {}

    def step():
        job.update(context.client.get(f"/v1/batches/{_id(job_id)}"))
        counts = job.get("request_counts") or {}
        context.printer.progress(
            f"{job['status']}: {counts.get('completed', 0)} done, "
            f"{counts.get('failed', 0)} failed of {counts.get('total', 0)}"
        )
        return job["status"] in ENDED

    if not context.wait_until(step, timeout_s):
        raise CommandError(
            Exit.WAITED, f"after {timeout_s} s job {job_id} is not at its end"
        )
    context.printer.show(job, f"{job['id']}  {job['status']}")
    failed = (job.get("request_counts") or {}).get("failed", 0)
    good = job["status"] == "completed" and not failed
    return Exit.OK if good else Exit.FAILED


def _upload(file, context):
    """Send a file in pieces, so that a large one is never held whole."""
    path = pathlib.Path(file)
    try:
        size = path.stat().st_size
        path.open("rb").close()
    except OSError as error:
        reason = f"{file}: {error.strerror}"
        raise CommandError(Exit.USAGE, reason) from None
    boundary = new_id()
    head, tail = _form(boundary, path.name)

    def pieces() -> Iterator[bytes]:
        yield head
        with path.open("rb") as opened:
            while piece := opened.read(PIECE_BYTES):
                yield piece
        yield tail

    ask = Ask(
        "POST",
        "/v1/files",
        pieces=pieces,
        headers={
            "Content-Type": f"multipart/form-data; boundary={boundary}",
            "Content-Length": str(len(head) + size + len(tail)),
        },
    )
    return context.client.ask(ask)["id"]


def _form(boundary, name):
    quoted = name.replace("\\", "_").replace('"', "_")
    quoted = "".join(c if c.isprintable() else "_" for c in quoted)
    head = (
        f"--{boundary}\r\n"
        'Content-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
        f"--{boundary}\r\n"
        'Content-Disposition: form-data; name="file"; '
        f'filename="{quoted}"\r\n'
        "Content-Type: application/jsonl\r\n\r\n"
    )
    return head.encode(), f"\r\n--{boundary}--\r\n".encode()


def _write(file, pieces):
    """Write a file under its name only once it is whole."""
    path = pathlib.Path(file)
    part = path.with_name(f".{path.name}.{new_id()}")
    try:
        with part.open("wb") as opened:
            for piece in pieces:
                opened.write(piece)
            opened.flush()
            os.fsync(opened.fileno())
        part.replace(path)
    except OSError as error:
        reason = f"{file}: {error.strerror}"
        raise CommandError(Exit.USAGE, reason) from None
    finally:
        with contextlib.suppress(OSError):
            part.unlink()


def _row(job):
    counts = job.get("request_counts") or {}
    return [
        job["id"],
        job["status"],
        counts.get("completed"),
        counts.get("failed"),
        counts.get("total"),
        time_text(job["created_at"] * 1000),
    ]


def _id(value):
    if not value or not all(c.isalnum() or c in "._-" for c in value):
        raise CommandError(Exit.USAGE, f"not an id: {value!r}")
    return value


def _header(value):
    if not value.isascii() or not value.isprintable() or len(value) > 200:
        raise CommandError(
            Exit.USAGE, "a job key has at most 200 printable ASCII characters"
        )
    return value
