"""Allocation of one replica's slots to online requests and batch items.

Load pattern
------------
Online demand varies several-fold within seconds, while batch items fill the
idle slots and hold each for seconds. Many entries share each replica, and
the replica admits strictly in order of arrival.

What goes wrong without it
--------------------------
Entries that count only their own requests overload one replica while another
idles. Online requests then queue behind batch items inside the replica,
where they can't be reordered. One allocator beside the replica sees all
demand within a network round trip.

Rules
-----
- An online request takes a free slot, or else the slot of the batch item
  with the most slack. That item is revoked and resumes elsewhere from its
  last event. A request with `idle_only` is granted only a free slot.
- Batch gets only slots that online requests did not use in the last
  `BATCH_COOLDOWN_MS`: an item in a shorter gap would be revoked before it has
  read its prompt.
- If online requests hold all slots, a further one is queued here, never in
  the replica, and only if a slot is expected within its wait; otherwise it
  is refused at once.
- Requests that can meet their deadline go before those that can't, so that
  a backlog after an outage does not delay all others (`caller_wait`).
- Among these the lower `SlotRequest.rank` goes first, except that each
  `LOW_PRIORITY_INTERVAL`-th slot goes to a less urgent request, which
  prevents starvation.
- A request that does not fit into the replica's memory (`replica_memory`) is
  treated like one without a slot: it revokes the fewest items that make room,
  or waits; smaller requests may pass it. One that exceeds the whole memory is
  refused at once.
- Among equals the workspace that was granted least lately goes first
  (`workspace_shares`). A request that would be served in time by its place
  is never refused for the queue of another workspace: the last request of a
  workspace over its share is refused instead.
- Holds are reconciled with the replica's own list (`slot_holds`).

Complexity: each step is linear in the slots and the queued requests.
"""

from dataclasses import dataclass
from dataclasses import field

from dahliashunt.decisions.replica_memory import MemoryReport
from dahliashunt.decisions.replica_memory import ReplicaMemory
from dahliashunt.decisions.slot_holds import next_to_revoke
from dahliashunt.decisions.slot_holds import SlotHolds
from dahliashunt.decisions.slot_messages import AllocatorState
from dahliashunt.decisions.slot_messages import Revoked
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import SlotReply
from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.workspace_shares import BATCH_HALF_LIFE_MS
from dahliashunt.decisions.workspace_shares import ONLINE_HALF_LIFE_MS
from dahliashunt.decisions.workspace_shares import workspaces_over
from dahliashunt.decisions.workspace_shares import WorkspaceShares
from dahliashunt.ids import AttemptId

__all__ = ["BATCH_COOLDOWN_MS", "SlotAllocator"]

INITIAL_HOLD_MS = 700
"""Initial estimate of the time an online request holds a slot, in ms."""

HOLD_EWMA_WEIGHT = 0.1
"""Weight of a new hold time in the moving average."""

BATCH_COOLDOWN_MS = 100
"""Milliseconds for which a slot that an online request released is kept from
batch: the next request of a wave comes to the replica in that time. Without
it twice as many items are revoked; a longer time makes items late."""

LOW_PRIORITY_INTERVAL = 4
"""One in this many grants from the queue goes to a less urgent request, or
to a late one before those of workspaces over their share."""


@dataclass(slots=True)
class _Waiting:
    ask: SlotRequest
    expires_ms: int
    deadline_ms: int

    def is_late(self, now_ms):
        return now_ms > self.deadline_ms


