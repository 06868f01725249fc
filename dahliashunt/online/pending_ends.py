"""Ends of claims that the store has not taken yet, in bounded memory."""

from collections.abc import Iterator
from dataclasses import dataclass

from dahliashunt.ids import AttemptId
from dahliashunt.online.claim import Claim
from dahliashunt.online.claim import ClaimState
from dahliashunt.online.claim import Outcome
from dahliashunt.ports.clock import Clock

__all__ = ["PendingEnd", "PendingEnds"]

_FLOAT_MS = 60_000
_MAX_ENDS = 1_000
_MAX_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class PendingEnd:
    """One end to be written.

    Attributes
    ----------
    never_sent : bool
        Nothing was dispatched under the claim, whose own write may not
        have arrived.
    until_ms : int
        Monotonic time by which a write on its way has arrived.
    """

    claim: Claim
    state: ClaimState
    outcome: Outcome | None
    never_sent: bool
    until_ms: int


class PendingEnds:
    """Pending ends by attempt.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._by_attempt: dict[AttemptId, PendingEnd] = {}

    def __iter__(self) -> Iterator[PendingEnd]:
        return iter(list(self._by_attempt.values()))

    def keep(
        self,
        claim: Claim,
        state: ClaimState,
        outcome: Outcome | None = None,
        never_sent: bool = False,
    ) -> None:
        """Remember an end; beyond the bound without its body, or not.

        Without its body a request that ran is `UNKNOWN` to resends, and
        without its end still running: both true enough not to run it
        again.
        """
        if len(self._by_attempt) >= _MAX_ENDS:
            return
        if outcome is not None and (
            self._held_bytes() + len(outcome.body) > _MAX_BYTES
        ):
            state, outcome = ClaimState.UNKNOWN, None
        until_ms = self._clock.now_ms() + _FLOAT_MS
        self._by_attempt[claim.attempt_id] = PendingEnd(
            claim, state, outcome, never_sent, until_ms
        )

    def drop(self, pending: PendingEnd) -> None:
        """Forget an end that is settled."""
        self._by_attempt.pop(pending.claim.attempt_id, None)

    def has_never_sent(self, claim: Claim | None) -> bool:
        """Return whether nothing was dispatched under a claim found."""
        if claim is None:
            return False
        pending = self._by_attempt.get(claim.attempt_id)
        return pending is not None and pending.never_sent

    def _held_bytes(self):
        return sum(
            len(pending.outcome.body)
            for pending in self._by_attempt.values()
            if pending.outcome is not None
        )
