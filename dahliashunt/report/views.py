"""Burn as JSON: what an entry tells, and what a report holds."""

import base64
from collections.abc import Mapping

from dahliashunt.metrics import merge_encoded
from dahliashunt.metrics import PERCENTILES
from dahliashunt.report.objectives import Sli
from dahliashunt.report.ring import BurnRing
from dahliashunt.report.ring import Count
from dahliashunt.report.ring import MINUTE_MS
from dahliashunt.report.windows import judge

__all__ = ["entry_detail", "histogram_rows", "summary_view"]


def entry_detail(ring: BurnRing, encoded_by_name: Mapping) -> dict:
    """Return buckets, burners and histograms for another to merge."""
    return {
        "minutes": _spans(ring.minutes),
        "hours": _spans(ring.hours),
        "encoded": {
            name: [base64.b64encode(data).decode() for data in found]
            for name, found in encoded_by_name.items()
        },
    }


def summary_view(
    minutes_by_sli: Mapping[Sli, Mapping[int, Count]],
    burners: list[dict],
    wall_ms: int,
) -> dict:
    """Return burn rates, alerts and burners as lists of flat objects."""
    burns, alerts = judge(minutes_by_sli, wall_ms // MINUTE_MS)
    return {
        "wall_ms": wall_ms,
        "alerts": [
            {
                "objective": alert.sli.value,
                "severity": alert.severity,
                "windows": f"{alert.long_min} and {alert.short_min} minutes",
                "rate_above": alert.rate,
            }
            for alert in alerts
        ],
        "windows": [
            {
                "objective": burn.sli.value,
                "minutes": burn.window_min,
                "good": burn.good,
                "bad": burn.bad,
                "burn_rate": burn.rate,
            }
            for burn in burns
        ],
        "burners": burners,
    }


def histogram_rows(encoded_by_name: Mapping[str, list[bytes]]) -> list[dict]:
    """Return percentiles of merged histograms."""
    rows = []
    for name, encoded in sorted(encoded_by_name.items()):
        merged = merge_encoded(encoded)
        row = {"name": name, "count": merged.get_total_count()}
        for p in PERCENTILES:
            row[f"p{p}_ms"] = merged.get_value_at_percentile(p)
        rows.append(row)
    return rows


def _spans(counts_of):
    return {
        sli.value: [
            [span, count.good, count.bad]
            for span, count in sorted(counts_of(sli).items())
        ]
        for sli in Sli
    }
