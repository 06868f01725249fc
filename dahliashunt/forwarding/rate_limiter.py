"""Enforce the workspaces' rate limits on an entry."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from dahliashunt.adapters.slots.client import SlotClient
from dahliashunt.decisions.link_choice import choose_links
from dahliashunt.decisions.link_choice import rendezvous_rank
from dahliashunt.decisions.metered import METERS_PER_WORKSPACE
from dahliashunt.decisions.rate_limits import PendingVerdict
from dahliashunt.decisions.rate_limits import RateLimit
from dahliashunt.decisions.rate_limits import Refused
from dahliashunt.decisions.rate_limits import UsageView
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.forwarding.workspaces import Workspace
from dahliashunt.forwarding.workspaces import workspace_digest
from dahliashunt.ids import RequestId
from dahliashunt.ids import Revision
from dahliashunt.ids import WorkspaceId
from dahliashunt.metrics import Metrics
from dahliashunt.ports import Clock

__all__ = ["DecisionCounts", "MeterSelector", "RateLimiter", "RecentDecisions"]

TICK_MS = 25
"""Interval at which pending requests and unsent reports are checked."""

MAX_METER_HOSTS = 64
"""Limit on the hosts that are candidates for meters. Choosing among them takes
some 60 us; more would not share the load better, since each workspace has
three."""

MAX_CACHED_WORKSPACES = 10_000
"""Workspaces whose meters are cached; bounds the memory."""

POOL_NAME = "meters"

WINDOW_MS = 5_000
"""Window of the decision counts that operators are shown."""


class MeterSelector:
    """Selects the agents that count a workspace's requests.

    Uses rendezvous hashing over the hosts of replicas with agents, so that
    all entries select the same ones and a replica's restart on its host
    changes nothing.

    Parameters
    ----------
    registry : ReplicaRegistry
    has_agents : callable
        Given a service's name, returns whether its replicas have agents.
    """

    def __init__(
        self, registry: ReplicaRegistry, has_agents: Callable[[str], bool]
    ):
        self._registry = registry
        self._has_agents = has_agents
        self._lists: tuple = ()
        self._hosts: frozenset[str] = frozenset()
        self._hosts_by_workspace: dict[int, tuple[str, ...]] = {}

    def hosts_for(self, workspace: int) -> tuple[str, ...]:
        """Return the hosts of a workspace's meters, in rendezvous order."""
        self._refresh()
        chosen = self._hosts_by_workspace.get(workspace)
        if chosen is None:
            if len(self._hosts_by_workspace) >= MAX_CACHED_WORKSPACES:
                self._hosts_by_workspace.clear()
            ranked = sorted(
                self._hosts,
                key=lambda host: rendezvous_rank(str(workspace), host),
                reverse=True,
            )
            chosen = self._hosts_by_workspace[workspace] = tuple(
                ranked[:METERS_PER_WORKSPACE]
            )
        return chosen

    def _refresh(self):
        services = sorted(filter(self._has_agents, self._registry.services()))
        lists = tuple(self._registry.of_service(name) for name in services)
        if _all_identical(lists, self._lists):
            return
        self._lists = lists
        hosts = {replica.host for listed in lists for replica in listed}
        pool = choose_links(POOL_NAME, hosts, MAX_METER_HOSTS)
        if pool != self._hosts:
            self._hosts = pool
            self._hosts_by_workspace.clear()


@dataclass(frozen=True, slots=True)
class DecisionCounts:
    """Numbers of a workspace's requests decided at one entry."""

    admitted: int = 0
    refused: int = 0


class RecentDecisions:
    """Decisions by workspace in the current and the previous window.

    Examples
    --------
    >>> recent = RecentDecisions()
    >>> recent.note(0, "w", False)
    >>> recent.note(WINDOW_MS, "w", True)
    >>> recent.of(WINDOW_MS, "w")
    DecisionCounts(admitted=1, refused=1)
    >>> recent.of(3 * WINDOW_MS, "w")
    DecisionCounts(admitted=0, refused=0)
    """

    def __init__(self):
        self._window = 0
        self._current: dict[WorkspaceId, DecisionCounts] = {}
        self._previous: dict[WorkspaceId, DecisionCounts] = {}

    def note(self, now_ms: int, name: WorkspaceId, is_refused: bool) -> None:
        """Count one decision."""
        self._roll_window(now_ms)
        was = self._current.get(name, DecisionCounts())
        self._current[name] = DecisionCounts(
            was.admitted + (not is_refused), was.refused + is_refused
        )

    def of(self, now_ms: int, name: WorkspaceId) -> DecisionCounts:
        """Return the counts of one workspace."""
        self._roll_window(now_ms)
        both = [
            w.get(name, DecisionCounts())
            for w in (self._current, self._previous)
        ]
        return DecisionCounts(
            sum(each.admitted for each in both),
            sum(each.refused for each in both),
        )

    def _roll_window(self, now_ms):
        window = now_ms // WINDOW_MS
        if window != self._window:
            is_next = window == self._window + 1
            self._previous = self._current if is_next else {}
            self._current, self._window = {}, window


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    answer: asyncio.Future
    key: int
    limit: RateLimit


