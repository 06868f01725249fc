"""Assemble and run an entry on the platform, and shut it down."""

import asyncio
import contextlib
import random

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.held_memory import HeldMemory
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http_server import HttpBounds
from dahliashunt.adapters.http_server import HttpServer
from dahliashunt.adapters.listener_reports import ListenerReports
from dahliashunt.adapters.slots.client import SlotClient
from dahliashunt.adapters.write_backlog import ReadBacklog
from dahliashunt.adapters.write_backlog import WriteBacklog
from dahliashunt.decisions.feed_pace import FeedUse
from dahliashunt.decisions.lapse_grace import LapseGrace
from dahliashunt.decisions.rate_limits import RATE_LIMIT_POLICIES
from dahliashunt.decisions.suspicion import Suspicion
from dahliashunt.forwarding.agent_ring import AgentRing
from dahliashunt.forwarding.answer_room import AnswerRoom
from dahliashunt.forwarding.crash_guard import CrashGuard
from dahliashunt.forwarding.explain import Explainer
from dahliashunt.forwarding.explain_workspaces import WorkspaceExplainer
from dahliashunt.forwarding.follower import TableFollower
from dahliashunt.forwarding.forwarder import Forwarder
from dahliashunt.forwarding.known_replicas import KnownReplicas
from dahliashunt.forwarding.left_runs import LeftRuns
from dahliashunt.forwarding.losses import LOSSES_PREFIX
from dahliashunt.forwarding.losses import SharedLosses
from dahliashunt.forwarding.node import Node
from dahliashunt.forwarding.partners import Partners
from dahliashunt.forwarding.rate_limiter import MeterSelector
from dahliashunt.forwarding.rate_limiter import RateLimiter
from dahliashunt.forwarding.replica_selector import ReplicaSelector
from dahliashunt.forwarding.replicas import ReplicaRegistry
from dahliashunt.forwarding.stream_origins import StreamOrigins
from dahliashunt.jobs.keys import JOBS_PREFIX
from dahliashunt.jobs.keys import PROGRESS_PREFIXES
from dahliashunt.jobs.payload_room import PayloadRoom
from dahliashunt.metrics import Metrics
from dahliashunt.platform.dialect import PlatformDialect
from dahliashunt.platform.health import Health
from dahliashunt.platform.ingress import Ingress
from dahliashunt.platform.job_calls import JobCalls
from dahliashunt.platform.job_parts import JobParts
from dahliashunt.platform.listeners import ConfigListener
from dahliashunt.platform.listeners import ReplicaListener
from dahliashunt.platform.metrics_page import serve_metrics
from dahliashunt.platform.metrics_page import side_bounds
from dahliashunt.platform.operator import CONFIG_KEY
from dahliashunt.platform.operator import REPLICAS_PREFIX
from dahliashunt.platform.refusals import memory_refusal
from dahliashunt.platform.reload import SettingsWatch
from dahliashunt.platform.settings import LaunchOptions
from dahliashunt.platform.store import PlatformStore
from dahliashunt.process_shares import ProcessShares

__all__ = ["Entry", "serve_entry"]

RENEW_MS = 1_000
"""Interval between renewals of held slots; agents drop unrenewed holds."""

SWEEP_MS = 1_000
"""Interval between removals of idle connections."""

EXPIRY_MS = 50
"""Interval between removals of lapsed replicas, while there are any."""

BURST_SLACK_SHARE = 0.25
"""Share of the limits' slack that is added to a workspace's burst. The rest
covers requests that entries admit before they know of each other."""

SHUTDOWN_MARGIN_MS = 700
"""Time reserved for closing before the platform kills the process."""

LAST_ANSWERS_S = 0.3
"""Time for the responses to requests that did not end in time."""

BYTES_PER_MB = 1_000_000

FILE_DESCRIPTORS = 200
"""Descriptors of a process that the platform keeps for files."""

NEEDED_TABLES = 3
"""Number of tables that requests need: the first of the followers."""

FIRST_READ_TIMEOUT_S = 1.0
"""Maximum time for which the first read of the needed tables delays the
others, which may be readable when these are not."""

DEREGISTRATION_DELAY_MS = 3_000
"""Time after SIGTERM for which new connections are accepted: the platform
probes readiness every second and deregisters a node after two failures."""


