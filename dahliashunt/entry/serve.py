"""Put an entry together and run it until it has left."""

import asyncio
import random
import time
import uuid

from blacksheep import Application
from blacksheep import Router

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.http_server import HttpServer
from dahliashunt.adapters.instances import HttpInstanceList
from dahliashunt.adapters.objects import HttpObjectStore
from dahliashunt.adapters.table import HttpTableService
from dahliashunt.adapters.weights import HttpWeightStore
from dahliashunt.adapters.wire.gen.link.ttypes import Hello
from dahliashunt.batch import BatchPolicy
from dahliashunt.batch import BatchService
from dahliashunt.decisions.entry import EntryDecisions
from dahliashunt.decisions.placement import Placement
from dahliashunt.decisions.replica_targets import PlacementPolicy
from dahliashunt.entry.access import Access
from dahliashunt.entry.agent_link import AgentLink
from dahliashunt.entry.batch_order import make_order
from dahliashunt.entry.batch_routes import add_batch_routes
from dahliashunt.entry.batch_runner import BatchRunner
from dahliashunt.entry.burn_routes import add_burn_routes
from dahliashunt.entry.context import EntryContext
from dahliashunt.entry.convictions import ConvictionShare
from dahliashunt.entry.directory import Directory
from dahliashunt.entry.dispatcher import Dispatcher
from dahliashunt.entry.health_routes import add_health_routes
from dahliashunt.entry.held_requests import entry_bounds
from dahliashunt.entry.measures import Measures
from dahliashunt.entry.messages import DrainsChanged
from dahliashunt.entry.once import OnceRunner
from dahliashunt.entry.online_routes import add_online_routes
from dahliashunt.entry.operator_context import EntryOperatorContext
from dahliashunt.entry.operator_routes import add_operator_routes
from dahliashunt.entry.planner import LEASE_KEY
from dahliashunt.entry.planner import LEASE_TERM_MS
from dahliashunt.entry.planner import Planner
from dahliashunt.entry.records_node import RecordsNode
from dahliashunt.membership.row_lease import RowLease
from dahliashunt.metrics import Metrics
from dahliashunt.online.claims import Claims
from dahliashunt.process_shares import ProcessShares
from dahliashunt.records import RecordStore
from dahliashunt.records.catalog import Catalog
from dahliashunt.records.follower import Follower
from dahliashunt.records.follower import poll_interval_ms
from dahliashunt.settings.tls import check_plaintext
from dahliashunt.settings.tls import client_context
from dahliashunt.settings.tls import server_context
from dahliashunt.settings.tls import TlsReloader
from dahliashunt.version import LINK_VERSION
from dahliashunt.version import VERSION

__all__ = ["Entry", "serve"]

DRAIN_LOOK_MS = 50
PLATFORM_CONNECTIONS = 64
"""Descriptors for connections to the platform's services."""

BEAT_MS_A_LINK = 40
"""Heartbeats of all idle links of an entry together: 25 a second at most,
2.5 KB/s at 100 bytes each."""

UNREADY_MS = 300
"""Between saying "not ready" and closing the listening socket, so that a
balancer which has just chosen this entry is still answered."""


