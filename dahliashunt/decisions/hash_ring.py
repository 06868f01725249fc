"""Choice of a few hosts by a key, the same at all nodes that know the hosts.

Load pattern: each of ten thousand requests a second selects a few of
thousands of hosts; the list of hosts changes every minute.

Without it each request would rank all hosts, which costs one hash for each
of them, or all nodes would have to agree on a table.

How: consistent hashing [1]_. Each host has several points on a ring, and a
key belongs to the hosts whose points follow it. A host that joins or leaves
changes the owners of its neighbours' keys only.

References
----------
.. [1] D. Karger et al., "Consistent hashing and random trees", STOC 1997.
"""

import bisect
from collections.abc import Iterable
import functools
import hashlib

__all__ = ["HashRing"]

POINTS_PER_HOST = 8
"""More points spread keys more evenly and make the ring larger."""

KEY_RANGE = 2**64

MAX_MOVED_HOSTS = 64
"""Changed hosts above which sorting all points anew is faster."""

MAX_CACHED_HOSTS = 32_768
"""Hosts whose points are cached; bounds the memory."""


class HashRing:
    """Hosts on a ring.

    Parameters
    ----------
    hosts : iterable of str

    Examples
    --------
    >>> ring = HashRing(["a", "b", "c"])
    >>> sorted(ring.owners(7, 3))
    ['a', 'b', 'c']
    >>> HashRing([]).owners(7, 3)
    ()

    Notes
    -----
    O(n log n) to build, O(n) memory moves for a host that joins or leaves,
    O(log n) for a key's owners.
    """

    def __init__(self, hosts: Iterable[str] = ()):
        self.hosts: frozenset[str] = frozenset()
        self._points: list[tuple[int, str]] = []
        self.update(hosts)

    def update(self, hosts: Iterable[str]) -> None:
        """Replace the hosts; a small change doesn't sort all of them.

        Parameters
        ----------
        hosts : iterable of str

        Examples
        --------
        >>> ring = HashRing(["a", "b", "c"])
        >>> ring.update(["c", "d"])
        >>> sorted(ring.owners(7, 3))
        ['c', 'd']
        """
        former, self.hosts = self.hosts, frozenset(hosts)
        changed = former ^ self.hosts
        if len(changed) > MAX_MOVED_HOSTS:
            self._points = sorted(
                pair for host in self.hosts for pair in _points(host)
            )
            return
        for host in changed:
            for pair in _points(host):
                at = bisect.bisect_left(self._points, pair)
                if host in self.hosts:
                    self._points.insert(at, pair)
                else:
                    del self._points[at]

    def owners(self, key: int, count: int) -> tuple[str, ...]:
        """Return up to `count` hosts of a 64-bit `key`, the first one first.

        Parameters
        ----------
        key : int
            Signed or unsigned; should be a hash.
        count : int
        """
        first = bisect.bisect(self._points, (key % KEY_RANGE,))
        owners = {}
        for offset in range(len(self._points)):
            _, host = self._points[(first + offset) % len(self._points)]
            owners[host] = None
            if len(owners) == count:
                break
        return tuple(owners)


@functools.lru_cache(MAX_CACHED_HOSTS)
def _points(host):
    digest = hashlib.blake2b(host.encode(), digest_size=8 * POINTS_PER_HOST)
    data = digest.digest()
    return tuple(
        (int.from_bytes(data[at : at + 8]), host)
        for at in range(0, len(data), 8)
    )
