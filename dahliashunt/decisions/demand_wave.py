"""Forecast of the peak of online demand over the next seconds.

Load pattern
------------
Online demand of a service rises several-fold for seconds and falls again,
often with a steady period. Batch items run longer than a trough.

What goes wrong without it
--------------------------
Items take every slot that a trough leaves idle, and each peak revokes them.

How
---
The share of slots that online requests hold or wait for is sampled and
averaged in bins of `BIN_MS`. Once a second the period is learned: the
shortest lag at which the last half of the history differs least from the
history that long before. A bin is forecast by the mean of the bins one and
two periods before it, and the peak by the largest forecast. Each second's
forecast of the peak is compared with the peak that came. Where the error of
the last `CHECKS` forecasts is above `MAX_ERROR`, nothing is forecast.

Cost: 0.4 ms a second and service, for some 5,000 subtractions; 180 numbers.
"""

from collections import deque
from dataclasses import dataclass
import math
import operator
import statistics

__all__ = ["CHECK_HORIZON_MS", "MAX_ERROR", "DemandWave", "WaveState"]

BIN_MS = 200
"""Length of a bin: two states of each agent, and a tenth of a short peak."""

HISTORY_BINS = 180
"""Bins kept, 36 s: three periods of the longest wave that is learned."""

MIN_PERIOD_BINS = 5
MAX_PERIOD_BINS = 60
"""Longest period, 12 s. A trough that lasts longer than an item needs no
forecast."""

LEARN_BINS = 5
"""Bins between two estimates of the period, 1 s."""

SIMILAR_ERROR_RATIO = 1.5
"""A lag counts as good as the best one up to this ratio of their errors, so
that noise does not make a multiple of the period the best. Lags that are no
multiple have about five times its error."""

CHECK_HORIZON_MS = 4_000
"""Horizon of the forecasts that are compared with what came: about the run
of an item."""

CHECKS = 8
"""Compared forecasts that count: more than one period of a usual wave."""

MIN_CHECKS = 5
"""Compared forecasts without which nothing is forecast."""

ERROR_DEVIATIONS = 2.0
"""Standard deviations of the recent errors that are added to a forecast, so
that most peaks stay below it."""

MAX_ERROR = 0.1
"""Mean error of the forecast peak, as a share of the slots, above which
nothing is forecast. Noise of the arrivals alone gives about 0.03."""


@dataclass(frozen=True, slots=True)
class WaveState:
    """What is known of a wave.

    Attributes
    ----------
    level : float
        Mean share of the slots.
    period_ms : int
        0 while unknown.
    phase_ms : int
        Time since the start of the last rise above the level.
    regularity : float
        1 less the error of the lag as a share of the mean deviation from
        the level, at least 0.
    error : float
        Mean error of the last forecast peaks; 1 while too few were checked.
    """

    level: float
    period_ms: int
    phase_ms: int
    regularity: float
    error: float


_CHECK_BINS = CHECK_HORIZON_MS // BIN_MS


