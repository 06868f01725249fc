"""What waits, in which order, and what is turned away when.

Load pattern: saturation for longer than a burst, at 2 and 5 times the
capacity.

Without it (``by_deadline``: wait until the time is over) many of those
answered get their first token too late, and a refused caller is told after
its whole time. With ``predicted`` most refusals are given on arrival.

`Predicted` compares the time left with the wait for those ahead in the
fair order, over the drain rate, plus the mean first-token time for a
prompt of its size and twice its deviation (the margin of TCP's timer
[1]_). One estimate for prompts of all sizes would refuse short requests
among long ones that would have made it. The rate is what is in
flight over the mean service time, by Little's law, so that it falls at
once when endpoints are lost. What waits is judged again every 20 ms, a
twentieth of the usual time to first token; what can't make it any more is
told then.

A queue that is never empty adds wait and no work [2]_. Once it stood for
500 ms, several times what it takes to fill the places that a burst finds
free, a newcomer may use only a quarter of its time for waiting, until
none had to be turned away for 500 ms. Less than a quarter refuses short
requests among long ones.

Ruled out as defaults, both kept in the registry: ``newest_first``
(adaptive LIFO [3]_) has the earlier first tokens at the same goodput, but it
breaks the fair order and tells those it gives up only at their deadline.
``codel`` (drop by age) has them too, but is blind to who waits. It is the
choice where first tokens matter most.

Complexity: O(log n) to find a place; O(n) a tick with n at most 256 a
model. A longer queue could not be served in time at the sizes of today:
256 are 4 s of five endpoints.

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

__all__ = ["DISCIPLINES", "Drain", "Waiting", "WaitingQueue"]

DISCIPLINES = Registry("queueing discipline")


@dataclass(frozen=True, slots=True, order=True)
class Waiting:
    """One waiting request; sorts by its place."""

    tag: float
    seq: int
    request_id: RequestId
    since_ms: int
    first_token_by_ms: int
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class Drain:
    """How fast a queue moves.

    Attributes
    ----------
    per_ms : float
        Requests that leave in a millisecond.
    ms_per_token : float
        From dispatch to the first token, with a margin, for one token of
        the prompt.
    """

    per_ms: float
    ms_per_token: float

    def wait_ms(self, ahead: int) -> float:
        """Return the expected wait with `ahead` requests before it.

        Examples
        --------
        >>> Drain(per_ms=0.01, ms_per_token=0.2).wait_ms(4)
        500.0
        """
        return (ahead + 1) / self.per_ms


class WaitingQueue:
    """Waiting requests of one model, sorted by place."""

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
        """Return how many go before a newcomer with `tag`."""
        return bisect_left(self._items, tag, key=_tag)

    def push(self, waiting: Waiting) -> None:
        """Add one in its place."""
        if not self._items:
            self._busy_since_ms = waiting.since_ms
        insort(self._items, waiting)

    def standing_ms(self, now: int) -> int:
        """Return for how long it was not empty."""
        return now - self._busy_since_ms if self._items else 0

    def pop(self, index: int) -> Waiting:
        """Remove and return the one at `index`."""
        return self._items.pop(index)

    def remove(self, waiting: Waiting) -> None:
        """Remove one that is there."""
        del self._items[bisect_left(self._items, waiting)]

    def drop(self, rejected: list[Waiting]) -> None:
        """Remove several."""
        if rejected:
            ids = {waiting.request_id for waiting in rejected}
            self._items = [w for w in self._items if w.request_id not in ids]


def _tag(waiting: Waiting) -> float:
    return waiting.tag


@DISCIPLINES.register("by_deadline")
class ByDeadline:
    """Wait until the time is over: the baseline."""

    def __init__(self, policy: EntryPolicy):
        self._policy = policy

    def admits(
        self,
        now: int,
        queue: WaitingQueue,
        left_ms: int,
        ahead: int,
        prompt_tokens: int,
        drain: Drain,
    ) -> bool:
        """Tell whether a newcomer with `ahead` before it may wait."""
        return True

    def next_index(self, queue: WaitingQueue) -> int:
        """Return which one goes next."""
        return 0

    def hopeless(
        self, now: int, queue: WaitingQueue, drain: Drain
    ) -> list[Waiting]:
        """Return those to be turned away now."""
        return [w for w in queue if w.first_token_by_ms <= now]


@DISCIPLINES.register("predicted")
class Predicted(ByDeadline):
    """Turn away as soon as the predicted first token comes too late.

    A queue that stood for longer than a burst adds wait and no work, so
    from then on only a part of the time may be spent in it, until
    nothing had to be turned away for as long.
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
        drain: Drain,
    ) -> bool:
        """Tell whether a newcomer with `ahead` before it may wait."""
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

    def hopeless(
        self, now: int, queue: WaitingQueue, drain: Drain
    ) -> list[Waiting]:
        """Return those whose predicted first token is too late.

        One that is dropped lets those behind it move up.
        """
        rejected = []
        step = 1 / drain.per_ms
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
    """Serve the newest while the oldest waits too long (adaptive LIFO)."""

    def __init__(self, policy: EntryPolicy):
        super().__init__(policy)
        self._overloaded = False

    def next_index(self, queue: WaitingQueue) -> int:
        """Return the newest of all under overload, else the first."""
        if not self._overloaded:
            return 0
        return max(range(len(queue)), key=lambda i: queue[i].seq)

    def hopeless(
        self, now: int, queue: WaitingQueue, drain: Drain
    ) -> list[Waiting]:
        """Return those whose time is over."""
        oldest = min((w.since_ms for w in queue), default=now)
        self._overloaded = now - oldest > self._policy.codel_target_ms
        return super().hopeless(now, queue, drain)


@DISCIPLINES.register("codel")
class ControlledDelay(ByDeadline):
    """Drop by age once the least wait stays above a target (CoDel)."""

    def __init__(self, policy: EntryPolicy):
        super().__init__(policy)
        self._empty_at_ms = 0

    def hopeless(
        self, now: int, queue: WaitingQueue, drain: Drain
    ) -> list[Waiting]:
        """Return those older than the target after a standing queue."""
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
