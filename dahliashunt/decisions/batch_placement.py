"""Where a batch item goes: the endpoint with the most room left.

Load pattern: many items of long jobs and idle capacity that appears at one
endpoint for seconds. Agents report how many items they would take; reports
are as old as a heartbeat, so what was sent since is counted against them.
Without that count, all items of one moment go to the endpoint whose report
was best and wait there while others idle.
"""

from dataclasses import dataclass

from dahliashunt.decisions.events import EndpointReport
from dahliashunt.ids import EndpointId
from dahliashunt.ids import ModelId

__all__ = ["BatchPlacement"]


@dataclass(slots=True)
class _Place:
    models: frozenset[ModelId]
    room: int
    sent: int = 0
    in_flight: int = 0

    @property
    def left(self):
        return self.room - self.sent


class BatchPlacement:
    """Room for batch items by endpoint.

    Examples
    --------
    >>> places = BatchPlacement()
    >>> places.room_by_model()
    {}
    """

    def __init__(self):
        self._by_endpoint: dict[EndpointId, _Place] = {}

    def report(self, report: EndpointReport) -> None:
        """Take an agent's report."""
        place = self._by_endpoint.get(report.endpoint_id)
        if place is None:
            place = _Place(report.models, 0)
            self._by_endpoint[report.endpoint_id] = place
        place.models = report.models
        place.room = report.batch_room
        place.sent = 0

    def gone(self, endpoint_id: EndpointId) -> None:
        """Stop sending to an endpoint."""
        self._by_endpoint.pop(endpoint_id, None)

    def choose(self, model: ModelId) -> EndpointId | None:
        """Return the endpoint with the most room for `model`, or None."""
        best = None
        best_left = 0
        for endpoint_id, place in self._by_endpoint.items():
            if model in place.models and place.left > best_left:
                best, best_left = endpoint_id, place.left
        return best

    def sent(self, endpoint_id: EndpointId) -> None:
        """Count an item that was sent."""
        place = self._by_endpoint[endpoint_id]
        place.sent += 1
        place.in_flight += 1

    def ended(self, endpoint_id: EndpointId) -> None:
        """Count an item that has ended; its place is free at once."""
        place = self._by_endpoint.get(endpoint_id)
        if place is not None and place.in_flight > 0:
            place.in_flight -= 1
            place.sent -= 1

    def room_by_model(self) -> dict[ModelId, int]:
        """Return how many items each model's endpoints would take now."""
        room: dict[ModelId, int] = {}
        for place in self._by_endpoint.values():
            for model in place.models:
                room[model] = room.get(model, 0) + max(0, place.left)
        return room
