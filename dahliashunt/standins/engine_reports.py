"""Load reports and cache events of a stand-in engine, late as in life."""

from collections import deque
from dataclasses import dataclass
import random

from dahliashunt.ports.clock import Clock
from dahliashunt.ports.engine import CacheEvent
from dahliashunt.ports.engine import EngineLoad
from dahliashunt.standins.engine_core import EngineCore

__all__ = ["CacheEventLog", "LoadReporter"]

_KEPT_EVENTS = 20_000
_MAX_EVENTS = 1000


class LoadReporter:
    """Load reports that are as old as the lag, or older.

    Parameters
    ----------
    core : EngineCore
    clock : Clock
    lag_ms : int
    """

    def __init__(self, core: EngineCore, clock: Clock, lag_ms: int):
        self._core = core
        self._clock = clock
        self._lag_ms = lag_ms
        self._taken = deque()

    def sample(self):
        """Take a report, to be published once it is old enough."""
        now_ms = self._clock.now_ms()
        self._taken.append((now_ms, self._core.model.load_now()))
        while len(self._taken) > 1 and self._taken[1][0] <= self._seen_ms():
            self._taken.popleft()

    def latest(self) -> EngineLoad:
        """Return the newest report that is old enough to be published."""
        self.sample()
        taken_ms, load = self._taken[0]
        return EngineLoad(
            running=load.running,
            waiting=load.waiting,
            kv_used_tokens=load.kv_used_tokens,
            kv_total_tokens=load.kv_total_tokens,
            step_ms=load.step_ms,
            age_ms=self._clock.now_ms() - taken_ms,
        )

    def _seen_ms(self):
        return self._clock.now_ms() - self._lag_ms


@dataclass(frozen=True, slots=True)
class _Logged:
    due_ms: int
    event: CacheEvent


class CacheEventLog:
    """Events of the prefix cache, published late and with gaps.

    Parameters
    ----------
    clock : Clock
    rng : random.Random
        Decides which events are lost.
    lag_ms : int
    loss : float
        Share of events that are lost.
    """

    def __init__(
        self, clock: Clock, rng: random.Random, lag_ms: int, loss: float
    ):
        self._clock = clock
        self._rng = rng
        self._lag_ms = lag_ms
        self._loss = loss
        self._seq = 0
        self._logged = deque(maxlen=_KEPT_EVENTS)

    def take(self, core: EngineCore):
        """Log what changed in the engine's cache since the last time."""
        changes = core.model.cache.take_changes()
        due_ms = self._clock.now_ms() + self._lag_ms
        for prefix, cached in changes:
            self._seq += 1
            if self._rng.random() >= self._loss:
                event = CacheEvent(self._seq, prefix, cached)
                self._logged.append(_Logged(due_ms, event))

    def after(self, seq: int) -> list[CacheEvent]:
        """Return the next events that are due, the oldest first."""
        now_ms = self._clock.now_ms()
        found = []
        for logged in self._logged:
            if logged.due_ms > now_ms or len(found) >= _MAX_EVENTS:
                break
            if logged.event.seq > seq:
                found.append(logged.event)
        return found
