"""The claims that an owner works on, by claim, by job, and the busy ones.

A node may hold hundreds of claims of which a few have anything going on.
Each turn of the owner looks at the busy ones only.
"""

import asyncio
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

from dahliashunt.batch.items import ItemRef
from dahliashunt.batch.messages import Key
from dahliashunt.batch.work import ClaimWork
from dahliashunt.ids import JobId

__all__ = ["Slot", "Slots"]


@dataclass(slots=True)
class Slot:
    """One claim's work and the tasks that belong to it.

    Attributes
    ----------
    tries : dict of ItemRef to Task
        Items that run.
    io : set of Task
        Calls of the store.
    stopping : bool
        Its job is known to be cancelled or expired.
    ending : bool
        Its last step runs.
    expiring : bool
        Its job's expiry was asked for.
    """

    work: ClaimWork
    opened_ms: int
    tries: dict[ItemRef, asyncio.Task] = field(default_factory=dict)
    io: set[asyncio.Task] = field(default_factory=set)
    loading: bool = False
    stopping: bool = False
    ending: bool = False
    expiring: bool = False

    @property
    def active(self) -> bool:
        """Whether items may start and results be committed."""
        return not self.stopping and not self.ending

    @property
    def holds_lines(self) -> bool:
        """Whether it has an input chunk in memory, or soon will."""
        return self.loading or bool(self.work.loaded)

    @property
    def busy(self) -> bool:
        """Whether a turn of the owner has anything to do for it."""
        return (
            bool(self.tries)
            or self.holds_lines
            or self.stopping
            or self.work.unsettled
            or self.work.finished
            or self.work.has_retries
        )

    def stop(self) -> None:
        """End the streams; nothing of the claim is committed any more."""
        self.stopping = True
        for task in self.tries.values():
            task.cancel()
        self.tries.clear()


class Slots:
    """Slots by claim.

    `touch` must be called with each slot whose state changes.
    """

    def __init__(self):
        self._by_key: dict[Key, Slot] = {}
        self._keys_by_job: dict[JobId, set[Key]] = defaultdict(set)
        self._busy: dict[Key, Slot] = {}

    def __contains__(self, key: Key) -> bool:
        return key in self._by_key

    def __len__(self) -> int:
        return len(self._by_key)

    def __iter__(self) -> Iterator[Slot]:
        return iter(list(self._by_key.values()))

    def add(self, slot: Slot) -> None:
        """Add a slot."""
        key = slot.work.key
        self._by_key[key] = slot
        self._keys_by_job[key[0]].add(key)
        self.touch(slot)

    def get(self, key: Key) -> Slot | None:
        """Return the slot of a claim, or None."""
        return self._by_key.get(key)

    def pop(self, key: Key) -> Slot | None:
        """Remove and return the slot of a claim, if there is one."""
        slot = self._by_key.pop(key, None)
        if slot is not None:
            self._busy.pop(key, None)
            self._keys_by_job[key[0]].discard(key)
            if not self._keys_by_job[key[0]]:
                del self._keys_by_job[key[0]]
        return slot

    def of_job(self, job_id: JobId) -> list[Slot]:
        """Return the slots of a job, in order of group."""
        keys = self._keys_by_job.get(job_id, ())
        return [self._by_key[key] for key in sorted(keys)]

    def touch(self, slot: Slot) -> None:
        """Note that a slot may be busy."""
        self._busy[slot.work.key] = slot

    def busy(self) -> list[Slot]:
        """Return the busy slots, forgetting those that no longer are."""
        idle = [key for key, slot in self._busy.items() if not slot.busy]
        for key in idle:
            del self._busy[key]
        return list(self._busy.values())
