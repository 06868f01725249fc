"""Commands about endpoints."""

from typing import Any

from dahliashunt.cli.exits import CommandError
from dahliashunt.cli.exits import Exit
from dahliashunt.cli.output import table
from dahliashunt.cli.records import outcome_text
from dahliashunt.cli.records import send_change
from dahliashunt.cli.registry import command
from dahliashunt.cli.registry import Context

__all__ = ["drain", "list_endpoints", "undrain"]


@command("endpoints list")
def list_endpoints(args: dict[str, Any], context: Context) -> int:
    """List endpoints: what they have loaded, and which are drained.

    Usage:
      dahliashunt endpoints list [options] [--entry=URL]...

    For example:
      dahliashunt endpoints list
      dahliashunt endpoints list --output json
    """
    found = context.client.get("/operator/endpoints")
    rows = [
        [
            one["endpoint_id"],
            one["data_centre"],
            "drained" if one["drained"] else one["state"],
            one["models"],
            one["running_online"],
            one["running_batch"],
        ]
        for one in found["endpoints"]
    ]
    heads = ["ENDPOINT", "DATA CENTRE", "STATE", "MODELS", "ONLINE", "BATCH"]
    context.printer.show(found, table(heads, rows))
    return Exit.OK


@command("endpoints drain")
def drain(args: dict[str, Any], context: Context) -> int:
    """Give an endpoint no new work; what runs there ends undisturbed.

    Usage:
      dahliashunt endpoints drain [options] [--entry=URL]... <endpoint>

    Options:
      --reason=TEXT     Why; shown on the handover page.
      --change-id=ID    Repeat a drain whose outcome is not known.

    For example:
      dahliashunt endpoints drain hall-b-2 --reason "new fan"
    """
    return _send(args, context, "drain", {"reason": args["--reason"] or ""})


@command("endpoints undrain")
def undrain(args: dict[str, Any], context: Context) -> int:
    """Give an endpoint work again.

    Usage:
      dahliashunt endpoints undrain [options] [--entry=URL]... <endpoint>

    Options:
      --change-id=ID    Repeat it if the outcome is not known.

    For example:
      dahliashunt endpoints undrain hall-b-2
    """
    return _send(args, context, "undrain", {})


def _send(args, context, action, body):
    name = args["<endpoint>"]
    if not all(c.isalnum() or c in "._:-" for c in name):
        raise CommandError(Exit.USAGE, f"not the name of an endpoint: {name}")
    path = f"/operator/endpoints/{name}/{action}"
    outcome = send_change(context, path, body, args["--change-id"])
    text = outcome_text(outcome)
    if not outcome["known"]:
        text += f"\nthe entry that was asked knows no endpoint {name}"
    context.printer.show(outcome, text)
    return Exit.OK
