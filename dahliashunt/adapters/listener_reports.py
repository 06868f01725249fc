"""Metrics and log lines of what a listener for callers ends at its bounds."""

from dahliashunt.adapters.http1.bounds import Bound
from dahliashunt.decisions.client_memory import ClientMemory
from dahliashunt.decisions.client_memory import Stage
from dahliashunt.metrics import Metrics

__all__ = ["ListenerReports"]


class ListenerReports:
    """Callbacks for `HttpBounds`, `WriteBacklog` and `HeldMemory`.

    Parameters
    ----------
    metrics : Metrics
    log : structlog logger
    """

    def __init__(self, metrics: Metrics, log):
        self._metrics = metrics
        self._log = log

    def exceeded(self, bound: Bound) -> None:
        """Report a connection that one of its messages has ended."""
        self._metrics.count("callers_over_bound", bound=bound.value)
        self._log.warning("caller_over_bound", exceeded=bound.value)

    def slow(self, peer, unread_bytes: int) -> None:
        """Report a connection that was read too slowly."""
        self._metrics.count("slow_readers_ended")
        self._log.warning(
            "slow_reader_ended", peer=str(peer), unread=unread_bytes
        )

    def ended(
        self, count_by_stage: dict[Stage, int], memory: ClientMemory
    ) -> None:
        """Report connections that were ended for what others need."""
        for stage, count in count_by_stage.items():
            self._metrics.count("callers_ended", count, stage=stage.value)
        self._log.warning(
            "callers_ended_for_memory",
            connections=len(memory),
            held=memory.total_bytes,
            **{stage.value: n for stage, n in count_by_stage.items()},
        )
