"""Choice of the endpoint for a batch item: the one with the most free room.

Load pattern: many items of long jobs, and idle capacity that appears at one
endpoint for seconds.

Agents report how many items they would take. Reports are as old as a
heartbeat, so items sent since the last one are subtracted. Without that, all
items of one moment would go to the endpoint with the best report.
"""

from dataclasses import dataclass

from dahliashunt.decisions.events import EndpointReport
from dahliashunt.ids import EndpointId
from dahliashunt.ids import ModelId

__all__ = ["BatchPlacement"]


@dataclass(slots=True)
class _Capacity:
    models: frozenset[ModelId]
    room: int
    sent: int = 0
    in_flight: int = 0

    @property
    def free(self):
        return self.room - self.sent


class BatchPlacement:
    """Free room for batch items by endpoint.

    Examples
    --------
    >>> places = BatchPlacement()
    >>> places.room_by_model()
    {}
    """

    def __init__(self):
        self._by_endpoint: dict[EndpointId, _Capacity] = {}

    def report(self, report: EndpointReport) -> None:
        """Update an endpoint from its agent's report."""
        capacity = self._by_endpoint.get(report.endpoint_id)
        if capacity is None:
            capacity = _Capacity(report.models, 0)
            self._by_endpoint[report.endpoint_id] = capacity
        capacity.models = report.models
        capacity.room = report.batch_room
        capacity.sent = 0

    def gone(self, endpoint_id: EndpointId) -> None:
        """Remove an endpoint."""
        self._by_endpoint.pop(endpoint_id, None)

    def choose(self, model: ModelId) -> EndpointId | None:
        """Return the endpoint with the most free room for `model`, or None."""
        best = None
        best_free = 0
        for endpoint_id, capacity in self._by_endpoint.items():
            if model in capacity.models and capacity.free > best_free:
                best, best_free = endpoint_id, capacity.free
        return best

    def sent(self, endpoint_id: EndpointId) -> None:
        """Count an item as sent to the endpoint."""
        capacity = self._by_endpoint[endpoint_id]
        capacity.sent += 1
        capacity.in_flight += 1

    def ended(self, endpoint_id: EndpointId) -> None:
        """Count an item as ended and free its room."""
        capacity = self._by_endpoint.get(endpoint_id)
        if capacity is not None and capacity.in_flight > 0:
            capacity.in_flight -= 1
            capacity.sent -= 1

    def room_by_model(self) -> dict[ModelId, int]:
        """Return the free room of all endpoints by model."""
        room: dict[ModelId, int] = {}
        for capacity in self._by_endpoint.values():
            for model in capacity.models:
                room[model] = room.get(model, 0) + max(0, capacity.free)
        return room
