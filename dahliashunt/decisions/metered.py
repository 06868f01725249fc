"""Rate limits of an entry that are counted by replicated meters.

Load pattern: see `rate_limits`. Far from the limit, requests are admitted
locally and reported to the workspace's meters in batches. Near it, a meter
is asked first, so only these requests wait for a round trip.

What goes wrong without it: see `rate_limits` for equal shares. If a meter
were asked for every request, each would wait, and the loss of a meter would
block all callers.

Faults
------
- An entry admits locally only while a majority of the workspace's meters
  answers it: the majorities of any two entries intersect in a meter that
  knows both [1]_. A partitioned entry falls back to `EqualShare`.
- A killed entry holds no credit; its admitted requests are already counted.
- A killed meter leaves two that have counted the same requests.

References
----------
.. [1] D. K. Gifford, "Weighted voting for replicated data", SOSP 1979.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random

from dahliashunt.decisions.meter_messages import UsageReading
from dahliashunt.decisions.meter_messages import UsageReport
from dahliashunt.decisions.rate_limits import EqualShare
from dahliashunt.decisions.rate_limits import evict_old
from dahliashunt.decisions.rate_limits import IDLE_EXPIRY_MS
from dahliashunt.decisions.rate_limits import MAX_RETRY_AFTER_MS
from dahliashunt.decisions.rate_limits import MeterState
from dahliashunt.decisions.rate_limits import Outcome
from dahliashunt.decisions.rate_limits import PendingVerdict
from dahliashunt.decisions.rate_limits import RATE_LIMIT_POLICIES
from dahliashunt.decisions.rate_limits import RateLimit
from dahliashunt.decisions.rate_limits import RateLimitVerdict
from dahliashunt.decisions.rate_limits import Refused
from dahliashunt.decisions.rate_limits import UsageView

__all__ = [
    "METERS_PER_WORKSPACE",
    "METER_TIMEOUT_MS",
    "REPORT_INTERVAL_MS",
    "Metered",
]

METERS_PER_WORKSPACE = 3
"""Meters per workspace; a majority remains after the loss of one."""

UNCHECKED_SHARE = 0.5
"""Share of the room up to which requests are admitted locally; the rest
covers requests that other entries admitted and have not reported yet."""

REPORT_INTERVAL_MS = 100
"""Interval between reports on one workspace, far from its limit."""

METER_TIMEOUT_MS = 25
"""Time to wait for a meter's answer before the next meter is asked; some
ten round trips within a region."""

METER_SILENT_MS = 100
"""A meter without an answer for this long counts as silent."""

LEVEL_TOLERANCE = 1.0
"""Difference between two meters' levels, in requests, that is ignored."""

PROBE_INTERVAL_MS = 400
"""Report interval while most meters are silent; bounds the messages that a
partitioned entry sends in vain."""

LIFE_IDS = 2**31


@dataclass(slots=True)
class _MeterState:
    """State of one of a workspace's meters, from its readings."""

    host: str
    counted: int
    level: float = 0.0
    at_ms: int | None = None
    mature: bool = False
    unanswered_ms: int | None = None

    def is_silent(self, now_ms):
        unanswered_ms = self.unanswered_ms
        return (
            unanswered_ms is not None
            and now_ms - unanswered_ms > METER_SILENT_MS
        )


@dataclass(slots=True)
class _Question:
    """Pending requests and the meters still to be asked for them."""

    numbers: list[int]
    hosts: list[str]
    sequence: int = 0
    sent_ms: int = 0


