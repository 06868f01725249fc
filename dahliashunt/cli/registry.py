"""The registry of commands, filled by a decorator.

A command is a function whose docstring is its help in docopt's language;
the options that all commands have are added to it.
"""

from collections.abc import Callable
from dataclasses import dataclass
import inspect
import secrets
import time
from typing import Any

from dahliashunt.cli.client import Client
from dahliashunt.cli.exits import CommandError
from dahliashunt.cli.exits import Exit
from dahliashunt.cli.output import Printer

__all__ = ["COMMANDS", "Command", "Context", "command", "new_id"]

COMMON = """
Options of all commands:
  --entry=URL      An entry; may be given several times. Default: the
                   URLs in DAHLIASHUNT_ENTRIES, or http://127.0.0.1:8080.
  --key=KEY        Key to authenticate with. Default: DAHLIASHUNT_KEY,
                   which other users of the machine cannot see.
  --output=FORMAT  table, json or yaml [default: table].
  -h --help        Show this.
"""


@dataclass(slots=True)
class Context:
    """What a command works with."""

    client: Client
    printer: Printer
    sleep: Callable[[float], None] = time.sleep
    now: Callable[[], float] = time.monotonic

    def wait_until(
        self,
        step: Callable[[], bool],
        timeout_s: float,
        interval_s: float = 1.0,
        most_s: float = 10.0,
    ) -> bool:
        """Call `step` at growing intervals until true or out of time."""
        until = self.now() + timeout_s
        while not step():
            left = until - self.now()
            if left <= 0:
                return False
            self.sleep(min(interval_s, left))
            interval_s = min(interval_s * 1.3, most_s)
        return True


@dataclass(frozen=True, slots=True)
class Command:
    """A command; `words` are what the user types."""

    words: tuple[str, ...]
    run: Callable[[dict[str, Any], Context], int]
    help: str

    @property
    def summary(self) -> str:
        """Return the first line of the help."""
        return self.help.strip().splitlines()[0]


COMMANDS: dict[tuple[str, ...], Command] = {}
"""Commands by their words."""


def command(words: str) -> Callable:
    """Return a decorator that registers a function as a command."""

    def decorate(run):
        key = tuple(words.split())
        if key in COMMANDS:
            raise ValueError(f"command {words!r} exists already")
        text = inspect.cleandoc(run.__doc__) + "\n" + COMMON
        COMMANDS[key] = Command(key, run, text)
        return run

    return decorate


def new_id() -> str:
    """Return an id for a change that was never used."""
    return secrets.token_hex(12)


def whole(args: dict, name: str) -> int | None:
    """Return an option as a whole number of at least 0."""
    value = args[name]
    if value is None:
        return None
    if not value.isascii() or not value.isdigit() or len(value) > 15:
        raise CommandError(Exit.USAGE, f"{name} must be a whole number")
    return int(value)
