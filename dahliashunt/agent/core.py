"""The agent's core: the task that owns all attempts at one endpoint.

Entries talk to it by frames, runners and watchers by messages; everything
arrives in one mailbox and is handled in order, so no state here is shared.
What to start, refuse or stop is decided by `AgentDecisions`; this module
carries it out.
"""

from dahliashunt.adapters.wire.connection import Closed
from dahliashunt.adapters.wire.connection import Opened
from dahliashunt.adapters.wire.connection import Received
from dahliashunt.agent.answers import AnswerSender
from dahliashunt.agent.attempt import Attempt
from dahliashunt.agent.attempt import not_run
from dahliashunt.agent.attempt import outcome_of
from dahliashunt.agent.attempt import outcome_of_unseen
from dahliashunt.agent.attempt import State
from dahliashunt.agent.attempt import work_of
from dahliashunt.agent.entry_links import EntryLinks
from dahliashunt.agent.greeting import load_report
from dahliashunt.agent.messages import EngineData
from dahliashunt.agent.messages import EngineEnd
from dahliashunt.agent.messages import EngineEnded
from dahliashunt.agent.messages import LeaveNotice
from dahliashunt.agent.messages import LoadSeen
from dahliashunt.agent.messages import StateSeen
from dahliashunt.agent.runner import Runner
from dahliashunt.agent.runner import RunnerJob
from dahliashunt.decisions.events import Preempt
from dahliashunt.decisions.events import PreemptMode
from dahliashunt.decisions.events import RefuseAttempt
from dahliashunt.decisions.events import Start
from dahliashunt.errors import ErrorKind
from dahliashunt.mailbox import Mailbox
from dahliashunt.online.attempt_log import AttemptLog
from dahliashunt.online.attempt_log import Seen
from dahliashunt.ports.engine import EngineCall

__all__ = ["ENDS_AGAIN_MS", "AgentCore"]

IDLE_WAKE_MS = 100
"""Longest sleep of the core; heartbeats and orphans are looked at then."""

ENDS_AGAIN_MS = 1_000
"""How often a leaving agent sends ends that no entry has settled.

Far above a round trip, so that what is on its way is not sent twice, and
far below any drain limit.
"""


