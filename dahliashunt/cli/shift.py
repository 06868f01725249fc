"""The page that one shift leaves to the next."""

import datetime
from typing import Any

from dahliashunt.cli.exits import CommandError
from dahliashunt.cli.exits import Exit
from dahliashunt.cli.output import clean
from dahliashunt.cli.output import table
from dahliashunt.cli.output import time_text
from dahliashunt.cli.records_past import change_row
from dahliashunt.cli.registry import command
from dahliashunt.cli.registry import Context

__all__ = ["handover"]


@command("shift handover")
def handover(args: dict[str, Any], context: Context) -> int:
    """Print what a shift takes over, on one page.

    Usage:
      dahliashunt shift handover [options] [--entry=URL]...

    The page is stamped with a revision. Two operators who print it at the
    same revision see alike.

    Options:
      --since=WHEN    A revision, or a time such as 2026-12-02T14:00Z.
                      Default: eight hours before the last change.

    For example:
      dahliashunt shift handover
      dahliashunt shift handover --since 118
    """
    page = context.client.get("/operator/handover", **_since(args["--since"]))
    context.printer.show(page, page_text(page))
    return Exit.OK


def page_text(page: dict[str, Any]) -> str:
    """Return the page for people to read."""
    written = ""
    if page["revision"]:
        when = time_text(page["written_wall_ms"])
        written = f", written {when} by {page['written_by']}"
    parts = [f"SHIFT HANDOVER at revision {page['revision']}{written}"]
    parts += _section("In force", _in_force(page))
    parts += _section(
        f"Changed since revision {page['since_revision']}",
        _rows(
            ["REVISION", "WHEN", "WHO", "WHAT", "NOTE"],
            map(change_row, page["changes"]),
        ),
    )
    parts += _section("Spreading", _spreading(page["spreading"]))
    parts += _section(
        "Drains",
        _rows(
            ["ENDPOINT", "SINCE REVISION", "REASON"],
            _picked(page["drains"], "endpoint", "revision", "reason"),
        ),
    )
    parts += _section(
        "Roll-outs",
        _rows(["WHAT", "STATE"], _picked(page["rollouts"], "what", "state")),
    )
    parts += _section("Running jobs", _jobs(page["jobs"]))
    parts += _section(
        "Alerts",
        _rows(
            ["SEVERITY", "NAME", "TEXT"],
            _picked(page["alerts"], "severity", "name", "text"),
        ),
    )
    return clean("\n".join(parts))


def _section(title, text):
    return ["", title, *(f"  {line}" for line in text.splitlines())]


def _rows(headings, rows):
    rows = list(rows)
    return table(headings, rows) if rows else "none"


def _picked(found, *names):
    return [[one[name] for name in names] for one in found]


def _in_force(page):
    counts = [f"{count} {kind}" for kind, count in page["in_force"].items()]
    lines = [", ".join(counts) or "nothing"]
    if page["deployments"]:
        heads = ["DEPLOYMENT", "MODEL", "ADAPTERS", "WHERE", "PAUSED"]
        names = ("name", "model", "adapters", "where", "paused")
        lines.append(table(heads, _picked(page["deployments"], *names)))
    return "\n".join(lines)


def _spreading(spreading):
    lowest, nodes = spreading["lowest_in_force"], spreading["nodes"]
    lines = [f"lowest in force {lowest}, {nodes} nodes"]
    for node in spreading["laggards"]:
        lines.append(f"{node['node_id']} is at {node['revision']}")
    for node, reasons in spreading["not_applied"].items():
        lines.append(f"{node} cannot apply {'; '.join(reasons)}")
    return "\n".join(lines)


def _jobs(jobs):
    rows = [
        [
            job["job_id"],
            job["caller"],
            job["model"],
            job["state"],
            f"{job['completed'] + job['failed']}/{job['total']}",
            time_text(job["due_wall_ms"]),
        ]
        for job in jobs
    ]
    return _rows(["JOB", "CALLER", "MODEL", "STATE", "DONE", "DUE"], rows)


def _since(text):
    if text is None:
        return {}
    if text.isascii() and text.isdigit():
        return {"since": int(text)}
    try:
        when = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise CommandError(
            Exit.USAGE, f"not a revision or a time: {text!r}"
        ) from None
    if when.tzinfo is None:
        raise CommandError(Exit.USAGE, "the time needs a zone, such as Z")
    return {"since_ms": int(when.timestamp() * 1000)}
