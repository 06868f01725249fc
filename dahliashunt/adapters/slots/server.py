"""Agent's side of the slot protocol: serve the slot allocator's decisions."""

from dahliashunt.adapters.slots.datagrams import open_datagrams
from dahliashunt.adapters.slots.usage_codec import decode_report
from dahliashunt.adapters.slots.usage_codec import encode_reading
from dahliashunt.adapters.wire.gen.link.ttypes import SlotAnswer
from dahliashunt.adapters.wire.gen.link.ttypes import SlotFrame
from dahliashunt.adapters.wire.gen.link.ttypes import SlotRevoke
from dahliashunt.adapters.wire.gen.link.ttypes import SlotState
from dahliashunt.adapters.wire.gen.link.ttypes import SlotUse
from dahliashunt.adapters.wire.gen.link.ttypes import SlotVerdict
from dahliashunt.adapters.wire.gen.link.ttypes import StreamReply
from dahliashunt.decisions.meter import Meter
from dahliashunt.decisions.replica_memory import MemoryReport
from dahliashunt.decisions.replica_speed import ReplicaSpeed
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import SlotReply
from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.stream_origins import OriginTable
from dahliashunt.metrics import Metrics
from dahliashunt.ports import Clock

__all__ = ["SlotServer"]

LISTENER_TIMEOUT_MS = 5_000
"""Time without a datagram after which an entry gets no more states; entries
renew every second."""

UNREAD_STEP_TOKENS = 2_000
"""Step of the published tokens that granted requests have yet to read, so
that short prompts, read in 3 ms each, cause no messages."""

LOGGED_SPEED_FACTOR = 1.4
"""Ratio of two successive speeds from which on the change is logged: below it
entries treat speeds as equal."""

_USE = {SlotUse.ONLINE: Use.ONLINE, SlotUse.BATCH: Use.BATCH}
_VERDICT = {
    SlotDecision.GRANTED: SlotVerdict.GRANTED,
    SlotDecision.QUEUED: SlotVerdict.QUEUED,
    SlotDecision.FULL: SlotVerdict.FULL,
    SlotDecision.AWAY: SlotVerdict.AWAY,
}


