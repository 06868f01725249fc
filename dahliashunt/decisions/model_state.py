"""The queue of one model, and what was learned of its requests."""

import random

from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.fair import ORDERS
from dahliashunt.decisions.fleet import OVERHEAD_TOKENS
from dahliashunt.decisions.queueing import DISCIPLINES
from dahliashunt.decisions.queueing import DrainRate
from dahliashunt.decisions.queueing import WaitingQueue

__all__ = ["ModelState"]

_LEARN = 0.1
"""Weight of one new sample in a moving average."""

_FORGET = 1.0005
"""Growth of the least time a sample: double in 1,400 first tokens."""


class ModelState:
    """The queue of one model, and what was learned of its requests."""

    def __init__(self, policy: EntryPolicy):
        self._policy = policy
        self.queue = WaitingQueue()
        self.order = ORDERS.get(policy.order)()
        self.discipline = DISCIPLINES.get(policy.queueing)(policy)
        self.in_flight = 0
        self._service_ms = 0.0
        self._least_ms = float("inf")
        self._speed = 0.0
        self._speed_dev = 0.0
        self._output = float(policy.default_output_tokens)
        self._turned_away = 0.0
        self._turned_away_ms = 0

    def cost(self, prompt_tokens: int, max_tokens: int) -> float:
        """Return what a request is expected to cost."""
        return self.cost_of(prompt_tokens, self.output(max_tokens))

    def output(self, max_tokens: int) -> float:
        """Return how many tokens an answer is expected to have."""
        return min(max_tokens, self._output)

    def cost_of(self, prompt_tokens: int, output_tokens: float) -> float:
        """Return the cost of a prompt and an answer."""
        policy = self._policy
        work = prompt_tokens + output_tokens * policy.output_token_weight
        return work + policy.request_tokens

    def drain(self) -> DrainRate:
        """Return how fast the queue moves.

        By Little's law the rate is what is in flight over how long it
        takes; it follows a lost endpoint at once, where a measured rate
        would lag.
        """
        service = self._service_ms or self._policy.default_service_ms
        return DrainRate(
            max(1, self.in_flight) / service,
            self._speed + 2 * self._speed_dev,
        )

    def first_token(
        self, ms: float, prompt_tokens: int, uncached: float
    ) -> float:
        """Learn from the time to a first token; return its unloaded time.

        The unloaded time is that of the fastest first token a token, which
        is forgotten slowly, so that a model that became slower is learned.
        """
        tokens = uncached + OVERHEAD_TOKENS
        self._least_ms = min(self._least_ms * _FORGET, ms / tokens)
        self._learn_speed(ms / (prompt_tokens + OVERHEAD_TOKENS))
        return self._least_ms * tokens

    def _learn_speed(self, speed: float) -> None:
        if not self._speed:
            self._speed = speed
            return
        off = speed - self._speed
        self._speed += _LEARN * off
        self._speed_dev += _LEARN * (abs(off) - self._speed_dev)

    def done(self, ms: float, tokens: int) -> None:
        """Learn from a request that ended well."""
        if not self._service_ms:
            self._service_ms = max(1.0, ms)
        self._service_ms += _LEARN * (max(1.0, ms) - self._service_ms)
        self._output += _LEARN * (tokens - self._output)

    def retry_after(
        self, now: int, excess_ms: float, rng: random.Random
    ) -> int:
        """Return when a resend can succeed, for one turned away now.

        Those turned away are counted as a queue of their own which
        drains at the model's rate, so that they are asked back one
        after the other; jitter breaks up what was refused together.
        """
        policy = self._policy
        rate = self.drain().requests_per_ms
        drained = (now - self._turned_away_ms) * rate
        self._turned_away = max(0.0, self._turned_away - drained) + 1
        self._turned_away_ms = now
        wait = max(0.0, excess_ms) + self._turned_away / rate
        wait = max(policy.retry_after_min_ms, wait) * rng.uniform(0.75, 1.25)
        return int(min(wait, policy.retry_after_max_ms * rng.uniform(0.75, 1)))
