"""Rate limits of workspaces, enforced across all entries.

Load pattern
------------
A workspace has a rate and a burst. Its requests reach many entries,
unevenly, because a caller keeps its connection to one entry. Occasionally a
workspace sends several times its limit.

What goes wrong without it
--------------------------
If each entry enforces the whole limit, a workspace gets its limit once per
entry. If each enforces an equal share, a workspace whose callers use few
entries is refused most of what it may send.

Policies
--------
`RATE_LIMIT_POLICIES` registers them by name; all have the methods of
`EqualShare`. `take` returns `RateLimitVerdict.ADMITTED`, a `Refused` with the
time to retry, or a `PendingVerdict`, whose outcome is returned later by
`heard` or `tick`. `outbox` returns the messages to send to meters.
"""

from dataclasses import dataclass
import enum

from dahliashunt.decisions.registry import Registry

__all__ = [
    "IDLE_EXPIRY_MS",
    "MAX_RETRY_AFTER_MS",
    "RATE_LIMIT_POLICIES",
    "EqualShare",
    "Level",
    "MeterState",
    "Outcome",
    "PendingVerdict",
    "RateLimit",
    "RateLimitVerdict",
    "Refused",
    "UsageView",
    "evict_old",
    "wait_ms",
]

RATE_LIMIT_POLICIES = Registry("rate limit policy")

IDLE_EXPIRY_MS = 10_000
"""State of a workspace without requests is evicted after this time."""

EVICTION_CHECKS = 2
"""Members checked for eviction per insertion; above 1 a table shrinks."""

MAX_RETRY_AFTER_MS = 5_000
"""Longest time to retry, in milliseconds."""


class RateLimitVerdict(enum.Enum):
    """Decision on a request."""

    ADMITTED = "admitted"


@dataclass(frozen=True, slots=True)
class Refused:
    """The workspace is at its limit.

    Attributes
    ----------
    after_ms : int
        Time until the next request would be admitted.
    """

    after_ms: int


