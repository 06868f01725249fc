"""Lost runs shared by several entries, without a network."""

import asyncio
import random

import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.table.memory import MemoryTableService
from dahliashunt.decisions.loss_counts import EXPIRY_MS
from dahliashunt.decisions.loss_counts import MAX_LOSSES
from dahliashunt.decisions.loss_counts import QUARANTINES_MS
from dahliashunt.forwarding.losses import CLAIM_PAUSE_MS
from dahliashunt.forwarding.losses import LOSSES_PREFIX
from dahliashunt.forwarding.losses import SharedLosses
from dahliashunt.forwarding.losses import SWEEP_MS
from dahliashunt.ports.table import Row

LOG = structlog.get_logger()
DIGEST = "bad"
RUN_MS = 20
FEED_MS = 200
CONTACT_MS = 3_000
MAX_RETRIES = 3
PLAY_MS = 90_000


class Fleet:
    """Entries that share one table, and a caller that never gives up.

    Attributes
    ----------
    runs_ms : list of int
        Begin of each run.
    """

    def __init__(self, rng, entries=8):
        self.clock = VirtualClock(1_000)
        self.table = MemoryTableService()
        self.entries = [self._entry(rng) for _ in range(entries)]
        self.runs_ms = []
        self._rng = rng

    def _entry(self, rng):
        # Clocks of entries differ by the time of one call.
        error_ms = rng.randint(0, 5)
        return SharedLosses(
            self.table,
            self.clock,
            lambda: self.clock.now_ms() + error_ms,
            rng,
            LOG,
        )

    async def spread(self):
        """Deliver the table to all entries, as their feeds do."""
        key = f"{LOSSES_PREFIX}{DIGEST}"
        known = None
        while True:
            await self.clock.sleep_ms(FEED_MS)
            if self.table.outage:
                continue
            row = await self.table.read(key)
            for entry in self.entries:
                if row is not None:
                    entry.changed(row)
                elif known is not None:
                    entry.removed(key)
            known = row

    async def call(self, entry, ends="lost"):
        """Send the request to one entry; return whether it ran.

        Each run has a replica of its own.
        """
        began_ms = self.clock.now_ms()
        if await entry.admit(DIGEST) is None:
            return False
        self.runs_ms.append(began_ms)
        replica = f"i-{len(self.runs_ms)}"
        await self.clock.sleep_ms(RUN_MS)
        if ends == "lost":
            entry.lost(DIGEST, "r", began_ms, replica=replica)
        else:
            entry.served(DIGEST)
        return True

    async def pass_first_quarantine(self):
        """Lose the request until it is refused; wait for its next trial."""
        while await self.call(self.entries[0]):
            pass
        await self.clock.sleep_ms(QUARANTINES_MS[1] + FEED_MS)

    async def call_all(self):
        """Send the request to all entries at the same moment."""
        await asyncio.gather(*map(self.call, self.entries))

    async def press(self, until_ms, gaps_ms):
        """Send the request to any entries until a time."""
        while self.clock.now_ms() < until_ms:
            await self.call(self._rng.choice(self.entries))
            await self.clock.sleep_ms(self._rng.randint(*gaps_ms))


@pytest.fixture
def play():
    """Return a function that runs a scenario on a `Fleet`."""

    def run(scenario, seed, **how):
        async def main():
            fleet = Fleet(random.Random(seed), **how)
            loops = [fleet.spread(), *(e.run() for e in fleet.entries)]
            tasks = [asyncio.create_task(loop) for loop in loops]
            played = asyncio.create_task(scenario(fleet))
            while not played.done():
                await fleet.clock.advance(200)
            for task in tasks:
                task.cancel()
            await played

        asyncio.run(main())

    return run


def retries(runs_ms, from_ms):
    """Return the runs that count as retries of a crashing request."""
    third_ms = runs_ms[2]
    first_ms = max(from_ms, third_ms) + CONTACT_MS
    return [run_ms for run_ms in runs_ms[3:] if run_ms > first_ms]


@pytest.mark.parametrize("gaps_ms", [(1, 60), (50, 800)], ids=str)
@pytest.mark.parametrize("seed", range(3))
def test_all_entries_together_retry_a_crashing_request_thrice(
    play, seed, gaps_ms
):
    # Guards against one retry by each entry after every quarantine.
    async def scenario(fleet):
        await fleet.press(PLAY_MS, gaps_ms)
        assert len(retries(fleet.runs_ms, 0)) <= MAX_RETRIES

    play(scenario, seed)


@pytest.mark.parametrize("gap_ms", [700, 3_300, 5_300])
def test_runs_that_entries_begin_together_count_each(play, gap_ms):
    # Guards against counting runs as one loss since they overlap: entries
    # send a request together as soon as its service is back.
    async def scenario(fleet):
        while fleet.clock.now_ms() < PLAY_MS:
            await fleet.call_all()
            await fleet.clock.sleep_ms(gap_ms)
        assert len(retries(fleet.runs_ms, 0)) <= MAX_RETRIES

    play(scenario, 1)


def test_a_request_lost_at_many_entries_needs_few_writes(play):
    # Guards against a write by each entry for each popular request of a rack.
    async def scenario(fleet):
        writes = []
        transact = fleet.table.transact

        async def count(rows):
            writes.append(rows)
            return await transact(rows)

        fleet.table.transact = count
        for number, entry in enumerate(fleet.entries):
            entry.lost(DIGEST, "r", 900, replica=f"i-{number}")
            if number >= MAX_LOSSES:
                await fleet.clock.sleep_ms(2)
        await fleet.clock.sleep_ms(2_000)
        assert len(writes) <= 2 * MAX_LOSSES
        assert await fleet.call(fleet.entries[-1], "served")

    play(scenario, 1, entries=40)


