"""Commands about the workspaces that nodes have in force."""

from typing import Any

from dahliashunt.cli.exits import Exit
from dahliashunt.cli.exits import ReadError
from dahliashunt.cli.nodes import ask_each
from dahliashunt.cli.nodes import ask_node
from dahliashunt.cli.nodes import node_addresses
from dahliashunt.cli.output import table
from dahliashunt.cli.registry import command
from dahliashunt.cli.registry import Context

__all__ = ["explain_workspace", "list_workspaces"]


@command("workspace list")
def list_workspaces(args: dict[str, Any], context: Context) -> int:
    """List a node's workspaces, those with most requests of late first.

    Usage:
      dahliashunt workspace list [options] [--entry=URL]... --node=ADDRESS

    ADMITTED and REFUSED are this node's decisions of the last five to ten
    seconds. A rate of 0 is no limit.

    Options:
      --node=ADDRESS   HOST:PORT of a node's metrics.

    For example:
      dahliashunt workspace list --node 10.1.0.35:9464
    """
    (node,) = node_addresses({"--node": [args["--node"]]})
    found = ask_node(node, "/workspaces")
    context.printer.show(found, "\n".join(_listing(found)))
    return Exit.OK


def _listing(found):
    yield f"node {found['node']}: version {found['version']}"
    if not found["keys_wanted"]:
        yield "callers need no keys"
        return
    rows = [
        [
            each["name"],
            each["rate"],
            each["burst"],
            each["rank"],
            each["admitted"],
            each["refused"],
        ]
        for each in found["workspaces"]
    ]
    heads = ["WORKSPACE", "RATE", "BURST", "RANK", "ADMITTED", "REFUSED"]
    yield table(heads, rows)
    hidden = found["total"] - len(rows)
    if hidden:
        yield f"and {hidden} more"
    for each in found["broken"]:
        yield f"can't be read: {each['name'] or '?'} ({each['reason']})"


@command("workspace explain")
def explain_workspace(args: dict[str, Any], context: Context) -> int:
    """Say why a workspace is let in or refused, as each node sees it.

    Usage:
      dahliashunt workspace explain [options] [--entry=URL]...
                                    (--node=ADDRESS)... <name>

    LEVEL is what was let in less what the rate has paid since: at the burst
    requests are refused. Where most of the agents that count are silent, a
    node goes by its share of the limit.

    Options:
      --node=ADDRESS   HOST:PORT of a node's metrics; may be repeated.

    For example:
      dahliashunt workspace explain museum-7 --node 10.1.0.35:9464
    """
    answers = ask_each(
        node_addresses(args), "/workspaces/explain", {"name": args["<name>"]}
    )
    failed = {
        address: answer.message
        for address, answer in answers.items()
        if isinstance(answer, ReadError)
    }
    good = {a: found for a, found in answers.items() if a not in failed}
    lines = [f"{address}: {text}" for address, text in failed.items()]
    for found in good.values():
        lines += _explanation(found)
    data = {"nodes": good, "failed": failed}
    context.printer.show(data, "\n".join(lines))
    if failed:
        return Exit.UNAVAILABLE
    if all(found["workspace"] is None for found in good.values()):
        return Exit.NOT_FOUND
    return Exit.OK


def _explanation(found):
    yield f"node {found['node']}: version {found['version']}"
    workspace = found["workspace"]
    if workspace is None:
        yield f"  no workspace: {found['why']}"
        return
    rank = workspace["rank"]
    yield (
        f"  {workspace['rate']:g} requests a second, burst "
        f"{workspace['burst']:g}, rank "
        f"{'of the route' if rank is None else rank}; "
        f"keys {', '.join(found['keys']) or 'none'}"
    )
    yield (
        f"  here of late: {workspace['admitted']} let in, "
        f"{workspace['refused']} refused"
    )
    if found["metered"]:
        yield f"  level {found['level']:g} over all nodes"
        yield from _meter_lines(found["meters"])
    else:
        yield (
            f"  level {found['level']:g} of this node's share, a part in "
            f"{found['entries']}: not counted, or too few agents answer"
        )
    for route, tokens in found["open_tokens_by_route"].items():
        yield f"  {tokens} tokens wait on {route}"


def _meter_lines(meters):
    for each in meters:
        age = "never" if each["age_ms"] is None else f"{each['age_ms']} ms ago"
        state = "silent" if each["silent"] else "answers"
        grown = "" if each["mature"] else ", started of late"
        yield (
            f"  counted at {each['host']}: {each['level']:g}, heard {age}, "
            f"{state}{grown}"
        )
