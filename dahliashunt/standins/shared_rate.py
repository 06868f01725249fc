"""A rate that transfers under way share evenly. Pure."""

from dataclasses import dataclass
import math

__all__ = ["SharedRate"]


@dataclass(slots=True)
class _Transfer:
    left: float


class SharedRate:
    """Transfers that share `per_s` bytes a second.

    Parameters
    ----------
    per_s : float
    now_ms : int

    Examples
    --------
    Two transfers take twice as long as one:

    >>> rate = SharedRate(1000, now_ms=0)
    >>> rate.add("a", 500)
    >>> rate.add("b", 500)
    >>> rate.advance(500), rate.next_ms()
    ([], 500)
    >>> rate.advance(1000)
    ['a', 'b']
    """

    def __init__(self, per_s: float, now_ms: int):
        self._per_ms = per_s / 1000
        self._now_ms = now_ms
        self._by_key: dict[str, _Transfer] = {}

    def __len__(self):
        return len(self._by_key)

    def add(self, key: str, size: int):
        """Start a transfer of `size` bytes."""
        self._by_key[key] = _Transfer(float(size))

    def remove(self, key: str):
        """Give a transfer up."""
        self._by_key.pop(key, None)

    def advance(self, now_ms: int) -> list[str]:
        """Move all transfers on; return those that are done."""
        each_moved = self._share() * (now_ms - self._now_ms)
        self._now_ms = now_ms
        for transfer in self._by_key.values():
            transfer.left -= each_moved
        done = [key for key, each in self._by_key.items() if each.left <= 0]
        for key in done:
            del self._by_key[key]
        return done

    def next_ms(self) -> int:
        """Return how long until the next one is done, if none joins."""
        least = min(each.left for each in self._by_key.values())
        return math.ceil(least / self._share())

    def _share(self):
        return self._per_ms / max(1, len(self._by_key))
