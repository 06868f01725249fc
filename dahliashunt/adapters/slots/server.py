"""An agent's side: ask the keeper's decisions and send them."""

from dahliashunt.adapters.slots.datagrams import open_datagrams
from dahliashunt.adapters.slots.use import decode_report
from dahliashunt.adapters.slots.use import encode_reading
from dahliashunt.adapters.wire.gen.link.ttypes import SlotAnswer
from dahliashunt.adapters.wire.gen.link.ttypes import SlotFrame
from dahliashunt.adapters.wire.gen.link.ttypes import SlotRevoke
from dahliashunt.adapters.wire.gen.link.ttypes import SlotState
from dahliashunt.adapters.wire.gen.link.ttypes import SlotUse
from dahliashunt.adapters.wire.gen.link.ttypes import SlotVerdict
from dahliashunt.decisions.meter import Meter
from dahliashunt.decisions.slot_keeper import SlotKeeper
from dahliashunt.decisions.slot_messages import Answered
from dahliashunt.decisions.slot_messages import Ask
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.decisions.slot_messages import Verdict
from dahliashunt.metrics import Metrics
from dahliashunt.ports import Clock

__all__ = ["SlotServer"]

LISTENER_MS = 5_000
"""Entries that sent nothing for so long get no more states; they send
renewals every second."""

_USE = {SlotUse.ONLINE: Use.ONLINE, SlotUse.BATCH: Use.BATCH}
_VERDICT = {
    Verdict.GRANTED: SlotVerdict.GRANTED,
    Verdict.QUEUED: SlotVerdict.QUEUED,
    Verdict.FULL: SlotVerdict.FULL,
    Verdict.AWAY: SlotVerdict.AWAY,
}


class SlotServer:
    """Serves one `SlotKeeper`, and one `Meter`, over datagrams.

    Parameters
    ----------
    keeper : SlotKeeper
    clock : Clock
    metrics : Metrics
    log : structlog logger
    """

    def __init__(
        self, keeper: SlotKeeper, clock: Clock, metrics: Metrics, log
    ):
        self.keeper = keeper
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self.meter = Meter()
        self._datagrams = None
        self._heard_ms_by_asker: dict[tuple[str, int], int] = {}
        self._last_state = None
        self.instance_id = None

    async def start(self, host: str, port: int) -> None:
        """Take datagrams at `host` and `port`."""
        self._datagrams = await open_datagrams(self._received, host, port)

    @property
    def address(self) -> tuple[str, int]:
        """Where datagrams are taken."""
        return self._datagrams.address

    def stop(self) -> None:
        """Take no more."""
        if self._datagrams is not None:
            self._datagrams.close()

    def _received(self, frame, asker):
        now_ms = self._clock.now_ms()
        self.meter.heard.note(now_ms, asker)
        if frame.use_report is not None:
            self._metered(now_ms, frame.use_report, asker)
            return
        self._heard_ms_by_asker[asker] = now_ms
        if frame.ask is not None:
            self._send_all(self.keeper.ask(_ask(frame.ask, asker), now_ms))
        elif frame.release is not None:
            attempt_id = frame.release.attempt_id
            self._send_all(self.keeper.release(attempt_id, now_ms))
        elif frame.held is not None:
            self.keeper.renew(frame.held.attempt_ids, asker, now_ms)
            # Answered in any case: an entry must tell an agent that has
            # nothing new to say from one that is gone.
            self._datagrams.send(SlotFrame(state=self._state()), asker)

    def _metered(self, now_ms, wire, asker):
        reading = self.meter.report(now_ms, asker, decode_report(wire))
        self._metrics.count("use_reports")
        if wire.wanted and reading.granted < wire.wanted:
            self._metrics.count("use_refused", wire.wanted - reading.granted)
        frame = SlotFrame(use_reading=encode_reading(reading))
        self._datagrams.send(frame, asker)

    def report(self, running: frozenset, waiting: int) -> None:
        """Take over what the replica says, and act on it."""
        now_ms = self._clock.now_ms()
        self._send_all(self.keeper.report(running, waiting, now_ms))

    def _send_all(self, effects):
        for effect in effects:
            if isinstance(effect, Answered):
                self._metrics.count("slot_asks", verdict=effect.verdict.value)
                answer = SlotAnswer(
                    effect.attempt_id,
                    _VERDICT[effect.verdict],
                    self._state(),
                )
                frame = SlotFrame(answer=answer)
            else:
                self._metrics.count("slots_revoked")
                self._log.info("slot_revoked", attempt_id=effect.attempt_id)
                frame = SlotFrame(revoke=SlotRevoke(effect.attempt_id))
            self._datagrams.send(frame, effect.asker)

    def _state(self):
        state = self.keeper.state()
        return SlotState(
            slots=state.slots,
            online=state.online,
            batch=state.batch,
            waiting=state.waiting,
            wait_ms=state.wait_ms,
            away=state.away,
            instance_id=self.instance_id,
        )

    def publish(self) -> None:
        """Tell entries that were heard lately, if anything changed."""
        state = self._state()
        if state == self._last_state:
            return
        self._last_state = state
        now_ms = self._clock.now_ms()
        for asker, heard_ms in list(self._heard_ms_by_asker.items()):
            if now_ms - heard_ms > LISTENER_MS:
                del self._heard_ms_by_asker[asker]
            else:
                self._datagrams.send(SlotFrame(state=state), asker)


def _ask(ask, asker):
    return Ask(
        attempt_id=ask.attempt_id,
        run_id=ask.run_id,
        asker=asker,
        use=_USE.get(ask.use, Use.ONLINE),
        wait_ms=ask.wait_ms,
        slack_ms=ask.slack_ms,
        rank=ask.rank or 0,
    )
