"""Joins the batch service to the decision on the order of its items."""

from random import Random

from dahliashunt.batch import order_port
from dahliashunt.decisions.batch_order import BatchOrder
from dahliashunt.decisions.batch_order import BatchOrderPolicy
from dahliashunt.decisions.batch_queue import JobDemand

__all__ = ["DecidedOrder", "make_order"]

ITEM_TOKENS = 512
"""Work of an item, as long as none of its job has been seen to end."""


class DecidedOrder:
    """`JobOrder` by the policy of `dahliashunt.decisions.batch_order`."""

    def __init__(self, order: BatchOrder):
        self._order = order

    def job(self, now: int, shape: order_port.JobDemand) -> None:
        """Take note of a job, or of how it has changed."""
        self._order.job(
            now,
            JobDemand(
                job_id=shape.job_id,
                caller=shape.caller,
                model=shape.model,
                due_ms=shape.deadline_ms,
                items_left=shape.items_left,
                item_tokens=ITEM_TOKENS,
            ),
        )

    def remove_job(self, job_id) -> None:
        """Forget a job."""
        self._order.remove_job(job_id)

    def choose(self, now: int, room_by_model) -> list[order_port.Grant]:
        """Return whose items to start in the room there is."""
        return [
            order_port.Grant(grant.job_id, grant.items)
            for grant in self._order.choose(now, room_by_model)
        ]

    def item_failed(self, now: int, job_id) -> None:
        """Do nothing: the batch service bounds and spaces the tries."""


def make_order(rng: Random) -> DecidedOrder:
    """Return the order that the entry uses."""
    return DecidedOrder(BatchOrder(BatchOrderPolicy(), rng))
