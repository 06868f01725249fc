"""Runs batch items on the fleet: the batch service's `ItemRunner`."""

from dahliashunt.adapters.wire.gen.link.ttypes import End
from dahliashunt.adapters.wire.gen.link.ttypes import Open
from dahliashunt.adapters.wire.gen.link.ttypes import Priority
from dahliashunt.batch.items import BatchItem
from dahliashunt.batch.items import ItemEnd
from dahliashunt.batch.items import ItemOutcome
from dahliashunt.entry.calls import BatchCall
from dahliashunt.entry.messages import BatchGone
from dahliashunt.entry.messages import SendItem
from dahliashunt.entry.openai_requests import fingerprint
from dahliashunt.entry.openai_requests import parse_model_call
from dahliashunt.entry.sse import whole_answer
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.ids import ModelId
from dahliashunt.ids import RequestId

__all__ = ["BatchRunner"]

ITEM_TIMEOUT_MS = 1_800_000
START_WITHIN_MS = 600_000
"""A batch item may wait long at an agent; giving way is its nature."""

_END_BY_WIRE_END = {
    End.NOT_RUN: ItemEnd.NOT_RUN,
    End.UNKNOWN: ItemEnd.UNKNOWN,
    End.FAILED: ItemEnd.FAILED,
}


class BatchRunner:
    """`ItemRunner` over the dispatcher.

    Parameters
    ----------
    dispatcher : Dispatcher
    access : Access
    """

    def __init__(self, dispatcher, access):
        self._dispatcher = dispatcher
        self._access = access

    def room(self) -> dict[ModelId, int]:
        """Return by model how many more items could start now."""
        return self._dispatcher.places.room_by_model()

    async def run(self, item: BatchItem) -> ItemOutcome:
        """Run one try; cancelling the task ends the engine's stream.

        An item does not run on records older than those that permitted it:
        they may lack its caller or model, which would end it for good.
        """
        if self._access.revision < item.revision:
            return ItemOutcome(ItemEnd.NOT_RUN, kind=ErrorKind.NO_ENDPOINT)
        try:
            self._access.accepts_batch(item.caller, item.model)
            call = _call_of(item)
        except RequestError as error:
            return ItemOutcome(
                ItemEnd.FAILED, kind=error.kind, message=error.message
            )
        self._dispatcher.mailbox.put(SendItem(call))
        try:
            ((attempt, outcome),) = await call.replies.take()
        finally:
            self._dispatcher.mailbox.put(BatchGone(call))
        if outcome is None:
            return ItemOutcome(ItemEnd.NOT_RUN, kind=ErrorKind.NO_ENDPOINT)
        return _outcome_of(call, attempt, outcome)


def _call_of(item):
    parsed = parse_model_call(item.url, item.body)
    opening = Open(
        request_id=item.request_id,
        caller=item.caller,
        model=parsed.model,
        priority=Priority.BATCH,
        method="POST",
        path=item.url,
        body=parsed.body,
        idempotent=True,
        timeout_ms=ITEM_TIMEOUT_MS,
        fingerprint=fingerprint(item.caller, item.url, item.body),
        prompt_tokens=parsed.prompt_tokens,
        max_tokens=parsed.max_tokens,
        alone=False,
        start_within_ms=START_WITHIN_MS,
        headers={"Content-Type": "application/json"},
        job_id=item.job_id,
    )
    return BatchCall(RequestId(item.request_id), opening)


def _outcome_of(call, attempt, outcome):
    if outcome.end != End.DONE:
        kind = outcome.error_kind
        return ItemOutcome(
            _END_BY_WIRE_END[outcome.end],
            kind=None if kind is None else ErrorKind(kind),
            message=outcome.message or "",
        )
    data = b"".join(call.pieces)
    if attempt.status != 200:
        return ItemOutcome(ItemEnd.DONE, attempt.status, data)
    try:
        return ItemOutcome(ItemEnd.DONE, 200, whole_answer(data))
    except RequestError as error:
        return ItemOutcome(
            ItemEnd.UNKNOWN, kind=error.kind, message=error.message
        )
