"""Put an agent together and run it until it has left."""

import asyncio
from dataclasses import replace
import random
import time

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.instances import HttpInstanceList
from dahliashunt.adapters.table import HttpTableService
from dahliashunt.adapters.wire import listen
from dahliashunt.agent.back_end import make_engine
from dahliashunt.agent.core import AgentCore
from dahliashunt.agent.messages import LeaveNotice
from dahliashunt.agent.orders import OrderTask
from dahliashunt.agent.records_keeper import RecordsKeeper
from dahliashunt.agent.watch import watch_engine
from dahliashunt.agent.watch import watch_instances
from dahliashunt.decisions.agent import AgentDecisions
from dahliashunt.decisions.agent_policy import PROFILES
from dahliashunt.membership.fence import Fence
from dahliashunt.settings.tls import check_plaintext
from dahliashunt.settings.tls import server_context
from dahliashunt.settings.tls import TlsReloader

__all__ = ["Agent", "serve"]

DRAIN_LOOK_MS = 50


class Agent:
    """All parts of one agent, joined.

    Parameters
    ----------
    settings : AgentSettings
    log : structlog logger
    """

    def __init__(self, settings, log):
        self._settings = settings
        self._log = log
        self._clock = SystemClock()
        self._engine = make_engine(settings)
        self._table = _optional(HttpTableService, settings.table_url)
        self._instances = _optional(HttpInstanceList, settings.instances_url)
        incarnation = time.time_ns()
        self._orders = _orders(
            settings, self._engine, self._table, incarnation, self._clock, log
        )
        self._core = AgentCore(
            settings,
            self._engine,
            AgentDecisions(_policy(settings), random.Random()),
            RecordsKeeper(),
            self._orders,
            self._clock,
            incarnation,
            log,
        )

    async def run(self, signals, ready=None) -> None:
        """Run until `signals` ask to leave and all has drained."""
        settings = self._settings
        check_plaintext("links", settings.listen.host, settings.tls, self._log)
        tls = server_context(settings.tls)
        server = await listen(
            settings.listen.host,
            settings.listen.port,
            self._core.mailbox,
            tls,
        )
        port = server.sockets[0].getsockname()[1]
        self._log.info("ready", port=port, endpoint=settings.endpoint_id)
        if ready is not None:
            ready(port)
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(run) for run in self._runs(tls)]
            await signals.leave.wait()
            self._core.mailbox.put(LeaveNotice("asked to by a signal"))
            await _drained(
                self._core, self._clock, settings.timing.drain_ms, self._log
            )
            for task in tasks:
                task.cancel()
        server.close()
        await self._close()

    def _runs(self, tls):
        """Return what runs beside each other in this process."""
        settings, clock = self._settings, self._clock
        mailbox, timing = self._core.mailbox, settings.timing
        runs = [
            self._core.run(),
            TlsReloader(settings.tls, tls, clock, self._log).run(),
            watch_engine(self._engine, clock, mailbox, timing.load_ms),
        ]
        if self._orders is not None:
            runs.append(self._orders.run())
        if self._instances is not None:
            runs.append(
                watch_instances(
                    self._instances,
                    settings.instance_id,
                    clock,
                    mailbox,
                    timing.instances_ms,
                )
            )
        return runs

    async def _close(self):
        await self._engine.close()
        for adapter in (self._table, self._instances):
            if adapter is not None:
                await adapter.close()


async def serve(settings, signals, log, ready=None) -> None:
    """Run an agent until it has left.

    Parameters
    ----------
    ready : callable, optional
        Called with the port on which links are taken.
    """
    await Agent(settings, log).run(signals, ready)


def _optional(adapter, url):
    return adapter(url) if url else None


def _policy(settings):
    """Return the decisions' policy for this endpoint.

    A stream that was cancelled is started afresh, so the policy must count
    what a stop loses; only an exported KV cache keeps it.
    """
    policy = replace(
        PROFILES[settings.profile],
        max_running=settings.back_end.max_calls,
        engine_resumes=False,
    )
    if settings.gate:
        return replace(policy, gate=settings.gate)
    return policy


def _orders(settings, engine, table, incarnation, clock, log):
    """Return the task for orders, if this endpoint takes any."""
    if table is None or settings.back_end.service_name:
        return None
    fence = Fence(
        table,
        settings.endpoint_id,
        f"{settings.node_id}@{incarnation}",
        settings.timing.order_guard_ms,
        clock,
    )
    return OrderTask(engine, fence, clock, log)


async def _drained(core, clock, limit_ms, log):
    """Wait until nothing runs and all outcomes were received.

    Outcomes are kept until the entries say that they have them; to exit
    on the last sent byte could lose an answer in a cut connection.
    """
    give_up_ms = clock.now_ms() + limit_ms
    while clock.now_ms() < give_up_ms:
        await clock.sleep_ms(DRAIN_LOOK_MS)
        if core.leaving and core.is_idle:
            log.info("drained")
            return
    log.warning(
        "drain_timed_out",
        running=len(core.attempts_by_id),
        unsettled=len(core.unsettled()),
    )
