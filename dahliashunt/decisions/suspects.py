"""Isolation of requests that crash the endpoints that run them.

Load pattern: a request crashes each engine that runs it and is resent by
its caller.

Without it each resend crashes another engine and loses the requests that
run beside it.

Rules: all requests that ran in a crashed engine become suspect. A suspect
runs alone: a crash convicts it, which means that it is refused; completion
clears it. A crash beside other requests is weak evidence and convicts only
at the third, so that one entry lets no request crash more than three
endpoints. Suspicions and convictions are shared between entries, so that a
resend through another entry is isolated or refused too.

A loss of unknown cause counts half a crash, since an agent that dies with
its engine can't report it, while one network failure must not isolate all
requests of a data centre.

Suspects of a model run one at a time on one endpoint, the same for all
entries, shortest job first, which clears most of the innocent ones soonest.
Suspicions and convictions expire, since a new engine version may run the
request.
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
    """A fingerprint that every entry refuses for `for_ms`."""

    fingerprint: Fingerprint
    for_ms: int


@dataclass(slots=True)
class _Suspicion:
    crashes: float
    until_ms: int


class Suspects:
    """Suspect and convicted fingerprints of one entry.

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
        self._suspicions: dict[Fingerprint, _Suspicion] = {}
        self._conviction_ends: dict[Fingerprint, int] = {}
        self._new: list[Conviction] = []
        self._new_suspects: list[Fingerprint] = []

    def crashed(
        self,
        now: int,
        fingerprint: Fingerprint,
        alone: bool,
        weight: float = 1.0,
    ) -> bool:
        """Count a crash in a run; return whether it is now convicted.

        `weight` is below 1 for a loss that may have had other causes; a
        fingerprint is suspect from a sum of 1.
        """
        if self.convicted_until(now, fingerprint) is not None:
            return True
        suspicion = self._suspicions.pop(fingerprint, None)
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
        self._suspicions[fingerprint] = suspicion
        _evict_oldest(self._suspicions, self._policy.fingerprints_max)
        if crashes >= 1:
            self._new_suspects.append(fingerprint)
            del self._new_suspects[: -self._policy.fingerprints_max]
        return False

    def suspect(self, now: int, fingerprint: Fingerprint) -> None:
        """Apply another entry's suspicion, unless there is a record here."""
        if fingerprint not in self._suspicions:
            until_ms = now + self._policy.suspect_for_ms
            self._suspicions[fingerprint] = _Suspicion(1, until_ms)
            _evict_oldest(self._suspicions, self._policy.fingerprints_max)

    def convict(self, now: int, fingerprint: Fingerprint, for_ms: int) -> None:
        """Convict the fingerprint for `for_ms`."""
        self._suspicions.pop(fingerprint, None)
        self._conviction_ends.pop(fingerprint, None)
        self._conviction_ends[fingerprint] = now + for_ms
        _evict_oldest(self._conviction_ends, self._policy.fingerprints_max)

    def cleared(self, fingerprint: Fingerprint) -> None:
        """Remove the suspicion after a completed run."""
        self._suspicions.pop(fingerprint, None)

    def is_suspect(self, now: int, fingerprint: Fingerprint) -> bool:
        """Return whether the fingerprint may run only alone."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.crashes < 1:
            return False
        if suspicion.until_ms <= now:
            del self._suspicions[fingerprint]
            return False
        return True

    def convicted_until(
        self, now: int, fingerprint: Fingerprint
    ) -> int | None:
        """Return the time until which it is refused, or None."""
        until = self._conviction_ends.get(fingerprint)
        if until is not None and until <= now:
            del self._conviction_ends[fingerprint]
            return None
        return until

    def take_new(self) -> list[Conviction]:
        """Return this entry's convictions since the last call."""
        new = self._new
        self._new = []
        return new

    def take_new_suspects(self) -> list[Fingerprint]:
        """Return this entry's new suspects since the last call."""
        new = self._new_suspects
        self._new_suspects = []
        return new


class SuspectQueue:
    """Suspects of all models that wait to run alone, shortest job first."""

    def __init__(self):
        self._by_id: dict[RequestId, TrackedRequest] = {}
        self.running: RequestId | None = None
        self.endpoint: Endpoint | None = None

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, tracked: TrackedRequest) -> None:
        """Add a waiting suspect."""
        self._by_id[tracked.request.request_id] = tracked

    def discard(self, request_id: RequestId) -> None:
        """Remove a waiting suspect, if present."""
        self._by_id.pop(request_id, None)

    def start(self, tracked: TrackedRequest) -> None:
        """Mark a waiting suspect as running."""
        self.discard(tracked.request.request_id)
        self.running = tracked.request.request_id

    def startable(self) -> list[TrackedRequest]:
        """Return suspects in starting order; none while one runs."""
        if self.running is not None:
            return []
        return sorted(self._by_id.values(), key=_size)

    def waiting_for(self, model: ModelId) -> list[TrackedRequest]:
        """Return waiting suspects of `model`."""
        return [t for t in self._by_id.values() if t.request.model == model]

    def overdue(self, now: int, wait_ms: int) -> list[TrackedRequest]:
        """Return suspects that have waited longer than `wait_ms`."""
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
