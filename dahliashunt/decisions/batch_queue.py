"""Queue of the batch jobs of one model.

Heaps with lazy deletion: all jobs by latest start, the callers by virtual
time, and each caller's jobs by latest start and by service received. An entry
is stale when its job has a newer version.
"""

from dataclasses import dataclass
from dataclasses import field
import heapq

from dahliashunt.ids import CallerId
from dahliashunt.ids import JobId
from dahliashunt.ids import ModelId

__all__ = ["JobDemand", "ModelQueue"]

# Averaging time of a model's token rate: longer than a burst of online work,
# shorter than the laxity of a job.
_RATE_WINDOW_MS = 60_000.0
# Weight of one grant in the moving average of the urgent fraction.
_URGENT_WEIGHT = 0.01
# A heap is rebuilt above _MIN_HEAP_ENTRIES plus this many entries a job.
_HEAP_ENTRIES_PER_JOB = 4
_MIN_HEAP_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class JobDemand:
    """Remaining demand of a job.

    Attributes
    ----------
    due_ms : int
        Deadline, in monotonic milliseconds.
    items_left : int
        Items that are ready to be sent.
    item_tokens : int
        Expected tokens of one item, prompt and answer.
    weight : float
        Weight of the caller's fair share.
    """

    job_id: JobId
    caller: CallerId
    model: ModelId
    due_ms: int
    items_left: int
    item_tokens: int
    weight: float = 1.0


@dataclass(slots=True)
class _Job:
    demand: JobDemand
    left: int
    version: int
    served: float = 0.0
    latest_start_ms: float = 0.0


@dataclass(slots=True)
class _Caller:
    virtual_time: float
    grants: int = 0
    by_start: list = field(default_factory=list)
    by_served: list = field(default_factory=list)
    jobs: set = field(default_factory=set)
    queued: bool = False


