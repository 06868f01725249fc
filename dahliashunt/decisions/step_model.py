"""Online estimate of an engine's step time from its token streams.

Load pattern: the step time depends on the number of running streams and their
KV cache, and differs by model and machine.

Without an estimate the gate either leaves capacity idle or stretches the gaps
between online tokens.

`StepModel` fits ``step = base + a * running + b * kv / 1000`` by recursive
least squares with forgetting, and the prefill cost per token as a ratio of
sums. Samples come from one stream, the leader: all streams of a continuous
batch advance together. Errors are clipped, so that a pause of the agent is
one outlier, and the covariance is bounded by the prior, so that it doesn't
grow during hours of constant load.

References
----------
L. Ljung, System Identification, 1999, section 11.2 (recursive least
squares with forgetting). P. Huber, Robust estimation of a location
parameter, Ann. Math. Statist. 35 (1964). G.-I. Yu et al., Orca, OSDI 2022
(continuous batching); A. Agrawal et al., Sarathi-Serve, OSDI 2024.
"""

from dataclasses import dataclass

from dahliashunt.decisions.streams import Occupancy
from dahliashunt.ids import AttemptId

__all__ = ["StepModel", "StepObserver"]

# Halves a sample's weight in about 1400 steps: follows a change of model and
# averages the quantization of the millisecond clock.
_FORGETTING_FACTOR = 0.9995
# Coefficients base, a and b, in ms, and their variances.
_PRIOR = (15.0, 0.4, 0.1)
_PRIOR_COVARIANCE = (50.0, 0.05, 0.05)
# Errors are clipped to this multiple of their mean (Huber): a pause of the
# agent looks like one long step.
_MAX_ERROR_RATIO = 4.0
_ERROR_WEIGHT = 0.02
_MIN_ERROR_MS = 0.5
_MIN_STEP_MS = 1.0
_PREFILL_PRIOR_MS = 0.05
_PREFILL_PRIOR_TOKENS = 200.0
_PREFILL_FORGETTING_FACTOR = 0.98


@dataclass(slots=True)
class _Prefill:
    """Sums whose ratio is the prefill cost per token."""

    excess_ms: float = _PREFILL_PRIOR_MS * _PREFILL_PRIOR_TOKENS
    tokens: float = _PREFILL_PRIOR_TOKENS


class StepModel:
    """Step time as a linear function of running streams and KV tokens.

    Examples
    --------
    >>> model = StepModel()
    >>> for n in range(400):
    ...     running = 1 + n % 40
    ...     model.observe(20 + 0.5 * running, running, 0)
    >>> round(model.predict(30, 0))
    35
    """

    def __init__(self):
        self._theta = list(_PRIOR)
        self._covariance = [
            [c if i == j else 0.0 for j in range(3)]
            for i, c in enumerate(_PRIOR_COVARIANCE)
        ]
        self._prefill = _Prefill()
        self._mean_abs_error = 5.0
        self.samples = 0

    def predict(self, running: float, kv_tokens: float) -> float:
        """Return the step time in ms with `running` streams decoding."""
        base, per_stream, per_kv = self._theta
        step = base + per_stream * running + per_kv * kv_tokens / 1000
        return max(_MIN_STEP_MS, step)

    def predict_without_batch(
        self, occupancy: Occupancy, step_ms: float
    ) -> float:
        """Return the step time in ms of the online streams without batch.

        With shorter steps fewer online streams run at a time, so that the
        online part of the step scales with it:
        ``alone = base + online * alone / step``.
        """
        base = self.predict(0, 0)
        online = self.predict(occupancy.online, occupancy.kv_online) - base
        return base * step_ms / max(step_ms - online, 0.2 * base, 1.0)

    @property
    def per_stream_ms(self) -> float:
        """Step time in ms added by each running stream."""
        return max(0.0, self._theta[1])

    @property
    def per_kv_ms(self) -> float:
        """Step time in ms added by each thousand KV tokens."""
        return max(0.0, self._theta[2])

    @property
    def prefill_ms_per_token(self) -> float:
        """Step time in ms added by each prompt token prefilled in it."""
        return max(0.0, self._prefill.excess_ms / self._prefill.tokens)

    def observe(self, step_ms: float, running: int, kv_tokens: int) -> None:
        """Update the estimate from one step without prefill."""
        x = (1.0, float(running), kv_tokens / 1000)
        predicted = self.predict(running, kv_tokens)
        error = self._clip_error(step_ms - predicted)
        p = self._covariance
        px = [r[0] * x[0] + r[1] * x[1] + r[2] * x[2] for r in p]
        denominator = (
            _FORGETTING_FACTOR + x[0] * px[0] + x[1] * px[1] + x[2] * px[2]
        )
        theta = self._theta
        for i in range(3):
            gain = px[i] / denominator
            # Coefficients aren't clamped at zero: while streams and KV are
            # correlated, clamping one makes the others diverge.
            theta[i] += gain * error
            row = p[i]
            for j in range(3):
                row[j] = (row[j] - gain * px[j]) / _FORGETTING_FACTOR
        self._bound_covariance()
        self.samples += 1

    def observe_prefill(self, excess_ms: float, tokens: int) -> None:
        """Update the prefill cost: `tokens` prompt tokens took `excess_ms`."""
        sums = self._prefill
        sums.excess_ms = (
            sums.excess_ms * _PREFILL_FORGETTING_FACTOR + excess_ms
        )
        sums.tokens = sums.tokens * _PREFILL_FORGETTING_FACTOR + tokens

    def _clip_error(self, error: float) -> float:
        mean_error = self._mean_abs_error
        size = min(abs(error), 2 * _MAX_ERROR_RATIO * mean_error)
        mean_error += _ERROR_WEIGHT * (size - mean_error)
        self._mean_abs_error = max(_MIN_ERROR_MS, mean_error)
        bound = _MAX_ERROR_RATIO * mean_error
        return max(-bound, min(bound, error))

    def _bound_covariance(self) -> None:
        # Without excitation (hours of constant load) forgetting inflates the
        # covariance until one outlier upsets the model. Rows and columns are
        # scaled alike, which keeps the matrix positive definite.
        p = self._covariance
        for i, most in enumerate(_PRIOR_COVARIANCE):
            if p[i][i] <= most:
                continue
            scale = (most / p[i][i]) ** 0.5
            for j in range(3):
                p[i][j] *= scale
                p[j][i] *= scale


