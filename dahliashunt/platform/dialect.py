"""HTTP dialect of replicas: requests, responses and load reports."""

from dataclasses import dataclass
from dataclasses import field

from dahliashunt.adapters.http1 import encode_request
from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.decisions.replica_speed import RunProgress
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
from dahliashunt.platform.prompts import MAX_TOKENS
from dahliashunt.row_fields import FIELD_ERRORS
from dahliashunt.row_fields import parse_json
from dahliashunt.row_fields import text_field
from dahliashunt.row_fields import whole_field

__all__ = ["PlatformDialect", "ReplicaReport", "decode_report"]

REPORT_PATH = "/api/report"
_REPLACED_HEADERS = HOP_BY_HOP | {
    BUDGET,
    EXPECTED_REPLICA,
    LAST_EVENT,
    WORKSPACE,
}

_RAN_STATUSES = (500, 504)
"""Errors that a replica returns for a request that it has started."""


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
        """Tell whether the replica reports that it did not run the call.

        A mark on a success, or on a replica's own 500 or 504, contradicts
        the status and proves nothing.
        """
        if head.status < 400 or head.status in _RAN_STATUSES:
            return False
        return head.status == 421 or head.get(NOT_RUN) is not None

    def names_request(self, head: ResponseHead) -> bool:
        """Tell whether `head` carries the id of the request it is for."""
        return head.get(REQUEST_ID) is not None

    def is_from_replica(self, head: ResponseHead) -> bool:
        """Tell whether a replica has made the response.

        A faulty one may send bytes that are no response of its own. A success
        counts only with the signature; other responses have at least the id
        of their request, which replicas echo.
        """
        if head.get(SIGNATURE) is not None:
            return True
        is_success = 200 <= head.status < 300
        return not is_success and self.names_request(head)

    def unsigned_headers(self, head: ResponseHead) -> list[tuple[str, str]]:
        """Return the headers to pass on with another status.

        The signature covers the status.
        """
        return [
            pair for pair in self.relayed_headers(head) if pair[0] != SIGNATURE
        ]

    def relayed_headers(self, head: ResponseHead) -> list[tuple[str, str]]:
        """Return the headers to pass on to the caller.

        The mark of a request that has not run stays with the entry, which
        alone knows all attempts.
        """
        return [
            (name, value)
            for name, value in head.headers
            if name not in HOP_BY_HOP and name != NOT_RUN
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
    run_by_id : dict
        `RunProgress` of each run that states its tokens and events.
    kv_used, kv_total : int
        Tokens of memory that cannot be reclaimed, and of all memory; 0 if
        unknown.
    tokens_by_run : dict
        Tokens in memory of each running request, where known.
    born_ms : int
        Start of the replica on the wall clock; 0 if unknown.
    """

    running: frozenset
    running_count: int
    waiting: int
    run_by_id: dict[str, RunProgress] = field(default_factory=dict)
    kv_used: int = 0
    kv_total: int = 0
    tokens_by_run: dict[str, int] = field(default_factory=dict)
    born_ms: int = 0


def decode_report(body: bytes) -> ReplicaReport:
    """Return the report in `body`; raise `ValueError` if it is invalid.

    Missing or invalid counts of tokens are unknown, not an error.
    """
    try:
        fields = parse_json(body)
        # Each run is [id, tokens in memory, events sent, rank].
        runs = fields.get("runs") or ()
        running = frozenset(_run_id(run[0]) for run in runs)
        return ReplicaReport(
            running=running,
            running_count=int(fields["num-running"]),
            waiting=int(fields["num-waiting"]),
            run_by_id=_run_by_id(runs),
            kv_used=_tokens(fields.get("kv-used")),
            kv_total=_tokens(fields.get("kv-total")),
            tokens_by_run={
                _run_id(run[0]): _tokens(run[1])
                for run in runs
                if len(run) > 1
            },
            born_ms=_born_ms(fields.get("born")),
        )
    except FIELD_ERRORS as error:
        raise ValueError(f"invalid replica report: {error!r}") from None


def _run_id(value):
    # `str` of a list that is nested deeply raises `RecursionError`.
    return str(value) if type(value) is int else text_field(value)


def _run_by_id(runs):
    """Return the progress of runs that state it; other runs are left out."""
    run_by_id = {}
    for run in runs:
        tokens, events = map(_count, (*run[1:3], None, None)[:2])
        if tokens >= 0 and events >= 0:
            run_by_id[_run_id(run[0])] = RunProgress(tokens, events)
    return run_by_id


def _count(value):
    """Return a count, or -1 for anything else."""
    is_count = isinstance(value, int) and not isinstance(value, bool)
    return value if is_count and value >= 0 else -1


def _born_ms(value):
    """Return a time in milliseconds; 0 for any other value."""
    try:
        return whole_field(value)
    except FIELD_ERRORS:
        return 0


def _tokens(value):
    """Return a count of tokens; 0 for any other value."""
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if type(value) is not int or value < 0:
        return 0
    return min(value, MAX_TOKENS)