class AgentCore:
    """Owns attempts, entries' connections and the decisions.

    Parameters
    ----------
    settings : AgentSettings
    engine : Engine
    decisions : AgentDecisions
    records : RecordsKeeper
        Holds the newest records that any entry has sent.
    orders : OrderTask or None
        Takes orders for the engine; None without a table service.
    clock : Clock
    incarnation : int
        New at each start, so that entries can tell a restarted agent.
    log : structlog logger
    """

    def __init__(
        self,
        settings,
        engine,
        decisions,
        records,
        orders,
        clock,
        incarnation,
        log,
    ):
        self.mailbox = Mailbox()
        self.attempts_by_id: dict[str, Attempt] = {}
        self._settings = settings
        self._engine = engine
        self._decisions = decisions
        self._orders = orders
        self._clock = clock
        self._incarnation = incarnation
        self._log = log
        self._attempt_log = AttemptLog(settings.keep_bytes)
        self._state = None
        self._ends_sent_ms = 0
        self.links = EntryLinks(
            settings,
            records,
            incarnation,
            clock,
            log,
            self._load,
            {
                "open": self._on_open,
                "resume": self._on_resume,
                "cancel": self._on_cancel,
                "settled": self._on_settled,
                "order": self._on_order,
                "leaving": self._on_told_to_leave,
            },
        )
        self.peers = self.links.peers
        self._sender = AnswerSender(self.peers, self._load, clock)
        self._handler_by_type = {
            Received: self.links.on_received,
            Closed: self.links.on_closed,
            Opened: self.links.on_opened,
            EngineData: self._on_engine_data,
            EngineEnded: self._on_engine_ended,
            LoadSeen: self._on_load,
            StateSeen: self._on_state,
            LeaveNotice: self._on_leave,
        }

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            for message in await self.mailbox.take(self._sleep_ms()):
                self._handler_by_type[type(message)](message)
            self._tick()

    @property
    def leaving(self) -> bool:
        """Whether this endpoint has been told to leave."""
        return self.links.leaving

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs and every entry has what it was owed."""
        return not self.attempts_by_id and not self.unsettled()

    def unsettled(self) -> list:
        """Return the logged ends that a connected entry has not settled."""
        return [
            logged
            for logged in self._attempt_log.by_id.values()
            if logged.outcome is not None
            and self.peers.is_connected(logged.node_id)
        ]

    def _sleep_ms(self):
        wake_ms = self._decisions.wake_ms()
        if wake_ms is None:
            return IDLE_WAKE_MS
        left = wake_ms - self._clock.now_ms()
        return max(1, min(IDLE_WAKE_MS, left))

    def _tick(self):
        now = self._clock.now_ms()
        self._apply(self._decisions.tick(now))
        for peer in self.peers.gone_for(now, self._settings.timing.orphan_ms):
            self._cancel_orphans(peer.node_id)
        active = {attempt.node_id for attempt in self.attempts_by_id.values()}
        self.links.beat(now, active)
        if self.leaving and now - self._ends_sent_ms >= ENDS_AGAIN_MS:
            self._ends_sent_ms = now
            self._send_ends_again()

    def _send_ends_again(self):
        """Send the ends that entries have not settled once more.

        A settlement is lost with the connection it was sent on, and an
        entry that has forgotten the attempt, or was started since, never
        sends another by itself: without this the agent waited for it until
        its drain limit. An entry answers an end it does not know with a
        settlement, and one it knows as it does any end.
        """
        for logged in self.unsettled():
            self._sender.outcome(logged.node_id, logged.outcome)

    # The endpoint's load.

    def _load(self):
        busy = frozenset(
            attempt.open.model
            for attempt in self.attempts_by_id.values()
            if attempt.state is not State.WAITING
        )
        return load_report(
            self._decisions, self._state, self._draining(), busy
        )

    def _draining(self):
        if self._orders is None:
            return frozenset()
        return self._orders.wanted.draining

    def _on_order(self, peer, order):
        if self._orders is not None:
            self._orders.mailbox.put(order)

    # Attempts, from opening to outcome.

    def _on_open(self, peer, opening):
        seen = self._attempt_log.open(opening.attempt_id, peer.node_id)
        if seen is Seen.REFUSED:
            self._sender.outcome(
                peer.node_id, not_run(opening.attempt_id, ErrorKind.CANCELLED)
            )
        if seen is not Seen.NEW:
            return
        attempt = Attempt(opening, peer.node_id)
        self.attempts_by_id[opening.attempt_id] = attempt
        now = self._clock.now_ms()
        refusal = self._refusal(now, opening)
        if refusal is not None:
            self._finish(attempt, not_run(opening.attempt_id, refusal))
            return
        self._apply(self._decisions.offer(now, work_of(opening, now)))

    def _refusal(self, now, opening):
        """Return why an attempt cannot be taken here at all, or None."""
        if self.links.convictions.holds(now, opening.fingerprint):
            return ErrorKind.CONVICTED
        if opening.model in self._draining():
            return ErrorKind.LEAVING
        return None

    def _on_resume(self, peer, resume):
        """Go on with an attempt that its entry asks after."""
        attempt_id = resume.attempt_id
        if self._adopt(peer, resume):
            return
        seen = self._attempt_log.ask(self._clock.now_ms(), attempt_id)
        if seen is not Seen.KNOWN:
            never = seen is Seen.REFUSED
            outcome = outcome_of_unseen(resume, never, self._incarnation)
            self._sender.outcome(peer.node_id, outcome)
            return
        attempt = self.attempts_by_id.get(attempt_id)
        if attempt is not None:
            attempt.node_id = peer.node_id
        logged = self._attempt_log.by_id[attempt_id]
        logged.node_id = peer.node_id
        if attempt is None or not attempt.is_batch:
            for offset, events, data in logged.since(resume.offset):
                self._sender.chunk(peer.node_id, logged, offset, events, data)
        if logged.outcome is not None:
            self._sender.outcome(peer.node_id, logged.outcome)

    def _adopt(self, peer, resume):
        """Take over a stream of this agent's predecessor; say whether.

        The predecessor was killed with the engine still generating. Its
        streams are known there by attempt id, so the answer goes on from
        the event that the entry wants; if the engine does not know the
        attempt either, its outcome stays unknown.
        """
        foreign = resume.incarnation != self._incarnation
        if not foreign or resume.opening is None:
            return False
        seen = self._attempt_log.open(resume.attempt_id, peer.node_id)
        if seen is not Seen.NEW:
            return False
        attempt = Attempt(resume.opening, peer.node_id, adopted=True)
        self.attempts_by_id[resume.attempt_id] = attempt
        self._attempt_log.by_id[resume.attempt_id].events = resume.offset
        self._start(attempt, resume.offset)
        now = self._clock.now_ms()
        self._apply(self._decisions.offer(now, work_of(resume.opening, now)))
        return True

    def _on_cancel(self, peer, cancel):
        self._cancel(cancel.attempt_id)

    def _on_settled(self, peer, settled):
        now = self._clock.now_ms()
        for attempt_id in settled.attempt_ids:
            self._attempt_log.settle(now, attempt_id)

    def _cancel_orphans(self, node_id):
        """Cancel what an entry that is gone had asked for.

        Its callers' connections went with it, so nobody can receive these
        answers; batch items are run again by the job's next owner.
        """
        orphans = [
            attempt_id
            for attempt_id, attempt in self.attempts_by_id.items()
            if attempt.node_id == node_id
        ]
        self._log.info("entry_gone", entry=node_id, cancelled=len(orphans))
        for attempt_id in orphans:
            self._cancel(attempt_id)

    def _cancel(self, attempt_id):
        attempt = self.attempts_by_id.get(attempt_id)
        if attempt is None:
            return
        now = self._clock.now_ms()
        if attempt.state is State.WAITING:
            self._finish(
                attempt,
                self._cancelled_outcome(attempt),
            )
        else:
            attempt.state = State.STOPPING
            attempt.preempt = None
            attempt.runner.cancel()
        self._apply(self._decisions.cancel(now, attempt_id))

    def _cancelled_outcome(self, attempt):
        if not attempt.starts:
            return not_run(attempt.open.attempt_id, ErrorKind.CANCELLED)
        ended = EngineEnded(attempt.open.attempt_id, EngineEnd.CANCELLED)
        logged = self._attempt_log.by_id[attempt.open.attempt_id]
        return outcome_of(attempt, ended, logged)

    def _apply(self, decisions):
        for decision in decisions:
            attempt = self.attempts_by_id.get(decision.attempt_id)
            if attempt is None:
                continue
            # An adopted attempt runs already, whatever was decided of it.
            waits = attempt.state is State.WAITING
            if isinstance(decision, Start) and waits:
                self._start(attempt)
            elif isinstance(decision, RefuseAttempt) and waits:
                self._turn_away(attempt, decision)
            elif isinstance(decision, Preempt):
                self._preempt(attempt, decision)

    def _turn_away(self, attempt, decision):
        if attempt.starts:
            # A batch attempt that was preempted and waits again: it ran,
            # so its end must not say that it did not.
            self._finish(attempt, self._cancelled_outcome(attempt))
            return
        self._finish(
            attempt,
            not_run(
                attempt.open.attempt_id,
                decision.kind,
                retry_after_ms=decision.retry_after_ms,
            ),
        )

    def _start(self, attempt, from_event=None):
        opening = attempt.open
        call = EngineCall(
            attempt_id=opening.attempt_id,
            method=opening.method,
            path=opening.path,
            body=opening.body,
            headers={
                **(opening.headers or {}),
                "X-Origin-Request-Id": opening.request_id,
            },
        )
        attempt.state = State.RUNNING
        attempt.starts += 1
        job = RunnerJob(
            call,
            opening.timeout_ms,
            from_event,
            kv_handle=attempt.kv_handle,
            may_move=not self._settings.back_end.service_name,
            start=attempt.starts,
        )
        attempt.runner = Runner(
            self._engine,
            job,
            self.mailbox,
            self._settings.timing.engine_silent_ms,
        )
        attempt.runner.start()

    def _preempt(self, attempt, decision):
        if attempt.state is not State.RUNNING:
            return
        attempt.state = State.STOPPING
        attempt.preempt = decision.how
        if decision.how is PreemptMode.EXPORT_KV:
            attempt.runner.export()
        else:
            attempt.runner.cancel()

    def _on_engine_data(self, message):
        attempt = self.attempts_by_id.get(message.attempt_id)
        if attempt is None:
            return
        events = message.events
        logged = self._attempt_log.by_id[message.attempt_id]
        if not logged.events:
            logged.status = events.status
            logged.headers = events.headers
        offset = logged.append(events.events, events.data)
        if not attempt.is_batch:
            self._sender.chunk(
                attempt.node_id, logged, offset, events.events, events.data
            )
        now = self._clock.now_ms()
        self._apply(
            self._decisions.tokens(now, message.attempt_id, events.events)
        )

    def _on_engine_ended(self, message):
        attempt = self.attempts_by_id.get(message.attempt_id)
        if attempt is None:
            return
        preempted = attempt.state is State.STOPPING and attempt.preempt
        if preempted and message.end in (
            EngineEnd.CANCELLED,
            EngineEnd.EXPORTED,
        ):
            self._put_back(attempt, message)
            return
        if message.end is EngineEnd.LOST:
            self._log.warning("engine_lost", attempt=message.attempt_id)
        logged = self._attempt_log.by_id[message.attempt_id]
        outcome = outcome_of(attempt, message, logged)
        if outcome.crashed:
            outcome.alongside = self._alongside(message.attempt_id)
        if attempt.is_batch:
            self._sender.whole(attempt.node_id, logged)
        now = self._clock.now_ms()
        decisions = self._decisions.ended(now, message.attempt_id)
        self._finish(attempt, outcome)
        self._apply(decisions)

    def _put_back(self, attempt, message):
        """Let a preempted attempt wait until there is room again."""
        logged = self._attempt_log.by_id[message.attempt_id]
        done_tokens = logged.events
        # The next start brings all events anew, also from an imported KV
        # cache; kept, the first part would stand twice in the result.
        logged.clear()
        how = attempt.preempt
        if message.end is EngineEnd.EXPORTED:
            attempt.kv_handle = message.kv_handle
        else:
            how = PreemptMode.RESTART
            attempt.kv_handle = None
            done_tokens = 0
        attempt.state = State.WAITING
        attempt.preempt = None
        attempt.runner = None
        now = self._clock.now_ms()
        self._apply(
            self._decisions.preempted(
                now, message.attempt_id, how, done_tokens
            )
        )

    def _alongside(self, attempt_id):
        """Return fingerprints of all that ran when the engine died."""
        return [
            other.open.fingerprint
            for other in self.attempts_by_id.values()
            if other.state is not State.WAITING
            and other.open.attempt_id != attempt_id
        ]

    def _finish(self, attempt, outcome):
        del self.attempts_by_id[attempt.open.attempt_id]
        now = self._clock.now_ms()
        self._attempt_log.end(now, attempt.open.attempt_id, outcome)
        self._sender.outcome(attempt.node_id, outcome)

    # The endpoint's state.

    def _on_load(self, message):
        now = self._clock.now_ms()
        self._apply(self._decisions.engine_load(now, message.load))

    def _on_state(self, message):
        self._state = message.state

    def _on_told_to_leave(self, peer, leaving):
        self._on_leave(LeaveNotice(f"{peer.node_id}: {leaving.reason}"))

    def _on_leave(self, message):
        if self.leaving:
            return
        self._log.info("leaving", reason=message.reason)
        self._ends_sent_ms = self._clock.now_ms()
        self.links.leave(message.reason)
        self._apply(self._decisions.leaving(self._clock.now_ms()))
