"""The names with the highest counts, in bounded memory."""

__all__ = ["HeavyHitters"]


class HeavyHitters:
    """Space-saving counts of the most frequent names.

    Parameters
    ----------
    size : int
        Most names that are kept.

    Notes
    -----
    A new name takes the place of the least one and its count [1]_, so a
    count may be too high, by at most the total over `size`, and each name
    with more than that share is kept. A change costs O(1) while there is
    room and O(size) when a name is replaced.

    References
    ----------
    .. [1] A. Metwally, D. Agrawal and A. El Abbadi, "Efficient computation
       of frequent and top-k elements in data streams", ICDT 2005.

    Examples
    --------
    >>> hitters = HeavyHitters(2)
    >>> for name in "aabacc":
    ...     hitters.add(name)
    >>> hitters.top()[0]
    ('a', 3)
    """

    def __init__(self, size: int):
        self._size = size
        self._count_by_name: dict[str, int] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Count a name."""
        counts = self._count_by_name
        if name in counts or len(counts) < self._size:
            counts[name] = counts.get(name, 0) + by
            return
        least = min(counts, key=counts.__getitem__)
        counts[name] = counts.pop(least) + by

    def top(self) -> list[tuple[str, int]]:
        """Return names and counts, highest first."""
        return sorted(
            self._count_by_name.items(), key=lambda item: (-item[1], item[0])
        )
