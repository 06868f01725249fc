"""Request queue of one model, with estimates from its requests."""

import random

from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.fair import ORDERS
from dahliashunt.decisions.fleet import OVERHEAD_TOKENS
from dahliashunt.decisions.queueing import DISCIPLINES
from dahliashunt.decisions.queueing import DrainRate
from dahliashunt.decisions.queueing import WaitingQueue

__all__ = ["ModelState"]

_EWMA_WEIGHT = 0.1
"""Weight of a sample in the exponential moving averages."""

_MIN_GROWTH = 1.0005
"""Growth of the minimum per sample, so that old minima expire."""


class ModelState:
    """Request queue of one model, with estimates from its requests."""

    def __init__(self, policy: EntryPolicy):
        self._policy = policy
        self.queue = WaitingQueue()
        self.order = ORDERS.get(policy.order)()
        self.discipline = DISCIPLINES.get(policy.queueing)(policy)
        self.in_flight = 0
        self._service_ms = 0.0
        self._min_ms_per_token = float("inf")
        self._ms_per_token = 0.0
        self._ms_per_token_dev = 0.0
        self._mean_output_tokens = float(policy.default_output_tokens)
        self._virtual_queue = 0.0
        self._virtual_queue_ms = 0

    def cost(self, prompt_tokens: int, max_tokens: int) -> float:
        """Return the expected cost of a request, in tokens."""
        return self.cost_of(prompt_tokens, self.output(max_tokens))

    def output(self, max_tokens: int) -> float:
        """Return the expected length of an answer, in tokens."""
        return min(max_tokens, self._mean_output_tokens)

    def cost_of(self, prompt_tokens: int, output_tokens: float) -> float:
        """Return the cost of a prompt and an answer, in tokens."""
        policy = self._policy
        work = prompt_tokens + output_tokens * policy.output_token_weight
        return work + policy.request_tokens

    def drain(self) -> DrainRate:
        """Return the drain rate of the queue.

        By Little's law it is the requests in flight over their service
        time, which follows the loss of an endpoint without delay.
        """
        service = self._service_ms or self._policy.default_service_ms
        return DrainRate(
            max(1, self.in_flight) / service,
            self._ms_per_token + 2 * self._ms_per_token_dev,
        )

    def first_token(
        self, ms: float, prompt_tokens: int, uncached: float
    ) -> float:
        """Record a time to first token; return the unloaded one in ms.

        The unloaded time is the minimum per prompt token, which decays
        slowly, so that it follows a model that became slower.
        """
        tokens = uncached + OVERHEAD_TOKENS
        self._min_ms_per_token = min(
            self._min_ms_per_token * _MIN_GROWTH, ms / tokens
        )
        self._update_ms_per_token(ms / (prompt_tokens + OVERHEAD_TOKENS))
        return self._min_ms_per_token * tokens

    def _update_ms_per_token(self, ms_per_token: float) -> None:
        if not self._ms_per_token:
            self._ms_per_token = ms_per_token
            return
        error = ms_per_token - self._ms_per_token
        self._ms_per_token += _EWMA_WEIGHT * error
        self._ms_per_token_dev += _EWMA_WEIGHT * (
            abs(error) - self._ms_per_token_dev
        )

    def done(self, ms: float, tokens: int) -> None:
        """Record a request that succeeded."""
        if not self._service_ms:
            self._service_ms = max(1.0, ms)
        self._service_ms += _EWMA_WEIGHT * (max(1.0, ms) - self._service_ms)
        self._mean_output_tokens += _EWMA_WEIGHT * (
            tokens - self._mean_output_tokens
        )

    def retry_after(
        self, now: int, excess_ms: float, rng: random.Random
    ) -> int:
        """Return the Retry-After in ms of a request refused now.

        Refused requests form a virtual queue that drains at the model's
        rate, which spreads their retries; jitter separates requests that
        were refused at the same time.
        """
        policy = self._policy
        rate = self.drain().requests_per_ms
        drained = (now - self._virtual_queue_ms) * rate
        self._virtual_queue = max(0.0, self._virtual_queue - drained) + 1
        self._virtual_queue_ms = now
        wait = max(0.0, excess_ms) + self._virtual_queue / rate
        wait = max(policy.retry_after_min_ms, wait) * rng.uniform(0.75, 1.25)
        return int(min(wait, policy.retry_after_max_ms * rng.uniform(0.75, 1)))
