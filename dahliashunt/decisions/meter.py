"""Count requests of workspaces over all entries that report to a meter.

Load pattern: many entries admit requests of one workspace at once, and
refused callers retry together. A meter serializes the grants near the limit
and staggers the retries; without it every entry would admit the first retry.

Entries not heard from recently may be partitioned and admitting by their
shares, so a meter subtracts these shares from the limit.

A meter has no durable state. After a restart it counts from the next reports
on and reports itself immature; entries then prefer the workspace's other
meters.
"""

from dataclasses import dataclass
from dataclasses import field

from dahliashunt.decisions.meter_messages import UsageReading
from dahliashunt.decisions.meter_messages import UsageReport
from dahliashunt.decisions.rate_limits import evict_old
from dahliashunt.decisions.rate_limits import IDLE_EXPIRY_MS
from dahliashunt.decisions.rate_limits import Level
from dahliashunt.decisions.rate_limits import MAX_RETRY_AFTER_MS
from dahliashunt.decisions.rate_limits import RateLimit
from dahliashunt.decisions.rate_limits import wait_ms

__all__ = ["ENTRY_SILENT_MS", "EntryLiveness", "Meter"]

ENTRY_SILENT_MS = 2_200
"""An entry silent for this long may be partitioned: two slot renewals, which
come every second, were missed."""

ENTRY_EXPIRY_MS = 15_000
"""An entry silent for this long is gone; longer than partitions last."""

MATURE_MS = 5_000
"""Age from which a meter has counted for a whole limit window."""


class EntryLiveness:
    """Times at which a process last heard from each entry.

    Examples
    --------
    >>> heard = EntryLiveness()
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
        """Record that `entry` is alive."""
        self._ms_by_entry[entry] = now_ms

    def share(self, now_ms: int) -> float:
        """Return the share of known entries that were heard from recently."""
        for entry, heard_ms in list(self._ms_by_entry.items()):
            if now_ms - heard_ms > ENTRY_EXPIRY_MS:
                del self._ms_by_entry[entry]
        late = sum(
            now_ms - heard_ms > ENTRY_SILENT_MS
            for heard_ms in self._ms_by_entry.values()
        )
        return 1 - late / max(1, len(self._ms_by_entry))


@dataclass(slots=True)
class _EntryCount:
    total: int
    sequence: int = -1
    granted: int = 0
    heard_ms: int = 0


@dataclass(slots=True)
class _WorkspaceUse:
    since_ms: int
    limit: RateLimit
    level: Level = field(default_factory=Level)
    heard_ms: int = 0
    next_retry_ms: float = 0.0
    count_by_life: dict[tuple, _EntryCount] = field(default_factory=dict)


class Meter:
    """Usage levels of workspaces, as reported by entries.

    Attributes
    ----------
    heard : EntryLiveness
        Must be notified of all messages of entries, not only of reports.

    Notes
    -----
    A report costs O(1); memory is proportional to the workspaces and the
    entries that were active in the last `IDLE_EXPIRY_MS`.
    """

    def __init__(self):
        self.heard = EntryLiveness()
        self._use_by_workspace: dict[int, _WorkspaceUse] = {}

    def __len__(self) -> int:
        return len(self._use_by_workspace)

    def report(
        self, now_ms: int, requester, report: UsageReport
    ) -> UsageReading:
        """Count a report of `requester` and decide on its requests."""
        self.heard.note(now_ms, requester)
        use = self._workspace_use(now_ms, report)
        counted = self._entry_count(now_ms, use, requester, report)
        granted = 0
        if report.sequence > counted.sequence:
            granted = self._count(now_ms, use, counted, report)
        elif report.sequence == counted.sequence:
            # Repeat the answer to a duplicate report.
            granted = counted.granted
        after_ms = self._retry_after_ms(now_ms, use, report.wanted - granted)
        return UsageReading(
            workspace=report.workspace,
            life=report.life,
            sequence=report.sequence,
            counted=counted.total,
            level=use.level.at(now_ms, 0),
            mature=now_ms - use.since_ms >= MATURE_MS,
            granted=granted,
            wait_ms=after_ms,
            entries=len(self.heard),
            newer=_newer(use.limit, report.limit),
        )

    def _workspace_use(self, now_ms, report):
        use = self._use_by_workspace.get(report.workspace)
        if use is None:
            evict_old(
                self._use_by_workspace,
                lambda held: now_ms - held.heard_ms > IDLE_EXPIRY_MS,
            )
            use = _WorkspaceUse(now_ms, report.limit)
            self._use_by_workspace[report.workspace] = use
        elif report.limit.revision > use.limit.revision:
            # Drain at the former rate up to now.
            use.level.at(now_ms, self._reachable_limit(now_ms, use).rate)
            use.limit = report.limit
        use.heard_ms = now_ms
        return use

    def _entry_count(self, now_ms, use, requester, report):
        key = (requester, report.life)
        counted = use.count_by_life.get(key)
        if counted is None:
            evict_old(
                use.count_by_life,
                lambda held: now_ms - held.heard_ms > IDLE_EXPIRY_MS,
            )
            counted = _EntryCount(report.since)
            use.count_by_life[key] = counted
        counted.heard_ms = now_ms
        return counted

    def _count(self, now_ms, use, counted, report):
        """Count admitted requests; return how many wanted ones are granted."""
        limit = self._reachable_limit(now_ms, use)
        use.level.add(now_ms, limit.rate, report.total - counted.total)
        free = limit.room - use.level.at(now_ms, limit.rate)
        granted = min(report.wanted, max(0, int(free)))
        use.level.add(now_ms, limit.rate, granted)
        counted.sequence = report.sequence
        counted.total = report.total + granted
        counted.granted = granted
        return granted

    def _reachable_limit(self, now_ms, use):
        """Return the limit less the shares of silent entries."""
        share = self.heard.share(now_ms)
        limit = use.limit
        return RateLimit(limit.rate * share, max(1.0, limit.room * share))

    def _retry_after_ms(self, now_ms, use, refused):
        """Return the retry delay of the first of `refused` requests."""
        if refused <= 0:
            return 0
        limit = self._reachable_limit(now_ms, use)
        missing = use.level.at(now_ms, limit.rate) + 1 - limit.room
        first_ms = now_ms + wait_ms(missing, limit.rate)
        latest_ms = now_ms + MAX_RETRY_AFTER_MS
        next_retry_ms = min(max(first_ms, use.next_retry_ms), latest_ms)
        use.next_retry_ms = next_retry_ms + refused * 1000 / limit.rate
        return int(next_retry_ms) - now_ms


def _newer(known, reported):
    return known if known.revision > reported.revision else None
