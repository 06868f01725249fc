"""What entries and the meters of workspaces tell each other."""

from dataclasses import dataclass

from dahliashunt.decisions.rate_limits import RateLimit

__all__ = ["UsageReading", "UsageReport"]


@dataclass(frozen=True, slots=True)
class UsageReport:
    """An entry tells how many requests of a workspace it let in.

    Lost and doubled reports do no harm: each says the whole count.

    Attributes
    ----------
    workspace : int
    life : int
        Of the entry's count; another one after a pause or a restart.
    sequence : int
        Grows with each report of one life.
    total : int
        Requests let in since the count's start.
    since : int
        Of them this meter has counted so many, as far as the entry knows.
    wanted : int
        Requests that are let in only if the meter agrees.
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
    """A meter's answer to a report.

    Attributes
    ----------
    workspace, life, sequence : int
        Of the report.
    counted : int
        Requests of this entry that the level holds or held.
    level : float
        See `Level`; of all entries together.
    mature : bool
        Whether this meter has counted for a whole window.
    granted : int
        Wanted requests that are let in.
    wait_ms : int
        When the first one of the others would pass.
    entries : int
        How many entries the meter knows of.
    newer : RateLimit or None
        A limit of a newer revision than the report's.
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
