"""Burn rates over several windows, and the alerts that they raise."""

from collections.abc import Mapping
from dataclasses import dataclass

from dahliashunt.report.objectives import Objective
from dahliashunt.report.objectives import OBJECTIVES
from dahliashunt.report.objectives import Sli
from dahliashunt.report.ring import Count

__all__ = ["RULES", "Alert", "Rule", "WindowBurn", "burn_of", "judge"]


@dataclass(frozen=True, slots=True)
class Rule:
    """An alert that needs the same rate in a long and a short window."""

    severity: str
    long_min: int
    short_min: int
    rate: float


RULES = (Rule("page", 60, 5, 14.4), Rule("ticket", 360, 30, 6.0))
"""Fast and slow burn, as the workbook's table 5-8 gives them."""


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn rate of one objective over one window."""

    sli: Sli
    window_min: int
    good: int
    bad: int
    rate: float


@dataclass(frozen=True, slots=True)
class Alert:
    """A rule that holds now."""

    sli: Sli
    severity: str
    long_min: int
    short_min: int
    rate: float


def burn_of(
    objective: Objective, minutes: Mapping[int, Count], now: int, span: int
) -> WindowBurn:
    """Return the burn rate over the last `span` minutes.

    Parameters
    ----------
    objective : Objective
    minutes : mapping of int to Count
        By minute of the wall clock.
    now : int
        Number of the current minute, which counts as far as it has come.
    span : int

    Notes
    -----
    The burn rate is the share of bad events over the share that the
    objective allows: at 1 the budget lasts exactly its period [1]_.

    References
    ----------
    .. [1] B. Beyer et al. (eds), "The Site Reliability Workbook", O'Reilly
       2018, chapter 5, "Alerting on SLOs".

    Examples
    --------
    >>> objective = OBJECTIVES[Sli.FIRST_TOKEN]
    >>> burn_of(objective, {9: Count(90, 10)}, 10, 5).rate
    2.0
    """
    inside = [c for at, c in minutes.items() if now - span < at <= now]
    good = sum(count.good for count in inside)
    bad = sum(count.bad for count in inside)
    share = bad / (good + bad) if good + bad else 0.0
    rate = round(share / objective.budget, 6)
    return WindowBurn(objective.sli, span, good, bad, rate)


def judge(
    minutes_by_sli: Mapping[Sli, Mapping[int, Count]], now: int
) -> tuple[list[WindowBurn], list[Alert]]:
    """Return the burn of all objectives, and which rules hold.

    Notes
    -----
    The long window shows that enough of the budget is gone to matter, the
    short one that it is still going: an alert ends soon after its cause.
    A rule can't hold for an objective whose budget is above one over its
    rate; with 95 in 100 the fast rule holds from 72 bad in 100.
    """
    burns = []
    alerts = []
    for sli, objective in OBJECTIVES.items():
        minutes = minutes_by_sli.get(sli, {})
        for rule in RULES:
            short = burn_of(objective, minutes, now, rule.short_min)
            long = burn_of(objective, minutes, now, rule.long_min)
            burns += [short, long]
            if min(short.rate, long.rate) >= rule.rate:
                alerts.append(
                    Alert(
                        sli,
                        rule.severity,
                        rule.long_min,
                        rule.short_min,
                        rule.rate,
                    )
                )
    burns.sort(key=lambda burn: (burn.sli.value, burn.window_min))
    return burns, alerts