@dataclass(slots=True)
class _Use:
    """Usage of one workspace at this entry."""

    workspace: int
    life: int
    limit: RateLimit
    total: int = 0
    sequence: int = 0
    reported_total: int = 0
    reported_ms: int = -REPORT_INTERVAL_MS
    used_ms: int = 0
    meter_by_host: dict[str, _MeterState] = field(default_factory=dict)
    on_share: bool = False
    question: _Question | None = None
    queue: list[int] = field(default_factory=list)

    def level(self, now_ms):
        """Return the level over all entries, as known to this entry."""
        heard = [m for m in self.meter_by_host.values() if m.at_ms is not None]
        levels = [
            self._level_by(meter, now_ms)
            for meter in [m for m in heard if m.mature] or heard
        ]
        return max(levels, default=float(self.total))

    def _level_by(self, meter, now_ms):
        drained = (now_ms - meter.at_ms) * self.limit.rate / 1000
        unreported = max(0, self.total - meter.counted)
        return max(0.0, meter.level - drained) + unreported

    def knows_more(self, now_ms, reading):
        """Tell whether another meter has counted more than this one.

        A restarted meter has lost the requests counted before.
        """
        if reading.mature:
            return False
        level = reading.level + LEVEL_TOLERANCE
        return any(
            meter.mature or self._level_by(meter, now_ms) > level
            for meter in self.meter_by_host.values()
            if meter.at_ms is not None
        )

    def uncounted(self):
        """Return how many requests no meter is known to have counted."""
        counted = [meter.counted for meter in self.meter_by_host.values()]
        return self.total - max(counted, default=0)

    def is_idle(self, now_ms):
        """Tell whether the workspace has had no requests recently."""
        return self.question is None and now_ms - self.used_ms > IDLE_EXPIRY_MS

    def is_reported(self):
        """Tell whether a majority of the meters has answered all reports."""
        meters = self.meter_by_host.values()
        unanswered = sum(meter.unanswered_ms is not None for meter in meters)
        return (
            self.total == self.reported_total and len(meters) > 2 * unanswered
        )

    def is_metered(self, now_ms):
        """Tell whether a majority of the meters answers."""
        meters = self.meter_by_host.values()
        silent = sum(meter.is_silent(now_ms) for meter in meters)
        return len(meters) > 2 * silent


