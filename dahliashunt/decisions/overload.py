"""Adaptive limits of the requests in flight at one endpoint.

Load pattern: more work than the engines can start. Engines queue whatever
arrives, where neither fair order nor early refusal applies to it.

What goes wrong without it (``none``): under overload the engines' queues
grow until every first token is late.

How: two bounds apply together.

* The limit in flight follows first-token latency by additive increase and
  multiplicative decrease [1]_. A window holds several first tokens, so that
  one long prompt does not lower the limit; it is late when its 90th
  percentile exceeds the target. A request's target grows with the unloaded
  time of its prompt, because a fixed target would count long prompts as
  congestion. The limit grows only while it is used. It starts low and grows
  exponentially until the first late window, as in TCP's slow start.
* The predicted time of pending prefills is bounded, since a burst fills all
  slots before the first token of any request can report congestion.

``gradient`` [2]_ follows the ratio to the unloaded latency. It needs no
target, but counts the first queued prefill as congestion.

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
"""Share of a limit from which it counts as used; callers over their share
are kept out of the rest."""


@LIMITS.register("none")
class NoLimit:
    """Send every request at once: the baseline."""

    def __init__(self, policy: EntryPolicy):
        self.value = float(policy.limit_initial)
        self.base_ms = 0.0

    def has_room(self, in_flight: int) -> bool:
        """Tell whether one more request may be sent."""
        return True

    def in_time(self, pending_ms: float) -> bool:
        """Tell whether the pending prefills leave time for one more."""
        return True

    def sample(
        self, now: int, first_token_ms: float, target_ms: float, in_flight: int
    ) -> None:
        """Record the latency of one first token, due within `target_ms`."""

    def congested(self, now: int) -> None:
        """Record that the endpoint refused a request for load."""


class _WindowedLimit(NoLimit):
    """Base of limits that are adjusted once per window of samples."""

    def __init__(self, policy: EntryPolicy):
        super().__init__(policy)
        self._policy = policy
        self.value = float(policy.limit_initial)
        self._samples: list[float] = []
        self._peak_in_flight = 0
        self._since_ms = 0
        self._slow_start = True

    def has_room(self, in_flight: int) -> bool:
        """Tell whether one more request may be sent."""
        return in_flight + 1 <= self.value

    def in_time(self, pending_ms: float) -> bool:
        """Tell whether the pending prefills leave time for one more."""
        return pending_ms <= self._policy.pending_target_ms

    def sample(
        self, now: int, first_token_ms: float, target_ms: float, in_flight: int
    ) -> None:
        """Record the latency of one first token, due within `target_ms`."""
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
        """Decrease once per window when the endpoint refuses for load."""
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
    """Additive increase, multiplicative decrease on late first tokens."""

    def _adjust(self, samples: list[float], peak_in_flight: int) -> None:
        p90 = samples[int(0.9 * len(samples))]
        if p90 > 1.0:
            self._decrease(self._policy.limit_decrease)
        elif peak_in_flight >= self.value * _IN_USE_SHARE - 1:
            step = self.value * 0.5 if self._slow_start else 1.0
            self._set_clamped(self.value + step)


@LIMITS.register("gradient")
class GradientLimit(_WindowedLimit):
    """Limit that follows the ratio of unloaded to measured latency."""

    def _measure(self, first_token_ms: float, target_ms: float) -> float:
        return first_token_ms

    def _adjust(self, samples: list[float], peak_in_flight: int) -> None:
        median = max(1.0, samples[len(samples) // 2])
        if not self.base_ms or median < self.base_ms:
            self.base_ms = median
        # Let the base drift up, to adapt to an endpoint that slows down.
        self.base_ms *= 1.01
        gradient = max(0.5, min(1.0, 2.0 * self.base_ms / median))
        if gradient == 1.0 and peak_in_flight < self.value * _IN_USE_SHARE - 1:
            return
        wanted = self.value * gradient + self.value**0.5
        self._set_clamped(0.8 * self.value + 0.2 * wanted)
