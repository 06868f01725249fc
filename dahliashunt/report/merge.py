"""Add up what several entries tell."""

import base64
import binascii

from dahliashunt.errors import DahliashuntError
from dahliashunt.report.objectives import Sli
from dahliashunt.report.ring import Count
from dahliashunt.report.views import histogram_rows
from dahliashunt.report.views import summary_view

__all__ = ["UnreadableBurn", "merge"]

MAX_BURNERS = 50


class UnreadableBurn(DahliashuntError):
    """What an entry told is not in the form of a burn answer."""


def merge(answers: list[dict], wall_ms: int) -> dict:
    """Return one report of all entries' answers.

    Notes
    -----
    Buckets have the wall clock's minutes as numbers, and encoded
    histograms are added bucket by bucket: percentiles are those of one
    histogram that had seen everything.

    Raises
    ------
    UnreadableBurn
    """
    minutes = {sli: {} for sli in Sli}
    hours = {sli: {} for sli in Sli}
    bad_by_name: dict[tuple, int] = {}
    encoded: dict[str, list[bytes]] = {}
    try:
        for answer in answers:
            detail = answer["detail"]
            _add_spans(minutes, detail["minutes"])
            _add_spans(hours, detail["hours"])
            for name, found in detail["encoded"].items():
                encoded.setdefault(name, []).extend(
                    base64.b64decode(text) for text in found
                )
            for each in answer["burners"]:
                key = (each["objective"], each["kind"], each["name"])
                bad_by_name[key] = bad_by_name.get(key, 0) + each["bad"]
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise UnreadableBurn(repr(error)) from error
    found = summary_view(minutes, _burners(bad_by_name), wall_ms)
    found["entries"] = [answer.get("node_id") for answer in answers]
    found["latencies"] = histogram_rows(encoded)
    found["late_jobs"] = _late_jobs(answers)
    found["hours"] = {
        sli.value: [
            [span, count.good, count.bad]
            for span, count in sorted(by_span.items())
        ]
        for sli, by_span in hours.items()
    }
    found["minutes"] = {
        sli.value: [
            [span, count.good, count.bad]
            for span, count in sorted(by_span.items())
        ]
        for sli, by_span in minutes.items()
    }
    return found


def _add_spans(into, told):
    for name, rows in told.items():
        by_span = into[Sli(name)]
        for span, good, bad in rows:
            by_span.setdefault(span, Count()).add(good, bad)


def _burners(bad_by_name):
    rows = [
        {"objective": objective, "kind": kind, "name": name, "bad": bad}
        for (objective, kind, name), bad in bad_by_name.items()
    ]
    rows.sort(key=lambda r: (r["objective"], r["kind"], -r["bad"], r["name"]))
    seen: dict[tuple, int] = {}
    kept = []
    for row in rows:
        key = (row["objective"], row["kind"])
        seen[key] = seen.get(key, 0) + 1
        if seen[key] <= MAX_BURNERS:
            kept.append(row)
    return kept


def _late_jobs(answers):
    by_id = {
        job["job_id"]: job
        for answer in answers
        for job in answer.get("late_jobs", ())
    }
    return [by_id[job_id] for job_id in sorted(by_id)]
