"""All verbs of the scenario language; importing it registers them."""

from tests.lang import steps
from tests.lang import steps_checks
from tests.lang import steps_faults
from tests.lang import steps_golden
from tests.lang import steps_jobs
from tests.lang import steps_load
from tests.lang import steps_records
from tests.lang import steps_requests

__all__ = [
    "steps",
    "steps_checks",
    "steps_faults",
    "steps_golden",
    "steps_jobs",
    "steps_load",
    "steps_records",
    "steps_requests",
]
