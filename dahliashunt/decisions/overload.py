"""How much one endpoint is given at a time.

Load pattern: more work than the engines can start. Engines admit what
arrives, so that whatever is sent waits there, out of reach of fairness
and of refusals.

Without it (``none``) every first token is late at twice the capacity; with
it goodput stays near the capacity at 2 and at 5 times of it.

Two bounds hold together:

* The limit in flight follows first-token latency by additive increase and
  multiplicative decrease [1]_. A window is 8 first tokens over at least
  250 ms, so that one long prompt does not bring a limit down; it is late
  when its 90th percentile is over the target. The target of a request is
  twice what its prompt takes with no load and 230 ms: with a fixed time
  long prompts bring every limit down. A part of the caller's own time was
  ruled out: beside callers who give 5 s the engines' queues grow past what
  others can wait. Less than 230 ms starves prefills, more makes answers
  late when a data centre is lost. A window that is late takes 8% off; more
  loses goodput. The limit grows only while it is used. It starts at 8 and
  grows by half until the first late window, so that a cold start refuses
  nearly nothing.
* The prefills that are pending are bounded by their predicted time, 200 ms.
  A burst finds all places free and fills them within milliseconds, long
  before a first token could report it.

``gradient`` [2]_ follows the ratio to the unloaded latency. It needs no
target, but it takes the first queued prefill for congestion.

References
----------
.. [1] D. Chiu, R. Jain, "Analysis of the Increase and Decrease Algorithms
   for Congestion Avoidance", Computer Networks and ISDN Systems 17, 1989.
.. [2] Netflix, "Performance Under Load" (adaptive concurrency limits),
   2018; after L. Brakmo, L. Peterson, "TCP Vegas", 1995.
"""

from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.registry import Registry

__all__ = ["LIMITS", "AimdLimit", "GradientLimit", "NoLimit"]

LIMITS = Registry("concurrency limit")

_IN_USE_SHARE = 0.9
"""A limit is in use from here on: callers over their share get no more."""


@LIMITS.register("none")
class NoLimit:
    """Whatever comes is sent: the baseline."""

    def __init__(self, policy: EntryPolicy):
        self.value = float(policy.limit_initial)
        self.base_ms = 0.0

    def has_room(self, in_flight: int) -> bool:
        """Tell whether one more may be sent."""
        return True

    def in_time(self, pending_ms: float) -> bool:
        """Tell whether what is pending leaves time for one more."""
        return True

    def sample(
        self, now: int, first_token_ms: float, target_ms: float, in_flight: int
    ) -> None:
        """Learn from one first token, wanted within `target_ms`."""

    def congested(self, now: int) -> None:
        """Learn that the endpoint refused for load."""


class _WindowedLimit(NoLimit):
    """A limit that moves once a window of samples."""

    def __init__(self, policy: EntryPolicy):
        super().__init__(policy)
        self._policy = policy
        self.value = float(policy.limit_initial)
        self._samples: list[float] = []
        self._peak_in_flight = 0
        self._since_ms = 0
        self._slow_start = True

    def has_room(self, in_flight: int) -> bool:
        """Tell whether one more may be sent."""
        return in_flight + 1 <= self.value

    def in_time(self, pending_ms: float) -> bool:
        """Tell whether what is pending leaves time for one more."""
        return pending_ms <= self._policy.pending_target_ms

    def sample(
        self, now: int, first_token_ms: float, target_ms: float, in_flight: int
    ) -> None:
        """Learn from one first token, wanted within `target_ms`."""
        if not self._samples:
            self._since_ms = now
        self._samples.append(self._measure(first_token_ms, target_ms))
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        policy = self._policy
        full = len(self._samples) >= policy.limit_samples
        if full and now - self._since_ms >= policy.limit_window_ms:
            self._adjust(sorted(self._samples), self._peak_in_flight)
            self._samples = []
            self._peak_in_flight = 0

    def congested(self, now: int) -> None:
        """Go down once a window when the endpoint refused for load."""
        if now - self._since_ms >= self._policy.limit_window_ms:
            self._since_ms = now
            self._decrease(self._policy.limit_decrease)

    def _measure(self, first_token_ms: float, target_ms: float) -> float:
        return first_token_ms / target_ms

    def _adjust(self, samples: list[float], peak_in_flight: int) -> None:
        raise NotImplementedError

    def _decrease(self, factor: float) -> None:
        self._slow_start = False
        self.value = max(self._policy.limit_min, self.value * factor)

    def _set_clamped(self, value: float) -> None:
        policy = self._policy
        self.value = min(policy.limit_max, max(policy.limit_min, value))


@LIMITS.register("aimd")
class AimdLimit(_WindowedLimit):
    """Up by one while first tokens are in time, down by a part if not."""

    def _adjust(self, samples: list[float], peak_in_flight: int) -> None:
        p90 = samples[int(0.9 * len(samples))]
        if p90 > 1.0:
            self._decrease(self._policy.limit_decrease)
        elif peak_in_flight >= self.value * _IN_USE_SHARE - 1:
            step = self.value * 0.5 if self._slow_start else 1.0
            self._set_clamped(self.value + step)


@LIMITS.register("gradient")
class GradientLimit(_WindowedLimit):
    """Follow the ratio of the unloaded to the measured latency."""

    def _measure(self, first_token_ms: float, target_ms: float) -> float:
        return first_token_ms

    def _adjust(self, samples: list[float], peak_in_flight: int) -> None:
        median = max(1.0, samples[len(samples) // 2])
        if not self.base_ms or median < self.base_ms:
            self.base_ms = median
        # The base drifts up slowly, for an endpoint that became slower.
        self.base_ms *= 1.01
        gradient = max(0.5, min(1.0, 2.0 * self.base_ms / median))
        if gradient == 1.0 and peak_in_flight < self.value * _IN_USE_SHARE - 1:
            return
        wanted = self.value * gradient + self.value**0.5
        self._set_clamped(0.8 * self.value + 0.2 * wanted)
