"""The right to give an endpoint orders, held by its one agent.

An agent that was paused, or cut off and replaced, may come back and order
its engine to load what was wanted long ago. Engines that check fencing
tokens refuse it; for the others the agent itself is the guard. It takes a
new token in the table service before its first order and reads it again
before any order that comes longer than the guard time after the last
read. A new agent waits the guard time before its first order, by when the
old one must have read again and seen that it is replaced.

Orders are rare, so the token costs a write a process and a read an order,
and no renewals: at 7,000 agents those would be thousands of writes a
second.

References
----------
.. [1] M. Burrows, "The Chubby lock service for loosely-coupled distributed
   systems", OSDI 2006, on sequencers.
"""

import json

from dahliashunt.errors import PlatformError
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ids import FenceToken
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import TableService
from dahliashunt.ports.table import Write

__all__ = ["Fence"]


class Fence:
    """One agent's token for its endpoint.

    Parameters
    ----------
    table : TableService
    endpoint_id : EndpointId
    holder : str
        Name of this run of the agent.
    guard_ms : int
        Longest time between a read of the token and an order.
    clock : Clock
    """

    def __init__(
        self,
        table: TableService,
        endpoint_id: str,
        holder: str,
        guard_ms: int,
        clock: Clock,
    ):
        self.replaced = False
        self._table = table
        self._key = f"fence/{endpoint_id}"
        self._holder = holder
        self._guard_ms = guard_ms
        self._clock = clock
        self._token = None
        self._read_ms = 0
        self._wait_until_ms = 0

    async def token(self) -> FenceToken | None:
        """Return the token to order with now, or None if not yet or never.

        None while the table is out, while the guard time runs, and for
        good once another agent has taken the endpoint (`replaced`).
        """
        if self.replaced:
            return None
        now = self._clock.now_ms()
        if self._token is None:
            await self._take(now)
        elif now - self._read_ms >= self._guard_ms:
            await self._confirm(now)
        now = self._clock.now_ms()
        fresh = now - self._read_ms < self._guard_ms
        if self._token is None or not fresh or now < self._wait_until_ms:
            return None
        return self._token

    async def _take(self, now):
        try:
            row = await self._table.read(self._key)
            held = None if row is None else json.loads(row.value)
            if held is not None and held["holder"] == self._holder:
                # The answer of an earlier write was lost; it took effect.
                token = FenceToken(held["token"])
            else:
                before = 0 if held is None else held["token"]
                token = FenceToken(before + 1)
                value = {"holder": self._holder, "token": token}
                expect = MustBe.ABSENT if row is None else row.version
                write = Write(self._key, json.dumps(value), expect)
                await self._table.transact((write,))
        except (PlatformError, TransactionConflict, WriteOutcomeUnknown):
            return
        self._token = token
        self._read_ms = now
        if held is not None:
            self._wait_until_ms = self._clock.now_ms() + self._guard_ms

    async def _confirm(self, now):
        try:
            row = await self._table.read(self._key)
        except PlatformError:
            return
        held = None if row is None else json.loads(row.value)
        if held is None or held["holder"] != self._holder:
            self.replaced = True
            self._token = None
            return
        self._read_ms = now
