"""Settings of `dahliashunt-agent`."""

from dataclasses import dataclass
import enum

from dahliashunt.settings.tls import TlsSettings
from dahliashunt.settings.units import ByteSize
from dahliashunt.settings.units import Milliseconds

__all__ = ["AgentSettings", "BackEnd", "BackEndKind", "Listen", "Timing"]


class BackEndKind(enum.Enum):
    """What stands beside the agent."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True)
class Listen:
    """Where a socket listens.

    Attributes
    ----------
    host, port
        Port 0 takes a free one.
    """

    host: str = "127.0.0.1"
    port: int = 0


@dataclass(frozen=True)
class BackEnd:
    """The endpoint beside the agent.

    Attributes
    ----------
    kind
        What it is.
    url : str
        Base URL of the engine or plain service.
    dialect : str
        Name in the registry of engine dialects.
    service_name : str
        For a plain service, its name in the records.
    checks_fence : bool
        Whether it refuses orders with an old fencing token.
    max_calls : int
        Calls that the back end runs at once without queueing them.
    weight_bytes : ByteSize
        Memory for weights.
    """

    url: str
    kind: BackEndKind = BackEndKind.ENGINE
    dialect: str = "openai"
    service_name: str = ""
    checks_fence: bool = True
    max_calls: int = 32
    weight_bytes: ByteSize = ByteSize(80_000_000_000)


@dataclass(frozen=True)
class Timing:
    """Periods and limits of the agent.

    Attributes
    ----------
    heartbeat_ms
        Between heartbeats on an idle link.
    silent_ms
        A link on which nothing came for so long is taken for silent.
    load_ms
        Between reads of the engine's load report.
    engine_silent_ms
        A stream of the engine that brings nothing for so long is moved to
        a new connection.
    orphan_ms
        Attempts of an entry that is gone are cancelled after it.
    drain_ms
        Most time that a graceful shutdown waits for requests in progress.
    order_guard_ms
        Longest time between reading the fencing token and an order.
    instances_ms
        Between reads of the instance list.
    """

    heartbeat_ms: Milliseconds = Milliseconds(500)
    silent_ms: Milliseconds = Milliseconds(1_500)
    load_ms: Milliseconds = Milliseconds(250)
    engine_silent_ms: Milliseconds = Milliseconds(2_000)
    orphan_ms: Milliseconds = Milliseconds(10_000)
    drain_ms: Milliseconds = Milliseconds(120_000)
    order_guard_ms: Milliseconds = Milliseconds(5_000)
    instances_ms: Milliseconds = Milliseconds(1_000)


@dataclass(frozen=True)
class AgentSettings:
    """All settings of an agent.

    Attributes
    ----------
    table_url : str
        Of the table service, for fencing tokens; empty for none.
    instances_url : str
        Of the instance list, to see itself leaving; empty for none.
    node_id, endpoint_id, data_centre : str
        Name of this agent, of the endpoint beside it, and where they are.
    instance_id : str
        Of the machine, as the instance list names it.
    keep_bytes : ByteSize
        Ended answers kept until entries say that they have them.
    link_token : str
        Shared by all nodes of a fleet whose links are not TLS.
    gate : str
        Name of a batch gate to use instead of the profile's; baselines
        for comparison are among them.
    profile : str
        ``throughput_first`` or ``harm_first``.
    """

    node_id: str
    endpoint_id: str
    data_centre: str
    back_end: BackEnd
    listen: Listen = Listen()
    timing: Timing = Timing()
    table_url: str = ""
    instances_url: str = ""
    instance_id: str = ""
    profile: str = "throughput_first"
    gate: str = ""
    keep_bytes: ByteSize = ByteSize(8_000_000)
    link_token: str = ""
    tls: TlsSettings = TlsSettings()
