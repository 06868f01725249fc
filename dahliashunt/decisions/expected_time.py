"""Expected time of a request at a replica, to its first token and to its end.

Load pattern
------------
Replicas of one service differ in speed several-fold, some of them for good
and some for half a second. Prompts are short, or share parts of thousands of
tokens that some replicas have cached.

What goes wrong without it
--------------------------
Free slots of a slow replica count as much as those of a fast one, and a
prompt of 32,000 tokens is read anew at one replica while it is cached at
another. Separate rules for slots, speed and caches contradict each other.

How
---
The time to the first token is the sum, in milliseconds, of the network path,
the wait for a slot, the reading of the queued prompts and of this prompt
except for its cached tokens, one step, and what a warm-up adds. The time to
the end adds one step per output token, at the occupancy at which the speed
was observed: one more request changes a step by at most 2.5 %. Speeds age
towards the median of the service's replicas, so that an old observation
loses its weight, and a replica never observed counts as an average one.

Complexity: constant per replica, without allocations but the result.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "Estimator",
    "ReplicaInputs",
    "RequestSize",
    "SpeedPrior",
    "has_different_speeds",
    "is_reading_relevant",
    "service_prior",
]

DEFAULT_TOKEN_US = 3_000
"""Microseconds per token of a service none of whose replicas was observed."""

DEFAULT_READ_TOKENS_PER_MS = 125.0
"""Prompt tokens read per millisecond where this was not observed: prompts of
some hundred tokens are read between two reports."""

DEFAULT_OUTPUT_TOKENS = 300
"""Output tokens of a request that does not state its maximum."""

FRESH_MS = 1_000
"""Age in ms up to which a state counts as current: agents send changes within
100 ms, and confirm an unchanged state every second."""

SPEED_HALF_LIFE_MS = 2_000
"""Time in ms beyond `FRESH_MS` after which an observed speed counts half."""

FAR_NETWORK_MS = 3
"""Milliseconds that a round trip to another data centre of the region adds."""

COLD_SLOWDOWN = 3.0
"""Factor on the time of work that is done while a replica warms up."""

DIFFERENT_SPEED_FACTOR = 1.4
"""Ratio of two token times above which speeds count as different. Eight
running requests instead of one lengthen a step by up to 18 %, and agents
publish changes above 10 %."""

NEGLIGIBLE_SHARED_TOKENS = 512
"""Shared tokens below which the reading speed is not looked at: engines read
25 tokens a millisecond or more."""

RELEVANT_READING_MS = 20
"""Milliseconds of reading shared tokens from which on these are considered.
Waits and runs of requests differ by hundreds of ms; 200 shared tokens are
read in 2 ms, 8,000 in 64 ms."""


@dataclass(frozen=True, slots=True)
class RequestSize:
    """Size of a request in tokens; 0 if unknown.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        Length of the prompt and stated maximum of the output.
    shared_tokens : int
        Tokens of the prompt's shared parts.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_tokens: int = 0

    @property
    def memory_tokens(self) -> int:
        """Memory that the request may need at its end."""
        return self.prompt_tokens + self.output_tokens


# One is made per replica and request. A frozen one takes six times as long.
@dataclass(slots=True)
class ReplicaInputs:
    """What an entry knows of one replica, besides its free slots.

    Attributes
    ----------
    token_us : int
        Microseconds per token of a running request; 0 if unknown.
    read_tokens_per_ms : float
        0 if unknown.
    age_ms : int
        Age of the speeds and of the queue.
    wait_ms : int
        Wait for a slot that the agent expects.
    waiting_tokens : int
        Prompt tokens that are to be read there before this request's.
    free_tokens : int
        Memory that no request holds; -1 if unknown.
    network_ms : int
        Time of the network path, both ways.
    warm_in_ms : int
        Remaining warm-up time.
    cached_tokens : float
        Expected number of this prompt's tokens that are cached there.
    """

    token_us: int = 0
    read_tokens_per_ms: float = 0.0
    age_ms: int = 0
    wait_ms: int = 0
    waiting_tokens: int = 0
    free_tokens: int = -1
    network_ms: int = 0
    warm_in_ms: int = 0
    cached_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class SpeedPrior:
    """Speeds that a replica without observations is expected to have."""

    token_us: float = DEFAULT_TOKEN_US
    read_tokens_per_ms: float = DEFAULT_READ_TOKENS_PER_MS


