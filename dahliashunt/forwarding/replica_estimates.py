"""Order of replicas by the expected time of a request at each of them.

Speeds and queues come from the states that agents send. Cached prompt parts
are inferred from what this entry placed where. Nothing is stored, and no
message is sent for it.
"""

from dataclasses import replace
import random

from dahliashunt.decisions.cached_parts import CachedParts
from dahliashunt.decisions.cached_parts import home_beliefs
from dahliashunt.decisions.cached_parts import relevant_prefixes
from dahliashunt.decisions.expected_time import DEFAULT_READ_TOKENS_PER_MS
from dahliashunt.decisions.expected_time import FAR_NETWORK_MS
from dahliashunt.decisions.expected_time import RELEVANT_READING_MS
from dahliashunt.decisions.expected_time import ReplicaInputs
from dahliashunt.decisions.expected_time import RequestSize
from dahliashunt.decisions.expected_time import service_prior
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
    """

    def __init__(self, registry: ReplicaRegistry, rng: random.Random):
        self._registry = registry
        self._rng = rng
        self.cached_parts = CachedParts()
        self._reading_by_service: dict[str, float] = {}

    def order(
        self, known, requirements: SlotRequirements, now_ms: int
    ) -> list[Replica] | None:
        """Return the replicas in `known`, least expected time first.

        Parameters
        ----------
        known : list of (Replica, Candidate, KnownState or None)
        requirements : SlotRequirements
        now_ms : int

        Returns
        -------
        list of Replica or None
            None where expected times can't differ enough to decide.
        """
        size = _request_size(requirements)
        if not size.shared_tokens and not any(
            load is not None and load.state.token_us for _, _, load in known
        ):
            return None
        prefixes = self._prefixes(requirements)
        candidates = self._candidates(known, prefixes, now_ms)
        prior = service_prior([one.inputs for one in candidates])
        self._reading_by_service[requirements.service] = (
            prior.read_tokens_per_ms
        )
        if not uses_expected_time(candidates, size, prior):
            return None
        placement = Placement(size, requirements.use, requirements.slack_ms)
        ordered = order_by_time(candidates, placement, prior, self._rng)
        by_id = {replica.replica_id: replica for replica, _, _ in known}
        return [by_id[one.replica_id] for one in ordered]

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

    def _candidates(self, known, prefixes, now_ms):
        homes = home_beliefs(
            prefixes, (replica.replica_id for replica, _, _ in known)
        )
        return [
            replace(
                candidate,
                inputs=self._inputs(
                    replica, candidate, load, prefixes, homes, now_ms
                ),
            )
            for replica, candidate, load in known
        ]

    def _inputs(self, replica, candidate, load, prefixes, homes, now_ms):
        network_ms = 0 if candidate.near else FAR_NETWORK_MS
        warm_in_ms = 0
        if candidate.cold:
            warm_in_ms = self._registry.warm_in_ms(replica, now_ms)
        cached = 0.0
        if prefixes:
            belief = homes.get(replica.replica_id, 0.0)
            cached = max(
                belief * prefixes[-1][1],
                self.cached_parts.expected_tokens(
                    replica.incarnation, prefixes, now_ms
                ),
            )
        if load is None:
            return ReplicaInputs(
                network_ms=network_ms,
                warm_in_ms=warm_in_ms,
                cached_tokens=cached,
            )
        state = load.state
        return ReplicaInputs(
            state.token_us,
            state.read_tokens_per_ms,
            max(0, candidate.age_ms),
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
