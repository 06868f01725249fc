"""Settings of the agent's decisions, with one profile a deployment.

Every threshold of the gate, of preemption and of the online wait is here,
so that a deployment changes one without touching the code.

Notes
-----
The two targets are the agreed ones: 95 of 100 first tokens within 0.76 s,
95 of 100 gaps between tokens within 69 ms. What differs between the
deployments is how much of these a batch stream may use up:

`THROUGHPUT_FIRST` (Poppenhersteld, whose archives fill the night) spends
the whole allowance: batch may stretch the step up to `step_margin` of the
target, whatever the online streams would see without it.

`HARM_FIRST` (Breakyard, whose foremen wait at a blocked bay) bounds the
tail of the gaps to a small growth over what online work has alone.
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
        Part of the gap target that the predicted step may reach.
    over_share : float
        Part of the gaps that may exceed the target, those by online work
        included.
    least_over_share : float
        Part of the gaps that batch may push over the target even when
        online work alone has its share: else a bad minute ends all batch.
    stall_steps : int
        Steps over which the stalls by online prompts are kept: fewer
        forget a burst sooner, more tell a rare stall from none.
    tail_growth : float or None
        Most growth of the 95th percentile of gaps by batch over what
        online work alone has; None for no bound but the target.
    idle_step_ms, quiet_step_ms : float
        Bounds of the step while no online stream runs, before and after
        it was so for `quiet_ms`: the next online request waits for the
        running step to end, in any case.
    quiet_ms : int
        See there.
    prefill_stall_ms, idle_prefill_ms, quiet_prefill_ms : float
        Most predicted stall by batch prompts that are being prefilled at
        a time: beside online streams, without, and when it is quiet.
    long_stall_ms, longest_stall_ms : float
        Most predicted stall beside online in the few steps that may
        exceed the target: by prompts together, and by one that is longer.
    max_running : int
        Most streams that the engine runs; lowered when it reports waiting.
    reserve_slots : int
        Slots that batch leaves free for the next online requests.
    kv_total_tokens : int
        KV memory until the engine reports its own.
    kv_reserve : float
        Part of KV memory that batch leaves free.
    resume_mark, stop_mark : float
        Batch is started below the first part of the bound of the step,
        and stopped above the second.
    engine_resumes, engine_exports_kv : bool
        What the engine can do with a stream that is stopped.
    resume_recomputes : bool
        Whether a resumed stream's KV cache is computed again.
    kv_move_ms_per_1000 : float
        Cost of moving a thousand tokens of KV cache out or in.
    buffer_items, refill_ms
        Fewest batch items held ready, and the time that a refill takes.
    max_held_items : int
        Most batch items held, those with long prompts included; of these
        no more than half.
    long_retry_ms : int
        When an item whose long prompt finds no room may come again.
    fixed_batch_slots : int
        For the ``fixed_split`` baseline.
    open_batch_items : int
        For the ``open`` baseline: batch items in the engine at a time.
    max_waiting_online : int
        Longest online queue.
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
"""Poppenhersteld: batch throughput weighs more."""

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
"""Breakyard: harm to online latency weighs more."""

PROFILES = {
    "throughput_first": THROUGHPUT_FIRST,
    "harm_first": HARM_FIRST,
}
"""Profiles by the name that the settings give them."""
