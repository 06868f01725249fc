"""Results as plots; matplotlib is loaded only here."""

import base64

from hdrh.histogram import HdrHistogram

__all__ = ["plot_results"]

_PERCENTILES = (1, 10, 25, 50, 75, 90, 95, 99, 99.9)


def plot_results(results: dict[str, dict], path: str) -> None:
    """Draw percentiles and the course of runs into a PNG file.

    Parameters
    ----------
    results : dict
        Results by label.
    path : str
        Of the file to write.
    """
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    figure = Figure(figsize=(11, 7), layout="constrained")
    FigureCanvasAgg(figure)
    axes = figure.subplots(2, 2)
    for label, result in results.items():
        _percentiles(axes[0, 0], label, result["first_token_ms"])
        _percentiles(axes[0, 1], label, result["token_gap_ms"])
        seconds = result["by_second"]
        at = [each["second"] for each in seconds]
        axes[1, 0].plot(at, [e["good"] for e in seconds], label=label)
        p95 = [e["first_token_p95_ms"] or float("nan") for e in seconds]
        axes[1, 1].plot(at, p95, label=label)
    _titles(axes)
    figure.savefig(path, dpi=110)


def _titles(axes):
    for axis, title in zip(
        axes.flat,
        (
            "first token, ms by percentile",
            "token gap, ms by percentile",
            "answered within the objective, a second",
            "first token p95, ms, by second sent",
        ),
        strict=True,
    ):
        axis.set_title(title)
        axis.grid(alpha=0.3)
        if axis.lines:
            axis.legend(fontsize="small")


def _percentiles(axis, label, found):
    data = HdrHistogram.decode(base64.b64decode(found["encoded"]))
    values = [data.get_value_at_percentile(p) / 1000 for p in _PERCENTILES]
    places = range(len(_PERCENTILES))
    axis.plot(places, values, marker="o", label=label)
    axis.set_xticks(list(places), [f"{p:g}" for p in _PERCENTILES])