class DemandWave:
    """Online demand of one service, or of one replica.

    Examples
    --------
    >>> wave = DemandWave()
    >>> for now_ms in range(0, 30_000, 100):
    ...     wave.observe(now_ms, 0.6 if now_ms % 5_000 > 3_000 else 0.2)
    >>> wave.period_ms, wave.peak(4_000), wave.peak(1_000)
    (5000, 0.6, 0.6)
    >>> for now_ms in range(30_000, 30_600, 100):
    ...     wave.observe(now_ms, 0.2)
    >>> round(wave.peak(1_000), 2), wave.peak(4_000)
    (0.2, 0.6)
    """

    def __init__(self):
        self._clear()

    def _clear(self):
        self._bins: deque[float] = deque(maxlen=HISTORY_BINS)
        self._bin = None
        self._samples: list[float] = []
        self._period = 0
        self._regularity = 0.0
        # Pairs of the bins still to come and the forecast peak.
        self._unchecked: deque[tuple[int, float]] = deque()
        self._errors: deque[float] = deque(maxlen=CHECKS)
        self._margin = 0.0
        # Largest forecast up to each bin from the last one on.
        self._peaks: list[float] = []

    def observe(self, now_ms: int, share: float) -> None:
        """Record the share of the slots that online requests need now.

        After a gap of a second or more, everything is learned anew.
        """
        number = now_ms // BIN_MS
        if self._bin is not None and number - self._bin > LEARN_BINS:
            self._clear()
        if self._bin is None:
            self._bin = number
        while self._bin < number:
            self._close_bin()
        self._samples.append(share)

    def _close_bin(self):
        if self._samples:
            self._bins.append(statistics.fmean(self._samples))
        else:
            self._bins.append(self._bins[-1])
        self._samples.clear()
        self._bin += 1
        self._peaks = [self._bins[-1]]
        self._check()
        if self._bin % LEARN_BINS == 0:
            self._learn()
            if self._period:
                peak = self._forecast_peak(_CHECK_BINS)
                self._unchecked.append((self._bin, peak))

    def _check(self):
        """Compare the forecast whose horizon has just passed."""
        if not self._unchecked:
            return
        made_bin, forecast = self._unchecked[0]
        if self._bin - made_bin < _CHECK_BINS:
            return
        self._unchecked.popleft()
        came = max(list(self._bins)[-_CHECK_BINS:])
        self._errors.append(came - forecast)
        shortfall = statistics.fmean(self._errors)
        shortfall += ERROR_DEVIATIONS * statistics.pstdev(self._errors)
        self._margin = max(0.0, shortfall)

    def _learn(self):
        bins = list(self._bins)
        window = len(bins) // 2
        longest = min(window, MAX_PERIOD_BINS)
        recent = bins[-window:]
        errors = {
            lag: _mean_difference(recent, bins[-window - lag : -lag])
            for lag in range(MIN_PERIOD_BINS, longest + 1)
        }
        if not errors:
            return
        least = min(errors.values()) * SIMILAR_ERROR_RATIO
        self._period = _first_minimum(errors, least)
        level = statistics.fmean(recent)
        spread = statistics.fmean(abs(each - level) for each in recent)
        error = errors[self._period]
        self._regularity = max(0.0, 1 - error / spread) if spread else 0.0

    def _forecast_peak(self, horizon_bins):
        """Return the largest forecast of the next bins, from the last on.

        One period contains every phase, so that no more bins are needed.
        """
        last = min(horizon_bins, self._period)
        while len(self._peaks) <= last:
            forecast = self._forecast(len(self._peaks))
            self._peaks.append(max(self._peaks[-1], forecast))
        return self._peaks[last]

    def _forecast(self, ahead):
        """Return the forecast of the bin `ahead` of the last one."""
        bins = self._bins
        lag = self._period - ahead + 1
        if lag + self._period > len(bins):
            return bins[-lag]
        return (bins[-lag] + bins[-lag - self._period]) / 2

    def peak(self, horizon_ms: int) -> float | None:
        """Return the largest share within `horizon_ms`; None if unknown.

        It includes the mean shortfall of the recent forecasts and
        `ERROR_DEVIATIONS` of it.
        """
        if self.error > MAX_ERROR:
            return None
        return self._forecast_peak(horizon_ms // BIN_MS + 1) + self._margin

    @property
    def period_ms(self) -> int:
        """Learned period; 0 while unknown."""
        return self._period * BIN_MS

    @property
    def error(self) -> float:
        """Mean error of the last forecast peaks, as a share of the slots."""
        if len(self._errors) < MIN_CHECKS:
            return 1.0
        return sum(map(abs, self._errors)) / len(self._errors)

    def state(self) -> WaveState:
        """Return what is known, for metrics and logs."""
        level = statistics.fmean(self._bins) if self._bins else 0.0
        return WaveState(
            level=level,
            period_ms=self.period_ms,
            phase_ms=self._since_rise(level) * BIN_MS,
            regularity=self._regularity,
            error=self.error,
        )

    def _since_rise(self, level):
        bins = list(self._bins)
        for age in range(1, len(bins)):
            if bins[-age] > level >= bins[-age - 1]:
                return age
        return 0


def _mean_difference(values, others):
    # `statistics.fmean` of a generator gives the same value and takes 1.7
    # times as long, for each of 56 lags a second.
    differences = map(operator.sub, values, others)
    return math.fsum(map(abs, differences)) / len(values)


def _first_minimum(errors, limit):
    """Return the first lag below `limit` at which the errors turn up."""
    first = next(lag for lag, error in errors.items() if error <= limit)
    while errors.get(first + 1, limit + 1) < errors[first]:
        first += 1
    return first
