"""Periodic checkpoints of a node's unfinished items."""

from dahliashunt.jobs.partials import fits_row
from dahliashunt.jobs.partials import PartialTexts
from dahliashunt.jobs.worker import JobWorker
from dahliashunt.ports import Clock

__all__ = ["Checkpoints"]

SAVE_PERIOD_MS = 1_000
"""Time between saves: bounds the work that an item loses with its node."""

MIN_EVENTS = 10
"""New events since the last save that are worth a write."""


class Checkpoints:
    """Saves the partial texts of a worker's items.

    Parameters
    ----------
    worker : JobWorker
    partials : PartialTexts
    clock : Clock
    """

    def __init__(
        self, worker: JobWorker, partials: PartialTexts, clock: Clock
    ):
        self._worker = worker
        self._partials = partials
        self._clock = clock

    async def run(self) -> None:
        """Save periodically until cancelled."""
        while True:
            await self._clock.sleep_ms(SAVE_PERIOD_MS)
            await self.save(MIN_EVENTS)

    async def save(self, min_events: int = 1) -> bool:
        """Save the items with enough new events since their last save.

        Parameters
        ----------
        min_events : int

        Returns
        -------
        bool
            Whether all of them were saved.
        """
        items_by_name = {
            (job_id, item.index): item
            for job_id, item in self._worker.unfinished()
            if item.last_event - item.saved_event >= min_events
        }
        made = [
            item.partial(job_id) for (job_id, _), item in items_by_name.items()
        ]
        partials = [partial for partial in made if fits_row(partial)]
        taken = await self._partials.save(partials)
        for saved in taken:
            items_by_name[saved.job_id, saved.index].note_saved(saved)
        return len(taken) == len(partials)
