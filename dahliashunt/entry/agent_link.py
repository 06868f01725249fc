"""The task that keeps one entry linked to one agent.

It owns the connections. A connection that falls silent is not waited for:
a second one is opened at once while the first stays, and the dispatcher
moves the attempts in flight to it. Only when new connections fail too is
the endpoint judged down.
"""

from dataclasses import dataclass
import enum

from dahliashunt.adapters.wire.connection import Closed
from dahliashunt.adapters.wire.connection import dial
from dahliashunt.adapters.wire.connection import Received
from dahliashunt.adapters.wire.gen.link.ttypes import Frame
from dahliashunt.adapters.wire.gen.link.ttypes import Heartbeat
from dahliashunt.entry.settings import AgentAddress
from dahliashunt.errors import LinkError
from dahliashunt.ids import EndpointId
from dahliashunt.mailbox import Mailbox

__all__ = [
    "AgentLink",
    "LinkCut",
    "LinkDown",
    "LinkFrames",
    "LinkState",
    "LinkUp",
]


CUT_MS = 300
"""A link without a connection for so long gets no new work.

A refused dial says at once that nobody listens. Until an endpoint was
judged down, each request sent there came back after a while as not run and
cost its caller a retry; with two endpoints the budget was soon gone, and
callers were refused beside a healthy one.
"""


