"""Assemble and run an agent on the platform."""

import asyncio
import contextlib
import random

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.http1 import ConnectFailed
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http1 import encode_request
from dahliashunt.adapters.http1 import exchange_whole
from dahliashunt.adapters.slots.server import SlotServer
from dahliashunt.decisions.replica_memory import MemoryReport
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.metrics import Metrics
from dahliashunt.platform.dialect import decode_report
from dahliashunt.platform.dialect import REPORT_PATH
from dahliashunt.platform.own_replica import OwnReplica
from dahliashunt.platform.reload import SettingsWatch
from dahliashunt.platform.settings import LaunchOptions
from dahliashunt.platform.store import PlatformStore

__all__ = ["serve_agent"]

REPORT_INTERVAL_MS = 100
"""Interval between reads of the replica's load report."""

REPORT_TIMEOUT_MS = 250
"""Time after which a report counts as missed."""

MAX_MISSED_REPORTS = 3
"""Consecutive missed reports after which the replica counts as away."""

METRICS_START_TIMEOUT_S = 2
"""Maximum time for which the start of the slot server delays the metrics,
which are needed when the store is unavailable."""


async def serve_agent(options: LaunchOptions, signals, log) -> None:
    """Allocate the slots of this machine's replica until told to stop."""
    settings = options.settings
    agent = _Agent(settings, log)
    watch = SettingsWatch(
        options.path, settings, agent.apply, SystemClock(), log
    )
    watch.install()
    page = _DeferredMetricsServer(agent, settings.ip, options)
    coroutines = (agent.run(), agent.watch(), watch.run(), page.run())
    loops = [asyncio.create_task(each) for each in coroutines]
    leave = asyncio.create_task(signals.leave.wait())
    done, _ = await asyncio.wait(
        {leave, *loops}, return_when=asyncio.FIRST_COMPLETED
    )
    if leave.done():
        log.info("leaving")
    for task in loops:
        task.cancel()
    agent.stop()
    await page.stop()
    log.info("stopped")
    for task in done:
        task.result()


class _DeferredMetricsServer:
    """Metrics server that starts after the slot server.

    Requests wait for slots, but not for metrics, after a full restart.
    """

    def __init__(self, agent, host, options):
        self._agent = agent
        self._host = host
        self._options = options
        self._server = None

    async def run(self):
        """Start the server, and keep it until cancelled."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(METRICS_START_TIMEOUT_S):
                await self._agent.started.wait()
        from dahliashunt.platform.metrics_page import serve_metrics

        self._server = await serve_metrics(
            self._agent.metrics,
            self._host,
            self._options.metrics_port,
            self._options.recent,
        )
        await asyncio.Event().wait()

    async def stop(self):
        """Stop the server if it has started."""
        if self._server is not None:
            await self._server.stop_now()


class _Agent:
    def __init__(self, settings, log):
        self._settings = settings
        self._log = log
        self._clock = SystemClock()
        self.metrics = Metrics(settings.node_id)
        self._pool = ConnectionPool(self._clock)
        self._store = PlatformStore(
            settings.store.address, self._pool, self._clock, self.metrics
        )
        self._replica = OwnReplica(
            self._store,
            settings.replica,
            self._clock,
            random.Random(),
            log,
        )
        # Apart from the store's, so that a new connection is a sign.
        self._report_pool = ConnectionPool(self._clock)
        self._server = None
        self._missed_reports = 0
        self._kv_total = 0
        self.started = asyncio.Event()

    def apply(self, settings):
        """Apply new settings; listening addresses stay as they are."""
        self._settings = settings
        self._store.address = settings.store.address

    async def run(self):
        replica = await self._replica.find()
        allocator = SlotAllocator(replica.slots, born_ms=replica.born_ms)
        self._server = SlotServer(
            allocator, self._clock, self.metrics, self._log
        )
        self._server.instance_id = replica.replica_id
        await self._server.start(self._settings.ip, self._settings.first_port)
        self._log.info(
            "started", replica=replica.replica_id, slots=replica.slots
        )
        self.started.set()
        while True:
            await self._poll_replica(allocator)
            self._server.publish()
            self._update_gauges(allocator.state())
            self.metrics.gauge(
                "asks_short_of_memory", allocator.short_of_memory
            )
            self.metrics.gauge("workspace_accounts", allocator.accounts)
            await self._clock.sleep_ms(REPORT_INTERVAL_MS)

    async def watch(self):
        """Follow restarts of the replica, until cancelled."""
        await self.started.wait()
        await self._replica.watch(self._on_restart)

    def _on_restart(self, replica, since_ms):
        self.metrics.count("replica_restarts")
        self._server.replica_restarted(
            replica.replica_id, replica.born_ms, replica.slots, since_ms
        )

    def _update_gauges(self, state):
        self.metrics.gauge("slots", state.slots)
        self.metrics.gauge("slots_online", state.online)
        self.metrics.gauge("slots_batch", state.batch)
        self.metrics.gauge("slots_waiting", state.waiting)
        self.metrics.gauge("replica_away", int(state.away))
        self.metrics.gauge("memory_free_tokens", state.free_tokens)

    async def _poll_replica(self, allocator):
        opened = self._report_pool.opened
        report = await self._fetch_report()
        is_reopened = opened and self._report_pool.opened != opened
        if report is not None and (is_reopened or self._missed_reports):
            self._replica.note_sign()
        if report is None:
            self._missed_reports += 1
            if self._missed_reports == MAX_MISSED_REPORTS:
                self._log.warning("replica_away", missing=self._missed_reports)
            allocator.away = self._missed_reports >= MAX_MISSED_REPORTS
            return
        if allocator.away:
            self._log.info("replica_back", missing=self._missed_reports)
        self._missed_reports = 0
        since_ms = self._replica.note_born(report.born_ms)
        if since_ms is not None:
            self._on_restart(self._replica.current, since_ms)
        allocator.away = False
        self._server.report_progress(report.run_by_id)
        self._note_memory(report)
        self._server.report(
            report.running,
            report.waiting,
            MemoryReport(report.kv_total, report.tokens_by_run),
        )

    def _note_memory(self, report):
        if report.kv_total != self._kv_total:
            self._log.info(
                "memory_size_changed",
                before=self._kv_total,
                tokens=report.kv_total,
            )
            self._kv_total = report.kv_total
        self.metrics.gauge("memory_total_tokens", report.kv_total)
        self.metrics.gauge("memory_used_tokens", report.kv_used)

    async def _fetch_report(self):
        """Return the replica's load report, or None if it is missed."""
        host, port = self._settings.replica
        try:
            connection = await self._report_pool.take(self._settings.replica)
        except ConnectFailed:
            return None
        request = encode_request(
            "GET", REPORT_PATH, [("Host", f"{host}:{port}")]
        )
        answer = await exchange_whole(
            connection, request, self._clock, REPORT_TIMEOUT_MS
        )
        self._report_pool.give_back(self._settings.replica, connection)
        if connection.exceeded is not None:
            self._report_excess(connection.exceeded)
        if answer is None or answer.head.status != 200:
            return None
        try:
            return decode_report(answer.body)
        except ValueError as error:
            self._log.warning("report_unreadable", reason=str(error))
            return None

    def _report_excess(self, exceeded):
        """Count a report that is too long, and log the first in a row."""
        self.metrics.count("responses_over_bound", bound=exceeded.value)
        if self._missed_reports == 0:
            self._log.warning("report_over_bound", exceeded=exceeded.value)

    def stop(self):
        if self._server is not None:
            self._server.stop()
        self._report_pool.close()
        self._pool.close()
