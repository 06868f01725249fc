"""Estimates of the queueing delay and of Retry-After at an endpoint.

Load pattern: online load above the capacity of the endpoint.

Without it a request that can't start in time is refused only at its
deadline, and refused callers resend at the same moment.

Rules: a new request waits only if it starts in time with a probability of
95%. Each refused caller reserves a place in a virtual queue that drains at
the rate at which streams end; jitter separates callers with close places.

References
----------
J. D. C. Little, A proof for the queuing formula L = λW, Oper. Res. 9
(1961). M. Brooker, Exponential backoff and jitter, AWS 2015. J. Lawless,
Statistical Models and Methods for Lifetime Data, 2003 (censored means).
"""

import random

__all__ = ["WaitEstimator"]

# Weight of the past for each ended answer.
_DECAY = 0.95
_ANSWER_PRIOR_TOKENS = 150.0
_PRIOR_ANSWERS = 4.0
_JITTER = 0.5
# 95% quantile of the wait, in standard deviations.
_WAIT_QUANTILE = 1.65


class WaitEstimator:
    """Wait estimates from the answer length and the step time.

    The mean length is generated tokens over ended answers, including the
    tokens of unfinished ones (the estimate for censored lifetimes). The
    mean of ended answers is too low in a burst, whose short ones end first.
    """

    def __init__(self, rng: random.Random, max_retry_after_ms: int):
        self._rng = rng
        self._max_ms = max_retry_after_ms
        self._tokens = _ANSWER_PRIOR_TOKENS * _PRIOR_ANSWERS
        self._answers = _PRIOR_ANSWERS
        self._reserved_until_ms = 0.0

    def tokens_generated(self, tokens: int) -> None:
        """Record generated tokens of online answers."""
        self._tokens += tokens

    def answer_ended(self) -> None:
        """Record the end of an online answer."""
        self._tokens *= _DECAY
        self._answers = self._answers * _DECAY + 1

    @property
    def answer_tokens(self) -> float:
        """Mean length of an online answer."""
        return self._tokens / self._answers

    def gap_ms(self, running: int, step_ms: float) -> float:
        """Return the mean time between ends of online streams."""
        return self.answer_tokens * step_ms / max(1, running)

    def wait_ms(self, place: int, gap_ms: float, admitted: bool) -> float:
        """Return the expected wait, or its 95% quantile for a new request.

        Ends are nearly independent, so that the wait for n of them varies
        by the root of n. Admitted requests are judged by the mean.
        """
        spread = 0.0 if admitted else _WAIT_QUANTILE * place**0.5
        return (place + spread) * gap_ms

    def retry_after_ms(self, now: int, waiting: int, gap_ms: float) -> int:
        """Reserve a place for a refused caller; return its Retry-After."""
        soonest = now + (waiting + 1) * gap_ms
        place = max(self._reserved_until_ms + gap_ms, soonest)
        self._reserved_until_ms = min(place, now + self._max_ms)
        spread = 1 + _JITTER * self._rng.random()
        wait = (self._reserved_until_ms - now) * spread
        return max(1, min(self._max_ms, int(wait)))
