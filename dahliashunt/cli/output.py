"""Printing for people and for programs."""

from collections.abc import Iterable
import datetime
import json
import sys
from typing import Any
from typing import TextIO

import yaml

__all__ = ["FORMATS", "Printer", "clean", "table", "time_text"]

FORMATS = ("table", "json", "yaml")
_MAX_CELL = 100


class Printer:
    """Writes results to one stream and progress to another.

    Parameters
    ----------
    style : str
        One of `FORMATS`.
    out, err : text streams
    """

    def __init__(
        self,
        style: str = "table",
        out: TextIO | None = None,
        err: TextIO | None = None,
    ):
        self.style = style
        self._out = out or sys.stdout
        self._err = err or sys.stderr
        self._last = ""

    def show(self, data: Any, text: str) -> None:
        """Print `data` as JSON or YAML, or `text` in table style."""
        if self.style == "json":
            text = json.dumps(data, indent=2, ensure_ascii=False)
        elif self.style == "yaml":
            text = yaml.safe_dump(data, sort_keys=False, allow_unicode=True)
        self.line(text.rstrip("\n"))

    def line(self, text: str) -> None:
        """Print a line of the result."""
        self._out.write(text + "\n")
        self._out.flush()

    def progress(self, text: str) -> None:
        """Print how a long wait goes, once for each new text."""
        if text != self._last:
            self._last = text
            self._err.write(clean(text) + "\n")
            self._err.flush()

    def error(self, text: str) -> None:
        """Print an error."""
        self._err.write(f"dahliashunt: {clean(text)}\n")
        self._err.flush()


def table(headings: list[str], rows: Iterable[Iterable[Any]]) -> str:
    """Return rows under headings, columns aligned.

    Examples
    --------
    >>> print(table(["NAME", "AT"], [["bench", 7], ["e1", None]]))
    NAME   AT
    bench  7
    e1     -
    """
    cells = [headings, *([_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headings))]
    lines = (
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True))
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def time_text(wall_ms: int) -> str:
    """Return a time in UTC.

    Examples
    --------
    >>> time_text(0)
    '1970-01-01 00:00:00Z'
    """
    when = datetime.datetime.fromtimestamp(wall_ms // 1000, datetime.UTC)
    return when.strftime("%Y-%m-%d %H:%M:%SZ")


def clean(text: str) -> str:
    r"""Return text without control characters.

    Names and notes come from other people; an escape sequence in one must
    not drive the reader's terminal.

    Examples
    --------
    >>> clean("a\x1b[2Jb")
    'a\\x1b[2Jb'
    """
    return "".join(
        c
        if c.isprintable() or c == "\n"
        else c.encode("unicode_escape").decode()
        for c in text
    )


def _cell(value):
    if value is None or value == "" or value == []:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        value = ", ".join(str(item) for item in value)
    elif isinstance(value, dict):
        value = json.dumps(value, ensure_ascii=False)
    text = clean(str(value)).replace("\n", " ")
    return text if len(text) <= _MAX_CELL else text[: _MAX_CELL - 3] + "..."
