"""An entry's side of limits that a few meters count.

Load pattern: see `rate_limits`. Requests far from the limit are let in
freely and told to the workspace's meters afterwards, in batches; those near
it are asked for one by one. A request waits for a round trip only there.

What goes wrong without it: see `rate_limits` for shares. If all requests
were asked for, each would wait, and a lost meter would hold up everybody.

Faults
------
- An entry lets requests in freely only as long as more than half of the
  workspace's meters answer it: any two such entries have a meter in common,
  which knows of both. One that is cut off goes by its share (`EqualShare`).
- A killed entry holds nothing that others need: what it let in is counted.
- A killed meter leaves two, which have counted the same.

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
from dahliashunt.decisions.rate_limits import forget_old
from dahliashunt.decisions.rate_limits import KEPT_MS
from dahliashunt.decisions.rate_limits import MOST_WAIT_MS
from dahliashunt.decisions.rate_limits import Outcome
from dahliashunt.decisions.rate_limits import PendingVerdict
from dahliashunt.decisions.rate_limits import RATE_LIMIT_POLICIES
from dahliashunt.decisions.rate_limits import RateLimit
from dahliashunt.decisions.rate_limits import RateLimitVerdict
from dahliashunt.decisions.rate_limits import Refused
from dahliashunt.decisions.rate_limits import UsageView
from dahliashunt.decisions.rate_limits import WorkspaceUsage

__all__ = ["ASK_MS", "BATCH_MS", "METERS_PER_WORKSPACE", "Metered"]

METERS_PER_WORKSPACE = 3
"""Meters of a workspace: one may be lost, and two that have counted all
are left."""

FREE_SHARE = 0.5
"""Share of the room up to which requests are let in without asking: the
rest holds what other entries have let in and not yet told."""

BATCH_MS = 100
"""Between reports of one workspace, far from its limit."""

ASK_MS = 25
"""A meter that has not answered for so long is left for the next: some ten
round trips within a region."""

SILENT_MS = 100
"""A meter is silent after so long: four asks."""

NOISE = 1.0
"""Requests by which levels of two meters differ at any moment."""

PROBE_MS = 400
"""Between reports to meters most of which are silent: an entry that is cut
off reports each of its workspaces in vain."""

LIVES = 2**31


@dataclass(slots=True)
class _Told:
    """What a workspace's meter knows of this entry, and said."""

    host: str
    counted: int
    level: float = 0.0
    at_ms: int | None = None
    mature: bool = False
    unanswered_ms: int | None = None

    def is_silent(self, now_ms):
        unanswered_ms = self.unanswered_ms
        return unanswered_ms is not None and now_ms - unanswered_ms > SILENT_MS


@dataclass(slots=True)
class _Question:
    """Requests that one meter after another is asked for."""

    numbers: list[int]
    hosts: list[str]
    sequence: int = 0
    sent_ms: int = 0


@dataclass(slots=True)
class _Use:
    """Requests of one workspace at one entry."""

    workspace: int
    life: int
    limit: RateLimit
    total: int = 0
    sequence: int = 0
    told_total: int = 0
    told_ms: int = -BATCH_MS
    used_ms: int = 0
    told_by_host: dict[str, _Told] = field(default_factory=dict)
    question: _Question | None = None
    queue: list[int] = field(default_factory=list)

    def level(self, now_ms):
        """Return the level of all entries, as far as is known here."""
        heard = [t for t in self.told_by_host.values() if t.at_ms is not None]
        levels = [
            self._level_by(told, now_ms)
            for told in [t for t in heard if t.mature] or heard
        ]
        return max(levels, default=float(self.total))

    def _level_by(self, told, now_ms):
        paid = (now_ms - told.at_ms) * self.limit.rate / 1000
        untold = max(0, self.total - told.counted)
        return max(0.0, told.level - paid) + untold

    def knows_more(self, now_ms, reading):
        """Tell whether another meter has counted what this one has not.

        One that has restarted knows nothing of what was before.
        """
        if reading.mature:
            return False
        level = reading.level + NOISE
        return any(
            told.mature or self._level_by(told, now_ms) > level
            for told in self.told_by_host.values()
            if told.at_ms is not None
        )

    def uncounted(self):
        """Return requests that no meter is known to have counted."""
        counted = [told.counted for told in self.told_by_host.values()]
        return self.total - max(counted, default=0)

    def is_idle(self, now_ms):
        """Tell whether nothing was asked for in a long while."""
        return self.question is None and now_ms - self.used_ms > KEPT_MS

    def is_told(self):
        """Tell whether more than half of the meters know all."""
        told = self.told_by_host.values()
        open_ = sum(each.unanswered_ms is not None for each in told)
        return self.total == self.told_total and len(told) > 2 * open_

    def is_metered(self, now_ms):
        """Tell whether more than half of the meters answer."""
        told = self.told_by_host.values()
        silent = sum(each.is_silent(now_ms) for each in told)
        return len(told) > 2 * silent


