"""Messages between entries and the meters of workspaces."""

from dataclasses import dataclass

from dahliashunt.decisions.rate_limits import RateLimit

__all__ = ["UsageReading", "UsageReport"]


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Report of an entry on the requests of a workspace that it admitted.

    Counts are cumulative, so lost and duplicate reports do no harm.

    Attributes
    ----------
    workspace : int
    life : int
        Identifies the entry's counter; it changes after a pause or restart.
    sequence : int
        Increases with each report of one life.
    total : int
        Requests admitted since the counter's start.
    since : int
        Part of `total` that the entry knows this meter has counted.
    wanted : int
        Requests that are admitted only if the meter grants them.
    limit : RateLimit
    """

    workspace: int
    life: int
    sequence: int
    total: int
    since: int
    wanted: int
    limit: RateLimit


@dataclass(frozen=True, slots=True)
class UsageReading:
    """Reply of a meter to a report.

    Attributes
    ----------
    workspace, life, sequence : int
        Copied from the report.
    counted : int
        Requests of this entry that the meter has counted.
    level : float
        Level over all entries; see `Level`.
    mature : bool
        Whether this meter has counted for a whole window.
    granted : int
        Wanted requests that are admitted.
    wait_ms : int
        Time until the first wanted request not granted would be admitted.
    entries : int
        Number of entries that the meter knows.
    newer : RateLimit or None
        The limit, if its revision is newer than the report's.
    """

    workspace: int
    life: int
    sequence: int
    counted: int
    level: float
    mature: bool
    granted: int
    wait_ms: int
    entries: int
    newer: RateLimit | None = None
