"""Results as text: one table of a run, one of two runs compared."""

__all__ = ["compared", "result_table"]

_TIMES = ("first_token_ms", "token_gap_ms", "whole_ms", "sent_late_ms")
_SHOWN = ("p50", "p90", "p95", "p99", "max")


def result_table(result: dict) -> str:
    """Return one run as a text table.

    Parameters
    ----------
    result : dict
        As of `Result.as_dict`.
    """
    lines = [
        f"asked {result['asked']}, answered {result['answered']}, "
        f"good {result['good']} ({result['goodput_per_s']:.1f} a second), "
        f"max-min share {result['max_min_share']:.2f}",
        f"{'ms':16}" + "".join(f"{name:>10}" for name in _SHOWN),
    ]
    for name in _TIMES:
        row = "".join(f"{result[name][p]:10.1f}" for p in _SHOWN)
        lines.append(f"{name.removesuffix('_ms'):16}{row}")
    for code, count in result["codes"].items():
        lines.append(f"  {code}: {count}")
    rate = result["batch_items_per_s"]
    if rate is not None:
        lines.append(f"batch items a second: {rate:.1f}")
    return "\n".join(lines)


def compared(before: dict, after: dict) -> str:
    """Return two runs side by side, with the change in percent."""
    lines = [f"{'':22}{'A':>12}{'B':>12}{'change':>10}"]
    for name in _TIMES[:3]:
        for part in ("p50", "p95", "p99"):
            label = f"{name.removesuffix('_ms')} {part}"
            lines.append(_row(label, before[name][part], after[name][part]))
    for name in ("goodput_per_s", "max_min_share", "batch_items_per_s"):
        lines.append(_row(name, before[name] or 0, after[name] or 0))
    return "\n".join(lines)


def _row(label, one, other):
    change = f"{(other - one) / one:+9.1%}" if one else "-"
    return f"{label:22}{one:12.2f}{other:12.2f}{change:>10}"