@dataclass(frozen=True, slots=True)
class PendingVerdict:
    """A decision that is pending; its `Outcome` has the same number."""

    number: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """The decision on a `PendingVerdict`."""

    number: int
    verdict: RateLimitVerdict | Refused


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of a workspace.

    Attributes
    ----------
    rate : float
        Requests a second; above 0.
    room : float
        Burst: requests that may come at once; at least 1.
    revision : int
        Revision of the configuration that sets the limit.
    """

    rate: float
    room: float
    revision: int = 0


@dataclass(frozen=True, slots=True)
class MeterState:
    """State of one meter as known to an entry.

    Attributes
    ----------
    host : str
    level : float
        Requests that the meter counts, less those that the rate has drained.
    heard_ms : int or None
        Time of its last reading.
    mature : bool
        Whether it has counted for a whole window.
    silent : bool
        Whether it leaves reports unanswered.
    """

    host: str
    level: float
    heard_ms: int | None
    mature: bool
    silent: bool


@dataclass(frozen=True, slots=True)
class UsageView:
    """Usage of a workspace as one entry sees it.

    Attributes
    ----------
    level : float
        Level over all entries if `metered`, else of this entry alone.
    metered : bool
        Whether meters decide; otherwise this entry's share does.
    entries : int
        Number of entries that share the limit when it is not metered.
    meters : tuple of MeterState
    """

    level: float
    metered: bool
    entries: int
    meters: tuple[MeterState, ...] = ()


class Level:
    """Leaky bucket: admitted requests that drain at the rate.

    Examples
    --------
    >>> level = Level()
    >>> for _ in range(3):
    ...     level.add(0, rate=2.0)
    >>> level.at(1000, rate=2.0)
    1.0
    """

    __slots__ = ("_at_ms", "_value")

    def __init__(self):
        self._value = 0.0
        self._at_ms = 0

    def at(self, now_ms: int, rate: float) -> float:
        """Return the level at `now_ms`; at least 0."""
        drained = (now_ms - self._at_ms) * rate / 1000
        self._value = max(0.0, self._value - max(0.0, drained))
        self._at_ms = max(self._at_ms, now_ms)
        return self._value

    def add(self, now_ms: int, rate: float, count: float = 1.0) -> None:
        """Add `count` requests; a negative count removes them."""
        self._value = max(0.0, self.at(now_ms, rate) + count)

    def lower_to(self, most: float) -> None:
        """Cap the level at `most`."""
        self._value = min(self._value, most)


def wait_ms(missing: float, rate: float) -> int:
    """Return the time to drain `missing` requests, in milliseconds.

    It is at least 1 and at most `MAX_RETRY_AFTER_MS`.
    """
    return min(MAX_RETRY_AFTER_MS, max(1, -int(-1000 * missing // rate)))


def evict_old(table: dict, is_old) -> None:
    """Check a few members of `table` and evict those that are old.

    Call it before each insertion; the table then shrinks to the members in
    use, whatever their order.

    Examples
    --------
    >>> table = {"used": 1, "old": 0}
    >>> evict_old(table, lambda value: value == 0)
    >>> table
    {'used': 1}
    """
    for _ in range(min(EVICTION_CHECKS, len(table))):
        key = next(iter(table))
        value = table.pop(key)
        if not is_old(value):
            table[key] = value


@dataclass(slots=True)
class _Share:
    level: Level
    used_ms: int


@RATE_LIMIT_POLICIES.register("equal-share")
class EqualShare:
    """Each entry enforces an equal share of the limit without messages.

    The baseline, and the fallback of an entry that reaches no meters: the
    rates of entries that know the same number of entries add up to the limit
    under any network partition. Each has room for one request at least.

    Parameters
    ----------
    entries : callable
        Returns the known number of entries.
    meters_of, rng : object, optional
        Ignored; part of the constructor that all policies share.
    """

    def __init__(self, entries, meters_of=None, rng=None):
        self._entries = entries
        self._share_by_workspace: dict[int, _Share] = {}

    def take(self, now_ms: int, workspace: int, limit: RateLimit):
        """Admit one request, or return when it would be admitted."""
        share = self._share(now_ms, workspace)
        rate, room = self._entry_limit(limit)
        missing = share.level.at(now_ms, rate) + 1 - room
        if missing > 0:
            return Refused(wait_ms(missing, rate))
        share.level.add(now_ms, rate)
        return RateLimitVerdict.ADMITTED

    def note(self, now_ms: int, workspace: int, limit: RateLimit) -> None:
        """Count a request that was admitted elsewhere."""
        rate, room = self._entry_limit(limit)
        level = self._share(now_ms, workspace).level
        level.add(now_ms, rate)
        level.lower_to(room)

    def fill(
        self, now_ms: int, workspace: int, limit: RateLimit, fullness: float
    ) -> None:
        """Raise the share's level to a part of its room, 0 to 1.

        An entry that falls back to its share has no more room than the whole
        fleet had.
        """
        rate, room = self._entry_limit(limit)
        level = self._share(now_ms, workspace).level
        missing = min(1.0, fullness) * room - level.at(now_ms, rate)
        level.add(now_ms, rate, max(0.0, missing))

    def give_back(self, now_ms, workspace, limit) -> None:
        """Refund a request that did not run."""
        share = self._share_by_workspace.get(workspace)
        if share is not None:
            share.level.add(now_ms, self._entry_limit(limit)[0], -1)

    def view(self, now_ms: int, workspace: int) -> UsageView:
        """Return a workspace's usage without counting a request."""
        share = self._share_by_workspace.get(workspace)
        level = share.level.at(now_ms, 0) if share is not None else 0.0
        return UsageView(level, False, max(1, self._entries()))

    def _entry_limit(self, limit):
        entries = max(1, self._entries())
        return limit.rate / entries, max(1.0, limit.room / entries)

    def _share(self, now_ms, workspace):
        share = self._share_by_workspace.get(workspace)
        if share is None:
            evict_old(
                self._share_by_workspace,
                lambda held: now_ms - held.used_ms > IDLE_EXPIRY_MS,
            )
            share = _Share(Level(), now_ms)
            self._share_by_workspace[workspace] = share
        share.used_ms = now_ms
        return share

    def outbox(self) -> list:
        """Return an empty list; this policy sends no messages."""
        return []

    def heard(self, now_ms, host, reading) -> list[Outcome]:
        """Return an empty list; this policy has no pending decisions."""
        return []

    def tick(self, now_ms) -> list[Outcome]:
        """Return an empty list; this policy has no pending decisions."""
        return []

    @property
    def needs_tick(self) -> bool:
        """Whether `tick` must be called."""
        return False