class LinkState(enum.Enum):
    """How a link stands."""

    CONNECTING = "connecting"
    UP = "up"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A new connection to an agent is in use; it has greeted."""

    link: "AgentLink"
    hello: object


@dataclass(frozen=True, slots=True)
class LinkFrames:
    """Frames have come from an agent."""

    link: "AgentLink"
    frames: list


@dataclass(frozen=True, slots=True)
class LinkCut:
    """An agent cannot be reached just now.

    New work goes elsewhere; what is in flight there may still be resumed.
    """

    link: "AgentLink"


@dataclass(frozen=True, slots=True)
class LinkDown:
    """No connection to an agent can be made; it is judged down."""

    link: "AgentLink"


class AgentLink:
    """Keeps a connection to one agent.

    Parameters
    ----------
    address : AgentAddress
    greeting : callable
        Returns this entry's Hello.
    owner : Mailbox
        Gets `LinkUp`, `LinkFrames` and `LinkDown`.
    clock : Clock
    rng : random.Random
    timing : LinkTiming
    tls : callable
        Returns the SSL context to dial with, or None.
    """

    def __init__(
        self, address: AgentAddress, greeting, owner, clock, rng, timing, tls
    ):
        self.address = address
        self.state = LinkState.CONNECTING
        self.connection = None
        self.incarnation = 0
        self._greeting = greeting
        self._owner = owner
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self._tls = tls
        self._mailbox = Mailbox()
        self._heard_ms = 0
        self._beat_ms = 0
        self._beat_seq = 0
        self._in_flight = 0
        self._active_ms = 0
        self._down_since_ms = None
        self._refused = False
        self._told_cut = False

    @property
    def endpoint_id(self) -> EndpointId:
        """The endpoint beside the agent."""
        return self.address.endpoint_id

    def send(self, frame) -> bool:
        """Send `frame` on the newest connection; False if there is none."""
        connection = self.connection
        return connection is not None and connection.send(frame)

    def attempt_sent(self) -> None:
        """Count an attempt in flight: from now on silence is noticed."""
        if self._in_flight == 0:
            self._active_ms = self._clock.now_ms()
        self._in_flight += 1

    def attempt_ended(self) -> None:
        """Count an attempt out."""
        self._in_flight -= 1

    async def run(self) -> None:
        """Keep the link until cancelled."""
        failures = 0
        try:
            while True:
                if await self._connect():
                    failures = 0
                    await self._serve()
                    continue
                if self._is_heard_again():
                    await self._serve()
                    continue
                failures += 1
                self._judge()
                await self._clock.sleep_ms(self._backoff_ms(failures))
        finally:
            if self.connection is not None:
                self.connection.close()

    def _is_heard_again(self):
        """Whether the silent connection has come back by itself."""
        open_still = self.connection is not None and self.connection.is_open
        if not (open_still and len(self._mailbox)):
            return False
        self.state = LinkState.UP
        return True

    def _backoff_ms(self, failures):
        """Return a jittered delay that doubles with each failure.

        When a rack or a data centre comes back, hundreds of links are
        dialled at once; the jitter spreads them over the whole delay.
        """
        timing = self._timing
        top = min(timing.retry_max_ms, timing.retry_min_ms << min(failures, 8))
        return self._rng.randint(timing.retry_min_ms, top)

    def _judge(self):
        """Judge the endpoint down once new connections failed too long."""
        now = self._clock.now_ms()
        if self._down_since_ms is None:
            self._down_since_ms = now
        limit_ms = (
            self._timing.refused_down_ms
            if self._refused
            else self._timing.down_ms
        )
        if self.state is LinkState.DOWN:
            return
        if not self._told_cut and (
            self._refused or now - self._down_since_ms >= CUT_MS
        ):
            self._told_cut = True
            self._owner.put(LinkCut(self))
        if now - self._down_since_ms >= limit_ms:
            self.state = LinkState.DOWN
            self._owner.put(LinkDown(self))

    async def _connect(self):
        """Open a connection and greet; return whether it is in use now."""
        mailbox = Mailbox()
        try:
            connection = await dial(
                self.address.host,
                self.address.port,
                mailbox,
                self._timing.dial_ms,
                self._tls(),
            )
        except LinkError as error:
            self._refused = isinstance(error.__cause__, ConnectionRefusedError)
            return False
        self._refused = False
        connection.send(Frame(hello=self._greeting()))
        hello, rest = await self._await_hello(mailbox)
        if hello is None:
            connection.abort()
            return False
        self._use(connection, mailbox, hello)
        if rest:
            self._owner.put(LinkFrames(self, rest))
        return True

    async def _await_hello(self, mailbox):
        """Return the agent's greeting and the frames behind it."""
        give_up_ms = self._clock.now_ms() + self._timing.dial_ms
        while (left_ms := give_up_ms - self._clock.now_ms()) > 0:
            for message in await mailbox.take(left_ms):
                if isinstance(message, Closed):
                    return None, []
                if isinstance(message, Received):
                    first, *rest = message.frames
                    return first.hello, rest
        return None, []

    def _use(self, connection, mailbox, hello):
        older = self.connection
        self.connection = connection
        self._mailbox = mailbox
        self.incarnation = hello.incarnation
        self.state = LinkState.UP
        self._down_since_ms = None
        self._told_cut = False
        self._heard_ms = self._clock.now_ms()
        if older is not None:
            # Nothing more is read from it, so that late frames of a silent
            # connection cannot mix with those that are sent again.
            older.abort()
        self._owner.put(LinkUp(self, hello))

    async def _serve(self):
        """Pass frames on until the connection is closed or silent."""
        mailbox = self._mailbox
        timing = self._timing
        self._down_since_ms = None
        while True:
            for message in await mailbox.take(timing.heartbeat_ms):
                if isinstance(message, Closed):
                    self._cut()
                    return
                if isinstance(message, Received):
                    self._heard_ms = self._clock.now_ms()
                    self._owner.put(LinkFrames(self, message.frames))
            if self._is_silent():
                # Something between the two ends has lost track of the
                # connection: no close ever comes. A new one is tried at
                # once, the old one stays until the new one has greeted.
                self.state = LinkState.CONNECTING
                return

    def _is_silent(self):
        """Beat if it is due; return whether the link has fallen silent.

        With attempts in flight the agent speaks at least every heartbeat,
        so silence is noticed in `silent_ms`, counted from when the first
        of them was sent. An idle link is asked rarely: with many links
        the heartbeats of idle ones would cost more than all else.
        """
        now = self._clock.now_ms()
        timing = self._timing
        idle_ms = max(timing.heartbeat_ms, self._greeting().beat_every_ms)
        quiet_ms = now - self._heard_ms
        limit_ms = 2 * idle_ms + timing.silent_ms
        due_ms = idle_ms
        if self._in_flight:
            quiet_ms = now - max(self._heard_ms, self._active_ms)
            limit_ms = timing.silent_ms
            if quiet_ms >= timing.heartbeat_ms:
                due_ms = timing.heartbeat_ms
        if now - self._beat_ms >= due_ms:
            self._beat(now)
        return quiet_ms >= limit_ms

    def _cut(self):
        self.connection = None
        self.state = LinkState.CONNECTING

    def _beat(self, now):
        self._beat_ms = now
        self._beat_seq += 1
        revision = self._greeting().revision
        self.connection.send(
            Frame(
                heartbeat=Heartbeat(
                    seq=self._beat_seq,
                    revision=revision,
                    leaving=False,
                )
            )
        )
