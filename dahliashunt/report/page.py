"""The report as text and as one HTML page with its plots inside."""

import base64
import html
import io

from dahliashunt.report.objectives import OBJECTIVES
from dahliashunt.report.objectives import Sli

__all__ = ["html_page", "text_page"]

_TABLES = ("alerts", "windows", "burners", "latencies", "late_jobs")
_STYLE = (
    "body{font:15px sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{border:1px solid #bbb;padding:.2em .6em;text-align:left}"
)


def text_page(report: dict) -> str:
    """Return a report as text tables."""
    parts = [f"entries: {', '.join(map(str, report['entries']))}"]
    for name in _TABLES:
        rows = report[name]
        parts.append(_text_table(name, rows) if rows else f"{name}: none")
    for url, why in report.get("not_read", {}).items():
        parts.append(f"NOT READ, so not counted: {url}: {why}")
    return "\n\n".join(parts)


def html_page(report: dict) -> str:
    """Return a report as an HTML page that needs no other file."""
    parts = [
        "<!doctype html><meta charset=utf-8><title>Burn</title>",
        f"<style>{_STYLE}</style><h1>Burn of service-level objectives</h1>",
        f"<p>Entries: {_escaped(', '.join(map(str, report['entries'])))}</p>",
    ]
    for url, why in report.get("not_read", {}).items():
        text = _escaped(f"{url}: {why}")
        parts.append(f"<p><b>Not read, so not counted:</b> {text}</p>")
    for name in _TABLES:
        title = name.replace("_", " ")
        parts.append(f"<h2>{title}</h2>{_html_table(report[name])}")
    image = base64.b64encode(_plot(report)).decode()
    parts.append(f'<img alt="bad share" src="data:image/png;base64,{image}">')
    return "\n".join(parts)


def _text_table(name, rows):
    heads = list(rows[0])
    cells = [heads, *[[str(row[head]) for head in heads] for row in rows]]
    widths = [max(len(row[at]) for row in cells) for at in range(len(heads))]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
    return "\n".join([name.replace("_", " "), *lines])


def _html_table(rows):
    if not rows:
        return "<p>none</p>"
    heads = "".join(f"<th>{_escaped(head)}</th>" for head in rows[0])
    body = "".join(
        "<tr>"
        + "".join(f"<td>{_escaped(cell)}</td>" for cell in row.values())
        + "</tr>"
        for row in rows
    )
    return f"<table><tr>{heads}</tr>{body}</table>"


def _escaped(value):
    return html.escape(str(value))


def _plot(report):
    """Return a PNG: the bad share a minute beside what is allowed."""
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 7), layout="constrained")
    FigureCanvasAgg(figure)
    for axis, sli in zip(figure.subplots(len(Sli), 1), Sli, strict=True):
        rows = [r for r in report["minutes"][sli.value] if r[1] + r[2]]
        last = report["wall_ms"] // 60_000
        at = [span - last for span, _, _ in rows]
        share = [bad / (good + bad) for _, good, bad in rows]
        axis.plot(at, share, marker=".", label="bad share")
        axis.axhline(OBJECTIVES[sli].budget, color="red", label="allowed")
        axis.set_title(sli.value)
        axis.set_xlabel("minutes")
        axis.legend(fontsize="small")
    written = io.BytesIO()
    figure.savefig(written, format="png", dpi=90)
    return written.getvalue()
