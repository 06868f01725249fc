"""Settings of the entry's decisions.

The four names select policies from registries; the baselines are
``order="fcfs"``, ``queueing="by_deadline"``, ``limit="none"`` and
``routing="round_robin"`` or ``"least_in_flight"``.
"""

from dataclasses import dataclass

__all__ = ["BASELINE", "EntryPolicy"]


@dataclass(frozen=True, slots=True)
class EntryPolicy:
    """All settings of the entry's decisions.

    Attributes
    ----------
    order : str
        Order among waiting callers: ``fair`` or ``fcfs``.
    queueing : str
        Admission and dropping: ``predicted``, ``by_deadline``,
        ``newest_first`` or ``codel``.
    limit : str
        Concurrency limit of an endpoint: ``aimd``, ``gradient`` or
        ``none``.
    routing : str
        ``affinity``, ``two_choices``, ``least_in_flight`` or
        ``round_robin``.
    """

    order: str = "fair"
    queueing: str = "predicted"
    limit: str = "aimd"
    routing: str = "affinity"

    # Fair sharing: cost of an output token relative to a prompt token,
    # and minimum cost of a call, in prompt tokens.
    output_token_weight: float = 2.0
    request_tokens: int = 32
    default_output_tokens: int = 128
    over_share: float = 1.5

    # Queue of one model at one entry.
    queue_length: int = 256
    tick_ms: int = 20
    codel_target_ms: int = 50
    standing_ms: int = 500
    standing_part: float = 0.25
    default_service_ms: int = 2_000
    retry_after_min_ms: int = 500
    retry_after_max_ms: int = 30_000

    # Concurrency limit.
    first_token_slack_ms: int = 230
    unloaded_times: float = 2.0
    full_cost_ms: float = 400.0
    pending_target_ms: int = 200
    limit_initial: int = 8
    limit_min: int = 1
    limit_max: int = 512
    limit_window_ms: int = 250
    limit_samples: int = 8
    limit_decrease: float = 0.92

    # Routing.
    few_endpoints: int = 6
    load_bound: float = 1.25
    remote_ms: float = 60.0
    prefill_ms_per_token: float = 0.1
    report_stale_ms: int = 3_000
    slow_half_life_ms: int = 5_000
    prefix_sent_ms: int = 30_000
    prefix_report_ms: int = 1_000
    prefixes_total: int = 20_000

    # Ejection, and back-off after a refusal by an agent.
    back_off_max_ms: int = 250
    eject_failures: int = 3
    eject_ms: int = 2_000
    eject_max_ms: int = 60_000
    eject_part: float = 0.34

    # Retries.
    attempts: int = 4
    retry_ratio: float = 0.1
    retry_reserve: float = 10.0
    retry_cap: float = 100.0
    caller_retry_ratio: float = 0.2
    caller_retry_reserve: float = 3.0

    # Suspects.
    suspect_wait_ms: int = 30_000
    suspect_for_ms: int = 600_000
    convict_for_ms: int = 600_000
    crashes_max: int = 3
    fingerprints_max: int = 10_000


BASELINE = EntryPolicy(
    order="fcfs",
    over_share=float("inf"),
    queueing="by_deadline",
    limit="none",
    routing="round_robin",
)
"""Baseline: first come first served, no limit, round robin."""
