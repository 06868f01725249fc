"""Commands that bring serving records in force and show them."""

import pathlib
import sys
from typing import Any

import yaml

from dahliashunt.cli.exits import CommandError
from dahliashunt.cli.exits import Exit
from dahliashunt.cli.output import clean
from dahliashunt.cli.output import table
from dahliashunt.cli.registry import command
from dahliashunt.cli.registry import Context
from dahliashunt.cli.registry import new_id
from dahliashunt.cli.registry import whole
from dahliashunt.errors import Ran

__all__ = ["apply", "get", "list_records", "send_change", "status", "wait"]

DEFAULT_WAIT_S = 60


@command("records apply")
def apply(args: dict[str, Any], context: Context) -> int:
    """Bring records in force, those of each file all or none.

    Usage:
      dahliashunt records apply [options] [--entry=URL]... [--] <file>...

    Each document names the revision of the record that was read, as
    "records get" prints it; a record that changed since is refused, with
    the difference and who changed it. "-" reads standard input.

    Options:
      --dry-run         Check, and show what would change.
      --merge           Merge field by field with what changed since.
      --note=TEXT       Why; shown in the history.
      --change-id=ID    Repeat a change whose outcome is not known.
      --wait            Wait until all nodes have it in force.
      --timeout=S       How long --wait waits [default: 60].

    For example:
      dahliashunt records get Caller/bench > bench.yaml
      dahliashunt records apply --dry-run bench.yaml
      dahliashunt records apply --note "night rate" --wait bench.yaml
    """
    if args["--change-id"] and len(args["<file>"]) > 1:
        raise CommandError(Exit.USAGE, "--change-id is for one file")
    timeout_s = whole(args, "--timeout")
    texts = [(file, _read(file)) for file in args["<file>"]]
    outcomes = []
    for file, text in texts:
        body = {
            "documents": text,
            "file": file,
            "merge": args["--merge"],
            "dry_run": args["--dry-run"],
            "note": args["--note"] or "",
        }
        change_id = args["--change-id"]
        outcomes.append(
            send_change(context, "/operator/records", body, change_id)
        )
    shown = outcomes[0] if len(outcomes) == 1 else outcomes
    context.printer.show(shown, "\n".join(map(outcome_text, outcomes)))
    if args["--wait"] and not args["--dry-run"]:
        revision = max(outcome["revision"] for outcome in outcomes)
        _wait_for(revision, timeout_s, context)
    return Exit.OK


@command("records get")
def get(args: dict[str, Any], context: Context) -> int:
    """Print a record as a document that can be edited and applied.

    Usage:
      dahliashunt records get [options] [--entry=URL]... <record>

    Options:
      --at=REV              As it was at this revision.
      --schema-version=N    Written in this schema version.

    For example:
      dahliashunt records get Caller/bench
      dahliashunt records get Caller/bench --at 120 --schema-version 1
    """
    kind, _, name = args["<record>"].partition("/")
    if not kind.isalpha() or not _is_name(name):
        raise CommandError(Exit.USAGE, "a record is written kind/name")
    document = context.client.get(
        f"/operator/records/{kind}/{name}",
        at=whole(args, "--at"),
        schema_version=whole(args, "--schema-version"),
    )
    text = yaml.safe_dump(
        document, sort_keys=False, allow_unicode=True, explicit_start=True
    )
    context.printer.show(document, text)
    return Exit.OK


@command("records list")
def list_records(args: dict[str, Any], context: Context) -> int:
    """List records.

    Usage:
      dahliashunt records list [options] [--entry=URL]...

    Options:
      --kind=KIND    Only this kind.
      --at=REV       As they were at this revision.

    For example:
      dahliashunt records list --kind Deployment
      dahliashunt records list --at 120 --output yaml
    """
    found: list[dict] = []
    after, at, more = None, whole(args, "--at"), True
    while more:
        page = context.client.get(
            "/operator/records", kind=args["--kind"], at=at, after=after
        )
        found.extend(page["records"])
        at, more = page["revision"], page["has_more"]
        if found:
            after = f"{found[-1]['kind']}/{found[-1]['name']}"
    rows = [
        [r["kind"], r["name"], r["revision"], r["schema_version"]]
        for r in found
    ]
    text = table(["KIND", "NAME", "REVISION", "SCHEMA"], rows)
    data = {"revision": at, "records": found}
    context.printer.show(data, f"{text}\nrevision {at}")
    return Exit.OK


