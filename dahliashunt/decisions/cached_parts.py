"""Prompt parts that an entry believes each replica to have cached.

Load pattern
------------
Prompts begin with parts shared by many requests, from a hundred tokens to
tens of thousands. A replica caches what it has read until its memory is
needed for something else. It does not report what it has cached.

What goes wrong without it
--------------------------
A choice by hashing alone sends a popular part to one replica however long
its queue is, and takes a part for cached at a replica that has just started.

How
---
An entry remembers the prefixes that it sent to each incarnation of a replica.
The belief that a prefix is still cached halves every `HALF_LIFE_MS`, and the
prefixes that were used least recently are dropped beyond the replica's
memory. Other entries send the same parts, which this entry can't see. All
entries therefore give the replicas that rendezvous hashing of the first
relevant prefix selects the beliefs `HOME_BELIEFS`, which are one term in the
estimate like any other and yield to a queue there: a popular part is read at
its second home once the first one has no idle slot. Prefixes whose reading
takes no relevant time are not kept.

Memory: at most `MAX_PREFIXES` of each of `MAX_REPLICAS`, some hundred bytes
each.
"""

from collections import OrderedDict
import hashlib
import heapq

__all__ = ["CachedParts", "home_beliefs", "relevant_prefixes"]

HALF_LIFE_MS = 20_000
"""Time in ms after which a part counts half. A replica of 147,000 tokens that
reads 5,000 other tokens a second replaces its cache in 30 s."""

CAPACITY_TOKENS = 131_072
"""Tokens of prefixes remembered per replica, about the memory of one."""

MAX_PREFIXES = 64
"""Most prefixes remembered per replica."""

MAX_REPLICAS = 64
"""Most replicas of which prefixes are remembered: the partners of two
services and what was sampled lately. A fleet may have thousands."""

HOME_BELIEFS = (0.8, 0.6, 0.4, 0.2)
"""Beliefs that a prefix never sent from here is cached at the replicas that
all entries prefer for it, best first."""


def relevant_prefixes(
    shared_parts, min_tokens: float
) -> list[tuple[tuple[str, ...], int]]:
    """Return the prefixes of at least `min_tokens`, with their tokens.

    Parameters
    ----------
    shared_parts : iterable of pairs
        Id and tokens of each part, in order.
    min_tokens : float

    Examples
    --------
    >>> relevant_prefixes([("a", 100), ("b", 4000)], 2500)
    [(('a', 'b'), 4100)]
    """
    found = []
    ids, total = (), 0
    for part, tokens in shared_parts:
        ids, total = (*ids, part), total + tokens
        if total >= min_tokens:
            found.append((ids, total))
    return found


def home_beliefs(prefixes, replica_ids) -> dict[str, float]:
    """Return the beliefs of `HOME_BELIEFS` by the ids of their replicas.

    Parameters
    ----------
    prefixes : list
        Result of `relevant_prefixes`.
    replica_ids : iterable of str
    """
    if not prefixes:
        return {}
    prefix = prefixes[0][0]
    best = heapq.nlargest(
        len(HOME_BELIEFS),
        replica_ids,
        key=lambda replica_id: _rendezvous_score(prefix, replica_id),
    )
    return dict(zip(best, HOME_BELIEFS, strict=False))


def _rendezvous_score(prefix, replica_id):
    text = "|".join((*prefix, replica_id)).encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class CachedParts:
    """Prefixes sent to each incarnation of a replica, with their age."""

    def __init__(self, capacity_tokens: int = CAPACITY_TOKENS):
        self._capacity_tokens = capacity_tokens
        # By incarnation, then by prefix: tokens and the time of the last use.
        self._by_incarnation: OrderedDict[tuple, OrderedDict] = OrderedDict()

    def sent(self, incarnation: tuple, prefixes, now_ms: int) -> None:
        """Record that a prompt with `prefixes` was sent there."""
        if not prefixes:
            return
        sent = self._by_incarnation.setdefault(incarnation, OrderedDict())
        self._by_incarnation.move_to_end(incarnation)
        if len(self._by_incarnation) > MAX_REPLICAS:
            self._by_incarnation.popitem(last=False)
        for prefix, tokens in prefixes:
            sent[prefix] = (tokens, now_ms)
            sent.move_to_end(prefix)
        while len(sent) > 1 and self._exceeds(sent):
            sent.popitem(last=False)

    def _exceeds(self, sent):
        if len(sent) > MAX_PREFIXES:
            return True
        return _stored_tokens(sent) > self._capacity_tokens

    def expected_tokens(
        self, incarnation: tuple, prefixes, now_ms: int
    ) -> float:
        """Return the expected number of cached tokens of a prompt.

        Longer prefixes are less certain than shorter ones, so that each
        counts by its own age; the best one is returned.
        """
        sent = self._by_incarnation.get(incarnation)
        if not sent:
            return 0.0
        best = 0.0
        for prefix, _ in prefixes:
            tokens, at_ms = sent.get(prefix, (0, now_ms))
            best = max(best, tokens * 0.5 ** ((now_ms - at_ms) / HALF_LIFE_MS))
        return best

    def keep_only(self, incarnations) -> None:
        """Drop what belongs to other incarnations than `incarnations`."""
        for incarnation in list(self._by_incarnation):
            if incarnation not in incarnations:
                del self._by_incarnation[incarnation]

    def __len__(self):
        return sum(map(len, self._by_incarnation.values()))


def _stored_tokens(sent):
    """Return the tokens that hold `sent`, a shared beginning only once."""
    return sum(
        tokens - sent.get(prefix[:-1], (0, 0))[0]
        for prefix, (tokens, _) in sent.items()
    )
