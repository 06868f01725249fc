"""The tasks that keep an owner's lease and look for claims to take."""

import asyncio
from collections import defaultdict
import random

import structlog

from dahliashunt.batch.lease import Claim
from dahliashunt.batch.lease import HeldLease
from dahliashunt.batch.lease import LeaseObserver
from dahliashunt.batch.lease import UNOWNED
from dahliashunt.batch.messages import Renewed
from dahliashunt.batch.messages import Scanned
from dahliashunt.batch.messages import StopsSeen
from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.batch.reads import read_all
from dahliashunt.batch.rows import CLAIMS
from dahliashunt.batch.rows import decode
from dahliashunt.batch.rows import encode
from dahliashunt.batch.rows import node_key
from dahliashunt.batch.rows import NODES
from dahliashunt.batch.rows import prefix_end
from dahliashunt.batch.rows import STOPS
from dahliashunt.batch.steps import Fenced
from dahliashunt.batch.steps import take
from dahliashunt.batch.takeover import TakeoverPlan
from dahliashunt.errors import PlatformError
from dahliashunt.ids import JobId
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import TableService
from dahliashunt.ports.table import Write

__all__ = ["Heartbeat", "Scanner", "watch_stops"]

_LOG = structlog.get_logger(__name__)
_FORGET_TERMS = 10


class Heartbeat:
    """Renews the one row that stands for all claims of a node's run."""

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        policy: BatchPolicy,
        owner: str,
        inbox: asyncio.Queue,
    ):
        self._table = table
        self._clock = clock
        self._policy = policy
        self._key = node_key(owner)
        self._inbox = inbox
        self.lease = HeldLease(policy.lease_term_ms, clock.now_ms())

    async def run(self) -> None:
        """Renew until cancelled, with an unchanged name after outages."""
        while True:
            self._inbox.put_nowait(Renewed(await self._renew()))
            await self._clock.sleep_ms(self._policy.renew_ms)

    async def leave(self) -> None:
        """Delete the row; only after all claims are given up."""
        try:
            await self._table.transact((Write(self._key, None),))
        except PlatformError:
            return

    async def _renew(self):
        counter = self.lease.sending(self._clock.now_ms())
        write = Write(self._key, encode({"n": counter}))
        try:
            await self._table.transact((write,))
        except PlatformError:
            return False
        self.lease.renewed()
        return True


async def watch_stops(
    table: TableService,
    clock: Clock,
    policy: BatchPolicy,
    inbox: asyncio.Queue,
) -> None:
    """Tell the owner about jobs to stop, by one range read a period."""
    while True:
        try:
            rows = read_all(table, STOPS, prefix_end(STOPS))
            seen = [JobId(row.key.removeprefix(STOPS)) async for row in rows]
        except PlatformError:
            seen = []
        if seen:
            inbox.put_nowait(StopsSeen(frozenset(seen)))
        await clock.sleep_ms(policy.watch_ms)


class Scanner:
    """Reads all claims and heartbeats; takes what nobody works on."""

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        policy: BatchPolicy,
        owner: str,
        rng: random.Random,
        inbox: asyncio.Queue,
    ):
        self._table = table
        self._clock = clock
        self._policy = policy
        self._owner = owner
        self._rng = rng
        self._inbox = inbox
        self._observer = LeaseObserver(policy.lease_term_ms)
        self._plan = TakeoverPlan(
            owner, policy.takeover_rank_ms, policy.takeovers_a_scan, rng
        )
        self.taking = True

    async def run(self) -> None:
        """Scan until cancelled; periods have jitter so that nodes spread."""
        while True:
            try:
                await self.scan()
            except PlatformError:
                self._observer.restart()
            period_ms = self._policy.scan_ms
            await self._clock.sleep_ms(
                period_ms + self._rng.randrange(period_ms // 4 + 1)
            )

    async def scan(self) -> None:
        """Scan once: report this node's claims, then take free ones."""
        started_ms = self._clock.now_ms()
        claims = await self._read_claims()
        nodes = await self._read_nodes()
        self._observe(claims, nodes)
        mine = [claim for claim in claims if claim.owner == self._owner]
        if self.taking:
            room = self._policy.max_claims - len(mine)
            mine += await self._take_free(claims, nodes, room)
        self._inbox.put_nowait(Scanned(started_ms, tuple(mine)))
        await self._sweep(claims, nodes)

    async def _read_claims(self):
        claims = []
        async for row in read_all(self._table, CLAIMS, prefix_end(CLAIMS)):
            try:
                claims.append(Claim.from_row(row))
            except (KeyError, TypeError, ValueError):
                # One damaged row must not end every owner of the fleet.
                _LOG.error("claim row is damaged", key=row.key)
        return claims

    async def _read_nodes(self):
        rows = read_all(self._table, NODES, prefix_end(NODES))
        return {row.key.removeprefix(NODES): row async for row in rows}

    def _observe(self, claims, nodes):
        now = self._clock.now_ms()
        owners = {claim.owner for claim in claims} | set(nodes)
        owners -= {UNOWNED, self._owner}
        for owner in owners:
            row = nodes.get(owner)
            counter = 0 if row is None else decode(row.value)["n"]
            self._observer.seen(owner, counter, now)
        self._observer.forget(owners)

    async def _take_free(self, claims, nodes, room):
        now = self._clock.now_ms()
        live = frozenset(
            owner
            for owner in nodes
            if owner != self._owner and not self._observer.lapsed(owner, now)
        )
        free = tuple(_free(claims, self._observer, self._owner, now))
        held = []
        for claim in self._plan.due(free, live, now)[: max(0, room)]:
            beside = _still_lapsed(claim, nodes.get(claim.owner))
            try:
                held.append(
                    await take(self._table, claim, self._owner, beside)
                )
            except Fenced:
                continue
        return held

    async def _sweep(self, claims, nodes):
        """Delete heartbeat rows long dead; nothing relies on their end."""
        now = self._clock.now_ms()
        used = {claim.owner for claim in claims} | {self._owner}
        for owner, row in nodes.items():
            if owner in used or not self._observer.lapsed(
                owner, now - _FORGET_TERMS * self._policy.lease_term_ms
            ):
                continue
            await self._table.transact((Write(row.key, None, row.version),))
            return


def _free(claims, observer, me, now):
    """Yield the claims without a live owner that have something left.

    Of a job whose groups are all done, but which nobody brought to its
    end, one claim is yielded: its taker does that.
    """
    by_job = defaultdict(list)
    for claim in claims:
        by_job[claim.job_id].append(claim)
    for group in by_job.values():
        open_claims = [claim for claim in group if not claim.done]
        for claim in open_claims or group[:1]:
            if claim.owner == UNOWNED or (
                claim.owner != me and observer.lapsed(claim.owner, now)
            ):
                yield claim


def _still_lapsed(claim: Claim, row: Row | None) -> Write | None:
    """Return the check that a lapsed holder has not renewed since."""
    if claim.owner == UNOWNED:
        return None
    expect = MustBe.ABSENT if row is None else row.version
    return Write(node_key(claim.owner), None, expect, check_only=True)
