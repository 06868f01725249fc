"""Index of the endpoints that probably cache a prompt prefix.

Load pattern: conversations and shared system prompts, whose prefill is
cheap where the prefix is cached. Cache events arrive late and with gaps.

Without it requests hit cached prefixes by chance, and repeated prefills
delay first tokens.

How: a reported prefix counts until a later report omits it; an empty report
is ignored. A dispatched prefix counts at once for a limited time, since the
report that confirms it may be lost. A wrong entry costs a prefill, never an
answer.

Complexity: O(log n) lookups for n blocks, at depths that grow by a half, so
that a match is exact to within a third. Memory is bounded in total and
divided equally between endpoints.
"""

from functools import lru_cache

from dahliashunt.ids import EndpointId

__all__ = ["PrefixIndex"]


@lru_cache(maxsize=1_024)
def _depths(length: int) -> tuple[int, ...]:
    """Return the sampled depths, deepest first.

    They grow by a half: a prompt of thousands of blocks has some twenty, and
    a match is known to within a third.
    """
    depths = {length} if length else set()
    depth = 1
    while depth < length:
        depths.add(depth)
        depth = max(depth + 1, depth * 3 // 2)
    return tuple(sorted(depths, reverse=True))


class PrefixIndex:
    """Endpoints by cached prefix, from reports and own dispatches.

    Parameters
    ----------
    sent_ms : int
        Time for which a dispatch counts without a confirming report.
    total : int
        Maximum number of prefixes, divided equally between endpoints.
    report_ms : int
        Minimum interval between evaluated reports of an endpoint, since
        comparing large sets is slow.

    Examples
    --------
    >>> index = PrefixIndex(sent_ms=30_000, total=100, report_ms=0)
    >>> index.record_dispatch(0, "a", (1, 2))
    >>> index.record_dispatch(0, "b", (1,))
    >>> index.cached_depths(10, (1, 2, 3))
    {'a': 2, 'b': 1}
    """

    def __init__(self, sent_ms: int, total: int, report_ms: int):
        self._sent_ms = sent_ms
        self._total = total
        self._report_ms = report_ms
        self._holders_by_key: dict[int, dict[EndpointId, int | None]] = {}
        self._reported_by_id: dict[EndpointId, frozenset[int]] = {}
        self._sent_by_id: dict[EndpointId, dict[int, None]] = {}
        self._next_report_ms_by_id: dict[EndpointId, int] = {}

    def record_dispatch(
        self, now: int, endpoint_id: EndpointId, keys: tuple[int, ...]
    ) -> None:
        """Record that a prompt with `keys` was sent to the endpoint."""
        sent = self._sent_by_id.setdefault(endpoint_id, {})
        by_key = self._holders_by_key
        until = now + self._sent_ms
        for depth in _depths(len(keys)):
            key = keys[depth - 1]
            holders = by_key.get(key)
            if holders is None:
                by_key[key] = {endpoint_id: until}
            elif holders.get(endpoint_id, 0) is None:
                continue
            else:
                holders[endpoint_id] = until
                sent.pop(key, None)
            sent[key] = None
        for _ in range(len(sent) - self._quota_per_endpoint()):
            key = next(iter(sent))
            del sent[key]
            self._forget(key, endpoint_id)

    def report(
        self, now: int, endpoint_id: EndpointId, cached: frozenset[int]
    ) -> None:
        """Replace the reported prefixes; an empty report is ignored."""
        if not cached or now < self._next_report_ms_by_id.get(endpoint_id, 0):
            return
        self._next_report_ms_by_id[endpoint_id] = now + self._report_ms
        old = self._reported_by_id.get(endpoint_id, frozenset())
        if len(cached) > self._quota_per_endpoint():
            cached = frozenset(sorted(cached)[: self._quota_per_endpoint()])
        self._reported_by_id[endpoint_id] = cached
        for key in old - cached:
            self._forget(key, endpoint_id)
        sent = self._sent_by_id.get(endpoint_id, {})
        for key in cached - old:
            sent.pop(key, None)
            self._holders_by_key.setdefault(key, {})[endpoint_id] = None

    def forget_endpoint(self, endpoint_id: EndpointId) -> None:
        """Remove an endpoint and its prefixes."""
        self._next_report_ms_by_id.pop(endpoint_id, None)
        for key in self._reported_by_id.pop(endpoint_id, ()):
            self._forget(key, endpoint_id)
        for key in self._sent_by_id.pop(endpoint_id, {}):
            self._forget(key, endpoint_id)

    def cached_depths(
        self, now: int, keys: tuple[int, ...]
    ) -> dict[EndpointId, int]:
        """Return how many of `keys` each holder caches, deepest first."""
        depth_by_id: dict[EndpointId, int] = {}
        for depth in _depths(len(keys)):
            holders = self._holders_by_key.get(keys[depth - 1])
            if not holders:
                continue
            for endpoint_id, until in holders.items():
                if endpoint_id not in depth_by_id and (
                    until is None or until > now
                ):
                    depth_by_id[endpoint_id] = depth
        return depth_by_id

    def cached_fraction(
        self, now: int, endpoint_id: EndpointId, keys: tuple[int, ...]
    ) -> float:
        """Return the fraction of `keys` that the endpoint caches."""
        for depth in _depths(len(keys)):
            holders = self._holders_by_key.get(keys[depth - 1])
            if holders and endpoint_id in holders:
                until = holders[endpoint_id]
                if until is None or until > now:
                    return depth / len(keys)
        return 0.0

    def __len__(self) -> int:
        return len(self._holders_by_key)

    def _quota_per_endpoint(self) -> int:
        endpoint_count = max(
            len(self._sent_by_id), len(self._reported_by_id), 1
        )
        return self._total // (2 * endpoint_count)

    def _forget(self, key: int, endpoint_id: EndpointId) -> None:
        holders = self._holders_by_key.get(key)
        if holders is not None:
            holders.pop(endpoint_id, None)
            if not holders:
                del self._holders_by_key[key]
