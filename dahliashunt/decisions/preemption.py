"""Selection of the batch streams to preempt for online work.

Load pattern: an online burst arrives while batch fills the engine.

Without preemption (``no_preemption``) the burst waits until batch answers end.
Where every preemption is a restart, batch loses the work done so far.

The loss of a preemption is the engine time to repeat: a restart repeats prompt
and answer, a resume recomputes the KV cache, an export moves it out and in.
Streams with the least loss per freed resource go first; each earlier
preemption of a stream adds its loss once more, so that repeated bursts don't
hit the same stream each time. The cost of moving KV cache,
`AgentPolicy.kv_move_ms_per_1000`, is set by the deployment.

Notes
-----
Greedy by loss per freed resource (the knapsack heuristic); O(n log n) in the
running batch streams.

References
----------
G. Dantzig, Discrete-variable extremum problems, Oper. Res. 5 (1957).
W. Kwon et al., PagedAttention, SOSP 2023, section 4.5 (swap against
recompute).
"""

from collections.abc import Iterable

from dahliashunt.decisions.agent_policy import AgentPolicy
from dahliashunt.decisions.events import Preempt
from dahliashunt.decisions.events import PreemptMode
from dahliashunt.decisions.gate import Shortfall
from dahliashunt.decisions.step_model import StepModel
from dahliashunt.decisions.streams import Stream

__all__ = ["cheapest_stop", "choose_stops", "resume_prefill"]


def resume_prefill(stream: Stream, policy: AgentPolicy) -> int:
    """Return the tokens that the engine prefills at the next start."""
    if stream.how is PreemptMode.EXPORT_KV:
        return 0
    if stream.how is PreemptMode.RESUME:
        return stream.kv_tokens if policy.resume_recomputes else 0
    return stream.work.prompt_tokens


def cheapest_stop(
    stream: Stream, policy: AgentPolicy, model: StepModel
) -> tuple[float, PreemptMode]:
    """Return the least loss in ms of engine time, and its preemption mode."""
    per_prefill = model.prefill_ms_per_token
    prompt_ms = stream.work.prompt_tokens * per_prefill
    done_ms = stream.generated_tokens * model.per_stream_ms
    options = [(prompt_ms + done_ms, PreemptMode.RESTART)]
    if policy.engine_resumes:
        again = stream.kv_tokens * per_prefill
        cost = again if policy.resume_recomputes else 0.0
        options.append((cost, PreemptMode.RESUME))
    if policy.engine_exports_kv and stream.tokens_since_start > 0:
        moved = stream.kv_tokens * policy.kv_move_ms_per_1000 / 1000
        options.append((moved, PreemptMode.EXPORT_KV))
    return min(options, key=lambda option: option[0])


def choose_stops(
    running: Iterable[Stream],
    shortfall: Shortfall,
    policy: AgentPolicy,
    model: StepModel,
) -> list[Preempt]:
    """Choose batch streams whose preemption frees the shortfall.

    Parameters
    ----------
    running : iterable of Stream
        Batch streams in the engine that are not being stopped yet.
    shortfall : Shortfall
        Resources to free; all streams are chosen if they don't suffice.

    Returns
    -------
    list of Preempt
        Preemptions, least loss per freed resource first.
    """
    ranked = sorted(
        (_rank(stream, shortfall, policy, model) for stream in running),
        key=lambda entry: entry[0],
    )
    stops = []
    slots, kv, step = shortfall.slots, shortfall.kv_tokens, shortfall.step_ms
    for _, how, stream in ranked:
        if slots <= 0 and kv <= 0 and step <= 0:
            break
        stops.append(Preempt(stream.work.attempt_id, how))
        slots -= 1
        kv -= stream.kv_tokens
        step -= _step_freed(stream, model)
    return stops


def _rank(stream, shortfall, policy, model):
    loss, how = cheapest_stop(stream, policy, model)
    freed = 1.0
    if shortfall.kv_tokens > 0:
        freed = float(stream.kv_tokens)
    elif shortfall.step_ms > 0:
        freed = _step_freed(stream, model)
    rank = loss * (1 + stream.preemptions) / max(freed, 1e-6)
    return rank, how, stream


def _step_freed(stream, model):
    per_kv = model.per_kv_ms * stream.kv_tokens / 1000
    return max(model.per_stream_ms + per_kv, 0.01)
