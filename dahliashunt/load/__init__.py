"""`dahliashunt-load`: open-loop load and experiments on a running fleet."""

from dahliashunt.load.plan import plan_from_dict
from dahliashunt.load.plan import read_plan
from dahliashunt.load.runner import run_plan

__all__ = ["plan_from_dict", "read_plan", "run_plan"]
