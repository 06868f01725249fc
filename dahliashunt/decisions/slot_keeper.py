"""Who gets one replica's slots: online first, batch in what is idle.

Load pattern
------------
Online demand swings between a third and twice its mean every few seconds
while batch items, which hold a slot for five seconds each, fill whatever
is idle. Many entries, each with a small part of the traffic, share each
replica, and the replica admits strictly in order of arrival.

What goes wrong without it
--------------------------
Entries that count only their own requests meet at one replica while
another idles; the wave queues behind batch items inside the replica,
where nothing can overtake them, and first tokens come up to a whole
request's run too late. One place that counts, beside the replica, sees
each claim within a network round trip.

Rules
-----
- An online request takes a free slot; if there is none it takes that of
  the batch item with the most slack, which is told to stop. The item goes
  on elsewhere from its last event.
- Batch takes only slots that online requests did not need within the
  last moment: in a wave a slot stands free for some 20 ms between two
  online requests, and an item that takes it is revoked before it has read
  its prompt again, so that none of them goes on.
- With only online requests inside, a further one waits here, never in the
  replica, and only if a slot is expected within the time it can wait;
  else it is told so at once.
- Requests that can be in time get a free slot before those that are late
  in any case, so that a backlog after an outage does not make everybody
  late (`caller_wait`). Late ones may wait for longer.
- Among these the more urgent go first (`Ask.rank`), but each fourth slot
  goes to the less urgent one that came first: they don't starve.
- Holds are compared with the replica's own list (`slot_holds`).

Complexity: each step is linear in the slots, which are few.
"""

from dataclasses import dataclass
from dataclasses import field

from dahliashunt.decisions.slot_holds import SlotHolds
from dahliashunt.decisions.slot_messages import Answered
from dahliashunt.decisions.slot_messages import Ask
from dahliashunt.decisions.slot_messages import KeeperState
from dahliashunt.decisions.slot_messages import Revoked
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.slot_messages import Verdict
from dahliashunt.ids import AttemptId

__all__ = ["RECENT_MS", "SlotKeeper"]

INITIAL_HOLD_MS = 700
"""Time a slot is held by an online request before any was seen to end;
about 250 output tokens at 2.8 ms a token."""

HOLD_EWMA_WEIGHT = 0.1
"""Weight of a new hold in the mean: the last ten or so count."""

RECENT_MS = 100
"""How long a slot that an online request has left is kept from batch: as
long as the next request of a wave takes to come to a replica, which hears
9 a second in a wave, and three times what an item needs to go on elsewhere.
Longer makes items late, without it twice as many are revoked."""


LOW_PRIORITY_INTERVAL = 4
"""Each so many-th slot that becomes free goes to a less urgent request, if
one waits: then these get a quarter of the slots at the least."""


@dataclass(slots=True)
class _Waiting:
    ask: Ask
    expires_ms: int
    deadline_ms: int

    def is_late(self, now_ms):
        return now_ms > self.deadline_ms


