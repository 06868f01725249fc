"""Batch jobs: accepted durably, completed exactly once, readable after."""

from dahliashunt.batch.files import FileRecord
from dahliashunt.batch.files import FileStore
from dahliashunt.batch.front import JobView
from dahliashunt.batch.front import NewJob
from dahliashunt.batch.items import BatchItem
from dahliashunt.batch.items import ItemEnd
from dahliashunt.batch.items import ItemOutcome
from dahliashunt.batch.items import ItemRef
from dahliashunt.batch.items import ItemRunner
from dahliashunt.batch.job import JobCounts
from dahliashunt.batch.job import JobRecord
from dahliashunt.batch.job import JobState
from dahliashunt.batch.order_port import Grant
from dahliashunt.batch.order_port import JobDemand
from dahliashunt.batch.order_port import JobOrder
from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.batch.results import ResultKind
from dahliashunt.batch.service import BatchService

__all__ = [
    "BatchItem",
    "BatchPolicy",
    "BatchService",
    "FileRecord",
    "FileStore",
    "Grant",
    "ItemEnd",
    "ItemOutcome",
    "ItemRef",
    "ItemRunner",
    "JobCounts",
    "JobDemand",
    "JobOrder",
    "JobRecord",
    "JobState",
    "JobView",
    "NewJob",
    "ResultKind",
]
