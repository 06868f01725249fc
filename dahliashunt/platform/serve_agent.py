"""Assemble and run an agent on the platform."""

import asyncio
import contextlib

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.http1 import ConnectFailed
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http1 import encode_request
from dahliashunt.adapters.http1 import exchange_whole
from dahliashunt.adapters.slots import SlotServer
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.metrics import Metrics
from dahliashunt.platform.dialect import decode_report
from dahliashunt.platform.dialect import REPORT_PATH
from dahliashunt.platform.listeners import REPLICAS_PREFIX
from dahliashunt.platform.operator import decode_replica
from dahliashunt.platform.operator import DecodeError
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

LOOKUP_RETRY_MS = 300
"""Interval between reads of the list until the replica is found."""


async def serve_agent(options: LaunchOptions, signals, log) -> None:
    """Allocate the slots of this machine's replica until told to stop."""
    settings = options.settings
    agent = _Agent(settings, log)
    watch = SettingsWatch(
        options.path, settings, agent.apply, SystemClock(), log
    )
    watch.install()
    page = _DeferredMetricsServer(agent, settings.ip, options)
    coroutines = (agent.run(), watch.run(), page.run())
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
        self._server = None
        self._missed_reports = 0
        self.started = asyncio.Event()

    def apply(self, settings):
        """Apply new settings; listening addresses stay as they are."""
        self._settings = settings
        self._store.address = settings.store.address

    async def run(self):
        replica = await self._find_replica()
        allocator = SlotAllocator(replica.slots)
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
            self.metrics.gauge("workspace_accounts", allocator.accounts)
            await self._clock.sleep_ms(REPORT_INTERVAL_MS)

    def _update_gauges(self, state):
        self.metrics.gauge("slots", state.slots)
        self.metrics.gauge("slots_online", state.online)
        self.metrics.gauge("slots_batch", state.batch)
        self.metrics.gauge("slots_waiting", state.waiting)
        self.metrics.gauge("replica_away", int(state.away))

    async def _find_replica(self):
        """Return the replica listed with this machine's address."""
        while True:
            try:
                listed = await self._store.snapshot(REPLICAS_PREFIX)
            except PlatformUnavailable as error:
                self._log.warning("table_unavailable", reason=str(error))
                listed = None
            for row in listed.rows if listed else ():
                replica = self._decode(row)
                if replica and replica.address == self._settings.replica:
                    return replica
            await self._clock.sleep_ms(LOOKUP_RETRY_MS)

    def _decode(self, row):
        replica_id = row.key.removeprefix(REPLICAS_PREFIX)
        try:
            return decode_replica(replica_id, row.value)
        except DecodeError as error:
            self._log.warning("replica_unreadable", reason=str(error))
            return None

    async def _poll_replica(self, allocator):
        report = await self._fetch_report()
        if report is None:
            self._missed_reports += 1
            if self._missed_reports == MAX_MISSED_REPORTS:
                self._log.warning("replica_away", missing=self._missed_reports)
            allocator.away = self._missed_reports >= MAX_MISSED_REPORTS
            return
        if allocator.away:
            self._log.info("replica_back", missing=self._missed_reports)
        self._missed_reports = 0
        allocator.away = False
        self._server.report(report.running, report.waiting)

    async def _fetch_report(self):
        """Return the replica's load report, or None if it is missed."""
        host, port = self._settings.replica
        try:
            connection = await self._pool.take(self._settings.replica)
        except ConnectFailed:
            return None
        request = encode_request(
            "GET", REPORT_PATH, [("Host", f"{host}:{port}")]
        )
        answer = await exchange_whole(
            connection, request, self._clock, REPORT_TIMEOUT_MS
        )
        self._pool.give_back(self._settings.replica, connection)
        if answer is None or answer.head.status != 200:
            return None
        try:
            return decode_report(answer.body)
        except ValueError as error:
            self._log.warning("report_unreadable", reason=str(error))
            return None

    def stop(self):
        if self._server is not None:
            self._server.stop()
        self._pool.close()
