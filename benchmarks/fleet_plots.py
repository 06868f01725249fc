"""Plot rows of `benchmarks.fleet_load`.

Usage:
  fleet_plots.py FILE... --out=FILE
"""

import json
import pathlib
import statistics
import sys

from docopt import docopt
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

RATES = ("20/s", "100/s", "300/s")


def rows_of(paths):
    """Return rows by fleet and label."""
    by_label = {}
    for path in paths:
        for row in json.loads(pathlib.Path(path).read_text())["rows"]:
            by_label.setdefault((row["fleet"], row["label"]), []).append(row)
    return by_label


def middle(by_label, fleet, label, figure):
    """Return the middle value and its distance to least and most."""
    rows = by_label.get((fleet, label), [])
    values = [row[figure] for row in rows if row.get(figure) is not None]
    if not values:
        return float("nan"), 0, 0
    at = statistics.median(values)
    return at, at - min(values), max(values) - at


def draw(by_label, out):
    """Draw batch rate and first-token p95 by online load."""
    figure = Figure(figsize=(11, 4.5), layout="constrained")
    FigureCanvasAgg(figure)
    rate, first = figure.subplots(1, 2)
    for fleet in sorted({fleet for fleet, _ in by_label}):
        labels = ["batch alone", *[f"{r} beside batch" for r in RATES]]
        _line(rate, by_label, fleet, labels, "batch", fleet)
        for kind, style in (("alone", "--"), ("beside batch", "-")):
            labels = [f"{r} {kind}" for r in RATES]
            name = f"{fleet}, {kind}"
            figure_name = "first_token_ms p95"
            _line(first, by_label, fleet, labels, figure_name, name, style)
    rate.set_title("batch items a second, by online load")
    rate.set_xticks(range(4), ["none", *RATES])
    first.set_title("first token p95, ms, by online load")
    first.set_xticks(range(3), RATES)
    for axis in (rate, first):
        axis.set_ylim(bottom=0)
        axis.grid(alpha=0.3)
        axis.legend(fontsize="small")
    figure.savefig(out, dpi=100)


def _line(axis, by_label, fleet, labels, figure, name, style="-"):
    found = [middle(by_label, fleet, label, figure) for label in labels]
    heights, below, above = zip(*found, strict=True)
    axis.errorbar(
        range(len(labels)),
        heights,
        yerr=(below, above),
        label=name,
        linestyle=style,
        marker="o",
        capsize=3,
    )


def main(argv=None):
    """Run the program and return its exit code."""
    args = docopt(__doc__, argv)
    draw(rows_of(args["FILE"]), args["--out"])
    return 0


if __name__ == "__main__":
    sys.exit(main())
