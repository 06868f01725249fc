"""Queueing disciplines: order and early refusal of waiting requests.

Load pattern: saturation for longer than a burst, at several times the
capacity.

What goes wrong without it (``by_deadline``): many answers have a late first
token, and callers are refused only at their deadline. With ``predicted`` most
refusals are sent on arrival.

How: `Predicted` compares the time left with the predicted first token: the
wait behind the requests ahead at the departure rate, plus the mean
first-token time for the prompt's size and twice its deviation, as in TCP's
retransmission timer [1]_. The departure rate is the number in flight over
the mean service time (Little's law), so it falls as soon as endpoints are
lost. Waiting requests are checked again at each tick.

A standing queue adds latency and no throughput [2]_. Once the queue has not
been empty for ``standing_ms``, a new request may spend only a part of its
time waiting, until none has been refused for as long.

Alternatives: ``newest_first`` (adaptive LIFO [3]_) gives earlier first
tokens, but breaks the fair order and refuses only at the deadline. ``codel``
drops by age, regardless of callers.

Complexity: O(log n) to find a place; O(n) per tick, for the bounded queue of
a model.

References
----------
.. [1] V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988.
.. [2] K. Nichols, V. Jacobson, "Controlling Queue Delay", ACM Queue 2012.
.. [3] B. Maurer, "Fail at Scale", ACM Queue 2015.
"""

from bisect import bisect_left
from bisect import insort
from dataclasses import dataclass

from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.registry import Registry
from dahliashunt.ids import RequestId

__all__ = ["DISCIPLINES", "DrainRate", "Waiting", "WaitingQueue"]

DISCIPLINES = Registry("queueing discipline")


@dataclass(frozen=True, slots=True, order=True)
class Waiting:
    """A waiting request; sorts by its tag."""

    tag: float
    seq: int
    request_id: RequestId
    since_ms: int
    first_token_by_ms: int
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class DrainRate:
    """Estimated speed at which a queue drains.

    Attributes
    ----------
    requests_per_ms : float
        Departure rate: requests per millisecond.
    ms_per_token : float
        Time from dispatch to first token per prompt token, with a margin.
    """

    requests_per_ms: float
    ms_per_token: float

    def wait_ms(self, ahead: int) -> float:
        """Return the expected wait in ms behind `ahead` requests.

        Examples
        --------
        >>> DrainRate(requests_per_ms=0.01, ms_per_token=0.2).wait_ms(4)
        500.0
        """
        return (ahead + 1) / self.requests_per_ms


class WaitingQueue:
    """Waiting requests of one model, sorted by tag."""

    def __init__(self):
        self._items: list[Waiting] = []
        self._busy_since_ms = 0

    def __len__(self) -> int:
        return len(self._items)

    def __getitem__(self, index: int) -> Waiting:
        return self._items[index]

    def __iter__(self):
        return iter(self._items)

    def place(self, tag: float) -> int:
        """Return how many requests are ahead of a new one with `tag`."""
        return bisect_left(self._items, tag, key=_tag)

    def push(self, waiting: Waiting) -> None:
        """Insert `waiting` by its tag."""
        if not self._items:
            self._busy_since_ms = waiting.since_ms
        insort(self._items, waiting)

    def standing_ms(self, now: int) -> int:
        """Return for how long the queue has not been empty."""
        return now - self._busy_since_ms if self._items else 0

    def pop(self, index: int) -> Waiting:
        """Remove and return the request at `index`."""
        return self._items.pop(index)

    def remove(self, waiting: Waiting) -> None:
        """Remove `waiting`, which must be in the queue."""
        del self._items[bisect_left(self._items, waiting)]

    def drop(self, rejected: list[Waiting]) -> None:
        """Remove the given requests."""
        if rejected:
            ids = {waiting.request_id for waiting in rejected}
            self._items = [w for w in self._items if w.request_id not in ids]


def _tag(waiting: Waiting) -> float:
    return waiting.tag


