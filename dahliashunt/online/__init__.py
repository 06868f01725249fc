"""State machines of online requests."""

from dahliashunt.online.answer import Answer
from dahliashunt.online.answer import AnswerGap
from dahliashunt.online.attempt_log import AttemptLog
from dahliashunt.online.attempt_log import LoggedAttempt
from dahliashunt.online.attempt_log import Seen
from dahliashunt.online.claim import Claim
from dahliashunt.online.claim import ClaimState
from dahliashunt.online.claim import Outcome
from dahliashunt.online.claims import Claims
from dahliashunt.online.claims import Replay

__all__ = [
    "Answer",
    "AnswerGap",
    "AttemptLog",
    "Claim",
    "ClaimState",
    "Claims",
    "LoggedAttempt",
    "Outcome",
    "Replay",
    "Seen",
]
