"""Requests that may crash each endpoint that runs them.

Load pattern: one request crashes each engine that runs it, and its caller
sends it again.

Without it each resend crashes one more engine, and the requests beside it
are lost; with it three engines crash at the most, each resend is refused at
once, and nobody else is.

After a crash all that ran in the engine is suspect. A suspect runs alone;
a crash while alone is proof and convicts, a run to the end clears. A crash
in company says little: neighbours of two crashes would be refused though
innocent. It convicts only at the third, so that no request crashes more
than three endpoints by way of one entry. Suspicions are shared as well as
convictions, so that a resend through another entry runs alone there: the
bound for the fleet is one crash in company, one alone, and those that were
sent before the word came round.

A loss of unknown cause counts half, for an agent that dies with its
engine can't report a crash; a cut-off data centre must not make all its
requests run one by one.

Suspects of a model run one at a time, on an endpoint that all entries
choose alike, so that at most one is taken from other work. The smallest
goes first: most suspects are innocent neighbours, and this order clears
most of them soonest (shortest job first). They wait up to 30 s.

Suspicions and convictions end after ten minutes, for a new version of the
engine may run what crashed the old one; 10,000 of each are remembered.
"""

from dataclasses import dataclass

from dahliashunt.decisions.endpoint import Endpoint
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.tracked import TrackedRequest
from dahliashunt.ids import Fingerprint
from dahliashunt.ids import ModelId
from dahliashunt.ids import RequestId

__all__ = ["Conviction", "SuspectQueue", "Suspects"]


@dataclass(frozen=True, slots=True)
class Conviction:
    """A fingerprint to be refused by every entry for a time."""

    fingerprint: Fingerprint
    for_ms: int


@dataclass(slots=True)
class _Suspicion:
    crashes: float
    until_ms: int


class Suspects:
    """Fingerprints seen in crashes, and those convicted.

    Examples
    --------
    >>> suspects = Suspects(EntryPolicy())
    >>> suspects.crashed(0, "bad", alone=False)
    False
    >>> suspects.is_suspect(1, "bad"), suspects.crashed(5, "bad", alone=True)
    (True, True)
    >>> suspects.convicted_until(6, "bad") is not None
    True
    >>> suspects.take_new()
    [Conviction(fingerprint='bad', for_ms=600000)]
    """

    def __init__(self, policy: EntryPolicy):
        self._policy = policy
        self._suspicion_by: dict[Fingerprint, _Suspicion] = {}
        self._convicted_until_by: dict[Fingerprint, int] = {}
        self._new: list[Conviction] = []
        self._new_suspects: list[Fingerprint] = []

    def crashed(
        self,
        now: int,
        fingerprint: Fingerprint,
        alone: bool,
        weight: float = 1.0,
    ) -> bool:
        """Note a crash while it ran; return whether that convicts it.

        `weight` is below 1 for a loss that may have had other causes;
        it takes a sum of 1 to be suspect.
        """
        if self.convicted_until(now, fingerprint) is not None:
            return True
        suspicion = self._suspicion_by.pop(fingerprint, None)
        if suspicion is None or suspicion.until_ms <= now:
            suspicion = _Suspicion(0, 0)
        suspicion.crashes += weight
        suspicion.until_ms = now + self._policy.suspect_for_ms
        crashes = suspicion.crashes
        if crashes >= self._policy.crashes_max or (alone and crashes >= 2):
            for_ms = self._policy.convict_for_ms
            self.convict(now, fingerprint, for_ms)
            self._new.append(Conviction(fingerprint, for_ms))
            del self._new[: -self._policy.fingerprints_max]
            return True
        self._suspicion_by[fingerprint] = suspicion
        _evict_oldest(self._suspicion_by, self._policy.fingerprints_max)
        if crashes >= 1:
            self._new_suspects.append(fingerprint)
            del self._new_suspects[: -self._policy.fingerprints_max]
        return False

    def suspect(self, now: int, fingerprint: Fingerprint) -> None:
        """Take the word of another entry that it was in a crash."""
        if fingerprint not in self._suspicion_by:
            until_ms = now + self._policy.suspect_for_ms
            self._suspicion_by[fingerprint] = _Suspicion(1, until_ms)
            _evict_oldest(self._suspicion_by, self._policy.fingerprints_max)

    def convict(self, now: int, fingerprint: Fingerprint, for_ms: int) -> None:
        """Refuse the fingerprint for a time."""
        self._suspicion_by.pop(fingerprint, None)
        self._convicted_until_by.pop(fingerprint, None)
        self._convicted_until_by[fingerprint] = now + for_ms
        _evict_oldest(self._convicted_until_by, self._policy.fingerprints_max)

    def cleared(self, fingerprint: Fingerprint) -> None:
        """Note that it ran to its end and crashed nothing."""
        self._suspicion_by.pop(fingerprint, None)

    def is_suspect(self, now: int, fingerprint: Fingerprint) -> bool:
        """Tell whether it may run only alone."""
        suspicion = self._suspicion_by.get(fingerprint)
        if suspicion is None or suspicion.crashes < 1:
            return False
        if suspicion.until_ms <= now:
            del self._suspicion_by[fingerprint]
            return False
        return True

    def convicted_until(
        self, now: int, fingerprint: Fingerprint
    ) -> int | None:
        """Return until when it is refused, or None."""
        until = self._convicted_until_by.get(fingerprint)
        if until is not None and until <= now:
            del self._convicted_until_by[fingerprint]
            return None
        return until

    def take_new(self) -> list[Conviction]:
        """Return the convictions made here since the last call."""
        new = self._new
        self._new = []
        return new

    def take_new_suspects(self) -> list[Fingerprint]:
        """Return what became suspect here since the last call."""
        new = self._new_suspects
        self._new_suspects = []
        return new


class SuspectQueue:
    """Suspects that wait to run alone, one at a time, small ones first.

    The smallest first: most suspects are innocent neighbours, and this
    order clears the most of them soonest.
    """

    def __init__(self):
        self._by_id: dict[RequestId, TrackedRequest] = {}
        self.running: RequestId | None = None
        self.endpoint: Endpoint | None = None

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, tracked: TrackedRequest) -> None:
        """Let a suspect wait."""
        self._by_id[tracked.request.request_id] = tracked

    def discard(self, request_id: RequestId) -> None:
        """Remove one if it waits here."""
        self._by_id.pop(request_id, None)

    def start(self, tracked: TrackedRequest) -> None:
        """Note that this one runs now."""
        self.discard(tracked.request.request_id)
        self.running = tracked.request.request_id

    def startable(self) -> list[TrackedRequest]:
        """Return who may start, smallest first; nobody while one runs."""
        if self.running is not None:
            return []
        return sorted(self._by_id.values(), key=_size)

    def waiting_for(self, model: ModelId) -> list[TrackedRequest]:
        """Return those that wait for `model`."""
        return [t for t in self._by_id.values() if t.request.model == model]

    def overdue(self, now: int, wait_ms: int) -> list[TrackedRequest]:
        """Return those that waited longer than `wait_ms`."""
        return [
            tracked
            for tracked in self._by_id.values()
            if now - tracked.suspect_since_ms > wait_ms
        ]


def _size(tracked: TrackedRequest) -> int:
    return tracked.request.prompt_tokens + tracked.request.max_tokens


def _evict_oldest(table: dict, limit: int) -> None:
    if len(table) > limit:
        del table[next(iter(table))]
