"""HTTP dialect of replicas: requests, responses and load reports."""

from dataclasses import dataclass
import json

from dahliashunt.adapters.http1 import encode_request
from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.platform.names import BUDGET
from dahliashunt.platform.names import EXPECTED_REPLICA
from dahliashunt.platform.names import HOP_BY_HOP
from dahliashunt.platform.names import LAST_EVENT
from dahliashunt.platform.names import NOT_RUN
from dahliashunt.platform.names import REQUEST_ID
from dahliashunt.platform.names import SIGNATURE
from dahliashunt.platform.names import WORKSPACE

__all__ = ["PlatformDialect", "ReplicaReport", "decode_report"]

REPORT_PATH = "/api/report"
_REPLACED_HEADERS = HOP_BY_HOP | {
    BUDGET,
    EXPECTED_REPLICA,
    LAST_EVENT,
    WORKSPACE,
}


class PlatformDialect:
    """Implementation of `ReplicaDialect` for the platform's replicas."""

    def request(
        self, call: Call, replica: Replica, left_ms: int, after_event: int
    ) -> bytes:
        """Return `call` as an HTTP request to `replica`."""
        headers = [
            (name, value)
            for name, value in call.headers
            if name.lower() not in _REPLACED_HEADERS
        ]
        headers.append((BUDGET, str(max(1, left_ms))))
        headers.append((EXPECTED_REPLICA, replica.replica_id))
        if call.workspace:
            headers.append((WORKSPACE, call.workspace))
        if after_event:
            headers.append((LAST_EVENT, str(after_event)))
        return encode_request(call.method, call.target, headers, call.body)

    def answers(self, call: Call, head: ResponseHead) -> bool:
        """Tell whether `head` is a response to `call`.

        A late response to an earlier request on the connection carries
        that request's id; one without an id is taken to match.
        """
        echoed = head.get(REQUEST_ID)
        return echoed is None or echoed == call.request_id

    def proves_not_run(self, head: ResponseHead) -> bool:
        """Tell whether the replica reports that it did not run the call."""
        return head.status == 421 or head.get(NOT_RUN) is not None

    def is_signed(self, head: ResponseHead) -> bool:
        """Tell whether the response carries the replica's signature."""
        return head.get(SIGNATURE) is not None

    def relayed_headers(self, head: ResponseHead) -> list[tuple[str, str]]:
        """Return the headers to pass on to the caller."""
        return [
            (name, value)
            for name, value in head.headers
            if name not in HOP_BY_HOP
        ]


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """Load of a replica as reported by itself.

    Attributes
    ----------
    running : frozenset of str
        Ids of running requests.
    running_count, waiting : int
        Numbers of running and of queued requests.
    """

    running: frozenset
    running_count: int
    waiting: int


def decode_report(body: bytes) -> ReplicaReport:
    """Return the report in `body`; raise `ValueError` if it is invalid."""
    try:
        fields = json.loads(body)
        # Each run is [id, tokens in memory, events sent, rank].
        runs = fields.get("runs") or ()
        running = frozenset(str(run[0]) for run in runs)
        return ReplicaReport(
            running=running,
            running_count=int(fields["num-running"]),
            waiting=int(fields["num-waiting"]),
        )
    except (
        KeyError,
        TypeError,
        IndexError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise ValueError(f"invalid replica report: {error!r}") from None