@command("records status")
def status(args: dict[str, Any], context: Context) -> int:
    """Show the head, the lowest revision in force, and who lags.

    Usage:
      dahliashunt records status [options] [--entry=URL]...

    For example:
      dahliashunt records status --output json
    """
    found = context.client.get("/operator/status")
    known = "" if found["head_known"] else " (the table is out; as heard)"
    lines = [
        f"head             {found['head']}{known}",
        f"lowest in force  {found['lowest_in_force']}",
        f"nodes            {found['nodes']}",
    ]
    if found["laggards"]:
        rows = [
            [n["node_id"], n["role"], n["data_centre"], n["revision"]]
            for n in found["laggards"]
        ]
        heads = ["LAGGARD", "ROLE", "DATA CENTRE", "REVISION"]
        lines += ["", table(heads, rows)]
    for node, reasons in found["not_applied"].items():
        lines += [f"{node} cannot apply: {'; '.join(reasons)}"]
    context.printer.show(found, clean("\n".join(lines)))
    return Exit.OK


@command("records wait")
def wait(args: dict[str, Any], context: Context) -> int:
    """Wait until all nodes have a revision in force.

    Usage:
      dahliashunt records wait [options] [--entry=URL]... [<revision>]

    Without a revision, the head of now. Progress goes to standard error.

    Options:
      --timeout=S    How long to wait [default: 60].

    For example:
      dahliashunt records wait 121 --timeout 20
    """
    revision = whole(args, "<revision>")
    if revision is None:
        revision = context.client.get("/operator/status")["head"]
    timeout_s = whole(args, "--timeout")
    found = _wait_for(revision, timeout_s, context)
    text = f"revision {revision} is in force on {found['nodes']} nodes"
    context.printer.show(found, text)
    return Exit.OK


def dry_run(file: str, context: Context) -> dict[str, Any]:
    """Return what applying a file would change."""
    body = {"documents": _read(file), "file": file, "dry_run": True}
    return send_change(context, "/operator/records", body)


def send_change(
    context: Context, path: str, body: dict, change_id: str | None = None
) -> dict[str, Any]:
    """Send a change and return its outcome.

    The change gets an id, the same over all sends, so that it has its
    effect once however often it is sent.
    """
    change_id = change_id or new_id()
    try:
        return context.client.post(path, {**body, "change_id": change_id})
    except CommandError as error:
        if error.ran is Ran.UNKNOWN:
            error.message += f"; repeat it with --change-id {change_id}"
        raise


def outcome_text(outcome: dict[str, Any]) -> str:
    """Return what became of a change, for people to read."""
    revision = outcome["revision"]
    if not outcome["changed"]:
        return f"nothing to change; revision {revision} is in force"
    lines = [f"revision {revision}"]
    if outcome["dry_run"]:
        lines = [f"would be revision {revision}"]
    elif outcome["replayed"]:
        lines = [f"revision {revision}, accepted earlier"]
    for record in outcome["change"]["records"]:
        lines.append(f"  {record['kind']}/{record['name']} {record['what']}")
        lines.extend(difference_lines(record["difference"]))
    return clean("\n".join(lines))


def difference_lines(found: list[dict]) -> list[str]:
    """Return one line a field that differs."""
    return [
        f"    {one['field']}: {_value(one['before'])} -> "
        f"{_value(one['after'])}"
        for one in found
    ]


def _value(value):
    return "(none)" if value is None else repr(value)


def _wait_for(revision, timeout_s, context):
    found: dict[str, Any] = {}

    def step():
        found.update(context.client.get("/operator/status"))
        lowest = found["lowest_in_force"] or 0
        behind = sum(n["revision"] < revision for n in found["laggards"])
        context.printer.progress(
            f"lowest in force {lowest} of {revision}, {behind} nodes behind"
        )
        return lowest >= revision

    if context.wait_until(step, timeout_s, 0.5, 3.0):
        return found
    behind = [
        f"{n['node_id']} at {n['revision']}"
        for n in found["laggards"]
        if n["revision"] < revision
    ]
    raise CommandError(
        Exit.WAITED,
        f"after {timeout_s} s revision {revision} is not in force on "
        f"{', '.join(behind)}",
    )


def _read(file):
    try:
        if file == "-":
            return sys.stdin.read()
        return pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "is not UTF-8 text"
        raise CommandError(Exit.USAGE, f"{file}: {reason}") from None


def _is_name(name):
    return bool(name) and all(c.isalnum() or c in "._:-" for c in name)