async def serve_entry(options: LaunchOptions, signals, log) -> None:
    """Run an entry until it is told to stop and its requests have ended.

    Parameters
    ----------
    options : LaunchOptions
    signals : Signals
    log : structlog logger
    """
    settings = options.settings
    entry = Entry(settings, log, options.rate_limit_policy)
    watch = SettingsWatch(
        options.path, settings, entry.apply, SystemClock(), log
    )
    watch.install()
    await entry.start()
    page = await serve_metrics(
        entry.node.metrics,
        settings.ip,
        options.metrics_port,
        options.recent,
        entry.explainer,
        entry.workspaces,
    )
    loops = [*entry.loops(), watch.run()]
    tasks = [asyncio.create_task(each) for each in loops]
    try:
        await _wait_for_event(signals.leave, tasks)
        await entry.leave()
    finally:
        for task in tasks:
            task.cancel()
        await entry.stop()
        if page is not None:
            await page.stop_now()


async def _wait_for_event(event, tasks):
    """Wait for `event`; raise the error of a task that fails before."""
    waited = asyncio.create_task(event.wait())
    done, _ = await asyncio.wait(
        {waited, *tasks}, return_when=asyncio.FIRST_COMPLETED
    )
    if waited not in done:
        waited.cancel()
        for task in done:
            task.result()


