"""Lines of a JSON text on which values begin.

`json.loads` keeps no positions. The text is walked once, and only containers
on the way to a wanted path are entered: all else is skipped by the decoder.
"""

from bisect import bisect_left
from collections.abc import Iterable
import json
from json.decoder import scanstring
import re

from dahliashunt.field_rules import Path

__all__ = ["LineIndex"]

_SPACE = re.compile(r"[ \t\n\r]*")


class LineIndex:
    r"""Lines of the values at some paths of a valid JSON text.

    Parameters
    ----------
    text : str
        A text that `json.loads` accepts.
    paths : iterable of tuple
        Keys and indices that lead to each value.

    Examples
    --------
    >>> index = LineIndex('{"a": 1,\n"b": [2,\n3]}', [("b", 1), ("b", "x")])
    >>> index.line(("b", 1)), index.line(("b", "x"))
    (3, 2)
    """

    def __init__(self, text: str, paths: Iterable[Path]):
        self._text = text
        self._scan = json.JSONDecoder().scan_once
        self._newlines = [each.start() for each in re.finditer("\n", text)]
        self._line_by_path: dict[Path, int] = {}
        wanted: dict = {}
        for path in paths:
            branch = wanted
            for step in path:
                branch = branch.setdefault(step, {})
        try:
            self._walk(self._after_space(0), wanted, ())
        except RecursionError:
            # A text that is nested as deeply as the decoder can read.
            self._line_by_path.clear()

    def line(self, path: Path) -> int | None:
        """Return the line of a value, or of the nearest one around it."""
        while path and path not in self._line_by_path:
            path = path[:-1]
        return self._line_by_path.get(path)

    def _walk(self, at, wanted, path):
        """Note the value at offset `at`; return the offset after it."""
        self._line_by_path[path] = bisect_left(self._newlines, at) + 1
        opening = self._text[at]
        if not wanted or opening not in "{[":
            return self._scan(self._text, at)[1]
        walk = self._walk_object if opening == "{" else self._walk_list
        return walk(at + 1, wanted, path)

    def _walk_object(self, at, wanted, path):
        at = self._after_space(at)
        while self._text[at] != "}":
            key, at = scanstring(self._text, at + 1, True)
            # A colon follows.
            at = self._after_space(self._after_space(at) + 1)
            at = self._member(at, wanted, path, key)
        return at + 1

    def _walk_list(self, at, wanted, path):
        at = self._after_space(at)
        index = 0
        while self._text[at] != "]":
            at = self._member(at, wanted, path, index)
            index += 1
            if index not in wanted:
                at, index = self._skip(at, wanted, index)
        return at + 1

    def _skip(self, at, wanted, index):
        """Return offset and index of the next wanted member, or the end.

        Lists are long, and most of their members are not wanted.
        """
        text, scan, match = self._text, self._scan, _SPACE.match
        while text[at] != "]" and index not in wanted:
            _, at = scan(text, at)
            at = match(text, at).end()
            if text[at] == ",":
                at = match(text, at + 1).end()
            index += 1
        return at, index

    def _member(self, at, wanted, path, step):
        """Return the offset of the next member or of the closing bracket."""
        if step in wanted:
            at = self._walk(at, wanted[step], (*path, step))
        else:
            at = self._scan(self._text, at)[1]
        at = self._after_space(at)
        return self._after_space(at + 1) if self._text[at] == "," else at

    def _after_space(self, at):
        return _SPACE.match(self._text, at).end()
