"""What a run gave: counts, histograms, goodput, and shares by caller."""

import base64
import collections
import dataclasses
import math

from hdrh.histogram import HdrHistogram

from dahliashunt.load.client import ANSWERED
from dahliashunt.load.client import Outcome
from dahliashunt.load.plan import Plan

__all__ = ["PERCENTILES", "Result", "histogram", "max_min_shares", "summary"]

PERCENTILES = (50, 90, 95, 99, 99.9)
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT = 3
_NS_IN_US = 1000


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds, up to an hour."""
    return HdrHistogram(1, _HIGHEST_US, _SIGNIFICANT)


class Result:
    """Collects outcomes as they come.

    Parameters
    ----------
    plan : Plan
    """

    def __init__(self, plan: Plan):
        self.plan = plan
        self.batch_rate: float | None = None
        self.submit_refusals = 0
        self._asked = 0
        self._good = 0
        self._codes: collections.Counter = collections.Counter()
        self._asked_by_key: collections.Counter = collections.Counter()
        self._good_by_key: collections.Counter = collections.Counter()
        self._seconds: dict[int, list[int]] = {}
        self._first = histogram()
        self._gap = histogram()
        self._whole = histogram()
        self._late = histogram()
        self._first_by_second: dict[int, HdrHistogram] = {}

    def add(self, outcome: Outcome) -> None:
        """Count one outcome."""
        ask = outcome.ask
        good = self._is_good(outcome)
        self._asked += 1
        self._good += good
        self._codes[outcome.code] += 1
        self._asked_by_key[ask.key] += 1
        self._good_by_key[ask.key] += good
        cell = self._seconds.setdefault(int(ask.at_s), [0, 0, 0])
        cell[0] += 1
        cell[1] += good
        cell[2] += outcome.code != ANSWERED
        _record(self._late, outcome.late_ns)
        if outcome.first_ns is not None:
            _record(self._first, outcome.first_ns)
            slot = self._first_by_second.setdefault(int(ask.at_s), histogram())
            _record(slot, outcome.first_ns)
        if outcome.whole_ns is not None:
            _record(self._whole, outcome.whole_ns)
        for gap in outcome.gaps_ns:
            _record(self._gap, gap)

    def as_dict(self) -> dict:
        """Return everything, ready for JSON."""
        plan = self.plan
        shares = max_min_shares(self._asked_by_key, self._good_by_key)
        return {
            "plan": dataclasses.asdict(plan),
            "asked": self._asked,
            "answered": self._codes[ANSWERED],
            "good": self._good,
            "goodput_per_s": self._good / plan.seconds,
            "codes": dict(sorted(self._codes.items())),
            "first_token_ms": summary(self._first),
            "token_gap_ms": summary(self._gap),
            "whole_ms": summary(self._whole),
            "sent_late_ms": summary(self._late),
            "share_by_key": shares,
            "max_min_share": min(shares.values(), default=1.0),
            "batch_items_per_s": self.batch_rate,
            "submit_refusals": self.submit_refusals,
            "by_second": [self._second(at) for at in sorted(self._seconds)],
        }

    def _second(self, at):
        asked, good, refused = self._seconds[at]
        slot = self._first_by_second.get(at)
        p95 = slot.get_value_at_percentile(95) / 1000 if slot else None
        return {
            "second": at,
            "asked": asked,
            "good": good,
            "not_answered": refused,
            "first_token_p95_ms": p95,
        }

    def _is_good(self, outcome):
        """Return whether an answer kept the first-token objective.

        An answer that is not streamed shows no first token: it is good
        if it came in the time of a stream that keeps both objectives.
        """
        if outcome.code != ANSWERED:
            return False
        allowed_ms = self.plan.first_token_ms
        taken_ns = outcome.first_ns
        if not outcome.ask.streamed:
            allowed_ms += self.plan.token_gap_ms * outcome.ask.tokens
            taken_ns = outcome.whole_ns
        return taken_ns is not None and taken_ns <= allowed_ms * 1_000_000


def _record(into, ns):
    into.record_value(min(max(1, ns // _NS_IN_US), _HIGHEST_US))


def summary(found: HdrHistogram) -> dict:
    """Return percentiles in milliseconds and the encoded histogram."""
    at = {
        f"p{p:g}": found.get_value_at_percentile(p) / 1000 for p in PERCENTILES
    }
    at["count"] = found.get_total_count()
    at["max"] = found.get_max_value() / 1000
    at["encoded"] = base64.b64encode(found.encode()).decode()
    return at


def max_min_shares(asked: dict, got: dict) -> dict:
    """Return, by caller, what it got over its max-min fair share.

    Notes
    -----
    The fair share is found by filling: what all got together is given out
    evenly, and what a caller did not ask for goes to the others [1]_.

    References
    ----------
    .. [1] D. Bertsekas and R. Gallager, "Data Networks", section 6.5.2.

    Examples
    --------
    >>> max_min_shares({"hot": 90, "cold": 10}, {"hot": 40, "cold": 10})
    {'cold': 1.0, 'hot': 1.0}
    """
    left = float(sum(got.values()))
    shares = {}
    waiting = sorted(asked, key=lambda key: (asked[key], key))
    while waiting:
        key = waiting[0]
        fair = min(asked[key], left / len(waiting))
        left -= fair
        shares[key] = got[key] / fair if fair > 0 else math.nan
        waiting = waiting[1:]
    return {k: v for k, v in shares.items() if not math.isnan(v)}
