"""Batch jobs whose state is in the platform's tables and objects.

An entry owns the jobs that it accepts, runs their items wherever slots
are idle, and lists results. Whatever must last is in five tables:

========== ============================ ===============================
table      key                          holds
========== ============================ ===============================
jobs       ``jobs//JOB``                the accepted job, and its state
quotas     ``quotas//ROUTE``            tokens of the route's open jobs
progress   ``progress/SHARD/JOB``       owner, and what is listed so far
results    ``results/SHARD/JOB/POS/N``  a listed result's text, in pieces
partials   ``partials/SHARD/JOB/INDEX`` an unfinished item's text so far
========== ============================ ===============================

Acceptance is one transaction over ``jobs`` and ``quotas``; listing is one
over ``progress`` and ``results``. Each is conditional on the versions that
were read, so that a write that lands late, or an owner that was replaced
meanwhile, changes nothing. Partial texts are no condition of anything.
"""

from dahliashunt.jobs.ledger import JobLedger
from dahliashunt.jobs.model import Item
from dahliashunt.jobs.model import Job
from dahliashunt.jobs.model import JobState
from dahliashunt.jobs.model import ListedResult
from dahliashunt.jobs.model import Outcome
from dahliashunt.jobs.model import Owner
from dahliashunt.jobs.model import Progress
from dahliashunt.jobs.view import JobView

__all__ = [
    "Item",
    "Job",
    "JobLedger",
    "JobState",
    "JobView",
    "ListedResult",
    "Outcome",
    "Owner",
    "Progress",
]
