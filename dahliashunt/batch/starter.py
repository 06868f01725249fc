"""Starts items in the room that the fleet offers to batch."""

from collections.abc import Callable
import random

from dahliashunt.batch.items import ItemRunner
from dahliashunt.batch.order_port import Grant
from dahliashunt.batch.order_port import JobDemand
from dahliashunt.batch.order_port import JobOrder
from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.batch.slots import Slot
from dahliashunt.batch.slots import Slots
from dahliashunt.ids import JobId
from dahliashunt.ports.clock import Clock

__all__ = ["Starter"]


class Starter:
    """Tells the order how jobs stand, and starts what it grants.

    Parameters
    ----------
    slots : Slots
    order : JobOrder
    runner : ItemRunner
    clock : Clock
    policy : BatchPolicy
    rng : random.Random
    run : callable
        Starts one try of a slot's item.
    load : callable
        Starts to load a slot's input chunk.
    """

    def __init__(
        self,
        slots: Slots,
        order: JobOrder,
        runner: ItemRunner,
        clock: Clock,
        policy: BatchPolicy,
        rng: random.Random,
        run: Callable,
        load: Callable,
    ):
        self._slots = slots
        self._order = order
        self._runner = runner
        self._clock = clock
        self._policy = policy
        self._rng = rng
        self._run = run
        self._load = load
        self._dirty: dict[JobId, None] = {}

    def changed(self, job_id: JobId) -> None:
        """Note that the order must hear how the job stands now."""
        self._dirty[job_id] = None

    def failed(self, job_id: JobId) -> None:
        """Note that a try of one of the job's items failed."""
        self._order.item_failed(self._clock.now_ms(), job_id)

    def tell_order(self) -> None:
        """Tell the order what has changed since the last time."""
        now = self._clock.now_ms()
        for job_id in self._dirty:
            slots = self._active(job_id)
            if slots:
                self._order.job(now, self._shape(slots, now))
            else:
                self._order.remove_job(job_id)
        self._dirty.clear()

    def start(self) -> None:
        """Start as many items as there is room for."""
        # Without this bound a store outage of minutes would fill the
        # memory with results that cannot be committed.
        held = sum(slot.work.held_bytes for slot in self._slots.busy())
        if held >= self._policy.held_bytes:
            return
        room = {
            model: free for model, free in self._runner.room().items() if free
        }
        if not room:
            return
        now = self._clock.now_ms()
        for grant in self._order.choose(now, room):
            self._start_granted(grant, now)

    def _start_granted(self, grant: Grant, now):
        left = grant.items
        self._dirty[grant.job_id] = None
        for slot in self._active(grant.job_id):
            items = slot.work.start(left, now)
            left -= len(items)
            for item in items:
                self._run(slot, item)
            if not left:
                return
            self._load_next(slot)

    def _load_next(self, slot):
        """Load the slot's next chunk, in place of another if need be."""
        if slot.loading:
            return
        loaded = [other for other in self._slots.busy() if other.holds_lines]
        if len(loaded) >= self._policy.loaded_chunks:
            idle = [other for other in loaded if not other.loading]
            if not idle:
                return
            self._rng.choice(idle).work.unload()
        chunk = slot.work.next_load()
        if chunk is not None:
            slot.loading = True
            self._load(slot, chunk)

    def _active(self, job_id) -> list[Slot]:
        return [slot for slot in self._slots.of_job(job_id) if slot.active]

    def _shape(self, slots, now):
        job = slots[0].work.job
        return JobDemand(
            job.job_id,
            job.caller,
            job.model,
            sum(slot.work.startable(now) for slot in slots),
            now + job.deadline_ms - self._clock.wall_ms(),
        )
