"""Who holds a replica's slots, compared with what the replica runs.

A hold whose asker went silent, or whose run the replica has not listed for
a while, is dropped, so that lost datagrams and dead entries do not keep
slots. Runs that no hold accounts for count as taken: this keeper has
started after them, or an entry sent without asking.

Complexity: each step is linear in the slots, which are few.
"""

from dataclasses import dataclass
from dataclasses import field

from dahliashunt.decisions.slot_messages import Ask
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.ids import AttemptId
from dahliashunt.ids import RequestId

__all__ = ["HOLD_TTL_MS", "START_GRACE_MS", "Hold", "SlotHolds"]

HOLD_TTL_MS = 3_500
"""A hold that was not renewed for so long is dropped: askers renew every
second, so three renewals in a row were lost or the asker is gone."""

START_GRACE_MS = 800
"""A hold this old that the replica neither runs nor queues is dropped; a
granted request reaches its replica within some milliseconds."""

REVOKE_GRACE_MS = 300
"""For so long after it was told to stop a run is not counted: closing the
connection reaches the replica in a round trip."""


@dataclass(slots=True)
class Hold:
    """A slot that was granted.

    Attributes
    ----------
    ask : Ask
    since_ms, renewed_ms : int
    due_ms : int
        When its batch item is due; the latest yields first.
    """

    ask: Ask
    since_ms: int
    renewed_ms: int
    due_ms: int


@dataclass(slots=True)
class SlotHolds:
    """The holds of one replica.

    Attributes
    ----------
    by_id : dict
        Holds by attempt.
    foreign : int
        Requests at the replica that no hold accounts for.
    """

    by_id: dict[AttemptId, Hold] = field(default_factory=dict)
    unmatched: int = 0
    _revoked_ms_by_run: dict[RequestId, int] = field(default_factory=dict)

    @property
    def used(self) -> int:
        """Slots that are taken, by holds or others."""
        return len(self.by_id) + self.unmatched

    def count(self, use: Use) -> int:
        """Return the holds for `use`."""
        return sum(hold.ask.use is use for hold in self.by_id.values())

    def grant(self, ask: Ask, now_ms: int) -> None:
        """Note that `ask` holds a slot."""
        due_ms = now_ms + ask.slack_ms
        self.by_id[ask.attempt_id] = Hold(ask, now_ms, now_ms, due_ms)

    def renew(self, attempt_ids, asker, now_ms: int) -> None:
        """Note that `asker` still runs `attempt_ids`.

        An attempt unknown here (this keeper started after its grant) is
        counted through the replica's own report instead.
        """
        for attempt_id in attempt_ids:
            hold = self.by_id.get(attempt_id)
            if hold is not None and hold.ask.asker == asker:
                hold.renewed_ms = now_ms

    def revoke_batch(self, now_ms: int) -> Ask | None:
        """Drop the batch hold with the most slack; None if there is none."""
        batch = [
            hold for hold in self.by_id.values() if hold.ask.use is Use.BATCH
        ]
        if not batch:
            return None
        ask = max(batch, key=lambda hold: hold.due_ms).ask
        del self.by_id[ask.attempt_id]
        self._revoked_ms_by_run[ask.run_id] = now_ms
        return ask

    def reconcile(self, running: frozenset, waiting: int, now_ms: int) -> None:
        """Take over what the replica says that it runs.

        Parameters
        ----------
        running : frozenset of RequestId
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

    def _count_unmatched(self, running, waiting):
        held = {hold.ask.run_id for hold in self.by_id.values()}
        unknown = len(running - held - self._revoked_ms_by_run.keys())
        queued = len(held - running)
        return unknown + max(0, waiting - queued)
