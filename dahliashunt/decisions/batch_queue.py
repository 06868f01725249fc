"""The jobs that wait for one model, in the order that they are served.

Three heaps with lazy deletion: jobs by latest start over all callers,
callers by virtual time, and each caller's jobs by latest start and by
virtual time. An entry is stale when its job has a newer version.
"""

from dataclasses import dataclass
from dataclasses import field
import heapq

from dahliashunt.ids import CallerId
from dahliashunt.ids import JobId
from dahliashunt.ids import ModelId

__all__ = ["JobDemand", "ModelQueue"]

# The rate of a model is averaged over about a minute: longer than a burst
# of online work, shorter than the time in which laxity matters.
_RATE_MS = 60_000.0
# The part that urgent jobs had is averaged over about this many grants.
_URGENT_WEIGHT = 0.01
_STALE = 4
_STALE_LEAST = 64


@dataclass(frozen=True, slots=True)
class JobDemand:
    """What the order has to know of a job.

    Attributes
    ----------
    due_ms : int
        Monotonic time by which it is due.
    items_left : int
        Items that are ready to be sent.
    item_tokens : int
        Expected work of one item, prompt and answer.
    weight : float
        Its part when callers compete.
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
    shape: JobDemand
    left: int
    version: int
    served: float = 0.0
    latest_start_ms: float = 0.0


@dataclass(slots=True)
class _Caller:
    virtual: float
    grants: int = 0
    by_start: list = field(default_factory=list)
    by_served: list = field(default_factory=list)
    jobs: set = field(default_factory=set)
    queued: bool = False


class ModelQueue:
    """Jobs of one model.

    Parameters
    ----------
    rate_prior : float
        Tokens a second until grants were seen.
    last_items, fair_every : int
        See `BatchOrderPolicy`.
    """

    def __init__(self, rate_prior: float, last_items: int, fair_every: int):
        self._last_items = last_items
        self._fair_every = fair_every
        self._rate = rate_prior / 1000
        self._rate_at_ms: int | None = None
        self._rate_tokens = 0.0
        self._jobs_by_id: dict[JobId, _Job] = {}
        self._callers_by_id: dict[CallerId, _Caller] = {}
        self._by_start: list = []
        self._by_virtual: list = []
        self._virtual = 0.0
        self._version = 0
        self.urgent_part = 0.0

    def __bool__(self) -> bool:
        return bool(self._jobs_by_id)

    def put(self, shape: JobDemand) -> None:
        """Add a job, or set what is left of it."""
        known = self._jobs_by_id.get(shape.job_id)
        if known and known.shape == shape and known.left == shape.items_left:
            return
        served = known.served if known else self._least_served(shape.caller)
        job = _Job(shape, shape.items_left, 0, served)
        self._jobs_by_id[shape.job_id] = job
        caller = self._callers_by_id.get(shape.caller)
        if caller is None:
            caller = _Caller(self._virtual)
            self._callers_by_id[shape.caller] = caller
        caller.jobs.add(shape.job_id)
        self._push(job, caller)
        self._compact(caller)

    def drop(self, job_id: JobId) -> None:
        """Remove a job."""
        job = self._jobs_by_id.pop(job_id, None)
        if job is None:
            return
        caller = self._callers_by_id[job.shape.caller]
        caller.jobs.discard(job_id)
        # A caller who is ahead of the others stays known, else it would
        # come back with a fresh share after each small job.
        if not caller.jobs and caller.virtual <= self._virtual:
            del self._callers_by_id[job.shape.caller]

    def urgent(self, now: int, urgent_ms: int) -> JobId | None:
        """Return the job nearest to its latest start, if that is near."""
        heap = self._by_start
        while heap:
            start, version, job_id = heap[0]
            job = self._live(job_id, version)
            if job is None or job.shape.due_ms <= now:
                heapq.heappop(heap)
                continue
            return job_id if start <= now + urgent_ms else None
        return None

    def fair(self) -> JobId | None:
        """Return the next job of the caller who had least."""
        heap = self._by_virtual
        while heap:
            virtual, caller_id = heap[0]
            caller = self._callers_by_id.get(caller_id)
            job_id = self._next_of(caller) if caller else None
            if caller is None or job_id is None:
                heapq.heappop(heap)
                if caller is not None:
                    caller.queued = False
                continue
            if virtual < caller.virtual:
                heapq.heapreplace(heap, (caller.virtual, caller_id))
                continue
            return job_id
        return None

    def take(self, now: int, job_id: JobId, urgent: bool) -> None:
        """Charge one item of the job that is sent."""
        job = self._jobs_by_id[job_id]
        caller = self._callers_by_id[job.shape.caller]
        tokens = max(1, job.shape.item_tokens)
        self._virtual = max(self._virtual, min(caller.virtual, self._least()))
        caller.virtual += tokens / job.shape.weight
        caller.grants += 1
        job.served += tokens / job.shape.weight
        job.left -= 1
        self.urgent_part += _URGENT_WEIGHT * (urgent - self.urgent_part)
        self._learn_rate(now, tokens)
        self._push(job, caller)

    def _push(self, job: _Job, caller: _Caller) -> None:
        self._version += 1
        job.version = self._version
        if job.left <= 0:
            return
        shape = job.shape
        needed_ms = job.left * shape.item_tokens / self._rate
        start = shape.due_ms - needed_ms
        last = job.left > self._last_items
        entry = (start, job.version, shape.job_id)
        heapq.heappush(self._by_start, entry)
        heapq.heappush(caller.by_start, (last, *entry))
        heapq.heappush(
            caller.by_served, (job.served, job.version, shape.job_id)
        )
        if not caller.queued:
            caller.queued = True
            caller.virtual = max(caller.virtual, self._virtual)
            heapq.heappush(self._by_virtual, (caller.virtual, shape.caller))

    def _compact(self, caller: _Caller) -> None:
        """Rebuild heaps that hold mostly stale entries.

        Stale entries leave when they come to the top; updates of jobs far
        from it would let them pile up without bound.
        """
        most = _STALE * len(caller.jobs) + _STALE_LEAST
        if len(caller.by_start) > most or len(caller.by_served) > most:
            caller.by_start = self._only_live(caller.by_start)
            caller.by_served = self._only_live(caller.by_served)
        most = _STALE * len(self._jobs_by_id) + _STALE_LEAST
        if len(self._by_start) > most:
            self._by_start = self._only_live(self._by_start)

    def _only_live(self, heap: list) -> list:
        live = [e for e in heap if self._live(e[-1], e[-2]) is not None]
        heapq.heapify(live)
        return live

    def _next_of(self, caller: _Caller) -> JobId | None:
        turn = caller.grants % self._fair_every == self._fair_every - 1
        heap = caller.by_served if turn else caller.by_start
        while heap:
            version, job_id = heap[0][-2:]
            if self._live(job_id, version) is not None:
                return job_id
            heapq.heappop(heap)
        return None

    def _live(self, job_id: JobId, version: int) -> _Job | None:
        job = self._jobs_by_id.get(job_id)
        if job is None or job.version != version or job.left <= 0:
            return None
        return job

    def _least(self) -> float:
        return self._by_virtual[0][0] if self._by_virtual else self._virtual

    def _least_served(self, caller_id: CallerId) -> float:
        caller = self._callers_by_id.get(caller_id)
        if caller is None:
            return 0.0
        jobs = (self._jobs_by_id[j].served for j in caller.jobs)
        return min(jobs, default=0.0)

    def _learn_rate(self, now: int, tokens: int) -> None:
        if self._rate_at_ms is None:
            self._rate_at_ms = now
        elapsed = now - self._rate_at_ms
        if elapsed >= 1_000:
            weight = min(1.0, elapsed / _RATE_MS)
            seen = self._rate_tokens / elapsed
            self._rate += weight * (seen - self._rate)
            self._rate = max(self._rate, 1e-3)
            self._rate_at_ms = now
            self._rate_tokens = 0.0
        self._rate_tokens += tokens