def test_a_trial_counts_though_its_entry_ends(play):
    # Guards against one more retry for each entry that is killed between its
    # claim and the loss of the run.
    async def scenario(fleet):
        await fleet.pass_first_quarantine()
        while fleet.clock.now_ms() < PLAY_MS:
            entry = fleet.entries[0]
            began_ms = fleet.clock.now_ms()
            if await entry.admit(DIGEST) is not None:
                fleet.runs_ms.append(began_ms)
                fleet.entries.remove(entry)
            await fleet.clock.sleep_ms(FEED_MS)
        assert len(retries(fleet.runs_ms, 0)) <= MAX_RETRIES

    play(scenario, 1)


@pytest.mark.parametrize("seed", range(3))
def test_losses_of_an_outage_are_shared_after_it(play, seed):
    # Guards against losses that no other entry learns of, since the write
    # failed while the store was away.
    async def scenario(fleet):
        fleet.table.outage = True
        await fleet.press(10_000, (100, 500))
        fleet.table.outage = False
        await fleet.press(PLAY_MS, (100, 500))
        assert len(retries(fleet.runs_ms, 10_000)) <= MAX_RETRIES

    play(scenario, seed)


def test_an_outage_of_the_store_does_not_lengthen_a_quarantine(play):
    # Guards against a popular request that is refused for minutes, since
    # entries that counted alone add up their losses.
    async def scenario(fleet):
        fleet.table.outage = True
        for entry in fleet.entries:
            while await fleet.call(entry):
                pass
        fleet.table.outage = False
        await fleet.clock.sleep_ms(QUARANTINES_MS[1] + FEED_MS)
        assert await fleet.call(fleet.entries[0], "served")

    play(scenario, 1)


def test_a_popular_request_is_tried_by_one_entry_and_then_by_all(play):
    # Guards against a trial whose success is unknown to the other entries.
    async def scenario(fleet):
        await fleet.pass_first_quarantine()
        tried = [await e.admit(DIGEST) is not None for e in fleet.entries[1:]]
        assert tried.count(True) == 1
        fleet.entries[1 + tried.index(True)].served(DIGEST)
        await fleet.clock.sleep_ms(3 * FEED_MS)
        ran = [await fleet.call(e, "served") for e in fleet.entries]
        assert all(ran)

    play(scenario, 1)


def test_rows_of_expired_losses_are_removed(play):
    """Guards against a table that grows with each request lost for good."""

    async def scenario(fleet):
        key = f"{LOSSES_PREFIX}{DIGEST}"
        await fleet.call(fleet.entries[0])
        sweeps = [asyncio.create_task(e.sweep()) for e in fleet.entries[1:]]
        await fleet.clock.sleep_ms(EXPIRY_MS - FEED_MS)
        assert await fleet.table.read(key) is not None
        await fleet.clock.sleep_ms(SWEEP_MS[1] + FEED_MS)
        assert await fleet.table.read(key) is None
        for sweep in sweeps:
            sweep.cancel()

    play(scenario, 1)


def test_a_request_in_quarantine_waits_for_the_store(play):
    # Guards against an entry that tries on its own while it is cut off.
    async def scenario(fleet):
        await fleet.pass_first_quarantine()
        fleet.table.outage = True
        entry = fleet.entries[0]
        assert await entry.admit(DIGEST) is None
        fleet.table.outage = False
        # A store that does not answer isn't asked for each request.
        assert await entry.admit(DIGEST) is None
        await fleet.clock.sleep_ms(CLAIM_PAUSE_MS)
        assert await entry.admit(DIGEST) is not None

    play(scenario, 1)


def test_a_corrected_clock_makes_no_two_runs_overlap():
    # Guards against one more crash: the estimate of the store's clock steps
    # back between two runs, so that the later one seems to begin too early.
    async def main():
        clock, error_ms = VirtualClock(1_000), [4]
        entry = SharedLosses(
            MemoryTableService(),
            clock,
            lambda: clock.now_ms() + error_ms[0],
            random.Random(1),
            LOG,
        )
        for losses in (1, 2, 3):
            began_ms = clock.now_ms()
            await clock.advance(RUN_MS)
            entry.lost(DIGEST, "r", began_ms)
            assert entry.losses(DIGEST) == losses
            error_ms[0] -= 2

    asyncio.run(main())


@pytest.mark.parametrize(
    "value",
    [
        "[" * 100_000,
        '{"runs": [[0, Infinity]], "trial_ms": 0}',
        '{"runs": [[0, 1e400]], "trials": [[NaN, ""]]}',
        '{"runs": "ab", "trials": []}',
        # These would never expire.
        f'{{"runs": {[[0, 2**52 + n] for n in range(9)]}, "trials": []}}',
    ],
)
def test_a_row_of_another_writer_counts_no_losses(value):
    # Guards against a row that ends the follower, or holds a request back
    # without end.
    losses = Fleet(random.Random(1), entries=1).entries[0]
    losses.changed(Row(f"{LOSSES_PREFIX}{DIGEST}", value, 1))
    assert losses.losses(DIGEST) == 0
