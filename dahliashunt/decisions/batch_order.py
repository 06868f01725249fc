"""Order in which the items of batch jobs are sent.

Load pattern: jobs of a few callers, from a handful of items to a whole
archive, with deadlines hours apart, compete for idle capacity.

Without it (``first_come``) one archive delays every job behind it.

Callers share the tokens by start-time fair queueing; within a caller the job
with the least laxity (time to the deadline less the time that its remaining
tokens need) goes first. A job close to its latest start is urgent and may
exceed its caller's share, within a bounded part of the grants, so that
callers who set early deadlines can't starve the others. A job whose deadline
has passed is no longer urgent: it would delay jobs that can still meet theirs
(the domino effect of earliest deadline first under overload).

Grants never exceed the room that the endpoints offer for batch, so that a
deadline doesn't displace online work.

Notes
-----
`BatchOrder.choose` costs O(g log n) for g items granted and n jobs.

References
----------
P. Goyal, H. Vin, H. Cheng, Start-time fair queueing, SIGCOMM 1996.
C. L. Liu, J. W. Layland, Scheduling algorithms for multiprogramming,
J. ACM 20 (1973). A. Mok, Fundamental design problems (least laxity),
MIT 1983.
"""

from dataclasses import dataclass
import random

from dahliashunt.decisions.batch_queue import JobDemand
from dahliashunt.decisions.batch_queue import ModelQueue
from dahliashunt.decisions.registry import Registry
from dahliashunt.ids import JobId
from dahliashunt.ids import ModelId

__all__ = [
    "BATCH_ORDERS",
    "BatchOrder",
    "BatchOrderPolicy",
    "FailItem",
    "FirstComeFirstServed",
    "Grant",
    "RetryItem",
]

BATCH_ORDERS = Registry("batch order")
"""Batch orders by name, constructed with a policy and a random source."""


@dataclass(frozen=True, slots=True)
class BatchOrderPolicy:
    """Settings of the batch order.

    Attributes
    ----------
    order : str
        Name in `BATCH_ORDERS`.
    urgent_ms : int
        A job is urgent from this long before its latest start.
    urgent_share : float
        Largest fraction of the grants that urgent jobs may take out of
        turn.
    nearly_done_items : int
        A job with at most this many items left goes before the other jobs
        of its caller.
    least_served_every : int
        One in this many grants of a caller goes to its least served job,
        so that jobs with late deadlines make progress.
    max_attempts : int
        Failed attempts after which an item fails permanently.
    backoff_ms, max_backoff_ms : int
        Delay before the second attempt, doubled for each further one, and
        its upper bound.
    rate_prior : float
        Assumed tokens per second of a model before any were granted.
    """

    order: str = "laxity"
    urgent_ms: int = 600_000
    urgent_share: float = 0.6
    nearly_done_items: int = 8
    least_served_every: int = 4
    max_attempts: int = 3
    backoff_ms: int = 1_000
    max_backoff_ms: int = 30_000
    rate_prior: float = 500.0


@dataclass(frozen=True, slots=True)
class Grant:
    """A number of items of one job to send now."""

    job_id: JobId
    items: int


@dataclass(frozen=True, slots=True)
class RetryItem:
    """Retry the item at `at_ms` or later."""

    job_id: JobId
    item: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class FailItem:
    """Fail the item permanently."""

    job_id: JobId
    item: int
    attempts: int


class _ItemRetries:
    """Retries with exponential backoff, shared by all orders."""

    def __init__(self, policy: BatchOrderPolicy, rng: random.Random):
        self.policy = policy
        self._rng = rng

    def item_failed(
        self, now: int, job_id: JobId, item: int, attempt: int
    ) -> RetryItem | FailItem:
        """Return the retry or the permanent failure of an item.

        `attempt` is the failed one, numbered from 1. An item that waits
        for its retry takes no room from others.
        """
        policy = self.policy
        if attempt >= policy.max_attempts:
            return FailItem(job_id, item, attempt)
        wait = policy.backoff_ms << (attempt - 1)
        wait = min(wait, policy.max_backoff_ms)
        jittered = int(wait * (0.5 + self._rng.random()))
        return RetryItem(job_id, item, now + jittered)


