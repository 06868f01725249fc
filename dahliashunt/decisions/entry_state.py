"""State shared by the parts of the entry's decisions."""

from collections import Counter
from dataclasses import dataclass
import random

from dahliashunt.decisions.endpoint import EndpointState
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.fair import InFlight
from dahliashunt.decisions.fleet import Fleet
from dahliashunt.decisions.limits import LimitsTable
from dahliashunt.decisions.limits import TokenBuckets
from dahliashunt.decisions.model_state import ModelState
from dahliashunt.decisions.prefix import PrefixIndex
from dahliashunt.decisions.retry import RetryBudget
from dahliashunt.decisions.routing import Router
from dahliashunt.decisions.suspects import SuspectQueue
from dahliashunt.decisions.suspects import Suspects
from dahliashunt.decisions.tracked import TrackedRequest
from dahliashunt.errors import ErrorKind
from dahliashunt.ids import DataCentreId
from dahliashunt.ids import EndpointId
from dahliashunt.ids import ModelId
from dahliashunt.ids import RequestId

__all__ = ["EndpointStatus", "EntryState", "EntryStatus"]


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Status of one endpoint, for display."""

    endpoint_id: EndpointId
    data_centre: DataCentreId
    state: EndpointState
    in_flight: int
    limit: float
    first_token_ms: float


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Status of the entry's decisions, for display."""

    in_flight: int
    suspects_waiting: int
    waiting_by_model: dict[ModelId, int]
    endpoints: tuple[EndpointStatus, ...]
    refused_by_kind: dict[ErrorKind, int]
    callers_remembered: int


class EntryState:
    """Shared state of the entry's decisions."""

    def __init__(
        self,
        policy: EntryPolicy,
        rng: random.Random,
        data_centre: DataCentreId,
    ):
        self.policy = policy
        self.rng = rng
        self.fleet = Fleet(policy, data_centre)
        self.prefixes = PrefixIndex(
            policy.prefix_sent_ms,
            policy.prefixes_total,
            policy.prefix_report_ms,
        )
        self.router = Router(policy, self.fleet, self.prefixes, rng)
        self.limits = LimitsTable()
        self.buckets = TokenBuckets()
        self.in_flight = InFlight(policy.over_share)
        self.budget = RetryBudget(policy)
        self.suspects = Suspects(policy)
        self.suspect_queue = SuspectQueue()
        self.tracked_by_id: dict[RequestId, TrackedRequest] = {}
        self.state_by_model: dict[ModelId, ModelState] = {}
        self.refused_by_kind: Counter[ErrorKind] = Counter()
        self.sequence = 0

    def model(self, model: ModelId) -> ModelState:
        """Return the state of `model`, created at first use."""
        state = self.state_by_model.get(model)
        if state is None:
            state = ModelState(self.policy)
            self.state_by_model[model] = state
        return state
