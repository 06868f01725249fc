"""Settings of the agent's decisions, with one profile per deployment.

Notes
-----
The targets are the 95th percentiles of the time to first token and of the gap
between tokens. The profiles differ in how much of them batch may use:

`THROUGHPUT_FIRST` (Poppenhersteld) uses all of it: batch may stretch the step
up to `step_margin` of the gap target.

`HARM_FIRST` (Breakyard) bounds the growth of the tail of the gaps over online
work without batch.
"""

from dataclasses import dataclass

__all__ = ["HARM_FIRST", "PROFILES", "THROUGHPUT_FIRST", "AgentPolicy"]


@dataclass(frozen=True, slots=True)
class AgentPolicy:
    """Settings of `AgentDecisions`.

    Attributes
    ----------
    gate : str
        Name in `dahliashunt.decisions.gates.GATES`.
    token_gap_target_ms, first_token_target_ms : float
        Online targets at the 95th percentile.
    step_margin : float
        Fraction of the gap target that the predicted step may reach.
    over_share : float
        Fraction of the gaps that may exceed the target, including those
        caused by online work.
    least_over_share : float
        Fraction of the gaps that batch may push over the target even if
        online work alone uses up `over_share`.
    stall_steps : int
        Window, in steps, of the stalls by online prompts.
    tail_growth : float or None
        Largest relative growth by batch of the 95th percentile of gaps;
        None for no bound but the target.
    idle_step_ms, quiet_step_ms : float
        Bounds of the step while no online stream runs, before and after
        `quiet_ms`.
    quiet_ms : int
        Time without online streams after which the engine counts as quiet.
    prefill_stall_ms, idle_prefill_ms, quiet_prefill_ms : float
        Longest predicted stall by concurrent batch prefills: beside online
        streams, without them, and when quiet.
    long_stall_ms, longest_stall_ms : float
        Longest predicted stall beside online streams in a step that may
        exceed the target: by several prompts, and by a single one.
    max_running : int
        Most streams to run in the engine; lowered when it reports a queue.
    reserve_slots : int
        Slots that batch leaves free for online requests.
    kv_total_tokens : int
        KV memory, until the engine reports it.
    kv_reserve : float
        Fraction of KV memory that batch leaves free.
    resume_mark, stop_mark : float
        Fractions of the step bound below which batch starts, and above
        which it is preempted.
    engine_resumes, engine_exports_kv : bool
        Whether the engine can resume a preempted stream, and export its
        KV cache.
    resume_recomputes : bool
        Whether a resumed stream's KV cache is recomputed.
    kv_move_ms_per_1000 : float
        Time to move a thousand tokens of KV cache out or in.
    buffer_items : int
        Fewest batch items to hold ready.
    refill_ms : float
        Time that a refill of batch items takes.
    max_held_items : int
        Most batch items to hold; at most half may have long prompts.
    long_retry_ms : int
        Retry-After of a refused item with a long prompt.
    fixed_batch_slots : int
        Batch slots of the ``fixed_split`` baseline.
    open_batch_items : int
        Batch items in flight of the ``open`` baseline.
    max_waiting_online : int
        Most online streams that may wait.
    max_retry_after_ms : int
        Longest Retry-After.
    """

    gate: str = "idle_capacity"
    token_gap_target_ms: float = 69.0
    first_token_target_ms: float = 760.0
    step_margin: float = 1.0
    over_share: float = 0.035
    least_over_share: float = 0.005
    stall_steps: int = 128
    tail_growth: float | None = None
    idle_step_ms: float = 100.0
    quiet_step_ms: float = 100.0
    quiet_ms: int = 10_000
    prefill_stall_ms: float = 30.0
    idle_prefill_ms: float = 120.0
    quiet_prefill_ms: float = 120.0
    long_stall_ms: float = 100.0
    longest_stall_ms: float = 250.0
    max_running: int = 64
    reserve_slots: int = 1
    kv_total_tokens: int = 100_000
    kv_reserve: float = 0.04
    resume_mark: float = 0.97
    stop_mark: float = 1.05
    engine_resumes: bool = True
    engine_exports_kv: bool = True
    resume_recomputes: bool = True
    kv_move_ms_per_1000: float = 1.0
    buffer_items: int = 4
    max_held_items: int = 24
    long_retry_ms: int = 10_000
    refill_ms: float = 50.0
    fixed_batch_slots: int = 32
    open_batch_items: int = 64
    max_waiting_online: int = 256
    max_retry_after_ms: int = 30_000


THROUGHPUT_FIRST = AgentPolicy()
"""Profile that favours batch throughput (Poppenhersteld)."""

HARM_FIRST = AgentPolicy(
    tail_growth=0.0,
    over_share=0.05,
    least_over_share=0.0005,
    stall_steps=512,
    idle_step_ms=30.0,
    prefill_stall_ms=10.0,
    idle_prefill_ms=15.0,
    long_stall_ms=40.0,
    longest_stall_ms=25.0,
    reserve_slots=4,
    kv_reserve=0.08,
)
"""Profile that favours online latency (Breakyard)."""

PROFILES = {
    "throughput_first": THROUGHPUT_FIRST,
    "harm_first": HARM_FIRST,
}
"""Profiles by their name in the settings."""
