"""Streams taken up at an entry that has stood still during a release."""

import asyncio
import random
import signal

import pytest

from dahliashunt.adapters.http1 import ConnectFailed
from dahliashunt.adapters.http1 import open_connection
from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.platform.standins.caller import caller_request
from dahliashunt.platform.standins.replica import Step
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import stream_route
from tests.soak.fleet import Fleet
from tests.soak.replica import SLOTS
from tests.soak.replica import SoakReplica

BUDGET_MS = 12_000
EVENTS = 60
GAP_MS = 100
BEGIN_S = 0.5
RETRIES = 5
RETRY_S = 0.2
OLD_REPLICAS, NEW_REPLICAS = 5, 2
STREAMS = 12
START_S = 30


class LongReplica(SoakReplica):
    """A replica whose streams outlast the standstill."""

    def _step(self):
        return Step(events=EVENTS, gap_ms=GAP_MS)

    def _check_name(self, arrival):
        """Check nothing: there are no workspaces."""


class ReleaseFleet(Fleet):
    """A fleet to which replicas of a second version are added."""

    def __init__(self, folder):
        rng = random.Random(58)
        super().__init__(folder, rng, entries=2, replicas=OLD_REPLICAS)
        self.replicas = [
            LongReplica(f"i-{number}", rng, "v1")
            for number in range(OLD_REPLICAS)
        ]

    def configure(self):
        """Put the configuration into force."""
        route = stream_route("/a/", BUDGET_MS, most_runs=3)
        self.store.configure(config_fields([route], 1, slots=SLOTS))

    async def release(self):
        """Add the replicas of the second version."""
        for number in range(OLD_REPLICAS, OLD_REPLICAS + NEW_REPLICAS):
            replica = LongReplica(f"i-{number}", self._rng, "v2")
            self.replicas.append(replica)
            await self._add_replica(number)
            await self.agents[number].start()

    async def until(self, condition):
        """Wait until `condition` holds."""
        async with asyncio.timeout(START_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.02)


class Stream:
    """A stream, and what its caller has of it."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self.name = name
        self.status = None
        self.is_final = False
        self.body = b""

    async def read(self, entry, **fields):
        """Read from an entry until the stream ends or breaks off."""
        host, port = self._fleet.caller_links[entry].address
        try:
            connection = await open_connection(host, port, 1_000)
        except ConnectFailed:
            self.status = None
            return
        request = caller_request(budget_ms=BUDGET_MS, **fields)
        mailbox = connection.start(request)
        self.status = None
        while True:
            for event in await mailbox.take(BUDGET_MS):
                if isinstance(event, ResponseHead):
                    self.status = event.status
                    self.is_final = event.get("retry-after") is None
                elif not isinstance(event, bytes):
                    connection.abort()
                    return
                elif self.status == 200:
                    self.body += event
                connection.taken(len(event) if isinstance(event, bytes) else 0)

    async def begin(self, entry):
        await self.read(entry, request_id=self.name)

    async def take_up(self, entry):
        """Go on, also after a refusal that says when to come back."""
        for number in range(RETRIES):
            await self.read(
                entry,
                request_id=f"{self.name}-{number}",
                resumes=self.name,
                last_event=self.last_event,
            )
            if self.status != 503 or self.is_final:
                return
            await asyncio.sleep(RETRY_S)

    @property
    def events(self):
        return self.body.split(b"\n\n")[:-1]

    @property
    def last_event(self):
        return len(self.events)

    @property
    def versions(self):
        return {event.split()[-1] for event in self.events}

    def cut(self):
        """Drop the part of an event with which a stream broke off."""
        self.body = b"".join(each + b"\n\n" for each in self.events)


@pytest.mark.parametrize("way", ["frozen", "cut_off"])
@pytest.mark.parametrize("pause_s", [0.0, 0.4])
def test_streams_of_a_new_version_go_on_after_a_standstill(
    tmp_path, way, pause_s
):
    """Guards against take-ups refused, or joined with another version."""

    async def main():
        fleet = ReleaseFleet(tmp_path)
        try:
            await fleet.start()
            machines = (*fleet.agents, *fleet.entries)
            await fleet.until(lambda: all(m.has_started() for m in machines))
            await asyncio.sleep(1.5)
            await play(fleet, way, pause_s)
        finally:
            await fleet.stop()

    asyncio.run(main())


async def play(fleet, way, pause_s):
    first, second = fleet.entries
    link = fleet.store_link_by_name[second.name]
    if way == "frozen":
        second.send(signal.SIGSTOP)
    else:
        link.link.up = link.link.down = False
    await asyncio.sleep(0.3)
    await fleet.release()
    await fleet.until(lambda: all(m.has_started() for m in fleet.agents))
    await asyncio.sleep(1)
    streams = [Stream(fleet, f"s{number}") for number in range(STREAMS)]
    reading = [asyncio.create_task(each.begin(0)) for each in streams]
    await asyncio.sleep(BEGIN_S)
    if way == "frozen":
        second.send(signal.SIGCONT)
    else:
        link.link.up = link.link.down = True
    await asyncio.sleep(pause_s)
    await first.kill()
    await asyncio.gather(*reading)
    begun = [each for each in streams if each.last_event]
    for each in begun:
        each.cut()
    assert any(each.versions == {b"v2"} for each in begun)
    await asyncio.gather(*(each.take_up(1) for each in begun))
    joined = [each.name for each in begun if len(each.versions) > 1]
    assert not joined
    refused = [each.name for each in begun if each.last_event < EVENTS]
    assert not refused
