"""When a waiting online request would start, and when to come back.

Load pattern: online load above what the endpoint can give. A request that
can't start in time is refused at once; its Retry-After comes from the rate
at which running streams end. Refused callers book a place each in a
virtual queue, so that a burst of refusals comes back spread over the time
that the endpoint needs, and not all at the same moment.

Without it a refusal goes out at the deadline. The mean of the ended answers,
in place of the estimate here, comes too late for the first refusals of a
burst.

Thresholds: a new request waits only if it starts in time with 95 in 100
chances (1.65 standard deviations of the wait); an answer's weight halves
in 14 answers; jitter of half the wait spreads callers whose places are
close (M. Brooker).

References
----------
J. D. C. Little, A proof for the queuing formula L = λW, Oper. Res. 9
(1961). M. Brooker, Exponential backoff and jitter, AWS 2015. J. Lawless,
Statistical Models and Methods for Lifetime Data, 2003 (censored means).
"""

import random

__all__ = ["Drain"]

# Answers of one endpoint differ by an order of magnitude; this follows a
# change of mix within some tens of answers.
_DECAY = 0.95
_ANSWER_PRIOR_TOKENS = 150.0
_PRIOR_ANSWERS = 4.0
_JITTER = 0.5
# Standard deviations; 5 of 100 waits are longer.
_WAIT_QUANTILE = 1.65


class Drain:
    """Estimates from the tokens an answer takes and the step time.

    The mean is tokens made over answers ended, unfinished answers
    included (the estimate for censored lifetimes). The mean of the ended
    ones alone is too short while a burst builds up, since its short
    answers end first: 12 of 36 refusals then came at the deadline.
    """

    def __init__(self, rng: random.Random, max_retry_after_ms: int):
        self._rng = rng
        self._max_ms = max_retry_after_ms
        self._tokens = _ANSWER_PRIOR_TOKENS * _PRIOR_ANSWERS
        self._answers = _PRIOR_ANSWERS
        self._booked_until_ms = 0.0

    def produced(self, tokens: int) -> None:
        """Learn that online answers grew."""
        self._tokens += tokens

    def answered(self) -> None:
        """Learn that an online answer ended."""
        self._tokens *= _DECAY
        self._answers = self._answers * _DECAY + 1

    @property
    def answer_tokens(self) -> float:
        """Mean length of an online answer."""
        return self._tokens / self._answers

    def gap_ms(self, running: int, step_ms: float) -> float:
        """Return the mean time between two ends of online streams."""
        return self.answer_tokens * step_ms / max(1, running)

    def wait_ms(self, place: int, gap_ms: float, admitted: bool) -> float:
        """Return how long the stream at `place` may have to wait.

        Ends are as good as independent, so that the wait for n of them
        varies by the root of n. A new request is let wait only if it will
        start in time nearly always; one that was let wait goes on as long
        as it is likely to.
        """
        spread = 0.0 if admitted else _WAIT_QUANTILE * place**0.5
        return (place + spread) * gap_ms

    def retry_after_ms(self, now: int, waiting: int, gap_ms: float) -> int:
        """Return when a refused caller should ask again, and book it."""
        soonest = now + (waiting + 1) * gap_ms
        place = max(self._booked_until_ms + gap_ms, soonest)
        self._booked_until_ms = min(place, now + self._max_ms)
        spread = 1 + _JITTER * self._rng.random()
        wait = (self._booked_until_ms - now) * spread
        return max(1, min(self._max_ms, int(wait)))
