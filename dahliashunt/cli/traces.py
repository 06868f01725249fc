"""Commands that tell where a request or a job went."""

from collections import Counter
import pathlib
import sys
from typing import Any

from dahliashunt.cli.exits import Exit
from dahliashunt.cli.exits import ReadError
from dahliashunt.cli.nodes import ask_each
from dahliashunt.cli.nodes import node_addresses
from dahliashunt.cli.output import table
from dahliashunt.cli.registry import command
from dahliashunt.cli.registry import Context
from dahliashunt.cli.trace_lines import find_in_files
from dahliashunt.cli.trace_lines import Found

__all__ = ["trace"]

_HIDDEN = {"event", "level", "node", "program", "timestamp"}
BAR_WIDTH = 30


@command("request trace")
def trace(args: dict[str, Any], context: Context) -> int:
    """Show each step of a request, an item or a job over all nodes.

    Usage:
      dahliashunt request trace [options] [--entry=URL]...
                                [--node=ADDRESS]... <id>

    Steps come from the nodes named, which keep their last lines in memory,
    or from a folder of logs, which may be large. A job's id shows its
    owners; with --job also where its items ran.

    Options:
      --node=ADDRESS   HOST:PORT of a node's metrics; may be repeated.
      --logs=FOLDER    A file of log lines, or a folder of such files.
      --job            The id is a job's: count its items by data centre
                       and replica.
      --plot=FILE      With --job: draw them over time, as PNG.

    For example:
      dahliashunt request trace 9c41d07be2a35f68 --node 10.1.0.35:9464
      dahliashunt request trace 7c41e09b52d6a3f8 --job --logs /var/log/fleet
    """
    if bool(args["--logs"]) == bool(args["--node"]):
        raise ReadError(Exit.USAGE, "give either --logs or --node")
    if args["--plot"] and not args["--job"]:
        raise ReadError(Exit.USAGE, "--plot needs --job")
    if args["--logs"]:
        found, notes = _from_logs(args, context)
    else:
        found, notes = _from_nodes(args)
    found.steps.sort(key=lambda step: str(step.get("timestamp", "")))
    if not found.steps:
        notes.append(f"no line names {args['<id>']}")
        raise ReadError(Exit.NOT_FOUND, "; ".join(notes))
    items = _items(found.steps) if args["--job"] else []
    if args["--plot"]:
        _plot(items, args["<id>"], args["--plot"])
    lines = [*_step_lines(found.steps, args["--job"]), *_item_lines(items)]
    data = {"steps": found.steps, "items": items, "notes": notes}
    context.printer.show(data, "\n".join([*lines, *notes]))
    return Exit.OK


def _from_logs(args, context):
    folder = pathlib.Path(args["--logs"])
    if folder.is_dir():
        paths = sorted(path for path in folder.rglob("*") if path.is_file())
    else:
        paths = [folder]
    try:
        total = sum(path.stat().st_size for path in paths)
        found = Found()
        bar = _Bar(total)
        for line in find_in_files(paths, args["<id>"], bar.add):
            found.add(line)
        bar.end()
    except OSError as error:
        raise ReadError(Exit.USAGE, f"{folder}: {error}") from None
    return found, _notes(found)


def _notes(found):
    notes = []
    if found.unreadable:
        notes.append(f"{found.unreadable} lines with the id can't be read")
    if found.left_out:
        notes.append(f"{found.left_out} more lines are left out")
    return notes


def _from_nodes(args):
    found = Found()
    notes = []
    answers = ask_each(node_addresses(args), "/lines", {"id": args["<id>"]})
    for address, answer in answers.items():
        if isinstance(answer, ReadError):
            notes.append(answer.message)
            continue
        for line in answer["lines"]:
            found.add(line)
        if not answer["lines"] and answer["dropped"]:
            notes.append(
                f"node {address} has no line of it and has dropped "
                f"{answer['dropped']} older ones: look in its logs"
            )
    if all(isinstance(a, ReadError) for a in answers.values()):
        raise ReadError(Exit.UNAVAILABLE, "; ".join(notes))
    return found, notes + _notes(found)


def _step_lines(steps, is_job):
    shown = [
        step for step in steps if not (is_job and step["event"] == "item_done")
    ]
    rows = [
        [
            step.get("timestamp", "-"),
            step.get("node", "-"),
            step["event"],
            " ".join(
                f"{key}={value}"
                for key, value in step.items()
                if key not in _HIDDEN
            ),
        ]
        for step in shown
    ]
    yield table(["TIME", "NODE", "STEP", "WITH"], rows)


def _items(steps):
    return [
        {
            "item": step.get("request_id"),
            "replica": step.get("replica"),
            "data_centre": step.get("data_centre"),
            "revokes": step.get("revokes"),
            "timestamp": step.get("timestamp"),
            "owner": step.get("node"),
        }
        for step in steps
        if step["event"] == "item_done"
    ]


def _item_lines(items):
    if not items:
        return
    centres = Counter(item["data_centre"] for item in items)
    replicas = Counter((i["data_centre"], i["replica"]) for i in items)
    yield ""
    yield f"{len(items)} items were done, by data centre:"
    yield table(["DATA CENTRE", "ITEMS"], centres.most_common())
    rows = [[*key, count] for key, count in replicas.most_common()]
    yield table(["DATA CENTRE", "REPLICA", "ITEMS"], rows)


def _plot(items, job_id, path):
    """Draw the items done over time, a line for each data centre."""
    try:
        from matplotlib import pyplot
    except ImportError:
        raise ReadError(
            Exit.USAGE, "--plot needs matplotlib; install it with pip"
        ) from None
    import datetime

    figure, axes = pyplot.subplots(figsize=(8, 4))
    centres = sorted({str(item["data_centre"]) for item in items})
    for centre in centres:
        times = sorted(
            datetime.datetime.fromisoformat(item["timestamp"])
            for item in items
            if str(item["data_centre"]) == centre and item["timestamp"]
        )
        counts = range(1, len(times) + 1)
        axes.step(times, counts, where="post", marker="o", label=centre)
    axes.set_ylabel("items done")
    axes.set_title(f"job {job_id}")
    if centres:
        axes.legend(title="data centre")
    figure.autofmt_xdate()
    try:
        figure.savefig(path, format="png")
    except OSError as error:
        raise ReadError(Exit.USAGE, f"{path}: {error}") from None
    finally:
        pyplot.close(figure)


class _Bar:
    """How much of the logs was read, on a terminal's standard error."""

    def __init__(self, total):
        self._total = max(1, total)
        self._read = 0
        self._shown = sys.stderr.isatty()

    def add(self, count):
        self._read += count
        if self._shown:
            part = min(1.0, self._read / self._total)
            filled = "#" * int(part * BAR_WIDTH)
            sys.stderr.write(f"\r[{filled:<{BAR_WIDTH}}] {part:4.0%}")
            sys.stderr.flush()

    def end(self):
        if self._shown:
            sys.stderr.write("\n")
