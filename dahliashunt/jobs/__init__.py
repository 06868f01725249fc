"""Batch jobs whose state is in the platform's tables and objects.

An entry owns the jobs that it accepts, runs their items in idle slots and
lists the results. Durable state is in five tables:

========== ============================ ===============================
table      key                          holds
========== ============================ ===============================
jobs       ``jobs//JOB``                the accepted job, and its state
quotas     ``quotas//ROUTE``            tokens of the route's open jobs
progress   ``progress/SHARD/JOB``       owner, and the listed results
results    ``results/SHARD/JOB/POS/N``  a listed result's text, in pieces
partials   ``partials/SHARD/JOB/INDEX`` text and failures of an item
========== ============================ ===============================

Acceptance is one transaction over ``jobs`` and ``quotas``; listing is one
over ``progress`` and ``results``. Each is conditional on the row versions
that were read, so that a delayed write or a former owner changes nothing.
Writes of partial texts are unconditional.
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
