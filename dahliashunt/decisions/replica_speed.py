"""Speed of one replica, observed from its successive load reports.

Load pattern
------------
An agent reads its replica's report every 100 ms: the id of each running
request, its tokens in memory and its events. Requests begin and end between
reports. Some replicas turn 2.5 times as slow for half a second, some for
minutes, and a replica that no one selects runs nothing that could be
observed.

What goes wrong without it
--------------------------
A speed from configuration or from ended requests alone is seconds late. A
mean over all runs is spoilt by each run that reads its prompt in the
interval, and a speed that stays as last observed keeps a replica that has
recovered without requests for ever.

How
---
A run that has produced events in both of two reports gives one sample of the
time per token; the median over the runs is the interval's sample. A recent
average follows the samples with `RECENT_HALF_LIFE_MS`, a lasting one with
`LASTING_HALF_LIFE_MS`. While nothing runs, the recent one returns to the
lasting one with `RECOVERY_HALF_LIFE_MS`, so that a replica which was slow for
a moment is tried again soon, and one that is always slow is not. The lasting
one becomes unknown `FORGET_MS` after the last sample. The published value
changes only by more than the samples' spread, so that it does not cause a
message to every entry at each report.

Reading speed comes from runs without events in both reports, which only
prompts of thousands of tokens are.

Complexity: linear in the running requests, per report.
"""

from dataclasses import dataclass
from dataclasses import field
import statistics

__all__ = ["ReplicaSpeed", "RunProgress"]

RECENT_HALF_LIFE_MS = 80
"""Half-life in ms of the recent time per token: two reports of a slow phase
of 600 ms make up four fifths of it."""

LASTING_HALF_LIFE_MS = 10_000
"""Half-life in ms of the lasting time per token, well above slow phases."""

RECOVERY_HALF_LIFE_MS = 400
"""Half-life in ms with which the recent value returns to the lasting one
while nothing is observed."""

FORGET_MS = 30_000
"""Time in ms without a sample after which the speed is unknown."""

MAX_INTERVAL_MS = 1_000
"""Longest interval in ms between two reports that are compared."""

MIN_INTERVAL_MS = 20
"""Shortest interval in ms that is compared: shorter ones follow a late report
and hold too few tokens."""

PUBLISHED_STEP = 0.1
"""Least relative change of the published value."""


@dataclass(frozen=True, slots=True)
class RunProgress:
    """Progress of one running request: tokens in memory, and events sent."""

    tokens: int
    events: int


@dataclass(slots=True)
class ReplicaSpeed:
    """Observed speed of one replica.

    Attributes
    ----------
    token_us : int
        Published time per token in microseconds; 0 if unknown.
    read_tokens_per_ms : float
        Published reading speed; 0 if unknown.
    spread_us : float
        Typical difference between runs of one interval.

    Examples
    --------
    >>> speed = ReplicaSpeed()
    >>> for step in range(4):
    ...     run = RunProgress(400 + 50 * step, 1 + 50 * step)
    ...     speed.report({"r": run}, 100 * step)
    >>> speed.token_us
    2000
    """

    token_us: int = 0
    read_tokens_per_ms: float = 0.0
    spread_us: float = 0.0
    _recent_us: float = 0.0
    _lasting_us: float = 0.0
    _read: float = 0.0
    _sampled_ms: int = 0
    _reported_ms: int | None = None
    _run_by_id: dict[str, RunProgress] = field(default_factory=dict)

    def report(self, run_by_id: dict[str, RunProgress], now_ms: int) -> None:
        """Take the runs of a report that was read at `now_ms`."""
        before, self._run_by_id = self._run_by_id, run_by_id
        reported_ms, self._reported_ms = self._reported_ms, now_ms
        if reported_ms is None:
            return
        interval_ms = now_ms - reported_ms
        if interval_ms < MIN_INTERVAL_MS:
            # Keeps the earlier report as the base of the next interval.
            self._run_by_id, self._reported_ms = before, reported_ms
            return
        producing, reading = [], []
        if interval_ms <= MAX_INTERVAL_MS:
            producing, reading = _tokens_gained(before, run_by_id)
        if producing:
            self._sample(producing, interval_ms, now_ms)
        else:
            self._relax(interval_ms, now_ms)
        if reading:
            self._sample_reading(sum(reading) / interval_ms, interval_ms)
        self._publish()

    def _sample(self, gained, interval_ms, now_ms):
        rates_us = [1000 * interval_ms / tokens for tokens in gained]
        sample_us = statistics.median(rates_us)
        spread_us = statistics.median(
            abs(rate_us - sample_us) for rate_us in rates_us
        )
        if not self._lasting_us:
            self._recent_us = self._lasting_us = sample_us
            self.spread_us = spread_us
        recent = _weight(interval_ms, RECENT_HALF_LIFE_MS)
        lasting = _weight(interval_ms, LASTING_HALF_LIFE_MS)
        self._recent_us += recent * (sample_us - self._recent_us)
        self._lasting_us += lasting * (sample_us - self._lasting_us)
        self.spread_us += recent * (spread_us - self.spread_us)
        self._sampled_ms = now_ms

    def _relax(self, interval_ms, now_ms):
        if now_ms - self._sampled_ms > FORGET_MS:
            self._recent_us = self._lasting_us = 0.0
            return
        weight = _weight(interval_ms, RECOVERY_HALF_LIFE_MS)
        self._recent_us += weight * (self._lasting_us - self._recent_us)

    def _sample_reading(self, sample, interval_ms):
        weight = _weight(interval_ms, RECENT_HALF_LIFE_MS)
        if not self._read:
            self._read = sample
        self._read += weight * (sample - self._read)

    def _publish(self):
        change_us = abs(self._recent_us - self.token_us)
        if change_us > max(PUBLISHED_STEP * self.token_us, self.spread_us):
            self.token_us = round(self._recent_us)
        published = self.read_tokens_per_ms
        if abs(self._read - published) > PUBLISHED_STEP * published:
            self.read_tokens_per_ms = round(self._read, 1)


def _tokens_gained(before, run_by_id):
    """Return the tokens gained by producing runs, and by reading ones."""
    producing, reading = [], []
    for run_id, run in run_by_id.items():
        previous = before.get(run_id)
        if previous is None or run.tokens <= previous.tokens:
            continue
        if previous.events > 0:
            producing.append(run.tokens - previous.tokens)
        elif run.events == 0:
            reading.append(run.tokens - previous.tokens)
    return producing, reading


def _weight(interval_ms, half_life_ms):
    return 1 - 0.5 ** (interval_ms / half_life_ms)