@dataclass(slots=True)
class SlotKeeper:
    """Decides over the slots of one replica.

    Parameters
    ----------
    slots : int
        What the replica runs at once.
    """

    slots: int
    away: bool = False
    hold_ms: float = INITIAL_HOLD_MS
    _holds: SlotHolds = field(default_factory=SlotHolds)
    _waiting_by_id: dict[AttemptId, _Waiting] = field(default_factory=dict)
    _recent_online: list[tuple[int, int]] = field(default_factory=list)
    _grants: int = 0

    @property
    def held(self) -> tuple[AttemptId, ...]:
        """Attempts that hold a slot."""
        return tuple(self._holds.by_id)

    def ask(self, ask: Ask, now_ms: int) -> list:
        """Decide on `ask`; a repeat gets the verdict that stands."""
        held = self._holds.by_id.get(ask.attempt_id)
        if held is not None:
            held.renewed_ms = now_ms
            return [_answer(ask, Verdict.GRANTED)]
        if ask.attempt_id in self._waiting_by_id:
            return [_answer(ask, Verdict.QUEUED)]
        if self.away:
            return [_answer(ask, Verdict.AWAY)]
        if ask.use is Use.BATCH:
            return self._ask_batch(ask, now_ms)
        return self._ask_online(ask, now_ms)

    def _ask_batch(self, ask, now_ms):
        online = self._peak_online(now_ms)
        holds = self._holds
        taken = online + holds.count(Use.BATCH) + holds.unmatched
        if self._waiting_by_id or taken >= self.slots:
            return [_answer(ask, Verdict.FULL)]
        return [self._grant(ask, now_ms)]

    def _peak_online(self, now_ms):
        """Return the most slots that online requests held just now."""
        self._recent_online = [
            each for each in self._recent_online if each[0] > now_ms
        ]
        counts = (count for _, count in self._recent_online)
        return max(self._holds.count(Use.ONLINE), *counts, 0)

    def _ask_online(self, ask, now_ms):
        if not self._waiting_by_id:
            if self._holds.used < self.slots:
                return [self._grant(ask, now_ms)]
            revoked = self._revoke(now_ms)
            if revoked is not None:
                return [revoked, self._grant(ask, now_ms)]
        max_delay_ms = min(ask.slack_ms, ask.wait_ms) or ask.wait_ms
        if self._expected_delay_ms(ask, now_ms) > max_delay_ms:
            return [_answer(ask, Verdict.FULL)]
        self._waiting_by_id[ask.attempt_id] = _Waiting(
            ask, now_ms + ask.wait_ms, now_ms + ask.slack_ms
        )
        return [_answer(ask, Verdict.QUEUED)]

    def _expected_delay_ms(self, ask, now_ms):
        """Return how long `ask` would wait behind those that go before."""
        ahead = [
            each.ask.rank
            for each in self._waiting_by_id.values()
            if not (ask.slack_ms and each.is_late(now_ms))
        ]
        delay_ms = self._queue_delay_ms(
            sum(rank <= ask.rank for rank in ahead)
        )
        if ask.rank > min(ahead, default=ask.rank):
            low_priority = sum(rank > min(ahead) for rank in ahead)
            return min(
                delay_ms,
                LOW_PRIORITY_INTERVAL * self._queue_delay_ms(low_priority),
            )
        return delay_ms

    def _queue_delay_ms(self, ahead):
        return int((ahead + 1) * self.hold_ms / max(1, self.slots))

    def release(self, attempt_id: AttemptId, now_ms: int) -> list:
        """Free what `attempt_id` holds, or take it out of the queue."""
        self._waiting_by_id.pop(attempt_id, None)
        held = self._holds.by_id.pop(attempt_id, None)
        if held is None:
            return []
        if held.ask.use is Use.ONLINE:
            online_count = self._holds.count(Use.ONLINE) + 1
            self._recent_online.append((now_ms + RECENT_MS, online_count))
            lasted_ms = now_ms - held.since_ms
            self.hold_ms += HOLD_EWMA_WEIGHT * (lasted_ms - self.hold_ms)
        return self._grant_waiting(now_ms)

    def renew(self, attempt_ids, asker, now_ms: int) -> None:
        """Note that `asker` still runs `attempt_ids`."""
        self._holds.renew(attempt_ids, asker, now_ms)

    def report(self, running: frozenset, waiting: int, now_ms: int) -> list:
        """Compare with what the replica says that it runs and queues."""
        self._holds.reconcile(running, waiting, now_ms)
        return self._grant_waiting(now_ms)

    def expected_wait_ms(self) -> int:
        """Return how long one more online request would wait."""
        if not self._waiting_by_id and (
            self._holds.used < self.slots or self._holds.count(Use.BATCH)
        ):
            return 0
        return self._queue_delay_ms(len(self._waiting_by_id))

    def state(self) -> KeeperState:
        """Return what entries are told."""
        return KeeperState(
            slots=self.slots,
            online=self._holds.count(Use.ONLINE) + self._holds.unmatched,
            batch=self._holds.count(Use.BATCH),
            waiting=len(self._waiting_by_id),
            wait_ms=self.expected_wait_ms(),
            away=self.away,
        )

    def _revoke(self, now_ms):
        """Take a slot back from batch; None if it holds none."""
        ask = self._holds.revoke_batch(now_ms)
        return ask and Revoked(ask.attempt_id, ask.asker)

    def _grant(self, ask, now_ms):
        self._holds.grant(ask, now_ms)
        return _answer(ask, Verdict.GRANTED)

    def _grant_waiting(self, now_ms):
        answers = []
        for attempt_id, waiting in list(self._waiting_by_id.items()):
            if waiting.expires_ms < now_ms:
                del self._waiting_by_id[attempt_id]
                answers.append(_answer(waiting.ask, Verdict.FULL))
        while self._waiting_by_id and self._holds.used < self.slots:
            waiting = self._waiting_by_id.pop(self._next_attempt_id(now_ms))
            answers.append(self._grant(waiting.ask, now_ms))
        return answers

    def _next_attempt_id(self, now_ms):
        """Return whose turn it is; of equals the first that came."""
        self._grants += 1
        top_rank = min(each.ask.rank for each in self._waiting_by_id.values())
        is_low_priority_turn = self._grants % LOW_PRIORITY_INTERVAL == 0

        def sort_key(attempt_id):
            waiting = self._waiting_by_id[attempt_id]
            rank = waiting.ask.rank
            if is_low_priority_turn:
                rank = rank == top_rank
            return waiting.is_late(now_ms), rank

        return min(self._waiting_by_id, key=sort_key)


def _answer(ask, verdict):
    return Answered(ask.attempt_id, ask.asker, verdict)
