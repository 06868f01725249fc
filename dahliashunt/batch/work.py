"""The work under one claim: what waits, runs, is held and is committed.

Pure: events and `now` in, typed results out; `BatchService` owns the I/O.
"""

from collections import deque
from dataclasses import replace
import heapq
import random

from dahliashunt.batch.chunk import ChunkRecord
from dahliashunt.batch.held import CommitBatch
from dahliashunt.batch.held import Held
from dahliashunt.batch.items import BadItem
from dahliashunt.batch.items import BatchItem
from dahliashunt.batch.items import custom_id_of
from dahliashunt.batch.items import error_line
from dahliashunt.batch.items import ItemOutcome
from dahliashunt.batch.items import ItemRef
from dahliashunt.batch.items import parse_item
from dahliashunt.batch.items import response_line
from dahliashunt.batch.job import group_bounds
from dahliashunt.batch.job import JobRecord
from dahliashunt.batch.lease import Claim
from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.batch.verdicts import cause
from dahliashunt.batch.verdicts import judge
from dahliashunt.batch.verdicts import Verdict
from dahliashunt.errors import ErrorKind

__all__ = ["ClaimWork"]

_FIRST_ERROR = 400


class ClaimWork:
    """State of one claim's work on one node.

    Parameters
    ----------
    job : JobRecord
    claim : Claim
        As held.
    chunks : dict of int to ChunkRecord
        What is committed, by chunk.
    policy : BatchPolicy
    rng : random.Random
        For jitter and object names.
    """

    def __init__(
        self,
        job: JobRecord,
        claim: Claim,
        chunks: dict[int, ChunkRecord],
        policy: BatchPolicy,
        rng: random.Random,
    ):
        self.job = job
        self.claim = claim
        self._policy = policy
        self._rng = rng
        first, end = group_bounds(job, claim.group)
        self._records = {
            number: chunks.get(number) or ChunkRecord(job.job_id, number)
            for number in range(first, end)
        }
        self._unloaded = deque(
            number for number in self._records if self._open(number)
        )
        self._left = sum(map(self._open, self._records))
        self._ready: deque[BatchItem] = deque()
        self._retries: list[tuple[int, ItemRef, BatchItem]] = []
        self._tries: dict[ItemRef, int] = {}
        self._begun: dict[int, int] = {}
        self._held: dict[int, Held] = {}
        self._committing: dict[int, CommitBatch] = {}
        self._running = 0

    @property
    def key(self) -> tuple[str, int]:
        """Job id and group."""
        return self.job.job_id, self.claim.group

    @property
    def finished(self) -> bool:
        """Whether every item of the group is committed."""
        return not self._left

    @property
    def running(self) -> int:
        """Tries in progress."""
        return self._running

    @property
    def unsettled(self) -> bool:
        """Whether results wait for a commit or for its answer."""
        return bool(self._held or self._committing)

    @property
    def held_bytes(self) -> int:
        """Result bytes in memory that are not known to be committed."""
        return sum(held.size for held in self._held.values()) + sum(
            len(batch.data) for batch in self._committing.values()
        )

    @property
    def loaded(self) -> int:
        """Loaded items that wait for their first try."""
        return len(self._ready)

    def startable(self, now: int) -> int:
        """Return how many items could start, now or after loading."""
        due = sum(1 for retry in self._retries if retry[0] <= now)
        unloaded = sum(self._unbegun(number) for number in self._unloaded)
        return due + len(self._ready) + unloaded

    @property
    def has_retries(self) -> bool:
        """Whether an item waits for its next try."""
        return bool(self._retries)

    def retry_due(self, now: int) -> bool:
        """Return whether an item waits for no more than its turn."""
        return bool(self._retries) and self._retries[0][0] <= now

    def next_load(self) -> int | None:
        """Return the next chunk to load, if the loaded items ran out."""
        if self._ready or not self._unloaded:
            return None
        return self._unloaded.popleft()

    def load_failed(self, chunk: int) -> None:
        """Put a chunk back that could not be read now."""
        self._unloaded.appendleft(chunk)

    def load(self, chunk: int, lines: list[bytes], now: int) -> None:
        """Take a chunk's lines; ones that are no requests end at once."""
        record = self._records[chunk]
        passed = record.answered | self._begun.get(chunk, 0)
        for index, line in enumerate(lines):
            if passed >> index & 1:
                continue
            ref = ItemRef(chunk, index)
            try:
                item = parse_item(
                    line,
                    self.job.job_id,
                    self.job.caller,
                    ref,
                    self.job.endpoint,
                    self.job.model,
                )
            except BadItem as error:
                self._fail(
                    ref,
                    custom_id_of(line),
                    ErrorKind.BAD_REQUEST,
                    str(error),
                    now,
                )
                continue
            tries = record.attempts.get(index, 0)
            self._ready.append(
                replace(item, attempt=tries, revision=self.job.revision)
            )

    def unload(self) -> None:
        """Forget the loaded items that were not started."""
        if self._ready:
            self._unloaded.appendleft(self._ready[0].ref.chunk)
            self._ready.clear()

    def lost_chunk(self, chunk: int, now: int) -> None:
        """End the items of a chunk whose input is gone from the store."""
        passed = self._records[chunk].answered | self._begun.get(chunk, 0)
        for index in range(self.job.lines[chunk]):
            if not passed >> index & 1:
                self._fail(
                    ItemRef(chunk, index),
                    "",
                    ErrorKind.INTERNAL,
                    "the item is missing from the store",
                    now,
                )

    def start(self, items: int, now: int) -> list[BatchItem]:
        """Return up to `items` items whose next try starts now.

        Retries go first: they are the oldest, and hold their chunk open.
        """
        started = []
        while len(started) < items:
            if self._retries and self._retries[0][0] <= now:
                started.append(heapq.heappop(self._retries)[2])
            elif self._ready:
                started.append(self._ready.popleft())
                self._begin(started[-1].ref)
            else:
                break
        self._running += len(started)
        return started

    def ended(
        self, item: BatchItem, outcome: ItemOutcome, now: int
    ) -> Verdict:
        """Take the end of one try; return what follows from it."""
        self._running -= 1
        verdict = judge(outcome, item.attempt, self._policy)
        if verdict is Verdict.ANSWERED:
            line = response_line(
                self.job.job_id, item.ref, item.custom_id, outcome
            )
            self._hold(item.ref, line, outcome.status < _FIRST_ERROR, now)
        elif verdict is Verdict.FAILED:
            kind, message = cause(outcome)
            self._fail(item.ref, item.custom_id, kind, message, now)
        else:
            self._repeat(item, verdict is Verdict.COUNTED_REPEAT, now)
        return verdict

    def due_commit(
        self, now: int, all_held: bool = False
    ) -> CommitBatch | None:
        """Return a batch to commit, if one is due; one at a time a chunk."""
        for chunk, held in self._held.items():
            if chunk in self._committing:
                continue
            if all_held or self._is_due(chunk, held, now):
                return self._batch(chunk)
        return None

    def committed(self, record: ChunkRecord) -> None:
        """Take note that the chunk's commit in progress took effect."""
        batch = self._committing.pop(record.chunk)
        part = batch.part
        self._left -= (part.done | part.failed).bit_count()
        self._records[record.chunk] = record

    def _open(self, number):
        """Return how many items of a chunk are not committed."""
        answered = self._records[number].answered.bit_count()
        return self.job.lines[number] - answered

    def _unbegun(self, number):
        """Return how many items of a chunk were never started here."""
        passed = self._records[number].answered | self._begun.get(number, 0)
        return self.job.lines[number] - passed.bit_count()

    def _begin(self, ref):
        bits = self._begun.get(ref.chunk, 0)
        self._begun[ref.chunk] = bits | 1 << ref.index

    def _is_due(self, chunk, held, now):
        waiting = self._open(chunk) - len(held)
        return (
            not waiting
            or len(held) >= self._policy.commit_items
            or held.size >= self._policy.commit_bytes
            or now - held.since_ms >= self._policy.commit_age_ms
        )

    def _batch(self, chunk):
        before = self._records[chunk]
        tries_by_index = dict(before.attempts)
        for ref, tries in self._tries.items():
            if ref.chunk == chunk:
                tries_by_index[ref.index] = tries
        batch = self._held.pop(chunk).batch(
            before, self._part_name(chunk), tries_by_index
        )
        self._committing[chunk] = batch
        return batch

    def _part_name(self, chunk):
        return (
            f"results/{self.job.job_id}/{chunk:05d}/"
            f"{self.claim.token}-{self._rng.getrandbits(96):024x}"
        )

    def _repeat(self, item, counted, now):
        tries = item.attempt + counted
        if counted:
            self._tries[item.ref] = tries
        ceiling = min(
            self._policy.retry_max_ms, self._policy.retry_base_ms << tries
        )
        delay = self._rng.randint(ceiling // 2, ceiling)
        again = replace(item, attempt=tries)
        heapq.heappush(self._retries, (now + delay, item.ref, again))

    def _fail(self, ref, custom_id, kind, message, now):
        line = error_line(self.job.job_id, ref, custom_id, kind, message)
        self._hold(ref, line, False, now)

    def _hold(self, ref, line, is_output, now):
        self._begin(ref)
        held = self._held.setdefault(ref.chunk, Held(now))
        held.add(ref.index, line, is_output)
        self._tries.pop(ref, None)
