"""Play patterns of load against the entry's policies, over several seeds.

Run ``python benchmarks/entry_plays.py [--seeds N] [PLAY ...]``. Each row is
one play with one policy: the median of each figure over the seeds, with
the least and the most. The plays and the fleet's model are those of the
tests (`dahliashunt.decisions.tests.load_scenarios`), on virtual time.
"""

import argparse
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
import statistics

from dahliashunt.decisions.entry_policy import BASELINE
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.tests import load_scenarios
from dahliashunt.decisions.tests.fleet_simulation import honour_retry_after
from dahliashunt.decisions.tests.fleet_simulation import retry_after_50_ms

POLICY = EntryPolicy()
NO_SHARES = replace(POLICY, order="fcfs", over_share=float("inf"))
BLIND = replace(POLICY, crashes_max=10**6, suspect_for_ms=0)


def changed(field: str, *values) -> dict[str, EntryPolicy]:
    """Return the default policy with one field changed, by name."""
    return {
        f"{field}={value}": replace(POLICY, **{field: value})
        for value in values
    }


QUEUEING = changed("queueing", "by_deadline", "newest_first", "codel")
LIMITS = changed("limit", "gradient", "none")
ROUTING = changed("routing", "two_choices", "least_in_flight", "round_robin")
ALWAYS = {"default": POLICY, "baseline": BASELINE}

PLAYS: dict[str, tuple[Callable, dict[str, EntryPolicy]]] = {
    "saturation-1x": (
        partial(load_scenarios.saturation, times=1),
        QUEUEING | LIMITS,
    ),
    "saturation-2x": (
        partial(load_scenarios.saturation, times=2),
        QUEUEING | LIMITS,
    ),
    "saturation-5x": (
        partial(load_scenarios.saturation, times=5),
        QUEUEING | LIMITS,
    ),
    "saturation-5x-3-entries": (
        partial(load_scenarios.saturation, times=5, entries=3),
        QUEUEING | LIMITS,
    ),
    "burst": (
        load_scenarios.burst,
        QUEUEING | LIMITS | changed("pending_target_ms", 10**9),
    ),
    "burst-impatient": (
        partial(load_scenarios.burst, resend=retry_after_50_ms),
        {},
    ),
    "burst-obedient": (
        partial(load_scenarios.burst, resend=honour_retry_after),
        {},
    ),
    "hot-callers": (
        load_scenarios.hot_callers,
        {"no shares": NO_SHARES}
        | changed("over_share", float("inf"))
        | changed("order", "fcfs"),
    ),
    "hot-and-long": (
        load_scenarios.hot_and_long,
        changed("over_share", float("inf")),
    ),
    "hot-and-long-3-entries": (
        partial(load_scenarios.hot_and_long, entries=3),
        changed("over_share", float("inf")),
    ),
    "hot-and-long-few-small": (
        partial(load_scenarios.hot_and_long, small=5),
        changed("over_share", float("inf")),
    ),
    "long-among-short": (
        load_scenarios.long_among_short,
        {"no shares": NO_SHARES} | changed("over_share", float("inf")),
    ),
    "long-prompts": (
        partial(
            load_scenarios.one_kind,
            rate=4,
            prompt=6_000,
            output=800,
            budget_ms=5_000,
            stop=200_000,
        ),
        {
            "fixed target of 400 ms": replace(
                POLICY, first_token_slack_ms=400, unloaded_times=0.0
            )
        },
    ),
    "cold-start": (load_scenarios.cold_start, {}),
    "slow-endpoint": (load_scenarios.slow_endpoint, ROUTING | LIMITS),
    "failing-endpoint": (
        load_scenarios.failing_endpoint,
        changed("eject_part", 0.0) | changed("retry_ratio", 1.0),
    ),
    "lost-data-centre": (load_scenarios.lost_data_centre, LIMITS),
    "reports-all": (
        partial(load_scenarios.stale_reports, missing=()),
        ROUTING,
    ),
    "reports-one-missing": (
        partial(load_scenarios.stale_reports, missing=(0,)),
        ROUTING,
    ),
    "reports-none": (
        partial(load_scenarios.stale_reports, missing=(0, 1, 2, 3, 4)),
        ROUTING,
    ),
    "prefixes": (partial(load_scenarios.prefixes, hot=0.0), ROUTING),
    "prefixes-saturated": (
        partial(load_scenarios.prefixes, rate=110),
        ROUTING,
    ),
    "prefixes-hot": (partial(load_scenarios.prefixes, hot=0.5), ROUTING),
    "poison": (load_scenarios.poison, {"no suspects": BLIND}),
    "poison-impatient": (
        partial(load_scenarios.poison, resend=retry_after_50_ms),
        {},
    ),
}


def summary(rows: list[dict]) -> str:
    """Return the median of each figure, with least and most."""
    parts = []
    for name in rows[0]:
        values = [row[name] for row in rows]
        if isinstance(values[0], Counter):
            parts.append(f"{name} {dict(sum(values, Counter()))}")
            continue
        middle = statistics.median(values)
        parts.append(
            f"{name} {middle:.4g} ({min(values):.4g}-{max(values):.4g})"
        )
    return ", ".join(parts)


def main() -> None:
    """Print one row for each play and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("plays", nargs="*", choices=[[], *PLAYS])
    options = parser.parse_args()
    for name in options.plays or PLAYS:
        play, variants = PLAYS[name]
        for label, policy in (ALWAYS | variants).items():
            rows = [
                play(policy, seed=seed + 1) for seed in range(options.seeds)
            ]
            print(f"{name:24}{label:28}{summary(rows)}", flush=True)


if __name__ == "__main__":
    main()
