"""Service-level objectives, and which ends of requests count against one."""

from dataclasses import dataclass
import enum

from dahliashunt.errors import ErrorKind

__all__ = ["OBJECTIVES", "UNCOUNTED", "Objective", "Sli"]


class Sli(enum.Enum):
    """What an objective is about (service-level indicator)."""

    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    AVAILABILITY = "availability"


@dataclass(frozen=True, slots=True)
class Objective:
    """A share of events that must be good.

    Attributes
    ----------
    target : float
        Share that must be good; the rest is the error budget.
    within_ms : int or None
        Longest time of a good event, where a time is the objective.
    """

    sli: Sli
    target: float
    within_ms: int | None = None

    @property
    def budget(self) -> float:
        """Share that may be bad."""
        return 1 - self.target


OBJECTIVES = {
    each.sli: each
    for each in (
        Objective(Sli.FIRST_TOKEN, 0.95, 760),
        Objective(Sli.TOKEN_GAP, 0.95, 69),
        Objective(Sli.AVAILABILITY, 0.999),
    )
}
"""Objective by indicator."""

UNCOUNTED = frozenset(
    (
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNAUTHENTICATED,
        ErrorKind.NOT_PERMITTED,
        ErrorKind.UNKNOWN_MODEL,
        ErrorKind.NOT_FOUND,
        ErrorKind.CONFLICT,
        ErrorKind.KEY_REUSED,
        ErrorKind.STILL_RUNNING,
        ErrorKind.TOO_LARGE,
        ErrorKind.OVER_LIMIT,
        ErrorKind.CONVICTED,
        ErrorKind.CANCELLED,
    )
)
"""Ends that are the caller's own doing: neither answered nor failed.

A refusal for want of capacity counts as failed, however truthful: else a
fleet that turns everybody away would burn nothing.
"""
