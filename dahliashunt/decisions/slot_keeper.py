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
  its prompt again. Measured on a wave of 1.9 times the mean: 40 revokes a
  second, and none of the items went on.
- With only online requests inside, a further one waits here, never in the
  replica, and only if a slot is expected within the time it can wait;
  else it is told so at once.
- A hold whose asker went silent, or whose run the replica has not listed
  for a while, is dropped, so that lost datagrams and dead entries do not
  keep slots.

Complexity: each step is linear in the slots, which are few.
"""

from dataclasses import dataclass
from dataclasses import field
import enum

from dahliashunt.ids import AttemptId
from dahliashunt.ids import RequestId

__all__ = [
    "Answered",
    "Ask",
    "KeeperState",
    "Revoked",
    "SlotKeeper",
    "Use",
    "Verdict",
]

FIRST_HOLD_MS = 700
"""Time a slot is held by an online request before any was measured; about
250 output tokens at 2.8 ms a token."""

HOLD_WEIGHT = 0.1
"""Weight of a new hold in the mean: the last ten or so count."""

RENEW_WITHIN_MS = 3_500
"""A hold that was not renewed for so long is dropped: askers renew every
second, so three renewals in a row were lost or the asker is gone."""

UNSEEN_MS = 800
"""A hold this old that the replica neither runs nor queues is dropped; a
granted request reaches its replica within some milliseconds."""

REVOKED_MS = 300
"""For so long after it was told to stop a run is not counted: closing the
connection reaches the replica in a round trip."""

RECENT_MS = 100
"""How long a slot that an online request has left is kept from batch: as
long as the next request of a wave takes to come to a replica (each hears 9
a second in a wave), and three times what an item needs to go on elsewhere.
Played with `decisions/tests/test_shared_fleet.py`, mean late items of five
seeds under six times the jobs for four seconds: 9.4 of 239 with 400 ms,
5.4 with 200, 0.8 with 100, 0.4 without; but without it 590 revokes instead
of 285, each of which reads a prompt again."""


class Use(enum.Enum):
    """What a slot is for."""

    ONLINE = "online"
    BATCH = "batch"


class Verdict(enum.Enum):
    """Answer to an ask."""

    GRANTED = "granted"
    QUEUED = "queued"
    FULL = "full"
    AWAY = "away"


@dataclass(frozen=True, slots=True)
class Ask:
    """An entry wants a slot.

    Attributes
    ----------
    attempt_id : AttemptId
    run_id : RequestId
        How the replica lists the request.
    asker : object
        Where answers go; compared only.
    use : Use
    wait_ms : int
        How long an online request would wait here.
    slack_ms : int
        Of a batch item: time until it is due.
    """

    attempt_id: AttemptId
    run_id: RequestId
    asker: object
    use: Use
    wait_ms: int = 0
    slack_ms: int = 0


@dataclass(frozen=True, slots=True)
class Answered:
    """Tell `asker` the verdict on its attempt."""

    attempt_id: AttemptId
    asker: object
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Revoked:
    """Tell `asker` to stop its attempt and make room."""

    attempt_id: AttemptId
    asker: object


@dataclass(frozen=True, slots=True)
class KeeperState:
    """What entries are told of one replica.

    Attributes
    ----------
    slots, online, batch, waiting : int
    wait_ms : int
        Expected wait of one more online request.
    away : bool
    """

    slots: int
    online: int
    batch: int
    waiting: int
    wait_ms: int
    away: bool


@dataclass(slots=True)
class _Hold:
    ask: Ask
    since_ms: int
    renewed_ms: int
    due_ms: int


@dataclass(slots=True)
class _Waiting:
    ask: Ask
    until_ms: int


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
    hold_ms: float = FIRST_HOLD_MS
    _hold_by_id: dict[AttemptId, _Hold] = field(default_factory=dict)
    _waiting_by_id: dict[AttemptId, _Waiting] = field(default_factory=dict)
    _revoked_ms_by_run: dict[RequestId, int] = field(default_factory=dict)
    _foreign: int = 0
    _left: list[tuple[int, int]] = field(default_factory=list)

    def ask(self, ask: Ask, now_ms: int) -> list:
        """Decide on `ask`; a repeat gets the verdict that stands."""
        held = self._hold_by_id.get(ask.attempt_id)
        if held is not None:
            held.renewed_ms = now_ms
            return [self._say(ask, Verdict.GRANTED)]
        if ask.attempt_id in self._waiting_by_id:
            return [self._say(ask, Verdict.QUEUED)]
        if self.away:
            return [self._say(ask, Verdict.AWAY)]
        if ask.use is Use.BATCH:
            return self._ask_batch(ask, now_ms)
        return self._ask_online(ask, now_ms)

    def _ask_batch(self, ask, now_ms):
        online = self._recent_online(now_ms)
        taken = online + self._count(Use.BATCH) + self._foreign
        if self._waiting_by_id or taken >= self.slots:
            return [self._say(ask, Verdict.FULL)]
        return [self._grant(ask, now_ms)]

    def _recent_online(self, now_ms):
        """Return the most slots that online requests held just now."""
        self._left = [each for each in self._left if each[0] > now_ms]
        counts = (count for _, count in self._left)
        return max(self._count(Use.ONLINE), *counts, 0)

    def _ask_online(self, ask, now_ms):
        if not self._waiting_by_id:
            if self._used() < self.slots:
                return [self._grant(ask, now_ms)]
            revoked = self._revoke(now_ms)
            if revoked is not None:
                return [revoked, self._grant(ask, now_ms)]
        if self.expected_wait_ms() > ask.wait_ms:
            return [self._say(ask, Verdict.FULL)]
        until_ms = now_ms + ask.wait_ms
        self._waiting_by_id[ask.attempt_id] = _Waiting(ask, until_ms)
        return [self._say(ask, Verdict.QUEUED)]

    def release(self, attempt_id: AttemptId, now_ms: int) -> list:
        """Free what `attempt_id` holds, or take it out of the queue."""
        self._waiting_by_id.pop(attempt_id, None)
        held = self._hold_by_id.pop(attempt_id, None)
        if held is None:
            return []
        if held.ask.use is Use.ONLINE:
            before = self._count(Use.ONLINE) + 1
            self._left.append((now_ms + RECENT_MS, before))
            lasted_ms = now_ms - held.since_ms
            self.hold_ms += HOLD_WEIGHT * (lasted_ms - self.hold_ms)
        return self._grant_waiting(now_ms)

    def renew(self, attempt_ids, asker, now_ms: int) -> None:
        """Note that `asker` still runs `attempt_ids`.

        An attempt unknown here (this keeper started after its grant) is
        counted through the replica's own report instead.
        """
        for attempt_id in attempt_ids:
            held = self._hold_by_id.get(attempt_id)
            if held is not None and held.ask.asker == asker:
                held.renewed_ms = now_ms

    def report(self, running: frozenset, waiting: int, now_ms: int) -> list:
        """Compare with what the replica says that it runs.

        Parameters
        ----------
        running : frozenset of RequestId
        waiting : int
            Requests in the replica's own queue.
        now_ms : int
        """
        for attempt_id, held in list(self._hold_by_id.items()):
            silent = now_ms - held.renewed_ms > RENEW_WITHIN_MS
            unseen = (
                waiting == 0
                and held.ask.run_id not in running
                and now_ms - held.since_ms > UNSEEN_MS
            )
            if silent or unseen:
                del self._hold_by_id[attempt_id]
        for run_id, at_ms in list(self._revoked_ms_by_run.items()):
            if now_ms - at_ms > REVOKED_MS:
                del self._revoked_ms_by_run[run_id]
        self._foreign = self._count_foreign(running, waiting)
        return self._grant_waiting(now_ms)

    def _count_foreign(self, running, waiting):
        """Return the requests there that no hold accounts for."""
        held = {hold.ask.run_id for hold in self._hold_by_id.values()}
        unknown = len(running - held - self._revoked_ms_by_run.keys())
        queued = len(held - running)
        return unknown + max(0, waiting - queued)

    def expected_wait_ms(self) -> int:
        """Return how long one more online request would wait."""
        ahead = len(self._waiting_by_id) + 1
        if not self._waiting_by_id and (
            self._used() < self.slots or self._count(Use.BATCH)
        ):
            return 0
        return int(ahead * self.hold_ms / max(1, self.slots))

    def state(self) -> KeeperState:
        """Return what entries are told."""
        return KeeperState(
            slots=self.slots,
            online=self._count(Use.ONLINE) + self._foreign,
            batch=self._count(Use.BATCH),
            waiting=len(self._waiting_by_id),
            wait_ms=self.expected_wait_ms(),
            away=self.away,
        )

    def _used(self):
        return len(self._hold_by_id) + self._foreign

    def _count(self, use):
        return sum(h.ask.use is use for h in self._hold_by_id.values())

    def _revoke(self, now_ms):
        batch = [
            held
            for held in self._hold_by_id.values()
            if held.ask.use is Use.BATCH
        ]
        if not batch:
            return None
        ask = max(batch, key=lambda held: held.due_ms).ask
        del self._hold_by_id[ask.attempt_id]
        self._revoked_ms_by_run[ask.run_id] = now_ms
        return Revoked(ask.attempt_id, ask.asker)

    def _grant(self, ask, now_ms):
        self._hold_by_id[ask.attempt_id] = _Hold(
            ask, now_ms, now_ms, now_ms + ask.slack_ms
        )
        return self._say(ask, Verdict.GRANTED)

    def _grant_waiting(self, now_ms):
        answers = []
        for attempt_id, waiting in list(self._waiting_by_id.items()):
            if waiting.until_ms < now_ms:
                del self._waiting_by_id[attempt_id]
                answers.append(self._say(waiting.ask, Verdict.FULL))
            elif self._used() < self.slots:
                del self._waiting_by_id[attempt_id]
                answers.append(self._grant(waiting.ask, now_ms))
            else:
                break
        return answers

    def _say(self, ask, verdict):
        return Answered(ask.attempt_id, ask.asker, verdict)
