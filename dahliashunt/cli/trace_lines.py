"""Find the log lines of a request or a job, in files or from nodes."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import json
import pathlib
from typing import Any

__all__ = ["Found", "find_in_files", "parse_line"]

MOST_FOUND = 100_000
"""Lines that are kept; more are counted. One request has some ten."""

LONGEST_LINE = 1_000_000
"""Bytes after which a line is no log line of ours."""


@dataclass(slots=True)
class Found:
    """What a search has found.

    Attributes
    ----------
    steps : list of dict
        Decoded lines, in the order found.
    unreadable : int
        Lines with the id that are cut or are no JSON.
    left_out : int
        Lines beyond the most that are kept.
    """

    steps: list[dict[str, Any]] = field(default_factory=list)
    unreadable: int = 0
    left_out: int = 0

    def add(self, line: str) -> None:
        """Take one line that contains the id."""
        step = parse_line(line)
        if step is None:
            self.unreadable += 1
        elif len(self.steps) >= MOST_FOUND:
            self.left_out += 1
        else:
            self.steps.append(step)


def parse_line(line: str) -> dict[str, Any] | None:
    """Return a log line's fields; None if it is cut or none of ours.

    Collectors put a time or a node's name before the line; what comes
    before the first brace is passed over.

    Examples
    --------
    >>> parse_line('12.5 front-1 {"event": "served", "node": "front-1"}')
    {'event': 'served', 'node': 'front-1'}
    >>> parse_line('{"event": "ser') is None
    True
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        step = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(step, dict) or "event" not in step:
        return None
    return step


def find_in_files(
    paths: list[pathlib.Path], wanted: str, progress
) -> Iterator[str]:
    """Yield the lines of `paths` that contain `wanted`, file by file.

    Memory does not grow with the files: a line is read at a time.

    Parameters
    ----------
    paths : list of Path
    wanted : str
    progress : callable
        Told how many bytes were read, now and then.
    """
    needle = wanted.encode()
    for path in paths:
        read = 0
        with path.open("rb") as lines:
            while line := lines.readline(LONGEST_LINE):
                read += len(line)
                if needle in line:
                    yield line.decode(errors="replace")
                if read >= PROGRESS_BYTES:
                    progress(read)
                    read = 0
        progress(read)


PROGRESS_BYTES = 8_000_000
"""Between two reports of progress."""