class ModelQueue:
    """Jobs that wait for one model.

    Parameters
    ----------
    rate_prior : float
        Assumed tokens per second before any were granted.
    nearly_done_items, least_served_every : int
        See `BatchOrderPolicy`.
    """

    def __init__(
        self,
        rate_prior: float,
        nearly_done_items: int,
        least_served_every: int,
    ):
        self._nearly_done_items = nearly_done_items
        self._least_served_every = least_served_every
        self._rate = rate_prior / 1000
        self._rate_at_ms: int | None = None
        self._rate_tokens = 0.0
        self._jobs_by_id: dict[JobId, _Job] = {}
        self._callers_by_id: dict[CallerId, _Caller] = {}
        self._by_start: list = []
        self._by_virtual: list = []
        self._virtual_time = 0.0
        self._version = 0
        self.urgent_fraction = 0.0

    def __bool__(self) -> bool:
        return bool(self._jobs_by_id)

    def put(self, demand: JobDemand) -> None:
        """Add a job, or update its remaining items."""
        known = self._jobs_by_id.get(demand.job_id)
        if (
            known
            and known.demand == demand
            and known.left == demand.items_left
        ):
            return
        served = known.served if known else self._min_served(demand.caller)
        job = _Job(demand, demand.items_left, 0, served)
        self._jobs_by_id[demand.job_id] = job
        caller = self._callers_by_id.get(demand.caller)
        if caller is None:
            caller = _Caller(self._virtual_time)
            self._callers_by_id[demand.caller] = caller
        caller.jobs.add(demand.job_id)
        self._push(job, caller)
        self._compact(caller)

    def drop(self, job_id: JobId) -> None:
        """Remove a job."""
        job = self._jobs_by_id.pop(job_id, None)
        if job is None:
            return
        caller = self._callers_by_id[job.demand.caller]
        caller.jobs.discard(job_id)
        # A caller ahead of the virtual time is kept: if forgotten, it would
        # regain a full share with each small job.
        if not caller.jobs and caller.virtual_time <= self._virtual_time:
            del self._callers_by_id[job.demand.caller]

    def next_urgent(self, now: int, urgent_ms: int) -> JobId | None:
        """Return the job with the earliest latest start if it is urgent."""
        heap = self._by_start
        while heap:
            start, version, job_id = heap[0]
            job = self._live_job(job_id, version)
            if job is None or job.demand.due_ms <= now:
                heapq.heappop(heap)
                continue
            return job_id if start <= now + urgent_ms else None
        return None

    def next_fair(self) -> JobId | None:
        """Return the next job of the caller with the least virtual time."""
        heap = self._by_virtual
        while heap:
            virtual_time, caller_id = heap[0]
            caller = self._callers_by_id.get(caller_id)
            job_id = self._next_job_of(caller) if caller else None
            if caller is None or job_id is None:
                heapq.heappop(heap)
                if caller is not None:
                    caller.queued = False
                continue
            if virtual_time < caller.virtual_time:
                heapq.heapreplace(heap, (caller.virtual_time, caller_id))
                continue
            return job_id
        return None

    def charge(self, now: int, job_id: JobId, urgent: bool) -> None:
        """Charge one sent item to the job and its caller."""
        job = self._jobs_by_id[job_id]
        caller = self._callers_by_id[job.demand.caller]
        tokens = max(1, job.demand.item_tokens)
        self._virtual_time = max(
            self._virtual_time,
            min(caller.virtual_time, self._min_virtual_time()),
        )
        caller.virtual_time += tokens / job.demand.weight
        caller.grants += 1
        job.served += tokens / job.demand.weight
        job.left -= 1
        self.urgent_fraction += _URGENT_WEIGHT * (
            urgent - self.urgent_fraction
        )
        self._update_rate(now, tokens)
        self._push(job, caller)

    def _push(self, job: _Job, caller: _Caller) -> None:
        self._version += 1
        job.version = self._version
        if job.left <= 0:
            return
        demand = job.demand
        needed_ms = job.left * demand.item_tokens / self._rate
        start = demand.due_ms - needed_ms
        is_large = job.left > self._nearly_done_items
        entry = (start, job.version, demand.job_id)
        heapq.heappush(self._by_start, entry)
        heapq.heappush(caller.by_start, (is_large, *entry))
        heapq.heappush(
            caller.by_served, (job.served, job.version, demand.job_id)
        )
        if not caller.queued:
            caller.queued = True
            caller.virtual_time = max(caller.virtual_time, self._virtual_time)
            heapq.heappush(
                self._by_virtual, (caller.virtual_time, demand.caller)
            )

    def _compact(self, caller: _Caller) -> None:
        """Rebuild heaps that hold mostly stale entries.

        Stale entries are only popped at the top, so that updates of jobs
        further down would accumulate without bound.
        """
        max_entries = (
            _HEAP_ENTRIES_PER_JOB * len(caller.jobs) + _MIN_HEAP_ENTRIES
        )
        if (
            len(caller.by_start) > max_entries
            or len(caller.by_served) > max_entries
        ):
            caller.by_start = self._live_entries(caller.by_start)
            caller.by_served = self._live_entries(caller.by_served)
        max_entries = (
            _HEAP_ENTRIES_PER_JOB * len(self._jobs_by_id) + _MIN_HEAP_ENTRIES
        )
        if len(self._by_start) > max_entries:
            self._by_start = self._live_entries(self._by_start)

    def _live_entries(self, heap: list) -> list:
        live = [e for e in heap if self._live_job(e[-1], e[-2]) is not None]
        heapq.heapify(live)
        return live

    def _next_job_of(self, caller: _Caller) -> JobId | None:
        least_served_turn = (
            caller.grants % self._least_served_every
            == self._least_served_every - 1
        )
        heap = caller.by_served if least_served_turn else caller.by_start
        while heap:
            version, job_id = heap[0][-2:]
            if self._live_job(job_id, version) is not None:
                return job_id
            heapq.heappop(heap)
        return None

    def _live_job(self, job_id: JobId, version: int) -> _Job | None:
        job = self._jobs_by_id.get(job_id)
        if job is None or job.version != version or job.left <= 0:
            return None
        return job

    def _min_virtual_time(self) -> float:
        return (
            self._by_virtual[0][0] if self._by_virtual else self._virtual_time
        )

    def _min_served(self, caller_id: CallerId) -> float:
        caller = self._callers_by_id.get(caller_id)
        if caller is None:
            return 0.0
        jobs = (self._jobs_by_id[j].served for j in caller.jobs)
        return min(jobs, default=0.0)

    def _update_rate(self, now: int, tokens: int) -> None:
        if self._rate_at_ms is None:
            self._rate_at_ms = now
        elapsed = now - self._rate_at_ms
        if elapsed >= 1_000:
            weight = min(1.0, elapsed / _RATE_WINDOW_MS)
            seen = self._rate_tokens / elapsed
            self._rate += weight * (seen - self._rate)
            self._rate = max(self._rate, 1e-3)
            self._rate_at_ms = now
            self._rate_tokens = 0.0
        self._rate_tokens += tokens
