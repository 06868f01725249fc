"""Counts requests of workspaces over all entries that report to it.

Load pattern: many entries let in requests of one workspace at once, and
refused callers come back all together. A meter grants the requests near the
limit one after another, and gives refused ones turns after one another:
without it every entry would let in the first one that comes back.

Entries that a meter has not heard of late may be cut off, and then give away
their shares: the others' limit is less by as much.

A meter keeps nothing that must last. One that has restarted is told what
came since, calls itself immature, and is not relied on while others of the
same workspace are older.
"""

from dataclasses import dataclass
from dataclasses import field

from dahliashunt.decisions.meter_messages import UsageReading
from dahliashunt.decisions.meter_messages import UsageReport
from dahliashunt.decisions.rate_limits import forget_old
from dahliashunt.decisions.rate_limits import KEPT_MS
from dahliashunt.decisions.rate_limits import Level
from dahliashunt.decisions.rate_limits import MOST_WAIT_MS
from dahliashunt.decisions.rate_limits import RateLimit
from dahliashunt.decisions.rate_limits import wait_ms

__all__ = ["HEARD_MS", "HeardEntries", "Meter"]

HEARD_MS = 2_200
"""An entry that was not heard for so long may be cut off: two renewals of
its slots, which come every second."""

KNOWN_MS = 15_000
"""An entry that was not heard for so long is gone: longer than cuts last."""

MATURE_MS = 5_000
"""A window in which limits are judged: then a meter has seen all of it."""


class HeardEntries:
    """Which entries a process has heard, and when.

    Examples
    --------
    >>> heard = HeardEntries()
    >>> heard.note(0, "a")
    >>> heard.note(5_000, "b")
    >>> heard.share(5_000), len(heard)
    (0.5, 2)
    """

    def __init__(self):
        self._ms_by_entry: dict[object, int] = {}

    def __len__(self) -> int:
        return len(self._ms_by_entry)

    def note(self, now_ms: int, entry) -> None:
        """Note a sign of life of `entry`."""
        self._ms_by_entry[entry] = now_ms

    def share(self, now_ms: int) -> float:
        """Return the share of the known entries that were heard of late."""
        for entry, heard_ms in list(self._ms_by_entry.items()):
            if now_ms - heard_ms > KNOWN_MS:
                del self._ms_by_entry[entry]
        late = sum(
            now_ms - heard_ms > HEARD_MS
            for heard_ms in self._ms_by_entry.values()
        )
        return 1 - late / max(1, len(self._ms_by_entry))


@dataclass(slots=True)
class _Counted:
    total: int
    sequence: int = -1
    granted: int = 0
    heard_ms: int = 0


@dataclass(slots=True)
class _Metered:
    since_ms: int
    limit: RateLimit
    level: Level = field(default_factory=Level)
    heard_ms: int = 0
    turn_ms: float = 0.0
    counted_by_life: dict[tuple, _Counted] = field(default_factory=dict)


class Meter:
    """Levels of workspaces, as entries report them.

    Attributes
    ----------
    heard : HeardEntries
        To be told of all signs of life, not of reports alone.

    Notes
    -----
    A report costs O(1); memory is proportional to the workspaces and the
    entries that were active in the last `KEPT_MS`.
    """

    def __init__(self):
        self.heard = HeardEntries()
        self._metered_by_workspace: dict[int, _Metered] = {}

    def __len__(self) -> int:
        return len(self._metered_by_workspace)

    def report(
        self, now_ms: int, requester, report: UsageReport
    ) -> UsageReading:
        """Count a report of `requester`; decide on the request it wants."""
        self.heard.note(now_ms, requester)
        metered = self._metered(now_ms, report)
        counted = self._counted(now_ms, metered, requester, report)
        granted = 0
        if report.sequence > counted.sequence:
            granted = self._count(now_ms, metered, counted, report)
        elif report.sequence == counted.sequence:
            # A doubled report gets the answer once more.
            granted = counted.granted
        after_ms = self._turn(now_ms, metered, report.wanted - granted)
        return UsageReading(
            workspace=report.workspace,
            life=report.life,
            sequence=report.sequence,
            counted=counted.total,
            level=metered.level.at(now_ms, 0),
            mature=now_ms - metered.since_ms >= MATURE_MS,
            granted=granted,
            wait_ms=after_ms,
            entries=len(self.heard),
            newer=_newer(metered.limit, report.limit),
        )

    def _metered(self, now_ms, report):
        metered = self._metered_by_workspace.get(report.workspace)
        if metered is None:
            forget_old(
                self._metered_by_workspace,
                lambda held: now_ms - held.heard_ms > KEPT_MS,
            )
            metered = _Metered(now_ms, report.limit)
            self._metered_by_workspace[report.workspace] = metered
        elif report.limit.revision > metered.limit.revision:
            # What was let in so far was paid at the former rate.
            metered.level.at(now_ms, self._part(now_ms, metered).rate)
            metered.limit = report.limit
        metered.heard_ms = now_ms
        return metered

    def _counted(self, now_ms, metered, requester, report):
        key = (requester, report.life)
        counted = metered.counted_by_life.get(key)
        if counted is None:
            forget_old(
                metered.counted_by_life,
                lambda held: now_ms - held.heard_ms > KEPT_MS,
            )
            counted = _Counted(report.since)
            metered.counted_by_life[key] = counted
        counted.heard_ms = now_ms
        return counted

    def _count(self, now_ms, metered, counted, report):
        """Count what came, and what of the wanted fits; return the latter."""
        limit = self._part(now_ms, metered)
        metered.level.add(now_ms, limit.rate, report.total - counted.total)
        free = limit.room - metered.level.at(now_ms, limit.rate)
        granted = min(report.wanted, max(0, int(free)))
        metered.level.add(now_ms, limit.rate, granted)
        counted.sequence = report.sequence
        counted.total = report.total + granted
        counted.granted = granted
        return granted

    def _part(self, now_ms, metered):
        """Return the limit without the shares of entries not heard."""
        share = self.heard.share(now_ms)
        limit = metered.limit
        return RateLimit(limit.rate * share, max(1.0, limit.room * share))

    def _turn(self, now_ms, metered, refused):
        """Return how long the first of `refused` waits behind others."""
        if refused <= 0:
            return 0
        limit = self._part(now_ms, metered)
        missing = metered.level.at(now_ms, limit.rate) + 1 - limit.room
        first_ms = now_ms + wait_ms(missing, limit.rate)
        latest_ms = now_ms + MOST_WAIT_MS
        turn_ms = min(max(first_ms, metered.turn_ms), latest_ms)
        metered.turn_ms = turn_ms + refused * 1000 / limit.rate
        return int(turn_ms) - now_ms


def _newer(held, told):
    return held if held.revision > told.revision else None
