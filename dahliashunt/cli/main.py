"""Operators' and batch users' command line."""

import os
import re
import sys
import time
from typing import Any

from docopt import docopt
from docopt import DocoptExit

from dahliashunt.cli import completion  # noqa: F401  registers commands
from dahliashunt.cli import endpoints  # noqa: F401
from dahliashunt.cli import fleet  # noqa: F401
from dahliashunt.cli import jobs  # noqa: F401
from dahliashunt.cli import records  # noqa: F401
from dahliashunt.cli import records_past  # noqa: F401
from dahliashunt.cli import routes  # noqa: F401
from dahliashunt.cli import shift  # noqa: F401
from dahliashunt.cli import traces  # noqa: F401
from dahliashunt.cli import workspaces  # noqa: F401
from dahliashunt.cli.client import Client
from dahliashunt.cli.exits import CommandError
from dahliashunt.cli.exits import Exit
from dahliashunt.cli.exits import ReadError
from dahliashunt.cli.output import FORMATS
from dahliashunt.cli.output import Printer
from dahliashunt.cli.registry import Command
from dahliashunt.cli.registry import COMMANDS
from dahliashunt.cli.registry import Context
from dahliashunt.errors import Ran

__all__ = ["main"]

DEFAULT_ENTRY = "http://127.0.0.1:8080"
_RAN_TEXT = {
    Ran.NO: "nothing was changed",
    Ran.UNKNOWN: "it may have taken effect",
    Ran.YES: "it took effect",
}


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    argv = sys.argv[1:] if argv is None else list(argv)
    printer = Printer()
    try:
        return _run(argv, printer)
    except CommandError as error:
        _report(error, printer)
        return error.exit_code
    except KeyboardInterrupt:
        return Exit.INTERRUPTED
    except BrokenPipeError:
        # Failure: the reader of a pipe, such as head, has gone. The
        # interpreter would write a traceback when it flushes at exit;
        # with standard output on the null device it has nothing to say.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return Exit.OK
    except Exception as error:
        if os.environ.get("DAHLIASHUNT_DEBUG"):
            raise
        printer.error(f"internal error: {type(error).__name__}: {error}")
        return Exit.INTERNAL


def _run(argv, printer):
    found = _find(argv)
    if found is None:
        return _usage(argv, printer)
    args = _parse(found, argv, printer)
    if args is None:
        return Exit.OK
    if args["--output"] not in FORMATS:
        formats = ", ".join(FORMATS)
        raise CommandError(Exit.USAGE, f"--output must be of {formats}")
    printer.style = args["--output"]
    client = Client(_entries(args), _key(args), time.sleep)
    return int(found.run(args, Context(client, printer, time.sleep)))


def _find(argv):
    """Return the command with the most words that `argv` begins with."""
    for length in (2, 1):
        found = COMMANDS.get(tuple(argv[:length]))
        if found is not None and len(argv) >= length:
            return found
    return None


def _parse(found: Command, argv, printer) -> dict[str, Any] | None:
    """Return the arguments, or None if help was asked for."""
    options = argv[: argv.index("--")] if "--" in argv else argv
    if "--help" in options or "-h" in options:
        printer.line(found.help.strip())
        return None
    try:
        return dict(docopt(found.help, argv, default_help=False))
    except DocoptExit as error:
        raise CommandError(Exit.USAGE, _usage_error(found, error)) from None


def _usage_error(found, error):
    words = " ".join(found.words)
    usage = re.search(r"(?s)Usage:.*?(?=\n\n)", found.help)
    reason = str(error).splitlines()[0] if str(error) else ""
    if reason.startswith(("Usage", "Warning")):
        reason = ""
    start = reason or f"wrong arguments for {words}"
    return f"{start}\n{usage.group(0)}\nSee dahliashunt {words} --help."


def _usage(argv, printer):
    """List the commands; an error unless help was asked for."""
    if argv in (["--version"], ["-V"]):
        return main(["version"])
    words = [word for word in argv if not word.startswith("-")]
    if words[:1] == ["help"]:
        words = words[1:]
        if tuple(words) in COMMANDS:
            return main([*words, "--help"])
    group = words[0] if words else ""
    shown = [c for c in COMMANDS.values() if c.words[0] == group]
    helped = not argv or argv[0] in ("help", "-h", "--help")
    helped = helped or "--help" in argv or "-h" in argv
    lines = ["dahliashunt: serving records, batch jobs and the fleet", ""]
    for one in shown or COMMANDS.values():
        lines.append(f"  {' '.join(one.words):<20} {one.summary}")
    lines.append("")
    lines.append("See dahliashunt COMMAND --help for options and examples.")
    if helped and (shown or not group):
        printer.line("\n".join(lines))
        return Exit.OK if argv else Exit.USAGE
    what = " ".join(words[:2]) or " ".join(argv[:1])
    raise CommandError(
        Exit.USAGE, "\n".join([f"no command {what!r}; there are", *lines[2:]])
    )


def _entries(args):
    given = args["--entry"]
    if given:
        return given
    return os.environ.get("DAHLIASHUNT_ENTRIES", DEFAULT_ENTRY).split()


def _key(args):
    key = args["--key"] or os.environ.get("DAHLIASHUNT_KEY", "")
    if not re.fullmatch(r"[!-~]*", key):
        raise CommandError(
            Exit.USAGE, "the key has characters that a key never has"
        )
    return key


def _report(error, printer):
    printer.error(error.message)
    for problem in error.details.get("problems", ()):
        printer.error("  {file}:{line}: {field}: {reason}".format(**problem))
    for conflict in error.details.get("conflicts", ()):
        for one in conflict["difference"]:
            printer.error(
                f"  {conflict['kind']}/{conflict['name']} {one['field']}: "
                f"in force {one['before']!r}, yours {one['after']!r}"
            )
    if isinstance(error, ReadError):
        return
    if error.exit_code not in (Exit.USAGE, Exit.WAITED, Exit.FAILED):
        printer.error(_RAN_TEXT[error.ran])


if __name__ == "__main__":
    raise SystemExit(main())
