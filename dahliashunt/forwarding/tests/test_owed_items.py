"""Items whose prompt parts were lost with replicas are tried in time."""

import asyncio
import random

import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.table.memory import MemoryTableService
from dahliashunt.forwarding.crash_guard import crash_keys
from dahliashunt.forwarding.crash_guard import CrashGuard
from dahliashunt.forwarding.losses import SharedLosses
from dahliashunt.forwarding.tests.crash_simulation import Incarnation

ITEM_WAIT_MS = 2_000
RUN_MS = 300
STEP_MS = 100
FREE_CRASHES = 5
LATE_RUNS = 3
"""Crashes, and runs after them, that a guilty part may cause."""


class _Guarded:
    """An entry's guard, and the replicas that have ended."""

    def __init__(self):
        self.clock = VirtualClock(1_000)
        table = MemoryTableService()
        self.losses = SharedLosses(
            table,
            self.clock,
            self.clock.now_ms,
            random.Random(1),
            structlog.get_logger(),
        )
        self.ended = []
        self.runs_ms = []
        self.guard = CrashGuard(
            self.losses, self.clock, ended_since=self._ended_since
        )

    def _ended_since(self, from_ms, service):
        assert service == "s"
        return {name for at_ms, name in self.ended if at_ms >= from_ms}

    def keys(self, wait_ms=ITEM_WAIT_MS):
        number = len(self.runs_ms)
        return crash_keys(f"r{number}", "s", ("part",), wait_ms)

    async def begin(self, keys, within_ms):
        """Return the permit to run, None if there is none in time."""
        until_ms = self.clock.now_ms() + within_ms
        while self.clock.now_ms() <= until_ms:
            if not (
                self.guard.is_quarantined(keys) or self.guard.must_wait(keys)
            ):
                permit = await self.guard.admit(keys)
                if permit is not None:
                    self.runs_ms.append(self.clock.now_ms())
                    return permit
            await self.clock.advance(STEP_MS)
        return None

    async def crash(self, permit, others):
        """End the run with its replica, and other replicas beside it."""
        await self.clock.advance(RUN_MS)
        number = len(self.runs_ms)
        replica = Incarnation(f"i-{number}", number)
        self.guard.lost(permit, f"r{number}", replica)
        now_ms = self.clock.now_ms()
        names = [replica.incarnation]
        names += [(f"o-{number}-{other}", number) for other in range(others)]
        self.ended += [(now_ms, name) for name in names]

    async def crash_all(self, for_ms, others):
        until_ms = self.clock.now_ms() + for_ms
        while (left_ms := until_ms - self.clock.now_ms()) > 0:
            permit = await self.begin(self.keys(), left_ms)
            if permit is not None:
                await self.crash(permit, others)


@pytest.mark.parametrize("for_ms", [15_000, 40_000, 120_000])
@pytest.mark.parametrize("others", [1, 8])
def test_items_are_tried_soon_after_crashes_of_other_causes(for_ms, others):
    """Guards against sound items held back for ten minutes."""

    async def main():
        g = _Guarded()
        await g.crash_all(for_ms, others)
        assert g.losses.lost_trials(g.keys().parts[0]) >= 4
        permit = await g.begin(g.keys(), 8_000)
        assert permit is not None
        g.guard.served(permit.keys)
        assert await g.begin(g.keys(), 0) is not None

    asyncio.run(main())


@pytest.mark.parametrize("for_ms", [20_000, 60_000])
def test_a_guilty_part_of_items_crashes_few_replicas(for_ms):
    """Guards against a part that crashes a replica with each trial."""

    async def main():
        g = _Guarded()
        await g.crash_all(for_ms, others=0)
        assert len(g.runs_ms) <= FREE_CRASHES + LATE_RUNS

    asyncio.run(main())


def test_a_guilty_part_of_items_is_tried_again_at_length():
    """Guards against items that are held back without a bound."""

    async def main():
        g = _Guarded()
        await g.crash_all(60_000, others=0)
        assert await g.begin(g.keys(), 120_000) is not None

    asyncio.run(main())


@pytest.mark.parametrize("others", [0, 8])
def test_online_requests_are_held_back_as_before(others):
    """Guards against doubts about items that weaken the online guard."""

    async def main():
        g = _Guarded()
        await g.crash_all(60_000, others)
        online = crash_keys("online", "s", ("part",))
        assert g.guard.is_quarantined(online)
        assert await g.begin(online, 60_000) is None

    asyncio.run(main())
