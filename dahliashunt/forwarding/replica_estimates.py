"""Order of replicas by the expected time of a request at each of them.

Speeds and queues come from the states that agents send. Cached prompt parts
are inferred from what this entry placed where. Nothing is stored, and no
message is sent for it.
"""

import random

from dahliashunt.decisions.cached_parts import CachedParts
from dahliashunt.decisions.cached_parts import home_beliefs
from dahliashunt.decisions.cached_parts import relevant_prefixes
from dahliashunt.decisions.expected_time import DEFAULT_READ_TOKENS_PER_MS
from dahliashunt.decisions.expected_time import FAR_NETWORK_MS
from dahliashunt.decisions.expected_time import has_different_speeds
from dahliashunt.decisions.expected_time import NEGLIGIBLE_SHARED_TOKENS
from dahliashunt.decisions.expected_time import RELEVANT_READING_MS
from dahliashunt.decisions.expected_time import ReplicaInputs
from dahliashunt.decisions.expected_time import RequestSize
from dahliashunt.decisions.expected_time import service_prior
from dahliashunt.decisions.replica_choice import Candidate
from dahliashunt.decisions.replica_choice import order_by_time
from dahliashunt.decisions.replica_choice import Placement
from dahliashunt.decisions.replica_choice import uses_expected_time
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.forwarding.reservation import SlotRequirements

__all__ = ["ReplicaEstimates"]


class ReplicaEstimates:
    """Estimates of one entry.

    Parameters
    ----------
    registry : ReplicaRegistry
    rng : random.Random
    data_centre : str
        Of this entry.
    """

    def __init__(
        self, registry: ReplicaRegistry, rng: random.Random, data_centre: str
    ):
        self._registry = registry
        self._rng = rng
        self._data_centre = data_centre
        self.cached_parts = CachedParts()
        self._reading_by_service: dict[str, float] = {}

    def may_differ(self, known, requirements: SlotRequirements) -> bool:
        """Return whether expected times may differ, at little cost.

        Parameters
        ----------
        known : list of (Replica, KnownState or None)
        requirements : SlotRequirements
        """
        shared = sum(tokens for _, tokens in requirements.shared_parts)
        return shared >= NEGLIGIBLE_SHARED_TOKENS or has_different_speeds(
            load.state.token_us for _, load in known if load is not None
        )

    def inputs(
        self, known, requirements: SlotRequirements, now_ms: int
    ) -> list[ReplicaInputs]:
        """Return the inputs of the estimate at each replica.

        Parameters
        ----------
        known : list of (Replica, KnownState or None)
        requirements : SlotRequirements
        now_ms : int
        """
        prefixes = self._prefixes(requirements)
        cached_by_id = self._cached_tokens(known, prefixes, now_ms)
        return [
            self._inputs(
                replica, load, cached_by_id.get(replica.replica_id, 0), now_ms
            )
            for replica, load in known
        ]

    def order(
        self, candidates: list[Candidate], requirements: SlotRequirements
    ) -> list[Candidate] | None:
        """Return `candidates`, least expected time first.

        Returns
        -------
        list of Candidate or None
            None where expected times can't differ enough to decide.
        """
        size = _request_size(requirements)
        prior = service_prior([one.inputs for one in candidates])
        self._reading_by_service[requirements.service] = (
            prior.read_tokens_per_ms
        )
        if not uses_expected_time(candidates, size, prior):
            return None
        placement = Placement(size, requirements.use, requirements.slack_ms)
        return order_by_time(candidates, placement, prior, self._rng)

    def placed(
        self, replica: Replica, requirements: SlotRequirements, now_ms: int
    ) -> None:
        """Record that a request was placed at `replica`, which caches it."""
        prefixes = self._prefixes(requirements)
        self.cached_parts.sent(replica.incarnation, prefixes, now_ms)

    def keep_only(self, incarnations) -> None:
        """Drop what is known of other incarnations."""
        self.cached_parts.keep_only(incarnations)

    def _prefixes(self, requirements):
        if not requirements.shared_parts:
            return []
        reading = self._reading_by_service.get(
            requirements.service, DEFAULT_READ_TOKENS_PER_MS
        )
        min_tokens = RELEVANT_READING_MS * reading
        return relevant_prefixes(requirements.shared_parts, min_tokens)

    def _cached_tokens(self, known, prefixes, now_ms):
        if not prefixes:
            return {}
        ids = (replica.replica_id for replica, _ in known)
        beliefs = home_beliefs(prefixes, ids)
        return {
            replica.replica_id: max(
                beliefs.get(replica.replica_id, 0.0) * prefixes[-1][1],
                self.cached_parts.expected_tokens(
                    replica.incarnation, prefixes, now_ms
                ),
            )
            for replica, _ in known
        }

    def _inputs(self, replica, load, cached, now_ms):
        is_near = replica.data_centre == self._data_centre
        network_ms = 0 if is_near else FAR_NETWORK_MS
        warm_in_ms = self._registry.warm_in_ms(replica, now_ms)
        if load is None:
            return ReplicaInputs(
                network_ms=network_ms,
                warm_in_ms=warm_in_ms,
                cached_tokens=cached,
            )
        state = load.state
        age_ms = now_ms - load.at_ms
        return ReplicaInputs(
            state.token_us,
            state.read_tokens_per_ms,
            age_ms if age_ms > 0 else 0,
            state.wait_ms,
            state.waiting_tokens,
            state.free_tokens,
            network_ms,
            warm_in_ms,
            cached,
        )


def _request_size(requirements):
    return RequestSize(
        requirements.prompt_tokens,
        requirements.output_tokens,
        sum(tokens for _, tokens in requirements.shared_parts),
    )