class RateLimiter:
    """Admits requests, or refuses them with a time to retry after.

    Parameters
    ----------
    policy : object
        One of the policies in `RATE_LIMIT_POLICIES`.
    slots : SlotClient
        Carries reports to the meters and their readings back.
    agent_port : int
    allowance : float
        Requests that are admitted beyond the burst, so that late reports
        do not refuse a workspace below its limit.
    clock : Clock
    metrics : Metrics
    log : structlog logger
    """

    def __init__(
        self,
        policy,
        slots: SlotClient,
        agent_port: int,
        allowance: float,
        clock: Clock,
        metrics: Metrics,
        log,
    ):
        self._policy = policy
        self._slots = slots
        self._agent_port = agent_port
        self._allowance = allowance
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._pending_by_number: dict[int, _PendingRequest] = {}
        self._work_ready = asyncio.Event()
        self._recent = RecentDecisions()
        slots.on_reading = self._on_reading

    async def admit(
        self, workspace: Workspace, revision: Revision, request_id: RequestId
    ) -> None:
        """Admit one request of `workspace`.

        Raises
        ------
        RequestError
            The workspace is at its limit; the request was not run.
        """
        limit = self._limit(workspace, revision)
        if limit is None:
            return
        key = workspace_digest(workspace.workspace_id)
        found = self._policy.take(self._clock.now_ms(), key, limit)
        if isinstance(found, PendingVerdict):
            answer = asyncio.get_running_loop().create_future()
            pending_request = _PendingRequest(answer, key, limit)
            self._pending_by_number[found.number] = pending_request
            self._send_reports()
            found = await answer
        else:
            self._send_reports()
        is_refused = isinstance(found, Refused)
        self._recent.note(
            self._clock.now_ms(), workspace.workspace_id, is_refused
        )
        if is_refused:
            self._refuse(workspace, limit, request_id, found)

    def _refuse(self, workspace, limit, request_id, refused):
        self._metrics.count("over_limit")
        self._log.info(
            "over_limit",
            request_id=request_id,
            workspace=workspace.workspace_id,
            rate=limit.rate,
            room=limit.room,
            after_ms=refused.after_ms,
        )
        raise RequestError(
            ErrorKind.OVER_LIMIT,
            "the workspace is at its rate limit",
            retry_after_ms=refused.after_ms,
        )

    def give_back(self, workspace: Workspace, revision: Revision) -> None:
        """Return the quota of an admitted request that did not run."""
        limit = self._limit(workspace, revision)
        if limit is not None:
            key = workspace_digest(workspace.workspace_id)
            self._policy.give_back(self._clock.now_ms(), key, limit)
            self._send_reports()

    def view(self, workspace: Workspace) -> UsageView:
        """Return the workspace's use as known to this entry."""
        key = workspace_digest(workspace.workspace_id)
        return self._policy.view(self._clock.now_ms(), key)

    def recent(self, workspace: Workspace) -> DecisionCounts:
        """Return the decisions in the current and the previous window."""
        return self._recent.of(self._clock.now_ms(), workspace.workspace_id)

    def _limit(self, workspace, revision):
        if not workspace.rate:
            return None
        room = max(1.0, workspace.burst + self._allowance)
        return RateLimit(workspace.rate, room, revision)

    def _on_reading(self, host, reading):
        now_ms = self._clock.now_ms()
        self._settle(self._policy.heard(now_ms, host, reading))
        self._send_reports()

    def _settle(self, outcomes):
        for outcome in outcomes:
            pending_request = self._pending_by_number.pop(outcome.number)
            if not pending_request.answer.done():
                pending_request.answer.set_result(outcome.verdict)
            elif not isinstance(outcome.verdict, Refused):
                # The caller has disconnected in the meantime.
                self._policy.give_back(
                    self._clock.now_ms(),
                    pending_request.key,
                    pending_request.limit,
                )

    def _send_reports(self):
        for host, report in self._policy.outbox():
            self._slots.tell_use((host, self._agent_port), report)
        if self._policy.needs_tick:
            self._work_ready.set()

    async def run(self) -> None:
        """Settle pending requests until cancelled."""
        while True:
            await self._work_ready.wait()
            self._work_ready.clear()
            while self._policy.needs_tick:
                await self._clock.sleep_ms(TICK_MS)
                self._settle(self._policy.tick(self._clock.now_ms()))
                self._send_reports()


def _all_identical(some, others):
    return len(some) == len(others) and all(
        one is other for one, other in zip(some, others, strict=True)
    )
