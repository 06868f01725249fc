"""Bounds of the use of replicas whose rows are gone after a failed read.

Load pattern: the store is away for seconds. Replicas can't renew their rows,
these lapse, and the first list after the outage may be nearly empty although
the replicas are alive; they renew their rows within some two seconds. Beside
it planned work goes on: replicas are removed from the list and stop, also
just after a single read has failed at one entry.

Without the grace every request is refused until the rows are back. With one
that follows each failed read, an entry goes on sending requests to replicas
that were taken away.

A row counts as lapsed only after a gap in which it can have lapsed, that is of
a heartbeat or longer. It is kept until the platform may count its use as late:
`drain_ms` after the removal, or `tolerance_ms` after the last failed call of
this entry. If most replicas of a service are gone, which planned work does not
do within one gap, its rows stay for `LAPSE_GRACE_MS` after the gap.
"""

from dataclasses import dataclass

__all__ = ["LAPSE_GRACE_MS", "Lapse", "LapseGrace", "ReadGap"]

LAPSE_GRACE_MS = 2_200
"""Time after an outage of the list within which live replicas renew their
rows."""

MARGIN_MS = 300
"""Subtracted from the platform's bounds: delays of a removal and of a request
on their way."""


@dataclass(frozen=True, slots=True)
class ReadGap:
    """Time in which a table could not be read.

    Attributes
    ----------
    heard_ms : int or None
        Last answer before the gap; None without one.
    failed_ms : int
        Start of the last call that failed.
    ended_ms : int
        First answer after the gap.
    """

    heard_ms: int | None
    failed_ms: int
    ended_ms: int


@dataclass(frozen=True, slots=True)
class Lapse:
    """Times until which a row that is gone stays in use.

    Attributes
    ----------
    until_ms : int
    until_ms_if_most_lapsed : int
    """

    until_ms: int
    until_ms_if_most_lapsed: int


class LapseGrace:
    """Decides how long a replica stays in use whose row is gone.

    Parameters
    ----------
    heartbeat_ms : int
        Interval at which replicas renew their rows.
    drain_ms : int
        Time after its removal within which a replica may be used.
    tolerance_ms : int
        Time after an impairment of this entry for which it is not held to
        `drain_ms`.

    Examples
    --------
    >>> grace = LapseGrace(1_200, 2_000, 3_000)
    >>> grace.gap_ended(ReadGap(heard_ms=0, failed_ms=50, ended_ms=100))
    >>> grace.lapse(now_ms=700, removed_after_ms=90) is None
    True
    >>> grace.gap_ended(ReadGap(heard_ms=0, failed_ms=9_800, ended_ms=10_000))
    >>> grace.lapse(now_ms=10_000, removed_after_ms=0).until_ms
    12200
    """

    def __init__(
        self,
        heartbeat_ms: int = 1_200,
        drain_ms: int = 2_000,
        tolerance_ms: int = 3_000,
    ):
        self._heartbeat_ms = heartbeat_ms
        self._drain_ms = drain_ms
        self._tolerance_ms = tolerance_ms
        self._gap: ReadGap | None = None

    def gap_ended(self, gap: ReadGap) -> None:
        """Note that the list can be read again.

        A shorter gap does not replace one in which rows may have lapsed.
        """
        heard_ms = gap.heard_ms
        if heard_ms is None or gap.ended_ms - heard_ms >= self._heartbeat_ms:
            self._gap = gap

    def lapse(self, now_ms: int, removed_after_ms: int | None) -> Lapse | None:
        """Return how long a row that is gone is used; None for no more.

        Parameters
        ----------
        now_ms : int
        removed_after_ms : int or None
            A time at which the row was listed, None if there is none.
        """
        gap = self._gap
        if gap is None:
            return None
        late_ms = gap.ended_ms + LAPSE_GRACE_MS
        if now_ms >= late_ms:
            return None
        allowed_ms = gap.failed_ms + self._tolerance_ms
        if removed_after_ms is not None:
            drained_ms = removed_after_ms + self._drain_ms
            allowed_ms = max(allowed_ms, drained_ms)
        return Lapse(min(late_ms, allowed_ms - MARGIN_MS), late_ms)
