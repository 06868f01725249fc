"""Settings of `dahliashunt-entry`."""

from dataclasses import dataclass

from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.settings.tls import TlsSettings
from dahliashunt.settings.units import ByteSize
from dahliashunt.settings.units import Milliseconds

__all__ = [
    "AgentAddress",
    "BatchSettings",
    "EntrySettings",
    "HttpSettings",
    "LimitSettings",
    "LinkTiming",
    "Platform",
]


@dataclass(frozen=True)
class HttpSettings:
    """The side towards callers and operators.

    Attributes
    ----------
    host, port
        Where callers connect; port 0 takes a free one.
    body_limit : ByteSize
        Longest body of an online request.
    file_limit : ByteSize
        Longest file of batch items.
    header_ms : Milliseconds
        Longest time that a head or a TLS handshake may take to arrive.
    body_ms : Milliseconds
        Longest time that a body may take to arrive.
    first_token_ms : Milliseconds
        Objective for the time to the first token; a request that cannot
        make it is turned away when that is known.
    request_ms : Milliseconds
        Longest time that one request may take in all.
    """

    host: str = "127.0.0.1"
    port: int = 0
    body_limit: ByteSize = ByteSize(4_000_000)
    file_limit: ByteSize = ByteSize(512_000_000)
    header_ms: Milliseconds = Milliseconds(10_000)
    body_ms: Milliseconds = Milliseconds(10_000)
    first_token_ms: Milliseconds = Milliseconds(760)
    request_ms: Milliseconds = Milliseconds(600_000)
    tls: TlsSettings = TlsSettings()


@dataclass(frozen=True)
class LinkTiming:
    """Periods and limits of the links to agents.

    Attributes
    ----------
    heartbeat_ms
        Between heartbeats on a quiet link with attempts in flight.
    dial_ms
        Longest time for a connection and its greeting.
    retry_min_ms, retry_max_ms
        Bounds of the jittered backoff between dials.
    silent_ms
        Nothing heard for so long: a second connection is opened at once.
    down_ms
        No connection could be made for so long: the endpoint is judged
        down and its attempts end.
    refused_down_ms
        The same when connections are refused, not unanswered.
    """

    heartbeat_ms: Milliseconds = Milliseconds(500)
    silent_ms: Milliseconds = Milliseconds(1_500)
    dial_ms: Milliseconds = Milliseconds(1_000)
    down_ms: Milliseconds = Milliseconds(4_000)
    refused_down_ms: Milliseconds = Milliseconds(1_500)
    retry_min_ms: Milliseconds = Milliseconds(50)
    retry_max_ms: Milliseconds = Milliseconds(2_000)


@dataclass(frozen=True)
class Platform:
    """Base URLs of the platform's services; an empty one is not used.

    Attributes
    ----------
    table_url, objects_url, instances_url, weights_url : str
        Of the table service, the object store, the instance list and the
        weight store.
    instances_ms
        Between reads of the instance list.
    head_ms
        Between reads of the head of the records, at least.
    entries : int
        About how many entries the fleet has; with more of them each reads
        the head more rarely, so that all together stay within bounds.
    """

    table_url: str = ""
    objects_url: str = ""
    instances_url: str = ""
    weights_url: str = ""
    instances_ms: Milliseconds = Milliseconds(1_000)
    head_ms: Milliseconds = Milliseconds(500)
    entries: int = 3


@dataclass(frozen=True)
class AgentAddress:
    """An agent known from the settings, beside those on the list.

    Attributes
    ----------
    endpoint_id, host, port, data_centre
        The endpoint, and where its agent takes links.
    """

    endpoint_id: str
    host: str
    port: int
    data_centre: str = ""


@dataclass(frozen=True)
class BatchSettings:
    """Batch work of this entry.

    Attributes
    ----------
    on : bool
        Whether this entry works on jobs; it accepts them in any case.
    held_bytes
        Results held in memory while the store is out; beyond it no new
        items start.
    """

    on: bool = True
    held_bytes: ByteSize = ByteSize(8_000_000)


@dataclass(frozen=True)
class LimitSettings:
    """What this process may use; clients' shares are parts of it.

    Attributes
    ----------
    memory
        Memory of the process.
    descriptors : int
        Open files and sockets; the system's own limit counts if it is lower.
    """

    memory: ByteSize = ByteSize(256_000_000)
    descriptors: int = 4_096


@dataclass(frozen=True)
class EntrySettings:
    """All settings of an entry.

    Attributes
    ----------
    operator_key_sha256 : str
        Hex digest of the key that may write the first records.
    max_links : int
        Most agents that this entry links to, chosen by rendezvous.
    node_id, data_centre : str
        Name of this node, unique in the fleet, and where it stands.
    drain_ms
        Most time that a graceful shutdown waits for requests in progress.
    link_token : str
        Shared by all nodes of a fleet whose links are not TLS.
    decisions
        Policies and thresholds of the decisions under load; see
        docs/design/entry-decisions.md.
    """

    node_id: str
    data_centre: str
    http: HttpSettings = HttpSettings()
    platform: Platform = Platform()
    links: LinkTiming = LinkTiming()
    batch: BatchSettings = BatchSettings()
    limits: LimitSettings = LimitSettings()
    agents: tuple[AgentAddress, ...] = ()
    operator_key_sha256: str = ""
    max_links: int = 84
    drain_ms: Milliseconds = Milliseconds(120_000)
    decisions: EntryPolicy = EntryPolicy()
    link_token: str = ""
    tls: TlsSettings = TlsSettings()