@RATE_LIMIT_POLICIES.register("metered")
class Metered:
    """Admit locally far from the limit, and ask a meter near it.

    Parameters
    ----------
    entries : callable
        Returns the known number of entries.
    meters_of : callable
        Returns the hosts of a workspace's meters, preferred first.
    rng : random.Random
        Draws the identifiers of counters.

    Attributes
    ----------
    most_entries : int
        Largest number of entries that a meter has reported; a lower bound
        for the number of shares.
    """

    def __init__(
        self,
        entries: Callable[[], int],
        meters_of: Callable[[int], tuple[str, ...]],
        rng: random.Random,
    ):
        self._entries = entries
        self._meters_of = meters_of
        self._rng = rng
        self._share = EqualShare(self._entry_count)
        self._use_by_workspace: dict[int, _Use] = {}
        self._last_number = 0
        self._unreported: dict[int, _Use] = {}
        self._asking: dict[int, _Use] = {}
        self._out: list[tuple[str, UsageReport]] = []
        self.most_entries = 0

    def _entry_count(self):
        return max(self._entries(), self.most_entries)

    def take(self, now_ms: int, workspace: int, limit: RateLimit):
        """Admit one request, refuse it, or ask a meter."""
        use = self._use(now_ms, workspace, limit)
        if not use.is_metered(now_ms):
            return self._take_from_share(now_ms, use)
        use.on_share = False
        if not self._may_admit_locally(now_ms, use):
            return self._ask(now_ms, use)
        use.total += 1
        self._share.note(now_ms, workspace, limit)
        self._unreported[workspace] = use
        self._report_to_all(now_ms, use)
        return RateLimitVerdict.ADMITTED

    def _may_admit_locally(self, now_ms, use):
        """Tell whether one more request may be admitted locally.

        Bounds the uncounted requests over all entries: an entry that was
        paused has a backlog and stale levels.
        """
        if use.question is not None:
            return False
        room = UNCHECKED_SHARE * use.limit.room - use.level(now_ms)
        max_uncounted = max(1.0, room / max(1, self._entry_count()))
        return room >= min(1.0, UNCHECKED_SHARE * use.limit.room) and (
            use.uncounted() + 1 <= max_uncounted
        )

    def _take_from_share(self, now_ms, use):
        """Decide by this entry's share, and report to the meters."""
        self._fall_back(now_ms, use)
        answer = self._share.take(now_ms, use.workspace, use.limit)
        if answer is RateLimitVerdict.ADMITTED:
            use.total += 1
        self._unreported[use.workspace] = use
        self._report_to_all(now_ms, use)
        return answer

    def _fall_back(self, now_ms, use):
        """Start the share at the level that the fleet had when last heard."""
        if not use.on_share:
            use.on_share = True
            fullness = use.level(now_ms) / use.limit.room
            self._share.fill(now_ms, use.workspace, use.limit, fullness)

    def give_back(self, now_ms: int, workspace: int, limit: RateLimit) -> None:
        """Refund a request that did not run."""
        self._share.give_back(now_ms, workspace, limit)
        use = self._use_by_workspace.get(workspace)
        if use is not None:
            use.total -= 1
            self._unreported[workspace] = use

    def view(self, now_ms: int, workspace: int) -> UsageView:
        """Return a workspace's usage without counting a request."""
        use = self._use_by_workspace.get(workspace)
        if use is None or not use.is_metered(now_ms):
            return self._share.view(now_ms, workspace)
        meters = tuple(
            MeterState(
                meter.host,
                meter.level,
                None if meter.at_ms is None else now_ms - meter.at_ms,
                meter.mature,
                meter.is_silent(now_ms),
            )
            for meter in use.meter_by_host.values()
        )
        entries = max(1, self._entry_count())
        return UsageView(use.level(now_ms), True, entries, meters)

    def _use(self, now_ms, workspace, limit):
        use = self._use_by_workspace.get(workspace)
        if use is None:
            evict_old(
                self._use_by_workspace, lambda held: held.is_idle(now_ms)
            )
            life = self._rng.randrange(LIFE_IDS)
            use = _Use(workspace, life, limit)
            self._use_by_workspace[workspace] = use
        if limit.revision >= use.limit.revision:
            use.limit = limit
        use.used_ms = now_ms
        self._choose_meters(use)
        return use

    def _choose_meters(self, use):
        hosts = self._meters_of(use.workspace)
        if tuple(use.meter_by_host) == hosts:
            return
        # A new meter counts only requests that follow.
        use.meter_by_host = {
            host: use.meter_by_host.get(host)
            or _MeterState(host, use.reported_total)
            for host in hosts
        }

    def outbox(self) -> list[tuple[str, UsageReport]]:
        """Return and clear the reports to send, with their meters' hosts."""
        out, self._out = self._out, []
        return out

    def _report_to_all(self, now_ms, use):
        """Report to all meters once per interval.

        Skipped while a question is pending: the meter that was asked may
        have counted requests that are not in the total yet.
        """
        gap_ms = (
            REPORT_INTERVAL_MS if use.is_metered(now_ms) else PROBE_INTERVAL_MS
        )
        if now_ms - use.reported_ms < gap_ms or use.question is not None:
            return
        use.reported_ms = now_ms
        use.reported_total = use.total
        use.sequence += 1
        for meter in use.meter_by_host.values():
            self._report(now_ms, use, meter, 0)

    def _report(self, now_ms, use, meter, wanted):
        if meter.unanswered_ms is None:
            meter.unanswered_ms = now_ms
        report = UsageReport(
            workspace=use.workspace,
            life=use.life,
            sequence=use.sequence,
            total=use.total,
            since=meter.counted,
            wanted=wanted,
            limit=use.limit,
        )
        self._out.append((meter.host, report))

    def _ask(self, now_ms, use):
        self._last_number += 1
        use.queue.append(self._last_number)
        if use.question is None:
            self._ask_for_queue(now_ms, use)
        return PendingVerdict(self._last_number)

    def _ask_for_queue(self, now_ms, use):
        meters = use.meter_by_host.values()
        ranked = sorted(
            meters, key=lambda m: (m.is_silent(now_ms), not m.mature)
        )
        use.question = _Question(use.queue, [meter.host for meter in ranked])
        use.queue = []
        self._asking[use.workspace] = use
        self._ask_next(now_ms, use)

    def _ask_next(self, now_ms, use):
        """Ask the next meter; return False if none is left."""
        question = use.question
        while question.hosts:
            meter = use.meter_by_host.get(question.hosts.pop(0))
            if meter is not None:
                use.sequence += 1
                question.sequence, question.sent_ms = use.sequence, now_ms
                self._report(now_ms, use, meter, len(question.numbers))
                return True
        return False

    def heard(
        self, now_ms: int, host: str, reading: UsageReading
    ) -> list[Outcome]:
        """Store a meter's reading; return the outcomes it decides."""
        use = self._use_by_workspace.get(reading.workspace)
        if use is None or use.life != reading.life:
            return []
        meter = use.meter_by_host.get(host)
        if meter is None:
            return []
        meter.counted, meter.level = reading.counted, reading.level
        meter.at_ms, meter.mature = now_ms, reading.mature
        meter.unanswered_ms = None
        if reading.newer is not None:
            use.limit = reading.newer
        self.most_entries = max(self.most_entries, reading.entries)
        question = use.question
        if question is None or question.sequence != reading.sequence:
            return []
        return self._answered(now_ms, use, reading)

    def _answered(self, now_ms, use, reading):
        if use.knows_more(now_ms, reading) and self._ask_next(now_ms, use):
            return []
        numbers = use.question.numbers
        granted, refused = _split(numbers, reading.granted)
        use.total += len(granted)
        for _ in granted:
            self._share.note(now_ms, use.workspace, use.limit)
        gap_ms = 1000 / use.limit.rate
        outcomes = [
            Outcome(number, RateLimitVerdict.ADMITTED) for number in granted
        ]
        outcomes += [
            Outcome(number, Refused(_retry_after_ms(reading, place * gap_ms)))
            for place, number in enumerate(refused)
        ]
        self._close_question(now_ms, use)
        return outcomes

    def _close_question(self, now_ms, use):
        """Close the question, and ask for requests queued meanwhile."""
        use.question = None
        del self._asking[use.workspace]
        self._unreported[use.workspace] = use
        if use.queue:
            self._ask_for_queue(now_ms, use)

    def tick(self, now_ms: int) -> list[Outcome]:
        """Handle meter timeouts and send reports that are due."""
        outcomes = []
        for use in list(self._asking.values()):
            if now_ms - use.question.sent_ms < METER_TIMEOUT_MS:
                continue
            if not self._ask_next(now_ms, use):
                outcomes += self._give_up(now_ms, use)
        for use in list(self._unreported.values()):
            if use.is_reported() or use.is_idle(now_ms):
                del self._unreported[use.workspace]
            else:
                self._report_to_all(now_ms, use)
        return outcomes

    def _give_up(self, now_ms, use):
        """Decide by the share, since no meter has answered."""
        outcomes = []
        self._fall_back(now_ms, use)
        for number in use.question.numbers:
            answer = self._share.take(now_ms, use.workspace, use.limit)
            use.total += answer is RateLimitVerdict.ADMITTED
            outcomes.append(Outcome(number, answer))
        self._close_question(now_ms, use)
        return outcomes

    @property
    def needs_tick(self) -> bool:
        """Whether `tick` must be called."""
        return bool(self._asking or self._unreported)


def _retry_after_ms(reading, later_ms):
    return min(MAX_RETRY_AFTER_MS, reading.wait_ms + int(later_ms))


def _split(items: list, place: int) -> tuple[list, list]:
    """Split `items` in two at index `place`."""
    return items[:place], items[place:]
