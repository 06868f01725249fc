"""Statuses of responses that follow an attempt at a replica.

To callers, the statuses in `NOT_RUN_STATUSES` promise that the request has
not run and never will. A replica's own response with such a status, without
proof that nothing ran, says no such thing: a replica may return 429 after it
has charged a quota, or 503 after a failed write. It is relayed with
`UNKNOWN_OUTCOME_STATUS`, and without its signature, which covers the status,
or a delay for the retry.
"""

from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.forwarding.call_state import CallState
from dahliashunt.forwarding.ports import ResponseSink

__all__ = ["NOT_RUN_STATUSES", "UNKNOWN_OUTCOME_STATUS", "start_relayed"]

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that the request did not and will not run."""

UNKNOWN_OUTCOME_STATUS = 502
"""Replaces a status of `NOT_RUN_STATUSES` if the request may have run."""

RETRY_AFTER = "retry-after"


async def start_relayed(
    forwarder,
    state: CallState,
    sink: ResponseSink,
    head: ResponseHead,
    length: int | None,
) -> None:
    """Start the response to the caller with a replica's `head`.

    Parameters
    ----------
    forwarder : Forwarder
    state : CallState
    sink : ResponseSink
    head : ResponseHead
        Head of a response of a replica that may have run the call.
    length : int or None
        Bytes of the body; None if unknown.
    """
    headers = forwarder.dialect.relayed_headers(head)
    status = head.status
    if status in NOT_RUN_STATUSES:
        status = UNKNOWN_OUTCOME_STATUS
        headers = [
            pair
            for pair in forwarder.dialect.unsigned_headers(head)
            if pair[0] != RETRY_AFTER
        ]
        forwarder.metrics.count("statuses_replaced", status=str(head.status))
        forwarder.log.info(
            "status_replaced",
            request_id=state.call.request_id,
            route=state.route.name,
            status=head.status,
            sent=status,
        )
    await sink.start(status, headers, length)
