"""Join the parts of an agent on the platform."""

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
from dahliashunt.platform.boot import Source
from dahliashunt.platform.dialect import decode_report
from dahliashunt.platform.dialect import REPORT_PATH
from dahliashunt.platform.listeners import REPLICAS_PREFIX
from dahliashunt.platform.operator import decode_replica
from dahliashunt.platform.operator import Undecodable
from dahliashunt.platform.reload import SettingsWatch
from dahliashunt.platform.store import PlatformStore

__all__ = ["serve_agent"]

REPORT_MS = 100
"""Between reads of the replica's report, which is free on its machine."""

REPORT_WITHIN_MS = 250
"""A report that takes longer counts as missing."""

AWAY_MISSES = 3
"""Missing reports in a row after which entries are told that the replica
is away: a third of a second, a pause that no report takes in health."""

PAGE_WITHIN_S = 2
"""The metrics page opens at the latest so long after the start: without
the store an agent knows no slots, and its metrics are wanted all the
more."""

SLOTS_RETRY_MS = 300
"""Between reads of the list until the replica's slots are known."""


async def serve_agent(source: Source, signals, log) -> None:
    """Keep the slots of the replica on this machine until told to leave."""
    boot = source.boot
    agent = _Agent(boot, log)
    watch = SettingsWatch(source.path, boot, agent.apply, SystemClock(), log)
    watch.install()
    page = _Page(agent, boot.ip, source)
    works = (agent.run(), watch.run(), page.run())
    loops = [asyncio.create_task(each) for each in works]
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


class _Page:
    """The metrics page, which waits until the slots are kept.

    After a restart of everything callers wait for the agents. The page's
    server takes a third of an agent's start, and nobody waits for it.
    """

    def __init__(self, agent, host, source):
        self._agent = agent
        self._host = host
        self._source = source
        self._server = None

    async def run(self):
        """Open the page in time, and keep it for ever."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PAGE_WITHIN_S):
                await self._agent.up.wait()
        from dahliashunt.platform.metrics_page import serve_metrics

        self._server = await serve_metrics(
            self._agent.metrics,
            self._host,
            self._source.metrics_port,
            self._source.recent,
        )
        await asyncio.Event().wait()

    async def stop(self):
        """Close it, if it is open."""
        if self._server is not None:
            await self._server.stop_now()


class _Agent:
    def __init__(self, boot, log):
        self._boot = boot
        self._log = log
        self._clock = SystemClock()
        self.metrics = Metrics(boot.node_id)
        self._pool = ConnectionPool(self._clock)
        self._store = PlatformStore(
            boot.store.address, self._pool, self._clock, self.metrics
        )
        self._server = None
        self._missing = 0
        self.up = asyncio.Event()

    def apply(self, boot):
        """Take over new settings; where it listens stays as it is."""
        self._boot = boot
        self._store.address = boot.store.address

    async def run(self):
        replica = await self._find_replica()
        allocator = SlotAllocator(replica.slots)
        self._server = SlotServer(
            allocator, self._clock, self.metrics, self._log
        )
        self._server.instance_id = replica.replica_id
        await self._server.start(self._boot.ip, self._boot.first_port)
        self._log.info(
            "started", replica=replica.replica_id, slots=replica.slots
        )
        self.up.set()
        while True:
            await self._look(allocator)
            self._server.publish()
            self._show(allocator.state())
            await self._clock.sleep_ms(REPORT_MS)

    def _show(self, state):
        self.metrics.gauge("slots", state.slots)
        self.metrics.gauge("slots_online", state.online)
        self.metrics.gauge("slots_batch", state.batch)
        self.metrics.gauge("slots_waiting", state.waiting)
        self.metrics.gauge("replica_away", int(state.away))

    async def _find_replica(self):
        """Return the listed replica at this machine's address."""
        while True:
            try:
                listed = await self._store.snapshot(REPLICAS_PREFIX)
            except PlatformUnavailable as error:
                self._log.warning("table_unavailable", reason=str(error))
                listed = None
            for row in listed.rows if listed else ():
                replica = self._decoded(row)
                if replica and replica.address == self._boot.replica:
                    return replica
            await self._clock.sleep_ms(SLOTS_RETRY_MS)

    def _decoded(self, row):
        replica_id = row.key.removeprefix(REPLICAS_PREFIX)
        try:
            return decode_replica(replica_id, row.value)
        except Undecodable as error:
            self._log.warning("replica_unreadable", reason=str(error))
            return None

    async def _look(self, allocator):
        report = await self._report()
        if report is None:
            self._missing += 1
            if self._missing == AWAY_MISSES:
                self._log.warning("replica_away", missing=self._missing)
            allocator.away = self._missing >= AWAY_MISSES
            return
        if allocator.away:
            self._log.info("replica_back", missing=self._missing)
        self._missing = 0
        allocator.away = False
        self._server.report(report.running, report.waiting)

    async def _report(self):
        """Return the replica's report, or None if it gave none."""
        host, port = self._boot.replica
        try:
            connection = await self._pool.take(self._boot.replica)
        except ConnectFailed:
            return None
        request = encode_request(
            "GET", REPORT_PATH, [("Host", f"{host}:{port}")]
        )
        answer = await exchange_whole(
            connection, request, self._clock, REPORT_WITHIN_MS
        )
        self._pool.give_back(self._boot.replica, connection)
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
