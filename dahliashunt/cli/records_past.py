"""Commands about past revisions: history, diff and restore."""

from typing import Any

from dahliashunt.cli.exits import CommandError
from dahliashunt.cli.exits import Exit
from dahliashunt.cli.output import clean
from dahliashunt.cli.output import table
from dahliashunt.cli.output import time_text
from dahliashunt.cli.records import difference_lines
from dahliashunt.cli.records import dry_run
from dahliashunt.cli.records import outcome_text
from dahliashunt.cli.records import send_change
from dahliashunt.cli.registry import command
from dahliashunt.cli.registry import Context
from dahliashunt.cli.registry import whole

__all__ = ["diff", "history", "restore"]


@command("records history")
def history(args: dict[str, Any], context: Context) -> int:
    """Show who changed what and when, newest first.

    Usage:
      dahliashunt records history [options] [--entry=URL]... [<record>]

    Options:
      --limit=N      Most changes shown [default: 50].
      --since=REV    Only changes after this revision.
      --before=REV   Only changes before this revision.

    For example:
      dahliashunt records history Caller/bench
      dahliashunt records history --since 120 --output yaml
    """
    found = context.client.get(
        "/operator/history",
        record=args["<record>"],
        limit=whole(args, "--limit"),
        since=whole(args, "--since"),
        before=whole(args, "--before"),
    )
    text = table(
        ["REVISION", "WHEN", "WHO", "WHAT", "NOTE"],
        [change_row(change) for change in found["changes"]],
    )
    context.printer.show(found, f"{text}\nhead {found['head']}")
    return Exit.OK


@command("records diff")
def diff(args: dict[str, Any], context: Context) -> int:
    """Show how two revisions, or a file and the records, differ.

    Usage:
      dahliashunt records diff [options] [--entry=URL]... --file=FILE
      dahliashunt records diff [options] [--entry=URL]... <from> [<to>]

    <to> is the head by default. With a file, what applying it would
    change; nothing is written.

    Options:
      --file=FILE    A file of records; "-" is standard input.

    For example:
      dahliashunt records diff 118
      dahliashunt records diff 118 121 --output json
      dahliashunt records diff --file bench.yaml
    """
    if args["--file"]:
        outcome = dry_run(args["--file"], context)
        context.printer.show(outcome, outcome_text(outcome))
        return Exit.OK
    query = {"from": whole(args, "<from>"), "to": whole(args, "<to>")}
    found = context.client.get("/operator/diff", **query)
    lines = [f"from revision {found['from']} to {found['to']}"]
    for record in found["records"]:
        lines.append(f"  {record['kind']}/{record['name']}")
        lines.extend(difference_lines(record["difference"]))
    if not found["records"]:
        lines.append("  no difference")
    context.printer.show(found, clean("\n".join(lines)))
    return Exit.OK


@command("records restore")
def restore(args: dict[str, Any], context: Context) -> int:
    """Put records back to an earlier revision, as a new change.

    Usage:
      dahliashunt records restore [options] [--entry=URL]... <revision>
                                  [<record>...]

    Without records, all that changed since are put back.

    Options:
      --dry-run         Show what would change.
      --note=TEXT       Why; shown in the history.
      --change-id=ID    Repeat a change whose outcome is not known.

    For example:
      dahliashunt records restore 118 --dry-run
      dahliashunt records restore 118 Caller/bench --note "wrong rate"
    """
    revision = whole(args, "<revision>")
    if revision is None:
        raise CommandError(Exit.USAGE, "a revision is needed")
    outcome = send_change(
        context,
        f"/operator/restore/{revision}",
        {
            "records": args["<record>"],
            "dry_run": args["--dry-run"],
            "note": args["--note"] or "",
        },
        args["--change-id"],
    )
    context.printer.show(outcome, outcome_text(outcome))
    return Exit.OK


def change_row(change: dict[str, Any]) -> list:
    """Return a change as a row of a table."""
    what = [
        f"{record['kind']}/{record['name']} {record['what']}"
        for record in change["records"]
    ]
    if len(what) > 3:
        what = [*what[:2], f"and {len(what) - 2} more"]
    return [
        change["revision"],
        time_text(change["wall_ms"]),
        change["who"],
        ", ".join(what),
        change["note"],
    ]
