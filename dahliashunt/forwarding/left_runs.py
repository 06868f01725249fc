"""Runs that this entry left while their replicas may still work on them.

An entry that gives a run up closes its connection. A replica that runs on and
crashes afterwards breaks no connection of that run, so that the crash is told
by the end of the replica's incarnation.
"""

import collections
from dataclasses import dataclass

from dahliashunt.forwarding.replicas import Replica
from dahliashunt.ports import Clock

__all__ = ["LeftRun", "LeftRuns"]

FOLLOWED_MS = 10_000
"""Time for which a run is followed: a crash some seconds after its begin, and
then the time after which the list drops a replica."""

MAX_RUNS = 2_000
"""Runs followed at once; the oldest are dropped first."""


@dataclass(slots=True)
class LeftRun:
    """A run that was left.

    Attributes
    ----------
    permit : RunPermit
    request_id : str
    replica : Replica
    left_ms : int
    is_decided : bool
        Whether its trial, if it is one, holds up others no more.
    """

    permit: object
    request_id: str
    replica: Replica
    left_ms: int
    is_decided: bool


class LeftRuns:
    """Follows runs that were left, until their replicas can have ended.

    Parameters
    ----------
    clock : Clock
    has_ended : callable
        Tells whether a replica's incarnation has ended.
    is_leaving : callable
        Tells whether a replica is drained, so that its end is no crash.
    """

    def __init__(
        self,
        clock: Clock,
        has_ended=lambda replica: False,
        is_leaving=lambda replica: False,
    ):
        self._clock = clock
        self._has_ended = has_ended
        self._is_leaving = is_leaving
        self._runs: collections.deque[LeftRun] = collections.deque(
            maxlen=MAX_RUNS
        )

    def __len__(self):
        return len(self._runs)

    def add(self, permit, request_id: str, replica: Replica) -> None:
        """Follow a run that is left now."""
        now_ms = self._clock.now_ms()
        is_decided = not permit.is_trial
        run = LeftRun(permit, request_id, replica, now_ms, is_decided)
        self._runs.append(run)

    def take_at(self, incarnation: tuple[str, int]) -> list[LeftRun]:
        """Remove and return the runs at an incarnation that has ended."""
        return self._take(lambda run: run.replica.incarnation == incarnation)

    def take_crashed(self) -> list[LeftRun]:
        """Remove and return the runs whose replicas have ended.

        Those at drained replicas, and those of long ago, are dropped.
        """
        self._take(lambda run: self._is_leaving(run.replica))
        crashed = self._take(lambda run: self._has_ended(run.replica))
        oldest_ms = self._clock.now_ms() - FOLLOWED_MS
        self._take(lambda run: run.left_ms < oldest_ms)
        return crashed

    def undecided(self) -> list[LeftRun]:
        """Return the runs whose trials may hold up others."""
        return [run for run in self._runs if not run.is_decided]

    def _take(self, is_taken):
        taken = [run for run in self._runs if is_taken(run)]
        for run in taken:
            self._runs.remove(run)
        return taken