class SlotServer:
    """Serves a `SlotAllocator`, a `Meter` and an `OriginTable`.

    Parameters
    ----------
    allocator : SlotAllocator
    clock : Clock
    metrics : Metrics
    log : structlog logger
    """

    def __init__(
        self, allocator: SlotAllocator, clock: Clock, metrics: Metrics, log
    ):
        self.allocator = allocator
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self.meter = Meter()
        self.origins = OriginTable()
        self.speed = ReplicaSpeed()
        self._run_by_id = {}
        self._datagrams = None
        self._heard_ms_by_requester: dict[tuple[str, int], int] = {}
        self._last_state = None
        self.instance_id = None

    async def start(self, host: str, port: int) -> None:
        """Bind to `host` and `port` and receive datagrams."""
        self._datagrams = await open_datagrams(self._on_frame, host, port)

    @property
    def address(self) -> tuple[str, int]:
        """Local address of the socket."""
        return self._datagrams.address

    def stop(self) -> None:
        """Close the socket."""
        if self._datagrams is not None:
            self._datagrams.close()

    def _on_frame(self, frame, requester):
        now_ms = self._clock.now_ms()
        self.meter.heard.note(now_ms, requester)
        if frame.use_report is not None:
            self._on_usage_report(now_ms, frame.use_report, requester)
            return
        if frame.stream_note is not None or frame.stream_query is not None:
            self._on_stream(now_ms, frame, requester)
            return
        self._heard_ms_by_requester[requester] = now_ms
        if frame.ask is not None:
            ask = _slot_request(frame.ask, requester)
            effects = self.allocator.ask(ask, now_ms)
            self._note_displaced(effects, ask)
            self._send_all(effects)
        elif frame.release is not None:
            attempt_id = frame.release.attempt_id
            self._send_all(self.allocator.release(attempt_id, now_ms))
        elif frame.held is not None:
            self.allocator.renew(frame.held.attempt_ids, requester, now_ms)
            # The answer distinguishes an agent whose state has not changed
            # from one that is gone.
            self._datagrams.send(SlotFrame(state=self._state()), requester)

    def _on_usage_report(self, now_ms, wire, requester):
        reading = self.meter.report(now_ms, requester, decode_report(wire))
        self._metrics.count("use_reports")
        if wire.wanted and reading.granted < wire.wanted:
            self._metrics.count("use_refused", wire.wanted - reading.granted)
        frame = SlotFrame(use_reading=encode_reading(reading))
        self._datagrams.send(frame, requester)

    def _on_stream(self, now_ms, frame, requester):
        note = frame.stream_note
        if note is not None:
            if None not in (note.stream, note.origin):
                self.origins.note(now_ms, note.stream, note.origin)
            return
        stream = frame.stream_query.stream
        origin = self.origins.get(now_ms, stream)
        reply = SlotFrame(stream_reply=StreamReply(stream, origin))
        self._datagrams.send(reply, requester)

    def report(
        self,
        running: frozenset,
        waiting: int,
        memory: MemoryReport | None = None,
    ) -> None:
        """Pass the replica's load report to the allocator."""
        now_ms = self._clock.now_ms()
        self._send_all(self.allocator.report(running, waiting, now_ms, memory))

    def report_progress(self, run_by_id: dict) -> None:
        """Pass the progress of the replica's runs to the speed."""
        self._run_by_id = run_by_id
        before_us = self.speed.token_us
        self.speed.report(run_by_id, self._clock.now_ms())
        token_us = self.speed.token_us
        self._metrics.gauge("replica_token_us", token_us)
        reading = self.speed.read_tokens_per_ms
        self._metrics.gauge("replica_read_tokens_per_ms", reading)
        if _is_logged_change(before_us, token_us):
            self._log.info(
                "replica_speed_changed", before_us=before_us, token_us=token_us
            )

    def replica_restarted(
        self, replica_id: str, born_ms: int, slots: int, since_ms: int
    ) -> None:
        """Drop the earlier incarnation's grants; announce the new one.

        Meters and notes of streams stay: they count workspaces' requests and
        name software versions, not what a replica holds.
        """
        self.instance_id = replica_id
        self.speed = ReplicaSpeed()
        now_ms = self._clock.now_ms()
        allocator = self.allocator
        self._send_all(
            allocator.replica_restarted(born_ms, slots, since_ms, now_ms)
        )
        self.publish()

    def _note_displaced(self, effects, ask):
        """Record requests refused for one of a smaller workspace."""
        for effect in effects:
            if (
                isinstance(effect, SlotReply)
                and effect.attempt_id != ask.attempt_id
            ):
                self._metrics.count("slot_asks_displaced")
                self._log.info(
                    "slot_ask_displaced",
                    attempt_id=effect.attempt_id,
                    by_attempt_id=ask.attempt_id,
                    wait_ms=effect.wait_ms,
                )

    def _send_all(self, effects):
        for effect in effects:
            if isinstance(effect, SlotReply):
                self._metrics.count("slot_asks", verdict=effect.verdict.value)
                answer = SlotAnswer(
                    effect.attempt_id,
                    _VERDICT[effect.verdict],
                    self._state(),
                    effect.wait_ms or None,
                )
                frame = SlotFrame(answer=answer)
            else:
                self._metrics.count("slots_revoked")
                self._log.info("slot_revoked", attempt_id=effect.attempt_id)
                frame = SlotFrame(revoke=SlotRevoke(effect.attempt_id))
            self._datagrams.send(frame, effect.requester)

    def _state(self):
        state = self.allocator.state()
        unread = self.allocator.unread_tokens(self._run_by_id)
        unread -= unread % UNREAD_STEP_TOKENS
        return SlotState(
            slots=state.slots,
            online=state.online,
            batch=state.batch,
            waiting=state.waiting,
            wait_ms=state.wait_ms,
            away=state.away,
            instance_id=self.instance_id,
            token_us=self.speed.token_us or None,
            read_tokens_per_ms=self.speed.read_tokens_per_ms or None,
            waiting_tokens=state.waiting_tokens + unread or None,
            free_tokens=_if_known(state.free_tokens),
            born_ms=state.born_ms or None,
            batch_room=_if_known(state.batch_room),
        )

    def publish(self) -> None:
        """Send a changed state to the entries that were heard recently."""
        state = self._state()
        if state == self._last_state:
            return
        self._last_state = state
        now_ms = self._clock.now_ms()
        self._heard_ms_by_requester = {
            requester: heard_ms
            for requester, heard_ms in self._heard_ms_by_requester.items()
            if now_ms - heard_ms <= LISTENER_TIMEOUT_MS
        }
        self._datagrams.send_to_all(
            SlotFrame(state=state), self._heard_ms_by_requester
        )


def _slot_request(ask, requester):
    return SlotRequest(
        attempt_id=ask.attempt_id,
        run_id=ask.run_id,
        requester=requester,
        use=_USE.get(ask.use, Use.ONLINE),
        wait_ms=ask.wait_ms,
        slack_ms=ask.slack_ms,
        rank=ask.rank or 0,
        workspace=ask.workspace or 0,
        prompt_tokens=ask.prompt_tokens or 0,
        output_tokens=ask.output_tokens or 0,
        idle_only=bool(ask.idle_only),
    )


def _is_logged_change(before_us, token_us):
    if not (before_us and token_us):
        return before_us != token_us
    low_us, high_us = sorted((before_us, token_us))
    return high_us > LOGGED_SPEED_FACTOR * low_us


def _if_known(value):
    return None if value < 0 else value