class Entry:
    """Components of an entry on the platform.

    Attributes
    ----------
    node : Node
    known_replicas : KnownReplicas
    jobs : JobParts
    explainer : Explainer
    workspaces : WorkspaceExplainer
    bounds : HttpBounds
        Limits of callers' connections.
    ingress : Ingress or None
        Application for callers, once started.
    first_port : int
        UDP port of agents.
    ports : tuple of int
        Ports of the callers' and of the readiness server, once started.
    """

    def __init__(self, settings, log, rate_limit_policy="metered"):
        self._settings = settings
        self._log = log
        self._clock = SystemClock()
        self._rng = random.Random()
        self._registry = self._make_registry()
        metrics = Metrics(settings.node_id)
        self.node = Node(self._clock, self._rng, metrics, log, self._registry)
        self._make_connections()
        self._slots = SlotClient(self._clock)
        self._suspicion = Suspicion()
        self._losses = SharedLosses(
            self._store,
            self._clock,
            self._store.now_ms,
            self._rng,
            log,
            self.node.is_stale,
        )
        self.known_replicas = self._make_known_replicas()
        self._selector = ReplicaSelector(
            self.known_replicas,
            self._slots,
            self._suspicion,
            self._clock,
            self._rng,
            self.node.kv_tokens,
        )
        self._selector.waves.on_change = self._log_wave
        self.node.forwarder = self._make_forwarder()
        self._room = PayloadRoom(self._shares.payload_bytes)
        self.jobs = JobParts(
            self.node,
            self._store,
            self._selector,
            self._pool,
            settings.bounds.result_retention_ms,
            self._room,
            AnswerRoom(self._shares.text_bytes, lambda: 0, self._clock),
        )
        self.node.caps = self._make_rate_limiter(rate_limit_policy)
        self.explainer = Explainer(
            self.node, self._selector, self.known_replicas
        )
        self.workspaces = WorkspaceExplainer(self.node, self.jobs.view)
        self._followers = self._make_followers()
        config, replicas, *_ = self._followers
        self._registry.as_of_ms = lambda: replicas.current_as_of_ms
        self.node.config_read_ms = lambda: config.heard_ms
        self.node.config_as_of_ms = lambda: config.current_as_of_ms
        self.node.follows_tables = lambda: (
            not any(follower.failed for follower in self._followers)
        )
        self.node.losses_known = self._followers[2].known
        self._servers = []
        self._is_without_agents = False
        self.ingress: Ingress | None = None
        self.bounds = self._make_bounds()
        self.first_port = settings.first_port
        self.ports: tuple[int, ...] = ()

    def _make_registry(self):
        bounds = self._settings.bounds
        return ReplicaRegistry(
            LapseGrace(bounds.heartbeat_ms, bounds.drain_ms, bounds.contact_ms)
        )

    def _make_connections(self):
        """Make the pools of connections and the client of the store."""
        settings = self._settings
        self._read_backlog = ReadBacklog()
        self._shares = ProcessShares.of(
            settings.memory_mb * BYTES_PER_MB,
            settings.descriptors,
            FILE_DESCRIPTORS,
        )
        self._pool = ConnectionPool(
            self._clock,
            backlog=self._read_backlog,
            max_open=self._shares.replica_connections,
        )
        self._store_pool = ConnectionPool(self._clock)
        self._store = PlatformStore(
            settings.store.address,
            self._store_pool,
            self._clock,
            self.node.metrics,
            settings.store.object_bytes,
        )

    def _make_bounds(self):
        """Return the bounds of callers' connections."""
        reports = ListenerReports(self.node.metrics, self._log)
        return HttpBounds(
            on_exceeded=reports.exceeded,
            backlog=WriteBacklog(
                self._shares.unread_bytes // 2,
                self._read_backlog,
                reports.slow,
            ),
            memory=HeldMemory(
                self._shares.held_bytes,
                self._shares.caller_connections,
                lambda: self._room.held_bytes,
                reports.ended,
            ),
            refusal=memory_refusal(self._rng),
        )

    def _make_known_replicas(self):
        return KnownReplicas(
            self._registry,
            Partners(self._registry, self._settings.node_id),
            self._slots,
            self._suspicion,
            self._clock,
            self._rng,
            self._settings.data_centre,
            self._settings.first_port,
            self._pool.has_idle,
            self.node.metrics,
        )

    def _make_forwarder(self):
        left_runs = LeftRuns(
            self._clock,
            self._registry.has_ended,
            self._registry.is_leaving,
        )
        return Forwarder(
            self._selector,
            self._pool,
            PlatformDialect(),
            self._suspicion,
            CrashGuard(
                self._losses,
                self._clock,
                left_runs,
                self._registry.ended_since,
            ),
            self._make_stream_origins(),
            self._clock,
            self.node.metrics,
            self._log,
            AnswerRoom(
                self._shares.unread_bytes,
                lambda: self.bounds.backlog.size,
                self._clock,
            ),
        )

    def _make_stream_origins(self):
        return StreamOrigins(
            self._registry,
            AgentRing(self._registry, self.node.has_agents),
            self._slots,
            self._settings.first_port,
            lambda: self._followers[1].is_current(),
            self._clock,
            self.node.metrics,
            self._log,
        )

    def _make_rate_limiter(self, name):
        choice = MeterSelector(self._registry, self.node.has_agents)
        policy = RATE_LIMIT_POLICIES.get(name)(
            lambda: self.jobs.owners, choice.hosts_for, self._rng
        )
        return RateLimiter(
            policy,
            self._slots,
            self._settings.first_port,
            self._settings.bounds.limit_slack * BURST_SLACK_SHARE,
            self._clock,
            self.node.metrics,
            self._log,
        )

    def _make_followers(self):
        """Return the followers; first those that requests need."""
        configs = ConfigListener(self.node, self._log)
        replicas = ReplicaListener(
            self._registry, self._clock, self._log, self._pool.forget
        )
        view = self.jobs.view
        return [
            self._follower((CONFIG_KEY,), FeedUse.CONFIGURATION, configs),
            self._follower((REPLICAS_PREFIX,), FeedUse.REPLICAS, replicas),
            self._follower((LOSSES_PREFIX,), FeedUse.LOSSES, self._losses),
            self._follower((JOBS_PREFIX,), FeedUse.JOBS, view),
            self._follower(PROGRESS_PREFIXES, FeedUse.PROGRESS, view),
        ]

    def _follower(self, prefixes, use, listener):
        return TableFollower(
            self._store,
            prefixes,
            use,
            listener,
            self._clock,
            self._rng,
            self._log,
            self.node.metrics,
        )

    async def start(self):
        """Start the servers."""
        settings = self._settings
        await self._slots.start(settings.ip, settings.last_port)
        jobs = JobCalls(
            self.node,
            self.jobs,
            self._followers[NEEDED_TABLES:],
            self._shares.store_connections,
        )
        self.ingress = Ingress(self.node, jobs)
        self._servers = [
            HttpServer(
                self.ingress,
                *settings.callers,
                lifespan=False,
                bounds=self.bounds,
            ),
            HttpServer(
                Health(self.node),
                *settings.readiness,
                lifespan=False,
                bounds=side_bounds(self.node.metrics),
            ),
        ]
        for server in self._servers:
            await server.start()
        self.ports = tuple(server.port for server in self._servers)
        self._log.info("started", data_centre=settings.data_centre)

    def apply(self, settings):
        """Apply new settings; listening addresses stay as they are."""
        self._settings = settings
        self._store.address = settings.store.address

    def loops(self):
        """Return the coroutines to run until shutdown."""
        return [
            self._follow(),
            self._selector.refresh_states(RENEW_MS),
            self._losses.run(),
            self._losses.sweep(),
            self.node.forwarder.crash_guard.follow(),
            self.node.caps.run(),
            self._sweep(),
            self._expire_lapsed(),
        ]

    async def _follow(self):
        """Follow the tables and work on jobs.

        Reads the configuration, replicas and losses first: requests need
        them, and decoding all jobs would delay them after a full restart.
        """
        needed = self._followers[:NEEDED_TABLES]
        others = self._followers[NEEDED_TABLES:]
        async with asyncio.TaskGroup() as group:
            for follower in needed:
                group.create_task(follower.run())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FIRST_READ_TIMEOUT_S):
                    for follower in needed:
                        await follower.known.wait()
            for follower in others:
                group.create_task(follower.run())
            # Items in quarantine must not be sent before they are known.
            await needed[-1].known.wait()
            for work in self.jobs.loops():
                group.create_task(work)

    async def _sweep(self):
        while True:
            await self._clock.sleep_ms(SWEEP_MS)
            self._pool.sweep()
            self._apply_connection_limits()
            self._update_held_gauges()
            self._note_agents()
            self._update_wave_gauges()

    async def _expire_lapsed(self):
        while True:
            await self._registry.has_lapsed.wait()
            await self._clock.sleep_ms(EXPIRY_MS)
            self._registry.expire(self._clock.now_ms())

    def _update_held_gauges(self):
        gauge, held = self.node.metrics.gauge, self.bounds.memory.decisions
        gauge("backlog_bytes", self.bounds.backlog.size)
        gauge("held_bytes", held.total_bytes)
        gauge("held_bytes_max", held.max_bytes)
        gauge("payload_bytes", self._room.held_bytes)
        answers = self.node.forwarder.answer_room
        gauge("answer_bytes_reserved", answers.reserved_bytes)
        gauge("caller_connections", len(held))
        gauge("caller_connections_max", held.max_connections)
        gauge("replica_connections", self._pool.open_connections)

    def _note_agents(self):
        """Count the agents that don't answer; log when all of them don't."""
        if self.node.catalog is None:
            return
        hosts = {
            replica.host
            for replica in self._registry.all()
            if self.node.has_agents(replica.service)
        }
        silent = [
            host
            for host in hosts
            if self._slots.is_silent((host, self._settings.first_port))
        ]
        self.node.metrics.gauge("agents", len(hosts))
        self.node.metrics.gauge("agents_silent", len(silent))
        is_without = bool(hosts) and len(silent) == len(hosts)
        if is_without and not self._is_without_agents:
            self._log.warning("agents_silent", agents=len(hosts))
        elif self._is_without_agents and not is_without:
            self._log.info("agents_answer", agents=len(hosts) - len(silent))
        self._is_without_agents = is_without

    def _log_wave(self, service, wave, in_effect):
        self._log.info(
            "demand_forecast",
            service=service,
            in_effect=in_effect,
            period_ms=wave.period_ms,
            regularity=round(wave.regularity, 2),
            error=round(wave.error, 3),
        )

    def _update_wave_gauges(self):
        gauge = self.node.metrics.gauge
        waves = self._selector.waves
        gauge("items_held_back", waves.held_back)
        for service, wave in waves.states().items():
            gauge("demand_error", wave.error, service=service)
            gauge("demand_period_ms", wave.period_ms, service=service)

    def _apply_connection_limits(self):
        """Apply the configuration's limits to callers' connections.

        Idle connections, and those with a part of a head, are kept 1 s
        longer, so that the caller's own timer ends first.
        """
        if self.node.catalog is None:
            return
        limits = self.node.catalog.limits
        self.bounds.header_bytes = limits.header_bytes
        self.bounds.keep_alive_s = limits.idle_ms // 1000 + 1
        self.bounds.header_timeout_s = limits.header_ms / 1000 + 1

    async def leave(self):
        """Report not ready, wait for deregistration, then drain requests."""
        now_ms = self._clock.now_ms()
        until_ms = (
            now_ms
            + self._settings.bounds.termination_grace_ms
            - SHUTDOWN_MARGIN_MS
        )
        self._log.info("leaving", in_progress=self.node.busy)
        accept_until_ms = min(now_ms + DEREGISTRATION_DELAY_MS, until_ms)
        self.node.leave(accept_until_ms, until_ms)
        hand_over = asyncio.create_task(self.jobs.hand_over(until_ms))
        await self._clock.sleep_ms(accept_until_ms - now_ms)
        await self.drain(until_ms)
        await hand_over

    async def drain(self, until_ms):
        """Close the callers' port, then wait for requests up to `until_ms`.

        The port closes first, so that no request arrives after the check
        for requests in progress and is cut off. Requests that are left then
        get an error response.
        """
        left_ms = max(0, until_ms - self._clock.now_ms())
        stopping = asyncio.create_task(self._servers[0].stop())
        await asyncio.wait({stopping}, timeout=left_ms / 1000)
        if not stopping.done():
            self._log.warning("drain_timed_out", in_progress=self.node.busy)
            self.ingress.end_all()
            await asyncio.wait({stopping}, timeout=LAST_ANSWERS_S)

    async def stop(self):
        """Close all servers and connections immediately."""
        self._log.info("stopped", in_progress=self.node.busy)
        for server in self._servers:
            await server.stop_now()
        self._slots.stop()
        self._pool.close()
        self._store_pool.close()