@DISCIPLINES.register("by_deadline")
class ByDeadline:
    """Wait until the deadline: the baseline."""

    def __init__(self, policy: EntryPolicy):
        self._policy = policy

    def admits(
        self,
        now: int,
        queue: WaitingQueue,
        left_ms: int,
        ahead: int,
        prompt_tokens: int,
        drain: DrainRate,
    ) -> bool:
        """Tell whether a new request behind `ahead` others may wait."""
        return True

    def next_index(self, queue: WaitingQueue) -> int:
        """Return the index of the request to dispatch next."""
        return 0

    def select_rejected(
        self, now: int, queue: WaitingQueue, drain: DrainRate
    ) -> list[Waiting]:
        """Return the requests to refuse now."""
        return [w for w in queue if w.first_token_by_ms <= now]


@DISCIPLINES.register("predicted")
class Predicted(ByDeadline):
    """Refuse as soon as the predicted first token is late.

    While the queue is standing, a new request may spend only a part of its
    time waiting.
    """

    def __init__(self, policy: EntryPolicy):
        super().__init__(policy)
        self._restricted_until_ms = 0

    def admits(
        self,
        now: int,
        queue: WaitingQueue,
        left_ms: int,
        ahead: int,
        prompt_tokens: int,
        drain: DrainRate,
    ) -> bool:
        """Tell whether a new request behind `ahead` others may wait."""
        policy = self._policy
        wait = drain.wait_ms(ahead)
        if wait + prompt_tokens * drain.ms_per_token > left_ms:
            return False
        if queue.standing_ms(now) > policy.standing_ms:
            self._restricted_until_ms = now + policy.standing_ms
        restricted = now < self._restricted_until_ms
        if restricted and wait > left_ms * policy.standing_part:
            self._restricted_until_ms = now + policy.standing_ms
            return False
        return True

    def select_rejected(
        self, now: int, queue: WaitingQueue, drain: DrainRate
    ) -> list[Waiting]:
        """Return the requests whose predicted first token is late.

        A refused request does not delay those behind it.
        """
        rejected = []
        step = 1 / drain.requests_per_ms
        at = float(now)
        for waiting in queue:
            prefill = waiting.prompt_tokens * drain.ms_per_token
            if at + prefill > waiting.first_token_by_ms:
                rejected.append(waiting)
            else:
                at += step
        return rejected


@DISCIPLINES.register("newest_first")
class NewestFirst(ByDeadline):
    """Serve newest first while the oldest waits too long (adaptive LIFO)."""

    def __init__(self, policy: EntryPolicy):
        super().__init__(policy)
        self._overloaded = False

    def next_index(self, queue: WaitingQueue) -> int:
        """Return the index of the newest under overload, else the first."""
        if not self._overloaded:
            return 0
        return max(range(len(queue)), key=lambda i: queue[i].seq)

    def select_rejected(
        self, now: int, queue: WaitingQueue, drain: DrainRate
    ) -> list[Waiting]:
        """Return the requests past their deadline."""
        oldest = min((w.since_ms for w in queue), default=now)
        self._overloaded = now - oldest > self._policy.codel_target_ms
        return super().select_rejected(now, queue, drain)


@DISCIPLINES.register("codel")
class ControlledDelay(ByDeadline):
    """Drop by age once the shortest wait stays above a target (CoDel)."""

    def __init__(self, policy: EntryPolicy):
        super().__init__(policy)
        self._empty_at_ms = 0

    def select_rejected(
        self, now: int, queue: WaitingQueue, drain: DrainRate
    ) -> list[Waiting]:
        """Return the requests older than a bound, tighter while standing."""
        interval_ms = self._policy.standing_ms
        newest_wait = min((now - w.since_ms for w in queue), default=0)
        if not len(queue) or newest_wait > interval_ms:
            self._empty_at_ms = now
        standing = now - self._empty_at_ms > interval_ms
        bound = self._policy.codel_target_ms if standing else interval_ms
        return [
            w
            for w in queue
            if now - w.since_ms > bound or w.first_token_by_ms <= now
        ]
