"""Rate limits of workspaces that bind all entries together.

Load pattern
------------
A workspace has a rate and a burst, and its requests come to any of many
entries, unevenly: a caller keeps its connection to one entry. Now and then
a workspace sends several times what it may.

What goes wrong without it
--------------------------
Counted by each entry alone against the whole limit, a workspace gets its
limit once for every entry. Counted against an equal share, it is refused
most of what it may send, since its callers hang on few entries.

Policies
--------
`CAPS` holds them by name, all with the methods of `EqualShare`. A take is
answered at once (`ADMITTED`, or a `Refused` with the time to come back), or
by an `Asked`, whose outcome comes from `heard` or `tick`. Messages to meters
are collected by `outbox`.
"""

from dataclasses import dataclass
import enum

from dahliashunt.decisions.registry import Registry

__all__ = [
    "CAPS",
    "IDLE_EXPIRY_MS",
    "MAX_RETRY_AFTER_MS",
    "Asked",
    "EqualShare",
    "Level",
    "MeterView",
    "Outcome",
    "RateLimit",
    "Refused",
    "UseView",
    "Verdict",
    "evict_old",
    "wait_ms",
]

CAPS = Registry("cap policy")

IDLE_EXPIRY_MS = 10_000
"""A workspace without requests for so long is forgotten."""

EVICTION_CHECKS = 2
"""Old members looked at for each new one; above 1 a table shrinks."""

MAX_RETRY_AFTER_MS = 5_000
"""Longest Retry-After: further ahead nobody knows what will be sent."""


class Verdict(enum.Enum):
    """What becomes of a request."""

    ADMITTED = "admitted"


@dataclass(frozen=True, slots=True)
class Refused:
    """The workspace is at its limit.

    Attributes
    ----------
    after_ms : int
        When the next request would pass.
    """

    after_ms: int


@dataclass(frozen=True, slots=True)
class Asked:
    """The outcome comes later, under this number."""

    number: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of an `Asked`."""

    number: int
    verdict: Verdict | Refused


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What a workspace may send.

    Attributes
    ----------
    rate : float
        Requests a second; above 0.
    room : float
        Requests that may come at once; 1 at the least.
    revision : int
        Of the configuration that says so.
    """

    rate: float
    room: float
    revision: int = 0


@dataclass(frozen=True, slots=True)
class MeterView:
    """What an entry knows of one meter; see `Reading`."""

    host: str
    level: float
    heard_ms: int | None
    mature: bool
    silent: bool


@dataclass(frozen=True, slots=True)
class UseView:
    """A workspace's use as one entry sees it.

    Attributes
    ----------
    level : float
        Of all entries where it is metered, else of this one.
    metered : bool
        Whether meters decide; else this entry's share does.
    entries : int
        Among which the limit is shared where it is not metered.
    meters : tuple of MeterView
    """

    level: float
    metered: bool
    entries: int
    meters: tuple[MeterView, ...] = ()


class Level:
    """Requests that were let in, less what the rate has paid since.

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
        """Return the level now; never below 0."""
        paid = (now_ms - self._at_ms) * rate / 1000
        self._value = max(0.0, self._value - max(0.0, paid))
        self._at_ms = max(self._at_ms, now_ms)
        return self._value

    def add(self, now_ms: int, rate: float, count: float = 1.0) -> None:
        """Let in `count` more; negative ones take back."""
        self._value = max(0.0, self.at(now_ms, rate) + count)

    def lower_to(self, most: float) -> None:
        """Forget what is above `most`."""
        self._value = min(self._value, most)


def wait_ms(missing: float, rate: float) -> int:
    """Return how long the rate takes to pay for `missing` requests."""
    return min(MAX_RETRY_AFTER_MS, max(1, -int(-1000 * missing // rate)))


def evict_old(table: dict, is_old) -> None:
    """Look at two members and drop those that are old.

    To be called for each new member: the table then shrinks to those that
    are in use, whatever their order.

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


@CAPS.register("equal-share")
class EqualShare:
    """Each entry gives away its share, asks nobody and tells nobody.

    The baseline, and what is left to an entry that reaches no meters: the
    shares of all entries together are the limit, whoever is cut off.

    Parameters
    ----------
    entries : callable
        Returns how many entries there are, as far as is known.
    meters_of, rng : object, optional
        Not used; all policies are made alike.
    """

    def __init__(self, entries, meters_of=None, rng=None):
        self._entries = entries
        self._share_by_workspace: dict[int, _Share] = {}

    def take(self, now_ms: int, workspace: int, limit: RateLimit):
        """Let one request in, or say when it would pass."""
        share = self._share(now_ms, workspace)
        rate, room = self._entry_limit(limit)
        missing = share.level.at(now_ms, rate) + 1 - room
        if missing > 0:
            return Refused(wait_ms(missing, rate))
        share.level.add(now_ms, rate)
        return Verdict.ADMITTED

    def note(self, now_ms: int, workspace: int, limit: RateLimit) -> None:
        """Count a request that was let in by other means."""
        rate, room = self._entry_limit(limit)
        level = self._share(now_ms, workspace).level
        level.add(now_ms, rate)
        level.lower_to(room)

    def give_back(self, now_ms, workspace, limit) -> None:
        """Take back a request that did not run."""
        share = self._share_by_workspace.get(workspace)
        if share is not None:
            share.level.add(now_ms, self._entry_limit(limit)[0], -1)

    def view(self, now_ms: int, workspace: int) -> UseView:
        """Return a workspace's use; no request is counted by it."""
        share = self._share_by_workspace.get(workspace)
        level = share.level.at(now_ms, 0) if share is not None else 0.0
        return UseView(level, False, max(1, self._entries()))

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
        """Return nothing: this policy sends no messages."""
        return []

    def heard(self, now_ms, host, reading) -> list[Outcome]:
        """Return nothing: this policy asks nothing."""
        return []

    def tick(self, now_ms) -> list[Outcome]:
        """Return nothing: this policy waits for nothing."""
        return []

    @property
    def is_waiting(self) -> bool:
        """Whether `tick` is wanted."""
        return False
