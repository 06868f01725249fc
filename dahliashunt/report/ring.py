"""Counts of good and bad events by minute, in bounded memory."""

from dataclasses import dataclass
from dataclasses import field

from dahliashunt.report.heavy import HeavyHitters
from dahliashunt.report.objectives import Sli

__all__ = ["MINUTE_MS", "BurnRing", "Burner", "Count", "Dimension"]

MINUTE_MS = 60_000
FINE_MINUTES = 360
"""Six hours by the minute: the long window of the slow burn rate."""

COARSE_MINUTES = 60
COARSE_SLOTS = 72
"""Three days by the hour."""

TOP = 50
BURNER_HOURS = 6

Dimension = str
_KINDS = ("caller", "model", "endpoint")


@dataclass(slots=True)
class Count:
    """Good and bad events of one span of time."""

    good: int = 0
    bad: int = 0

    def add(self, good: int, bad: int) -> None:
        """Add events."""
        self.good += good
        self.bad += bad


@dataclass(frozen=True, slots=True)
class Burner:
    """How many bad events of an indicator one name had."""

    sli: Sli
    kind: Dimension
    name: str
    bad: int


@dataclass(slots=True)
class _Slots:
    """Counts by number of a span, the newest `keep` of them."""

    keep: int
    count_by_span: dict[int, Count] = field(default_factory=dict)

    def at(self, span):
        count = self.count_by_span.get(span)
        if count is None:
            count = self.count_by_span[span] = Count()
            oldest = max(self.count_by_span) - self.keep + 1
            gone = [at for at in self.count_by_span if at < oldest]
            for at in gone:
                del self.count_by_span[at]
        return count


class BurnRing:
    """What one entry keeps to tell how fast budgets burn.

    Notes
    -----
    Spans are numbered by the wall clock, so that those of several entries
    can be added up; nothing is decided by them. At most 360 minutes and 72
    hours for each of three indicators, and 50 names for each of six hours,
    indicator and kind of name.
    """

    def __init__(self):
        self._minutes = {sli: _Slots(FINE_MINUTES) for sli in Sli}
        self._hours = {sli: _Slots(COARSE_SLOTS) for sli in Sli}
        self._burners: dict[tuple[int, Sli, Dimension], HeavyHitters] = {}

    def add(
        self,
        wall_ms: int,
        sli: Sli,
        good: int,
        bad: int,
        names: tuple[str, str, str] = ("", "", ""),
    ) -> None:
        """Count events.

        Parameters
        ----------
        wall_ms : int
        sli : Sli
        good, bad : int
        names : tuple of str
            Of the caller, the model and the endpoint; empty if unknown.
        """
        minute = wall_ms // MINUTE_MS
        hour = minute // COARSE_MINUTES
        self._minutes[sli].at(minute).add(good, bad)
        self._hours[sli].at(hour).add(good, bad)
        if bad:
            self._blame(hour, sli, names, bad)

    def minutes(self, sli: Sli) -> dict[int, Count]:
        """Return counts by minute of the last six hours."""
        return self._minutes[sli].count_by_span

    def hours(self, sli: Sli) -> dict[int, Count]:
        """Return counts by hour of the last three days."""
        return self._hours[sli].count_by_span

    def burners(self) -> list[Burner]:
        """Return the names with most bad events, highest first."""
        merged = {}
        for (_, sli, kind), hitters in self._burners.items():
            total = merged.setdefault((sli, kind), {})
            for name, bad in hitters.top():
                total[name] = total.get(name, 0) + bad
        found = [
            Burner(sli, kind, name, bad)
            for (sli, kind), total in merged.items()
            for name, bad in total.items()
        ]
        found.sort(key=lambda b: (b.sli.value, b.kind, -b.bad, b.name))
        return found

    def _blame(self, hour, sli, names, bad):
        for kind, name in zip(_KINDS, names, strict=True):
            if not name:
                continue
            hitters = self._burners.get((hour, sli, kind))
            if hitters is None:
                hitters = self._new_hitters(hour, sli, kind)
            hitters.add(name, bad)

    def _new_hitters(self, hour, sli, kind):
        old = [k for k in self._burners if k[0] <= hour - BURNER_HOURS]
        for key in old:
            del self._burners[key]
        hitters = self._burners[hour, sli, kind] = HeavyHitters(TOP)
        return hitters
