"""Report of a response that exceeded a bound."""

from dahliashunt.adapters.http1 import Bound
from dahliashunt.ids import RequestId
from dahliashunt.metrics import Metrics

__all__ = ["report_excess"]


def report_excess(
    metrics: Metrics,
    log,
    exceeded: Bound,
    request_id: RequestId,
    replica_id: str,
) -> None:
    """Count and log an attempt whose response was not read past a bound."""
    metrics.count("responses_over_bound", bound=exceeded.value)
    log.warning(
        "response_over_bound",
        request_id=request_id,
        replica=replica_id,
        exceeded=exceeded.value,
    )
