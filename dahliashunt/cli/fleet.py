"""Commands about the whole: status, burn, version, keys."""

import hashlib
import secrets
from typing import Any

from dahliashunt.cli.exits import Exit
from dahliashunt.cli.output import table
from dahliashunt.cli.registry import command
from dahliashunt.cli.registry import Context
from dahliashunt.version import VERSION

__all__ = ["burn", "new_key", "status", "version"]

KEY_BYTES = 32


@command("status")
def status(args: dict[str, Any], context: Context) -> int:
    """Show the fleet at a glance.

    Usage:
      dahliashunt status [options] [--entry=URL]...

    For example:
      dahliashunt status
    """
    records = context.client.get("/operator/status")
    found = context.client.get("/operator/endpoints")
    endpoints = found["endpoints"]
    drained = sum(one["drained"] for one in endpoints)
    text = table(
        ["WHAT", "NOW"],
        [
            ["head revision", records["head"]],
            ["table service", "up" if records["head_known"] else "out"],
            ["lowest in force", records["lowest_in_force"]],
            ["nodes", records["nodes"]],
            ["laggards", len(records["laggards"])],
            ["endpoints", len(endpoints)],
            ["drained", drained],
            ["running online", sum(e["running_online"] for e in endpoints)],
            ["running batch", sum(e["running_batch"] for e in endpoints)],
        ],
    )
    context.printer.show({"records": records, "endpoints": endpoints}, text)
    return Exit.OK


@command("burn")
def burn(args: dict[str, Any], context: Context) -> int:
    """Show how fast each service-level objective's budget burns.

    Usage:
      dahliashunt burn [options] [--entry=URL]...

    For example:
      dahliashunt burn --output json
    """
    found = context.client.get("/operator/burn")
    context.printer.show(found, _tables(found))
    return Exit.OK


@command("version")
def version(args: dict[str, Any], context: Context) -> int:
    """Show the version of this program.

    Usage:
      dahliashunt version [options] [--entry=URL]...

    For example:
      dahliashunt version
    """
    context.printer.show({"version": VERSION}, f"dahliashunt {VERSION}")
    return Exit.OK


@command("keys new")
def new_key(args: dict[str, Any], context: Context) -> int:
    """Make a key, and the hash that goes into a record.

    Usage:
      dahliashunt keys new [options] [--entry=URL]... <id>

    Nothing is sent. The key is shown once: hand it to whoever will use
    it, and put the entry for "keys" into the Caller or Operator record.

    For example:
      dahliashunt keys new bench-2026
    """
    key = secrets.token_urlsafe(KEY_BYTES)
    sha256 = hashlib.sha256(key.encode()).hexdigest()
    entry = {"id": args["<id>"], "sha256": sha256}
    text = f"key     {key}\nrecord  {{id: {args['<id>']}, sha256: {sha256}}}"
    context.printer.show({"key": key, "record": entry}, text)
    return Exit.OK


def _tables(found):
    """Return each list of objects in an answer as a table."""
    parts = []
    for name, rows in found.items():
        if isinstance(rows, list) and rows and isinstance(rows[0], dict):
            heads = list(rows[0])
            cells = [[row.get(head) for head in heads] for row in rows]
            upper = [head.replace("_", " ").upper() for head in heads]
            parts.append(f"{name}\n{table(upper, cells)}")
        else:
            parts.append(table([name.replace("_", " ").upper()], [[rows]]))
    return "\n\n".join(parts)
