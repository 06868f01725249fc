"""Find the software version at which a caller's stream began.

An entry notes each stream's origin, its service and software version, when
it relays the first event: in its own table, and at the agents that a hash of
the stream selects. An entry that takes a stream up asks these agents.

Notes are not confirmed. A lost one costs the caller its stream, never a text
of two versions: without a note, a stream goes on only if a single version
has been listed for as long as the stream can have run. Of a caller that does
not name the request that began its stream nothing can be found; its stream
goes on if this entry knows of a single version.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from dahliashunt.adapters.slots.client import SlotClient
from dahliashunt.decisions.stream_origins import origin_key
from dahliashunt.decisions.stream_origins import OriginTable
from dahliashunt.decisions.stream_origins import stream_key
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.agent_ring import AgentRing
from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.ids import SoftwareVersion
from dahliashunt.metrics import Metrics
from dahliashunt.ports import Clock

__all__ = ["StreamOrigin", "StreamOrigins"]

NOTED_AGENTS = 2
"""Agents at which a stream is noted."""

ASKED_AGENTS = 4
"""Agents that are asked: more than are noted, since the list of hosts may
have changed in between."""

RESEND_INTERVAL_MS = 25
"""Time after which an unanswered query is sent again: several round trips
within a region."""

MAX_SENDS = 3

LIST_WAIT_MS = 2_000
"""Longest wait for the list: that for a call on a half-open connection, and
the next one."""

LIST_POLL_MS = 20

LISTED_MARGIN_MS = 10_000
"""Time for which a replica serves after it has left the list, and for which
an entry may not have read that."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a call may run.

    Attributes
    ----------
    service : str
    version : SoftwareVersion or None
        None for a stream that begins.
    """

    service: str
    version: SoftwareVersion | None = None


class _Query:
    """Question to several agents for one stream's origin."""

    def __init__(self, hosts):
        self.unanswered = set(hosts)
        self.origin = None
        self.done = asyncio.Event()

    def heard(self, host, origin):
        """Record the reply of one agent."""
        self.unanswered.discard(host)
        if origin is not None:
            self.origin = origin
        if origin is not None or not self.unanswered:
            self.done.set()


class StreamOrigins:
    """Notes where streams begin, and finds where one that goes on began.

    Parameters
    ----------
    registry : ReplicaRegistry
    ring : AgentRing
    slots : SlotClient
        Carries notes, queries and replies.
    agent_port : int
    is_list_current : callable
        Returns whether a change of the list would be known by now.
    clock : Clock
    metrics : Metrics
    log : structlog logger
    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        ring: AgentRing,
        slots: SlotClient,
        agent_port: int,
        is_list_current: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
        log,
    ):
        self._registry = registry
        self._ring = ring
        self._slots = slots
        self._agent_port = agent_port
        self._is_list_current = is_list_current
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._own = OriginTable()
        self._queries_by_stream: dict[int, list[_Query]] = {}
        slots.on_stream_reply = self._on_reply

    def note(self, call: Call, route: Route, replica: Replica) -> None:
        """Note that `replica` brings the first event of an answer."""
        if not route.resumable or not replica.version:
            return
        stream = stream_key(call.resumes or call.request_id)
        origin = origin_key(replica.service, replica.version)
        self._own.note(self._clock.now_ms(), stream, origin)
        for host in self._ring.owners(stream, NOTED_AGENTS):
            address = (host, self._agent_port)
            self._slots.note_stream(address, stream, origin)

    async def find(self, call: Call, route: Route) -> StreamOrigin:
        """Return where `call` may run.

        Raises
        ------
        RequestError
            The call goes on with a stream whose version is unknown, or no
            longer listed; it was not run.
        """
        if not call.last_event:
            return StreamOrigin(route.service_for(call.request_id))
        source, origin, found = await self._find(call, route)
        if found is None and await self._wait_for_list(call):
            source, origin, found = await self._find(call, route)
        self._metrics.count(
            "stream_origins", source=source, found=str(found is not None)
        )
        if found is None:
            self._refuse(call, route, origin)
        return found

    async def _find(self, call, route):
        """Return the source, the origin noted, and where the call may run."""
        source, origin = "own", None
        if call.resumes:
            stream = stream_key(call.resumes)
            origin = self._own.get(self._clock.now_ms(), stream)
            if origin is None:
                source, origin = "agents", await self._ask_agents(stream)
        if origin is not None:
            return source, origin, self._listed(route, origin)
        return "list", None, self._sole(call, route)

    async def _wait_for_list(self, call):
        """Wait for a list that may lack replicas; return whether one came.

        A version, and the agents that have a note, may be newer than the
        list of an entry that was cut off or stood still.
        """
        if not call.resumes or self._is_list_current():
            return False
        until_ms = self._clock.now_ms() + LIST_WAIT_MS
        if call.budget_ms is not None:
            until_ms = min(until_ms, call.arrived_ms + call.budget_ms)
        while not self._is_list_current():
            if self._clock.now_ms() >= until_ms:
                return False
            await self._clock.sleep_ms(LIST_POLL_MS)
        return True

    def _refuse(self, call, route, origin):
        reason = (
            "it is not known which software version began this stream"
            if origin is None
            else "no replica of the version that began this stream is listed"
        )
        self._log.info(
            "stream_not_continued",
            request_id=call.request_id,
            resumes=call.resumes,
            route=route.name,
            reason=reason,
        )
        raise RequestError(ErrorKind.NOT_CONTINUABLE, reason)

    def _listed(self, route, origin):
        """Return the service and version with the digest `origin`."""
        for service in route.weight_by_service:
            usable = self._registry.of_service(service)
            for version in {replica.version for replica in usable}:
                if origin_key(service, version) == origin:
                    return StreamOrigin(service, version)
        return None

    def _sole(self, call, route):
        """Return the only place where the stream can have begun, or None."""
        if len(route.weight_by_service) != 1:
            return None
        service = route.service_for(call.request_id)
        window_ms = route.timeout_ms + LISTED_MARGIN_MS
        from_ms = self._clock.now_ms() - window_ms
        is_current = self._is_list_current()
        is_complete = is_current and self._registry.covers(from_ms)
        versions = self._registry.versions_since(from_ms, service)
        if len(versions) != 1 or (call.resumes and not is_complete):
            return None
        version = versions.pop()
        return StreamOrigin(service, version) if version else None

    async def _ask_agents(self, stream):
        """Return the origin that an agent has noted, or None."""
        hosts = self._ring.owners(stream, ASKED_AGENTS)
        if not hosts:
            return None
        query = _Query(hosts)
        queries = self._queries_by_stream.setdefault(stream, [])
        queries.append(query)
        try:
            for _ in range(MAX_SENDS):
                for host in query.unanswered:
                    address = (host, self._agent_port)
                    self._slots.query_stream(address, stream)
                if await _is_set_within(query.done, RESEND_INTERVAL_MS):
                    break
        finally:
            queries.remove(query)
            if not queries:
                del self._queries_by_stream[stream]
        return query.origin

    def _on_reply(self, host, stream, origin):
        for query in self._queries_by_stream.get(stream, ()):
            query.heard(host, origin)


async def _is_set_within(event, limit_ms):
    try:
        async with asyncio.timeout(limit_ms / 1000):
            await event.wait()
    except TimeoutError:
        return False
    return True
