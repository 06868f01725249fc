"""Grants of a replica's slots, reconciled with the requests that it runs.

A hold is dropped when it is no longer renewed or when the replica no longer
lists its run, so that a lost datagram or a dead entry does not leak a slot.
Runs without a hold count as taken: they were granted before the agent
restarted, or sent without a grant.

Complexity: each step is linear in the slots.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.ids import AttemptId
from dahliashunt.ids import RequestId

__all__ = [
    "HOLD_TTL_MS",
    "START_GRACE_MS",
    "Hold",
    "SlotHolds",
    "next_to_revoke",
]

HOLD_TTL_MS = 3_500
"""Milliseconds after which a hold that is not renewed expires; entries renew
every second, so that three renewals may be lost."""

START_GRACE_MS = 800
"""Milliseconds from a grant until the replica must list the run."""

REVOKE_GRACE_MS = 300
"""Milliseconds for which a revoked run that is still listed is not counted;
covers the round trip that closes its connection."""

SIMILAR_SLACK_MS = 2_500
"""Difference of slack in milliseconds up to which the workspaces' shares
decide which item is revoked: half of what an item runs."""


@dataclass(slots=True)
class Hold:
    """Grant of one slot.

    Attributes
    ----------
    ask : SlotRequest
    since_ms, renewed_ms : int
    due_ms : int
        Time of the grant plus the slack; the latest is revoked first.
    """

    ask: SlotRequest
    since_ms: int
    renewed_ms: int
    due_ms: int


def next_to_revoke(
    batch: list[Hold], granted_lately: Callable[[int], float]
) -> Hold:
    """Return the hold of `batch`, not empty, that is revoked first.

    It has the most slack. Among those with similar slack it is one of the
    workspace for which `granted_lately` is highest.
    """
    latest_ms = max(hold.due_ms for hold in batch)
    similar = [
        hold for hold in batch if hold.due_ms >= latest_ms - SIMILAR_SLACK_MS
    ]
    return max(
        similar,
        key=lambda hold: (granted_lately(hold.ask.workspace), hold.due_ms),
    )


@dataclass(slots=True)
class SlotHolds:
    """Holds of one replica.

    Attributes
    ----------
    by_id : dict
        Holds by attempt.
    unmatched : int
        Requests at the replica without a hold.
    """

    by_id: dict[AttemptId, Hold] = field(default_factory=dict)
    unmatched: int = 0
    _revoked_ms_by_run: dict[RequestId, int] = field(default_factory=dict)

    @property
    def used(self) -> int:
        """Slots taken, with or without a hold."""
        return len(self.by_id) + self.unmatched

    def count(self, use: Use) -> int:
        """Return the number of holds for `use`."""
        return sum(hold.ask.use is use for hold in self.by_id.values())

    def next_free_ms(self, hold_ms: float, now_ms: int) -> int:
        """Return in how many ms the next hold ends, if each lasts `hold_ms`.

        A hold that has lasted longer may end at any time.
        """
        oldest_ms = min(
            (hold.since_ms for hold in self.by_id.values()), default=now_ms
        )
        return max(0, int(hold_ms - (now_ms - oldest_ms)))

    def grant(self, ask: SlotRequest, now_ms: int) -> None:
        """Record a hold for `ask`."""
        due_ms = now_ms + ask.slack_ms
        self.by_id[ask.attempt_id] = Hold(ask, now_ms, now_ms, due_ms)

    def renew(self, attempt_ids, requester, now_ms: int) -> None:
        """Renew the holds of `attempt_ids` that belong to `requester`.

        Attempts without a hold, granted before the agent restarted, are
        counted from the replica's report instead.
        """
        for attempt_id in attempt_ids:
            hold = self.by_id.get(attempt_id)
            if hold is not None and hold.ask.requester == requester:
                hold.renewed_ms = now_ms

    def batch(self) -> list[Hold]:
        """Return the holds of batch items."""
        return [
            hold for hold in self.by_id.values() if hold.ask.use is Use.BATCH
        ]

    def revoke(self, hold: Hold, now_ms: int) -> None:
        """Drop `hold`, whose run ends within `REVOKE_GRACE_MS`."""
        del self.by_id[hold.ask.attempt_id]
        self._revoked_ms_by_run[hold.ask.run_id] = now_ms

    def reconcile(self, running: frozenset, waiting: int, now_ms: int) -> None:
        """Drop stale holds and count the runs without a hold.

        Parameters
        ----------
        running : frozenset of RequestId
            Requests that the replica lists as running.
        waiting : int
            Requests in the replica's own queue.
        now_ms : int
        """
        for attempt_id, hold in list(self.by_id.items()):
            is_expired = now_ms - hold.renewed_ms > HOLD_TTL_MS
            is_missing = (
                waiting == 0
                and hold.ask.run_id not in running
                and now_ms - hold.since_ms > START_GRACE_MS
            )
            if is_expired or is_missing:
                del self.by_id[attempt_id]
        for run_id, at_ms in list(self._revoked_ms_by_run.items()):
            if now_ms - at_ms > REVOKE_GRACE_MS:
                del self._revoked_ms_by_run[run_id]
        self.unmatched = self._count_unmatched(running, waiting)

    def unheld(self, running: frozenset) -> frozenset:
        """Return the runs that no hold, and no recent one, accounts for."""
        held = {hold.ask.run_id for hold in self.by_id.values()}
        return running - held - self._revoked_ms_by_run.keys()

    def drop_before(self, since_ms: int) -> None:
        """Drop the holds granted before `since_ms`, and all runs without."""
        for attempt_id, hold in list(self.by_id.items()):
            if hold.since_ms < since_ms:
                del self.by_id[attempt_id]
        self._revoked_ms_by_run.clear()
        self.unmatched = 0

    def _count_unmatched(self, running, waiting):
        held = {hold.ask.run_id for hold in self.by_id.values()}
        unknown = len(self.unheld(running))
        queued = len(held - running)
        return unknown + max(0, waiting - queued)
