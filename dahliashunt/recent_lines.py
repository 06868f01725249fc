"""The last lines that a process has logged, to be asked for by an id."""

from collections import deque

__all__ = ["RecentLines"]

MOST_CHARACTERS = 1_000_000
"""Of kept lines together: some 3,000 lines, on machines of 128 MB."""

MOST_FOUND = 500
"""Lines of one answer."""


class RecentLines:
    """Keeps lines while they fit; the oldest go first.

    Examples
    --------
    >>> recent = RecentLines(most_characters=20)
    >>> for line in ("a: one", "b: two", "a: three"):
    ...     recent.add(line)
    >>> recent.find("a")
    ['a: one', 'a: three']
    >>> recent.add("c: another")
    >>> recent.find("one"), recent.dropped
    ([], 2)
    """

    def __init__(self, most_characters: int = MOST_CHARACTERS):
        self._most = most_characters
        self._lines: deque[str] = deque()
        self._size = 0
        self.dropped = 0

    def add(self, line: str) -> None:
        """Keep `line`, and drop the oldest ones that no longer fit."""
        self._lines.append(line)
        self._size += len(line)
        while self._size > self._most and self._lines:
            self._size -= len(self._lines.popleft())
            self.dropped += 1

    def find(self, text: str) -> list[str]:
        """Return the newest lines that contain `text`, in order."""
        found = [line for line in self._lines if text in line]
        return found[-MOST_FOUND:]

    def oldest(self) -> str | None:
        """Return the oldest line that is kept."""
        return self._lines[0] if self._lines else None
