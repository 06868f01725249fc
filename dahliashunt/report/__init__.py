"""Burn of service-level objectives: counts, windows, and the report."""

from dahliashunt.report.objectives import OBJECTIVES
from dahliashunt.report.objectives import Sli
from dahliashunt.report.ring import BurnRing

__all__ = ["OBJECTIVES", "BurnRing", "Sli"]
