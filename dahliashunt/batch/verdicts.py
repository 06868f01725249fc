"""What follows from the end of one try of an item."""

import enum

from dahliashunt.batch.items import ItemEnd
from dahliashunt.batch.items import ItemOutcome
from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.errors import ANSWERS
from dahliashunt.errors import ErrorKind

__all__ = ["Verdict", "cause", "judge"]


class Verdict(enum.Enum):
    """What follows from the end of one try."""

    ANSWERED = "answered"
    REPEAT = "repeat"
    COUNTED_REPEAT = "counted_repeat"
    FAILED = "failed"


def judge(outcome: ItemOutcome, attempt: int, policy: BatchPolicy) -> Verdict:
    """Return what follows from the end of one try.

    Notes
    -----
    A try that did not run or was preempted is repeated without counting:
    batch gives way all the time, and an item must not fail for that. All
    other tries count, so an item that can't be done ends, and a final
    error (one where a resend can't succeed, such as a conviction for
    crashing endpoints) ends it at once.
    """
    if outcome.end is ItemEnd.DONE:
        if len(outcome.body) > policy.max_result_bytes:
            return Verdict.FAILED
        return Verdict.ANSWERED
    if outcome.end is ItemEnd.NOT_RUN:
        return Verdict.REPEAT
    if outcome.kind is ErrorKind.CANCELLED:
        return Verdict.REPEAT
    final = outcome.end is ItemEnd.FAILED and not (
        outcome.kind and ANSWERS[outcome.kind].retry
    )
    if final or attempt + 1 >= policy.max_attempts:
        return Verdict.FAILED
    return Verdict.COUNTED_REPEAT


def cause(outcome: ItemOutcome) -> tuple[ErrorKind, str]:
    """Return why an item failed, for its error line."""
    if outcome.end is ItemEnd.DONE:
        return ErrorKind.TOO_LARGE, "the answer is too large"
    kind = outcome.kind
    if kind is None:
        kind = ErrorKind.OUTCOME_UNKNOWN
    return kind, outcome.message or kind.value