class StepObserver:
    """Converts token arrivals into samples of a `StepModel`.

    The excess of steps with prefill over the predicted step is summed until
    no prefill is pending, so that the prefill cost doesn't depend on how
    the engine splits a prompt over steps.
    """

    def __init__(self, model: StepModel):
        self._model = model
        self._leader: AttemptId | None = None
        self._last_ms = 0
        self._pending_prefills = 0
        self._started_in_step = 0
        self._prefill_since_ms = 0
        self._excess_ms = 0.0
        self._prefilled = 0

    def started(self, now: int) -> None:
        """Record that a stream was sent to the engine."""
        if self._pending_prefills == 0:
            self._prefill_since_ms = now
        self._pending_prefills += 1
        self._started_in_step += 1

    def abandoned(self) -> None:
        """Record that a stream ended before its first token."""
        self._pending_prefills -= 1
        self._started_in_step = min(
            self._started_in_step, self._pending_prefills
        )
        self._excess_ms = 0.0
        self._prefilled = 0

    def first_token(
        self,
        now: int,
        attempt_id: AttemptId,
        prefill_tokens: int,
        running: int,
        kv: int,
    ) -> None:
        """Record a stream's first token."""
        self._pending_prefills -= 1
        self._started_in_step = min(
            self._started_in_step, self._pending_prefills
        )
        self._prefilled += prefill_tokens
        if self._leader is None:
            self._excess_ms += (
                now - self._prefill_since_ms - self._model.predict(running, kv)
            )
            self._set_leader(now, attempt_id)

    def tokens(
        self,
        now: int,
        attempt_id: AttemptId,
        count: int,
        occupancy: Occupancy,
    ) -> float | None:
        """Record later tokens; return the step in ms if from the leader."""
        if self._leader is None:
            self._set_leader(now, attempt_id)
            return None
        if attempt_id != self._leader:
            return None
        elapsed = now - self._last_ms
        self._last_ms = now
        # The engine admits a stream at the next step boundary, so streams
        # sent during this step aren't part of it.
        in_step = self._pending_prefills - self._started_in_step
        self._started_in_step = 0
        if in_step > 0 or self._prefilled:
            predicted = self._model.predict(occupancy.running, occupancy.kv)
            self._excess_ms += elapsed - count * predicted
            self._learn_prefill()
        else:
            self._model.observe(
                elapsed / count, occupancy.decoding, occupancy.kv_decoding
            )
        return elapsed / count

    def stopped_decoding(self, attempt_id: AttemptId) -> None:
        """Record that a stream left the engine."""
        if attempt_id == self._leader:
            self._leader = None

    def _set_leader(self, now: int, attempt_id: AttemptId) -> None:
        self._leader = attempt_id
        self._last_ms = now

    def _learn_prefill(self) -> None:
        if self._pending_prefills == 0 and self._prefilled:
            self._model.observe_prefill(self._excess_ms, self._prefilled)
            self._excess_ms = 0.0
            self._prefilled = 0