@RATE_LIMIT_POLICIES.register("metered")
class Metered:
    """Lets in freely far from the limit, and asks a meter near it.

    Parameters
    ----------
    entries : callable
        Returns how many entries there are, as far as is known.
    meters_of : callable
        Returns the hosts of a workspace's meters, most wanted first.
    rng : random.Random
        Draws names of counts.

    Attributes
    ----------
    most_entries : int
        How many entries a meter has heard; shares go by it.
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
        self._share = EqualShare(self._known_entries)
        self._use_by_workspace: dict[int, _Use] = {}
        self._numbers = 0
        self._untold: dict[int, _Use] = {}
        self._asking: dict[int, _Use] = {}
        self._out: list[tuple[str, UsageReport]] = []
        self.most_entries = 0

    def _known_entries(self):
        return max(self._entries(), self.most_entries)

    def take(self, now_ms: int, workspace: int, limit: RateLimit):
        """Let one request in, refuse it, or ask for it."""
        use = self._use(now_ms, workspace, limit)
        if not use.is_metered(now_ms):
            return self._take_share(now_ms, use)
        if not self._is_free(now_ms, use):
            return self._ask(now_ms, use)
        use.total += 1
        self._share.note(now_ms, workspace, limit)
        self._untold[workspace] = use
        self._tell(now_ms, use)
        return RateLimitVerdict.ADMITTED

    def _is_free(self, now_ms, use):
        """Tell whether one more request is far enough from the limit.

        What the meters have not counted yet stays small, over all entries:
        an entry that stood still has a backlog and knows old levels.
        """
        if use.question is not None:
            return False
        room = FREE_SHARE * use.limit.room - use.level(now_ms)
        most = max(1.0, room / max(1, self._known_entries()))
        return room >= min(1.0, FREE_SHARE * use.limit.room) and (
            use.uncounted() + 1 <= most
        )

    def _take_share(self, now_ms, use):
        """Go by the share; the meters are told, should they answer."""
        found = self._share.take(now_ms, use.workspace, use.limit)
        if found is RateLimitVerdict.ADMITTED:
            use.total += 1
        self._untold[use.workspace] = use
        self._tell(now_ms, use)
        return found

    def give_back(self, now_ms: int, workspace: int, limit: RateLimit) -> None:
        """Take back a request that did not run."""
        self._share.give_back(now_ms, workspace, limit)
        use = self._use_by_workspace.get(workspace)
        if use is not None:
            use.total -= 1
            self._untold[workspace] = use

    def view(self, now_ms: int, workspace: int) -> UsageView:
        """Return a workspace's use; no request is counted by it."""
        use = self._use_by_workspace.get(workspace)
        if use is None or not use.is_metered(now_ms):
            return self._share.view(now_ms, workspace)
        meters = tuple(
            WorkspaceUsage(
                told.host,
                told.level,
                None if told.at_ms is None else now_ms - told.at_ms,
                told.mature,
                told.is_silent(now_ms),
            )
            for told in use.told_by_host.values()
        )
        entries = max(1, self._known_entries())
        return UsageView(use.level(now_ms), True, entries, meters)

    def _use(self, now_ms, workspace, limit):
        use = self._use_by_workspace.get(workspace)
        if use is None:
            forget_old(
                self._use_by_workspace, lambda held: held.is_idle(now_ms)
            )
            life = self._rng.randrange(LIVES)
            use = _Use(workspace, life, limit)
            self._use_by_workspace[workspace] = use
        if limit.revision >= use.limit.revision:
            use.limit = limit
        use.used_ms = now_ms
        self._choose_meters(use)
        return use

    def _choose_meters(self, use):
        hosts = self._meters_of(use.workspace)
        if tuple(use.told_by_host) == hosts:
            return
        # A new meter counts from here on; the others know what was before.
        use.told_by_host = {
            host: use.told_by_host.get(host) or _Told(host, use.told_total)
            for host in hosts
        }

    # Messages.

    def outbox(self) -> list[tuple[str, UsageReport]]:
        """Return the reports to send, each with its meter's host."""
        out, self._out = self._out, []
        return out

    def _tell(self, now_ms, use):
        """Report to all meters, unless it was done a moment ago.

        Not while a question is open: the meter that was asked may count
        requests that are not in the total yet.
        """
        gap_ms = BATCH_MS if use.is_metered(now_ms) else PROBE_MS
        if now_ms - use.told_ms < gap_ms or use.question is not None:
            return
        use.told_ms = now_ms
        use.told_total = use.total
        use.sequence += 1
        for told in use.told_by_host.values():
            self._report(now_ms, use, told, 0)

    def _report(self, now_ms, use, told, wanted):
        if told.unanswered_ms is None:
            told.unanswered_ms = now_ms
        report = UsageReport(
            workspace=use.workspace,
            life=use.life,
            sequence=use.sequence,
            total=use.total,
            since=told.counted,
            wanted=wanted,
            limit=use.limit,
        )
        self._out.append((told.host, report))

    def _ask(self, now_ms, use):
        self._numbers += 1
        use.queue.append(self._numbers)
        if use.question is None:
            self._ask_for_queue(now_ms, use)
        return PendingVerdict(self._numbers)

    def _ask_for_queue(self, now_ms, use):
        told = use.told_by_host.values()
        ranked = sorted(
            told, key=lambda t: (t.is_silent(now_ms), not t.mature)
        )
        use.question = _Question(use.queue, [each.host for each in ranked])
        use.queue = []
        self._asking[use.workspace] = use
        self._ask_next(now_ms, use)

    def _ask_next(self, now_ms, use):
        """Ask the next meter; return whether there was one."""
        question = use.question
        while question.hosts:
            told = use.told_by_host.get(question.hosts.pop(0))
            if told is not None:
                use.sequence += 1
                question.sequence, question.sent_ms = use.sequence, now_ms
                self._report(now_ms, use, told, len(question.numbers))
                return True
        return False

    def heard(
        self, now_ms: int, host: str, reading: UsageReading
    ) -> list[Outcome]:
        """Take over a meter's reading; return what it decides."""
        use = self._use_by_workspace.get(reading.workspace)
        if use is None or use.life != reading.life:
            return []
        told = use.told_by_host.get(host)
        if told is None:
            return []
        told.counted, told.level = reading.counted, reading.level
        told.at_ms, told.mature = now_ms, reading.mature
        told.unanswered_ms = None
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
            Outcome(number, Refused(_turn_ms(reading, place * gap_ms)))
            for place, number in enumerate(refused)
        ]
        self._closed(now_ms, use)
        return outcomes

    def _closed(self, now_ms, use):
        """Ask for what came while the question was open."""
        use.question = None
        del self._asking[use.workspace]
        self._untold[use.workspace] = use
        if use.queue:
            self._ask_for_queue(now_ms, use)

    def tick(self, now_ms: int) -> list[Outcome]:
        """Ask further meters, decide without them, and tell what is due."""
        outcomes = []
        for use in list(self._asking.values()):
            if now_ms - use.question.sent_ms < ASK_MS:
                continue
            if not self._ask_next(now_ms, use):
                outcomes += self._give_up(now_ms, use)
        for use in list(self._untold.values()):
            if use.is_told() or use.is_idle(now_ms):
                del self._untold[use.workspace]
            else:
                self._tell(now_ms, use)
        return outcomes

    def _give_up(self, now_ms, use):
        """No meter has answered: the share decides."""
        outcomes = []
        for number in use.question.numbers:
            found = self._share.take(now_ms, use.workspace, use.limit)
            use.total += found is RateLimitVerdict.ADMITTED
            outcomes.append(Outcome(number, found))
        self._closed(now_ms, use)
        return outcomes

    @property
    def needs_tick(self) -> bool:
        """Whether `tick` is wanted."""
        return bool(self._asking or self._untold)


def _turn_ms(reading, later_ms):
    return min(MOST_WAIT_MS, reading.wait_ms + int(later_ms))


def _split(items: list, place: int) -> tuple[list, list]:
    """Return the items before `place`, and those from it on."""
    return items[:place], items[place:]
