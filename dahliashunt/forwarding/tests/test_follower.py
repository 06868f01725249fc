"""Tests of following a table that many nodes write."""

import asyncio
import random

import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.decisions.feed_pace import FeedUse
from dahliashunt.decisions.feed_pace import pause_ms
from dahliashunt.forwarding.follower import RESTART_BOUNDS_MS
from dahliashunt.forwarding.follower import TableFollower
from dahliashunt.metrics import Metrics
from dahliashunt.ports.table import Changes
from dahliashunt.ports.table import Row

CALL_MS = 4
"""Duration of a call to the store."""


class Feed:
    """A table whose calls wait for a change, on a virtual clock.

    Attributes
    ----------
    calls : int
    """

    def __init__(self, clock):
        self._clock = clock
        self._rows = []
        self._changed = asyncio.Event()
        self.calls = 0

    def write(self, key):
        self._rows.append(Row(key, "", len(self._rows) + 1))
        self._changed.set()
        self._changed = asyncio.Event()

    async def snapshot(self, prefix):
        return Changes(tuple(self._rows), (), len(self._rows))

    async def changes(self, table, after, wait_ms):
        self.calls += 1
        if len(self._rows) == after:
            changed = asyncio.ensure_future(self._changed.wait())
            limit = asyncio.ensure_future(self._clock.sleep_ms(wait_ms))
            await asyncio.wait(
                {changed, limit}, return_when=asyncio.FIRST_COMPLETED
            )
            changed.cancel()
            limit.cancel()
        await self._clock.sleep_ms(CALL_MS)
        rows = tuple(self._rows[after:])
        return Changes(rows, (), after + len(rows))


class Listener:
    """Records when each row was received; fails on that of `failing_key`."""

    def __init__(self, clock):
        self._clock = clock
        self.failing_key = None
        self.heard_ms_by_key = {}

    def replaced(self, rows):
        for row in rows:
            self.changed(row)

    def changed(self, row):
        if row.key == self.failing_key:
            raise TypeError
        self.heard_ms_by_key[row.key] = self._clock.now_ms()

    def removed(self, key):
        pass

    def gap_ended(self, gap):
        pass


@pytest.fixture
def run_follower():
    """Return ``follow(use, scenario)``, which runs a follower."""

    def follow(use, scenario):
        async def main():
            clock, metrics = VirtualClock(), Metrics("n")
            feed, listener = Feed(clock), Listener(clock)
            follower = TableFollower(
                feed,
                ("progress/0/",),
                use,
                listener,
                clock,
                random.Random(1),
                structlog.get_logger(),
                metrics,
            )
            listener.follower, listener.metrics = follower, metrics
            task = asyncio.create_task(follower.run())
            await clock.advance(10)
            try:
                await scenario(clock, feed, listener)
            finally:
                task.cancel()

        asyncio.run(main())

    return follow


def test_calls_of_a_busy_table_do_not_grow_with_its_changes(run_follower):
    # Guards against one call per entry for each change of a busy table.
    async def scenario(clock, feed, listener):
        written_ms_by_key = {}
        for number in range(500):
            key = f"progress/0/{number}"
            written_ms_by_key[key] = clock.now_ms()
            feed.write(key)
            await clock.advance(20)
        await clock.advance(2_000)
        gather_ms = pause_ms(FeedUse.PROGRESS, has_changes=True)
        assert feed.calls <= 12_000 / gather_ms + 2
        assert listener.heard_ms_by_key.keys() == written_ms_by_key.keys()
        lag_ms = max(
            listener.heard_ms_by_key[key] - written_ms
            for key, written_ms in written_ms_by_key.items()
        )
        assert lag_ms <= gather_ms + 2 * CALL_MS

    run_follower(FeedUse.PROGRESS, scenario)


def test_a_change_after_a_quiet_time_is_delivered_at_once(run_follower):
    # Guards against a batching pause that delays a single change.
    async def scenario(clock, feed, listener):
        await clock.advance(5_000)
        feed.write("progress/0/a")
        await clock.advance(2 * CALL_MS)
        assert "progress/0/a" in listener.heard_ms_by_key

    run_follower(FeedUse.REPLICAS, scenario)


def test_configurations_in_quick_succession_are_not_gathered(run_follower):
    # Guards against a configuration that waits behind the previous change.
    async def scenario(clock, feed, listener):
        for number in range(10):
            key = f"progress/0/{number}"
            feed.write(key)
            await clock.advance(3 * CALL_MS)
            assert key in listener.heard_ms_by_key

    run_follower(FeedUse.CONFIGURATION, scenario)


def test_an_error_of_the_listener_shows_and_the_follower_goes_on(run_follower):
    # Guards against a follower that ends unnoticed and follows no row.
    async def scenario(clock, feed, listener):
        listener.failing_key = "progress/0/bad"
        feed.write("progress/0/bad")
        feed.write("progress/0/a")
        await clock.advance(100)
        assert listener.follower.failed
        assert listener.metrics.counts_by_name
        assert "progress/0/a" not in listener.heard_ms_by_key
        listener.failing_key = None
        await clock.advance(RESTART_BOUNDS_MS[1])
        assert not listener.follower.failed
        assert "progress/0/a" in listener.heard_ms_by_key

    run_follower(FeedUse.REPLICAS, scenario)