@BATCH_ORDERS.register("laxity")
class BatchOrder(_ItemRetries):
    """Least laxity first within weighted fair shares of the callers.

    Parameters
    ----------
    policy : BatchOrderPolicy
        Thresholds.
    rng : random.Random
        Source of the jitter of retries.

    Examples
    --------
    >>> order = BatchOrder(BatchOrderPolicy(), random.Random(1))
    >>> hour = 3_600_000
    >>> order.job(0, JobDemand("late", "museum", "m", 9 * hour, 100, 500))
    >>> order.job(0, JobDemand("soon", "museum", "m", 2 * hour, 100, 500))
    >>> order.choose(0, {"m": 3})
    [Grant(job_id='soon', items=3)]
    """

    def __init__(self, policy: BatchOrderPolicy, rng: random.Random):
        super().__init__(policy, rng)
        self._queues_by_model: dict[ModelId, ModelQueue] = {}
        self._model_by_job: dict[JobId, ModelId] = {}

    def job(self, now: int, job: JobDemand) -> None:
        """Add a job, or update its remaining items."""
        known = self._model_by_job.get(job.job_id)
        if known is not None and known != job.model:
            self.remove_job(job.job_id)
        self._model_by_job[job.job_id] = job.model
        queue = self._queues_by_model.get(job.model)
        if queue is None:
            queue = ModelQueue(
                self.policy.rate_prior,
                self.policy.nearly_done_items,
                self.policy.least_served_every,
            )
            self._queues_by_model[job.model] = queue
        queue.put(job)

    def remove_job(self, job_id: JobId) -> None:
        """Remove a job that ended or was cancelled."""
        model = self._model_by_job.pop(job_id, None)
        if model is not None:
            self._queues_by_model[model].drop(job_id)
            if not self._queues_by_model[model]:
                del self._queues_by_model[model]

    def choose(
        self, now: int, room_by_model: dict[ModelId, int]
    ) -> list[Grant]:
        """Return the items to send within each model's room."""
        grants: list[Grant] = []
        for model, room in room_by_model.items():
            queue = self._queues_by_model.get(model)
            if queue is None or room <= 0:
                continue
            items_by_job = self._fill(now, queue, room)
            grants += [Grant(job, n) for job, n in items_by_job.items()]
        return grants

    def _fill(
        self, now: int, queue: ModelQueue, room: int
    ) -> dict[JobId, int]:
        policy = self.policy
        items_by_job: dict[JobId, int] = {}
        for _ in range(room):
            job_id = None
            if queue.urgent_fraction <= policy.urgent_share:
                job_id = queue.next_urgent(now, policy.urgent_ms)
            urgent = job_id is not None
            if job_id is None:
                job_id = queue.next_fair()
            if job_id is None:
                break
            queue.charge(now, job_id, urgent)
            items_by_job[job_id] = items_by_job.get(job_id, 0) + 1
        return items_by_job


@BATCH_ORDERS.register("first_come")
class FirstComeFirstServed(_ItemRetries):
    """Baseline: jobs in the order they arrived."""

    def __init__(self, policy: BatchOrderPolicy, rng: random.Random):
        super().__init__(policy, rng)
        self._left_by_id: dict[JobId, int] = {}
        self._model_by_id: dict[JobId, ModelId] = {}

    def job(self, now: int, job: JobDemand) -> None:
        """Add a job, or update its remaining items."""
        self._left_by_id[job.job_id] = job.items_left
        self._model_by_id[job.job_id] = job.model

    def remove_job(self, job_id: JobId) -> None:
        """Remove a job that ended or was cancelled."""
        self._left_by_id.pop(job_id, None)
        self._model_by_id.pop(job_id, None)

    def choose(
        self, now: int, room_by_model: dict[ModelId, int]
    ) -> list[Grant]:
        """Return the items to send, in the order the jobs arrived."""
        room = dict(room_by_model)
        grants = []
        for job_id, left in self._left_by_id.items():
            model = self._model_by_id[job_id]
            items = min(left, room.get(model, 0))
            if items > 0:
                room[model] -= items
                self._left_by_id[job_id] = left - items
                grants.append(Grant(job_id, items))
        return grants
