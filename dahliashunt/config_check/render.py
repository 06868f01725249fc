"""Text and JSON of a report."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from dahliashunt.config_check.check import Report
from dahliashunt.config_check.differences import Difference
from dahliashunt.config_check.differences import FieldChange
from dahliashunt.config_check.findings import Finding
from dahliashunt.config_check.findings import number_text
from dahliashunt.config_check.findings import path_text
from dahliashunt.config_check.findings import Severity

__all__ = ["Baseline", "json_report", "text_report"]


@dataclass(frozen=True, slots=True)
class Baseline:
    """What a file is compared with.

    Attributes
    ----------
    name : str
        The file, or "the version in force".
    version : int
    age_writes : int or None
        Writes of the store since it was written; None for a file.
    """

    name: str
    version: int
    age_writes: int | None = None


def text_report(
    file: str, report: Report, baseline: Baseline | None
) -> Iterator[str]:
    """Yield the lines of a report for a terminal."""
    for each in report.findings:
        yield _finding_line(file, each)
    if baseline is not None:
        yield _baseline_line(baseline)
        if report.differences is None:
            yield "not compared: nodes refuse the file"
        for each in report.differences or ():
            yield _difference_line(each)
    yield _summary(file, report)


def _finding_line(file, each):
    place = file if each.line is None else f"{file}:{each.line}"
    name = f" ({each.name})" if each.name else ""
    other = f", see {path_text(each.other)}" if each.other else ""
    return (
        f"{place}: {each.severity.value}: {path_text(each.path)}{name}: "
        f"found {each.found}{other}; expected {each.expected} [{each.code}]"
    )


def _baseline_line(baseline):
    text = f"compared with {baseline.name}, version {baseline.version}"
    if baseline.age_writes is None:
        return text
    return f"{text}, store writes since then: {baseline.age_writes}"


def _difference_line(each):
    words = [word for word in (each.entry, each.name) if word]
    effects = [each.effect] if each.effect else []
    effects += [_field_text(field) for field in each.fields]
    return f"{each.change.value} {' '.join(words)}: {', '.join(effects)}"


def _field_text(each: FieldChange):
    if each.before is None:
        return f"{each.field} {each.effect}"
    before, after = number_text(each.before), number_text(each.after)
    return f"{each.field} {before} to {after} {each.effect}"


def _summary(file, report):
    errors = report.count(Severity.ERROR)
    warnings = report.count(Severity.WARNING)
    version = "refused by nodes"
    if report.version is not None:
        version = f"version {report.version}"
    return f"{file}: {version}; errors: {errors}, warnings: {warnings}"


def json_report(
    file: str, report: Report, baseline: Baseline | None
) -> dict[str, Any]:
    """Return a report as a JSON object."""
    return {
        "file": file,
        "version": report.version,
        "errors": _findings(report, Severity.ERROR),
        "warnings": _findings(report, Severity.WARNING),
        "baseline": baseline and _baseline_fields(baseline),
        "differences": report.differences
        and [_difference_fields(each) for each in report.differences],
    }


def _findings(report, severity):
    return [
        _finding_fields(each)
        for each in report.findings
        if each.severity is severity
    ]


def _finding_fields(each: Finding):
    return {
        "code": each.code,
        "path": path_text(each.path),
        "line": each.line,
        "name": each.name,
        "found": each.found,
        "expected": each.expected,
        "see": path_text(each.other) if each.other else None,
    }


def _baseline_fields(baseline):
    return {
        "name": baseline.name,
        "version": baseline.version,
        "age_writes": baseline.age_writes,
    }


def _difference_fields(each: Difference):
    return {
        "change": each.change.value,
        "entry": each.entry,
        "name": each.name,
        "effect": each.effect,
        "fields": [
            {
                "field": field.field,
                "effect": field.effect,
                "before": field.before,
                "after": field.after,
            }
            for field in each.fields
        ],
    }