@dataclass(slots=True)
class SlotAllocator:
    """Allocator of one replica's slots.

    Parameters
    ----------
    slots : int
        Requests that the replica runs concurrently.
    away : bool
        Whether the replica is unavailable; nothing is granted then.
    hold_ms : float
        Moving average of the time an online request holds a slot.
    short_of_memory : int
        Number of requests that found a slot but not enough memory.
    born_ms : int
        Wall-clock start of the replica's incarnation; 0 if unknown.
    """

    slots: int
    away: bool = False
    hold_ms: float = INITIAL_HOLD_MS
    short_of_memory: int = 0
    born_ms: int = 0
    _holds: SlotHolds = field(default_factory=SlotHolds)
    _memory: ReplicaMemory = field(default_factory=ReplicaMemory)
    _waiting_by_id: dict[AttemptId, _Waiting] = field(default_factory=dict)
    # Pairs of the time until which it counts, and the online holds.
    _recent_online: list[tuple[int, int]] = field(default_factory=list)
    _grants: int = 0
    _shares_by_use: dict[Use, WorkspaceShares] = field(
        default_factory=lambda: {
            Use.ONLINE: WorkspaceShares(ONLINE_HALF_LIFE_MS),
            Use.BATCH: WorkspaceShares(BATCH_HALF_LIFE_MS),
        }
    )

    @property
    def accounts(self) -> int:
        """Number of workspaces with an account of recent grants."""
        return sum(map(len, self._shares_by_use.values()))

    @property
    def waiting(self) -> tuple[AttemptId, ...]:
        """Attempts that wait for a slot."""
        return tuple(self._waiting_by_id)

    @property
    def held(self) -> tuple[AttemptId, ...]:
        """Attempts that hold a slot."""
        return tuple(self._holds.by_id)

    def ask(self, ask: SlotRequest, now_ms: int) -> list:
        """Decide on `ask`; idempotent for a repeated attempt."""
        held = self._holds.by_id.get(ask.attempt_id)
        if held is not None:
            held.renewed_ms = now_ms
            return [_reply(ask, SlotDecision.GRANTED)]
        if ask.attempt_id in self._waiting_by_id:
            return [_reply(ask, SlotDecision.QUEUED)]
        if self.away:
            return [_reply(ask, SlotDecision.AWAY)]
        if self._memory.exceeds_total(ask):
            return [_reply(ask, SlotDecision.FULL)]
        if ask.use is Use.BATCH:
            return self._ask_batch(ask, now_ms)
        return self._ask_online(ask, now_ms)

    def _ask_batch(self, ask, now_ms):
        online = self._peak_online(now_ms)
        holds = self._holds
        taken = online + holds.count(Use.BATCH) + holds.unmatched
        if self._waiting_by_id or taken >= self.slots:
            return [_reply(ask, SlotDecision.FULL)]
        if not self._has_memory(ask):
            return [_reply(ask, SlotDecision.FULL)]
        return [self._grant(ask, now_ms)]

    def _peak_online(self, now_ms):
        """Return the peak of online holds in the last `BATCH_COOLDOWN_MS`."""
        self._recent_online = [
            each for each in self._recent_online if each[0] > now_ms
        ]
        counts = (count for _, count in self._recent_online)
        return max(self._holds.count(Use.ONLINE), *counts, 0)

    def _ask_online(self, ask, now_ms):
        is_next = not self._grantable()
        has_slot = self._holds.used < self.slots
        if is_next and has_slot and self._has_memory(ask):
            return [self._grant(ask, now_ms)]
        if ask.idle_only:
            return [_reply(ask, SlotDecision.FULL)]
        revoked = self._revoke(ask, now_ms) if is_next else []
        if revoked:
            return [*revoked, self._grant(ask, now_ms)]
        # A slack of 0: the request can't meet its deadline any more.
        max_delay_ms = min(ask.slack_ms, ask.wait_ms) or ask.wait_ms
        competing = self._competing(ask, now_ms)
        delay_ms = self._expected_delay_ms(
            ask, self._not_overtaken(ask, competing, now_ms)
        )
        if delay_ms > max_delay_ms:
            return [self._refusal(ask, delay_ms, now_ms)]
        self._waiting_by_id[ask.attempt_id] = _Waiting(
            ask, now_ms + ask.wait_ms, now_ms + ask.slack_ms
        )
        displaced = []
        if self._expected_delay_ms(ask, competing) > max_delay_ms:
            displaced = self._displace(ask, now_ms)
        return [*displaced, _reply(ask, SlotDecision.QUEUED)]

    def _has_memory(self, ask):
        """Return whether `ask` fits, and count it if not."""
        fits = self._memory.fits(ask, self._holds.by_id.values())
        self.short_of_memory += not fits
        return fits

    def _grantable(self):
        """Return those of the queue that fit if all items were revoked."""
        if self._holds.used >= self.slots:
            return {}
        online = [
            hold
            for hold in self._holds.by_id.values()
            if hold.ask.use is Use.ONLINE
        ]
        asks = [waiting.ask for waiting in self._waiting_by_id.values()]
        return {
            ask.attempt_id: self._waiting_by_id[ask.attempt_id]
            for ask in self._memory.fitting(asks, online)
        }

    def _competing(self, ask, now_ms):
        """Return what waits, without the late if `ask` can be in time."""
        return [
            each
            for each in self._waiting_by_id.values()
            if not (ask.slack_ms and each.is_late(now_ms))
        ]

    def _not_overtaken(self, ask, competing, now_ms):
        """Return `competing` without what `ask` goes before by its share."""
        if all(each.ask.workspace == ask.workspace for each in competing):
            return competing
        equals = [
            each.ask
            for each in competing
            if each.ask.rank == ask.rank
            and each.is_late(now_ms) is not bool(ask.slack_ms)
        ]
        shares = self._shares_by_use[Use.ONLINE]
        ordered = shares.order([*equals, ask], now_ms, lambda each: ())
        place = ordered.index(ask)
        overtaken = {each.attempt_id for each in ordered[place:]}
        return [
            each for each in competing if each.ask.attempt_id not in overtaken
        ]

    def _displace(self, ask, now_ms):
        """Refuse the last request of a workspace over its share.

        It must be behind `ask` by its share, and its time must not cover
        its new place.
        """
        over = workspaces_over(self._online_requests())
        ordered = self._ordered(now_ms, lambda each: each.rank)
        for place in range(len(ordered) - 1, ordered.index(ask), -1):
            last = ordered[place]
            if last.workspace not in over or last.rank != ask.rank:
                continue
            waiting = self._waiting_by_id[last.attempt_id]
            until_ms = waiting.expires_ms
            if not waiting.is_late(now_ms):
                until_ms = min(until_ms, waiting.deadline_ms)
            delay_ms = self._queue_delay_ms(place)
            if now_ms + delay_ms <= until_ms:
                continue
            del self._waiting_by_id[last.attempt_id]
            return [self._refusal(last, delay_ms, now_ms)]
        return []

    def _refusal(self, ask, delay_ms, now_ms):
        """Return a refusal with the wait at the place of `ask`."""
        wait_ms = 0
        if ask.workspace:
            shares = self._shares_by_use[Use.ONLINE]
            others = [each.ask for each in self._waiting_by_id.values()]
            next_free_ms = self._holds.next_free_ms(self.hold_ms, now_ms)
            lead_ms = shares.lead_ms(ask, others, self.slots, now_ms)
            wait_ms = max(delay_ms, next_free_ms) + lead_ms
        return _reply(ask, SlotDecision.FULL, wait_ms)

    def _online_requests(self):
        """Return the online requests that wait or hold a slot."""
        held = [
            hold.ask
            for hold in self._holds.by_id.values()
            if hold.ask.use is Use.ONLINE
        ]
        return held + [each.ask for each in self._waiting_by_id.values()]

    def _ordered(self, now_ms, rank_of, held_back=()):
        """Return the waiting requests in the order of their grants.

        Those of the workspaces `held_back` count as late.
        """

        def precedence(ask):
            waiting = self._waiting_by_id[ask.attempt_id]
            is_late = waiting.is_late(now_ms) or ask.workspace in held_back
            return is_late, rank_of(ask)

        requests = [each.ask for each in self._waiting_by_id.values()]
        shares = self._shares_by_use[Use.ONLINE]
        return shares.order(requests, now_ms, precedence)

    def _expected_delay_ms(self, ask, competing):
        """Return the expected delay of `ask` behind `competing`, in ms."""
        ahead = [each.ask.rank for each in competing]
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
        """Free the slot of `attempt_id`, or take it out of the queue."""
        self._waiting_by_id.pop(attempt_id, None)
        held = self._holds.by_id.pop(attempt_id, None)
        if held is None:
            return []
        shares = self._shares_by_use[held.ask.use]
        shares.ended(held.ask, now_ms - held.since_ms)
        if held.ask.use is Use.ONLINE:
            online_count = self._holds.count(Use.ONLINE) + 1
            self._recent_online.append(
                (now_ms + BATCH_COOLDOWN_MS, online_count)
            )
            lasted_ms = now_ms - held.since_ms
            self.hold_ms += HOLD_EWMA_WEIGHT * (lasted_ms - self.hold_ms)
        return self._grant_waiting(now_ms)

    def renew(self, attempt_ids, requester, now_ms: int) -> None:
        """Renew the holds of `attempt_ids` that belong to `requester`."""
        self._holds.renew(attempt_ids, requester, now_ms)

    def report(
        self,
        running: frozenset,
        waiting: int,
        now_ms: int,
        memory: MemoryReport | None = None,
    ) -> list:
        """Reconcile the holds with what the replica runs and queues."""
        self._holds.reconcile(running, waiting, now_ms)
        unheld = self._holds.unheld(running)
        self._memory.update(memory or MemoryReport(), unheld)
        return self._grant_waiting(now_ms)

    def expected_wait_ms(self) -> int:
        """Return the expected wait of one more online request, in ms."""
        if not self._waiting_by_id and (
            self._holds.used < self.slots or self._holds.count(Use.BATCH)
        ):
            return 0
        return self._queue_delay_ms(len(self._waiting_by_id))

    def state(self) -> AllocatorState:
        """Return the state that is sent to entries."""
        return AllocatorState(
            slots=self.slots,
            online=self._holds.count(Use.ONLINE) + self._holds.unmatched,
            batch=self._holds.count(Use.BATCH),
            waiting=len(self._waiting_by_id),
            wait_ms=self.expected_wait_ms(),
            away=self.away,
            waiting_tokens=sum(
                each.ask.prompt_tokens for each in self._waiting_by_id.values()
            ),
            free_tokens=self._memory.free_tokens(self._holds.by_id.values()),
            born_ms=self.born_ms,
        )

    def unread_tokens(self, run_by_id: dict) -> int:
        """Return the prompt tokens that granted requests have yet to read.

        Parameters
        ----------
        run_by_id : dict
            `RunProgress` of the runs in the replica's last report.
        """
        unread = 0
        for held in self._holds.by_id.values():
            run = run_by_id.get(held.ask.run_id)
            if run is None:
                unread += held.ask.prompt_tokens
            elif not run.events:
                unread += max(0, held.ask.prompt_tokens - run.tokens)
        return unread

    def replica_restarted(
        self, born_ms: int, slots: int, since_ms: int, now_ms: int
    ) -> list:
        """Drop what belongs to the replica's earlier incarnation.

        Queued requests stay: they were not sent yet. So does `hold_ms`,
        which ages with each request.

        Parameters
        ----------
        born_ms, slots : int
            Of the new incarnation.
        since_ms : int
            Time from which grants are for the new incarnation.
        now_ms : int
        """
        self.born_ms = born_ms
        self.slots = slots
        self._recent_online.clear()
        self._memory = ReplicaMemory()
        self._holds.drop_before(since_ms)
        return self._grant_waiting(now_ms)

    def _revoke(self, ask, now_ms):
        """Revoke the fewest batch holds that make room; [] if none do."""
        shares = self._shares_by_use[Use.BATCH]
        holds = self._holds
        chosen = self._memory.fewest_to_revoke(
            ask,
            holds.by_id.values(),
            holds.batch(),
            lambda able: next_to_revoke(
                able, lambda workspace: shares.start(workspace, now_ms)
            ),
        )
        for hold in chosen:
            holds.revoke(hold, now_ms)
            shares.ended(hold.ask, now_ms - hold.since_ms)
        return [
            Revoked(hold.ask.attempt_id, hold.ask.requester) for hold in chosen
        ]

    def _grant(self, ask, now_ms):
        self._holds.grant(ask, now_ms)
        self._shares_by_use[ask.use].granted(ask, now_ms)
        return _reply(ask, SlotDecision.GRANTED)

    def _grant_waiting(self, now_ms):
        answers = []
        for attempt_id, waiting in list(self._waiting_by_id.items()):
            if waiting.expires_ms < now_ms:
                del self._waiting_by_id[attempt_id]
                answers.append(_reply(waiting.ask, SlotDecision.FULL))
        while grantable := self._grantable():
            attempt_id = self._next_attempt_id(grantable, now_ms)
            ask = self._waiting_by_id.pop(attempt_id).ask
            if not self._memory.fits(ask, self._holds.by_id.values()):
                answers += self._revoke(ask, now_ms)
            answers.append(self._grant(ask, now_ms))
        return answers

    def _next_attempt_id(self, waiting_by_id, now_ms):
        """Return the attempt to grant next; first come among equals."""
        self._grants += 1
        requests = [each.ask for each in waiting_by_id.values()]
        top_rank = min(each.rank for each in requests)
        self._shares_by_use[Use.ONLINE].compete(requests, now_ms)
        if self._grants % LOW_PRIORITY_INTERVAL:
            ordered = self._ordered(now_ms, lambda each: each.rank)
        else:
            ordered = self._ordered(
                now_ms,
                lambda each: each.rank == top_rank,
                workspaces_over(self._online_requests()),
            )
        return next(
            each.attempt_id
            for each in ordered
            if each.attempt_id in waiting_by_id
        )


def _reply(ask, decision, wait_ms=0):
    return SlotReply(ask.attempt_id, ask.requester, decision, wait_ms)