def service_prior(inputs: list[ReplicaInputs]) -> SpeedPrior:
    """Return the medians of the known speeds in `inputs`.

    Examples
    --------
    >>> service_prior([ReplicaInputs(us) for us in (0, 2000, 2200, 4000)])
    SpeedPrior(token_us=2200, read_tokens_per_ms=125.0)
    """
    token_us = [one.token_us for one in inputs if one.token_us > 0]
    reading = [
        one.read_tokens_per_ms for one in inputs if one.read_tokens_per_ms > 0
    ]
    return SpeedPrior(
        _median(token_us, DEFAULT_TOKEN_US),
        _median(reading, DEFAULT_READ_TOKENS_PER_MS),
    )


def _median(values, default):
    # The upper one of two: `statistics.median` costs ten times as much.
    return sorted(values)[len(values) // 2] if values else default


def has_different_speeds(token_us: Iterable[int]) -> bool:
    """Return whether two known speeds differ by more than their spread.

    Parameters
    ----------
    token_us : iterable of int
        Microseconds per token of each replica; 0 if unknown.
    """
    known = [each for each in token_us if each > 0]
    return len(known) > 1 and max(known) > DIFFERENT_SPEED_FACTOR * min(known)


def is_reading_relevant(shared_tokens: int, prior: SpeedPrior) -> bool:
    """Return whether reading the shared tokens takes a relevant time."""
    return shared_tokens >= RELEVANT_READING_MS * prior.read_tokens_per_ms


class Estimator:
    """Estimates the time of one request at each of several replicas.

    Parameters
    ----------
    size : RequestSize
    prior : SpeedPrior
    """

    __slots__ = (
        "_caches",
        "_output_tokens",
        "_prompt_tokens",
        "_reading",
        "_step_ms",
    )

    def __init__(self, size: RequestSize, prior: SpeedPrior):
        self._step_ms = prior.token_us / 1000
        self._reading = prior.read_tokens_per_ms
        self._output_tokens = size.output_tokens or DEFAULT_OUTPUT_TOKENS
        self._prompt_tokens = max(size.prompt_tokens, size.shared_tokens)
        self._caches = is_reading_relevant(size.shared_tokens, prior)

    def estimate(
        self, inputs: ReplicaInputs, slots: int, taken: int
    ) -> tuple[float, float]:
        """Return the ms to the first token and to the end.

        Parameters
        ----------
        inputs : ReplicaInputs
        slots, taken : int
            Slots of the replica, and those that this request can't get.
            Above `slots`, the rest are requests queued ahead.
        """
        weight = 1.0
        age_ms = inputs.age_ms
        if age_ms > FRESH_MS:
            weight = 0.5 ** ((age_ms - FRESH_MS) / SPEED_HALF_LIFE_MS)
        step_ms, reading = self._step_ms, self._reading
        token_us = inputs.token_us
        if token_us > 0:
            step_ms += (token_us / 1000 - step_ms) * weight
            # Until it is observed, reading is as slow as producing tokens.
            reading *= self._step_ms / step_ms
        read_tokens_per_ms = inputs.read_tokens_per_ms
        if read_tokens_per_ms > 0:
            reading += (read_tokens_per_ms - reading) * weight
        unread = self._prompt_tokens
        if self._caches:
            unread = max(0.0, unread - inputs.cached_tokens)
        run_ms = step_ms * self._output_tokens
        first_ms = inputs.network_ms + step_ms
        first_ms += (unread + inputs.waiting_tokens * weight) / reading
        if taken >= slots:
            expected_ms = (taken - slots + 1) * run_ms / max(1, slots)
            first_ms += max(inputs.wait_ms * weight, expected_ms)
        end_ms = first_ms + run_ms
        if inputs.warm_in_ms > 0:
            first_ms += _warm_up_ms(first_ms, inputs.warm_in_ms)
            end_ms += _warm_up_ms(end_ms, inputs.warm_in_ms)
        return first_ms, end_ms


def _warm_up_ms(work_ms, warm_in_ms):
    """Return what the warm-up adds to work that begins now."""
    return min(work_ms * (COLD_SLOWDOWN - 1), warm_in_ms)