class Entry:
    """All parts of one entry, joined.

    Parameters
    ----------
    settings : EntrySettings
    log : structlog logger
    """

    def __init__(self, settings, log):
        self.settings = settings
        self.clock = SystemClock()
        self.rng = random.Random()
        self.incarnation = time.time_ns()
        self._log = log
        platform = settings.platform
        self.table = _optional(HttpTableService, platform.table_url)
        self.objects = _optional(HttpObjectStore, platform.objects_url)
        self.instances = _optional(HttpInstanceList, platform.instances_url)
        self.weights = _optional(HttpWeightStore, platform.weights_url)
        self.records = self._records()
        self.access = Access(self.records.catalog)
        self.measures = Measures(Metrics(settings.node_id), self.clock)
        self.dispatcher = Dispatcher(
            EntryDecisions(settings.decisions, self.rng, settings.data_centre),
            self.records,
            self.clock,
            self._new_id,
            self.measures,
            log,
        )
        self.measures.endpoint_of = self.dispatcher.endpoint_of
        self.directory = Directory(
            settings,
            self.instances,
            self._new_link,
            self.dispatcher.mailbox,
            self.clock,
            log,
        )
        self.convictions = ConvictionShare(
            self.table, self.dispatcher.mailbox, self.clock
        )
        self.dispatcher.on_convictions = self.convictions.mailbox.put
        self.planner = self._planner()
        self.batch = self._batch()
        self.context = EntryContext(
            settings,
            self.clock,
            self.access,
            self.dispatcher,
            self.measures,
            self.records,
            self.batch,
        )
        self.claims = self._claims()
        if self.claims is not None:
            self.context.once = OnceRunner(self.claims)
        self.app = self._application()

    def _records(self):
        platform = self.settings.platform
        follower = Follower(
            self.rng,
            self.table is not None,
            max(platform.head_ms, poll_interval_ms(platform.entries)),
        )
        return RecordsNode(
            self.table,
            follower,
            Catalog(),
            self.clock,
            self._log,
            self._records_adopted,
        )

    def _application(self):
        app = Application(router=Router(), show_error_details=False)
        add_online_routes(app, self.context)
        add_health_routes(app, self.context)
        if self.batch is not None:
            add_batch_routes(app, self.context)
        if self.table is not None:
            operators = self._operator_context()
            add_operator_routes(app, operators)
            add_burn_routes(
                app,
                operators,
                self.measures,
                self.clock,
                self.settings.node_id,
            )
        return app

    def _records_adopted(self, catalog):
        self.dispatcher.mailbox.put(DrainsChanged(catalog.drained))

    def _operator_context(self):
        store = RecordStore(
            self.table,
            self.clock,
            self.rng,
            accepted=self.records.accepted_here,
        )
        return EntryOperatorContext(
            self.settings,
            store,
            self.records,
            self.dispatcher.endpoints,
            self.table,
        )

    def _planner(self):
        if self.table is None:
            return None
        holder = f"{self.settings.node_id}@{self.incarnation}"
        lease = RowLease(
            self.table, LEASE_KEY, holder, LEASE_TERM_MS, self.clock
        )
        return Planner(
            lease,
            self.dispatcher.endpoints,
            self.records.catalog,
            self.weights,
            Placement(PlacementPolicy()),
            self.clock,
            self._log,
        )

    def _claims(self):
        if self.table is None or self.objects is None:
            return None
        return Claims(
            self.table,
            self.objects,
            self.clock,
            stale_ms=2 * self.settings.http.request_ms,
        )

    @property
    def is_serving(self) -> bool:
        """Whether records are in force and some endpoint may be used."""
        endpoints = self.dispatcher.endpoints.by_id.values()
        return self.records.revision > 0 and any(
            endpoint.is_usable for endpoint in endpoints
        )

    def _new_id(self):
        return uuid.uuid4().hex

    def _new_link(self, address):
        tls = self.settings.tls
        return AgentLink(
            address,
            self._hello,
            self.dispatcher.mailbox,
            self.clock,
            self.rng,
            self.settings.links,
            lambda: client_context(tls),
        )

    def _hello(self):
        return Hello(
            node_id=self.settings.node_id,
            incarnation=self.incarnation,
            version=LINK_VERSION,
            program_version=VERSION,
            revision=self.records.revision,
            data_centre=self.settings.data_centre,
            leaving=self.context.leaving,
            token=self.settings.link_token,
            beat_every_ms=len(self.directory.links) * BEAT_MS_A_LINK,
        )

    def _batch(self):
        if self.table is None or self.objects is None:
            return None
        return BatchService(
            self.table,
            self.objects,
            self.clock,
            self.rng,
            self.settings.node_id,
            BatchRunner(self.dispatcher, self.access),
            make_order(self.rng),
            BatchPolicy(held_bytes=self.settings.batch.held_bytes),
        )

    def _bounds(self):
        """Return the bounds of what clients can make this process hold."""
        settings = self.settings
        shares = ProcessShares.of(
            settings.limits.memory,
            settings.limits.descriptors,
            settings.max_links + PLATFORM_CONNECTIONS,
        )
        return entry_bounds(
            shares,
            self.measures.metrics,
            self._log,
            settings.http.header_ms / 1000,
        )

    async def run(self, signals, ready=None) -> None:
        """Serve until `signals` ask to leave and all has drained."""
        http = self.settings.http
        check_plaintext("http", http.host, http.tls, self._log)
        tls = server_context(http.tls, mutual=False)
        bounds = self._bounds()
        self.context.held = bounds.memory.decisions
        server = HttpServer(self.app, http.host, http.port, tls, bounds=bounds)
        reloader = TlsReloader(http.tls, tls, self.clock, self._log)
        tasks = [
            asyncio.create_task(self.dispatcher.run()),
            asyncio.create_task(_for_ever(reloader.run())),
            asyncio.create_task(self.records.run()),
            asyncio.create_task(self.directory.run()),
        ]
        if self.table is not None:
            tasks.append(asyncio.create_task(self.convictions.run()))
            tasks.append(asyncio.create_task(self.planner.run()))
        if self.claims is not None:
            tasks.append(asyncio.create_task(self.claims.run()))
        if self.batch is not None and self.settings.batch.on:
            tasks.append(asyncio.create_task(self.batch.run()))
        await server.start()
        self._log.info("ready", port=server.port)
        if ready is not None:
            ready(server.port)
        left = asyncio.create_task(signals.leave.wait())
        done, _ = await asyncio.wait(
            {left, *tasks}, return_when=asyncio.FIRST_COMPLETED
        )
        left.cancel()
        for task in done & set(tasks):
            task.result()
        await self._leave(server)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._close()

    async def _leave(self, server):
        """Shut down without cutting off a request in progress."""
        self.context.leaving = True
        self._log.info("leaving", in_flight=self.dispatcher.in_flight)
        await self.clock.sleep_ms(UNREADY_MS)
        stopping = asyncio.create_task(server.stop())
        if self.batch is not None:
            await self.batch.drain()
        await asyncio.wait({stopping}, timeout=self.settings.drain_ms / 1000)
        if not stopping.done():
            self._log.warning("drain_timed_out")
            await server.stop_now()
        if self.context.once is not None:
            await self.context.once.settle()
        await self.clock.sleep_ms(DRAIN_LOOK_MS)

    async def _close(self):
        for adapter in (
            self.table,
            self.objects,
            self.instances,
            self.weights,
        ):
            if adapter is not None:
                await adapter.close()


async def _for_ever(run):
    """Await `run`, then wait: nothing to do is no reason to leave."""
    await run
    await asyncio.Event().wait()


def _optional(adapter, url):
    return adapter(url) if url else None


async def serve(settings, signals, log, ready=None) -> None:
    """Run an entry until it has left."""
    await Entry(settings, log).run(signals, ready)
