"""Share convictions between entries: by links at once, by table for good.

Links reach every entry that shares an agent within milliseconds. The table
service keeps convictions for entries that start later, and for parts of a
fleet too large to share agents; it is read rarely.
"""

from dataclasses import dataclass
import json

from dahliashunt.adapters.wire.gen.link.ttypes import Conviction as Wire
from dahliashunt.adapters.wire.gen.link.ttypes import Convictions as Message
from dahliashunt.adapters.wire.gen.link.ttypes import Frame
from dahliashunt.decisions.suspects import Conviction
from dahliashunt.errors import PlatformError
from dahliashunt.mailbox import Mailbox
from dahliashunt.ports.table import Write

__all__ = ["Convicted", "ConvictionShare", "frame_of"]

PREFIX = "convictions/"
END = "convictions0"
READ_MS = 10_000
MAX_ROWS = 1_000


@dataclass(frozen=True, slots=True)
class Convicted:
    """Another entry has convicted fingerprints."""

    convictions: tuple[Conviction, ...]


def frame_of(convictions, suspects) -> Frame:
    """Return the frame that tells agents of convictions and suspects."""
    return Frame(
        convictions=Message(
            suspects=list(suspects),
            convictions=[
                Wire(fingerprint=c.fingerprint, for_ms=c.for_ms)
                for c in convictions
            ],
        )
    )


class ConvictionShare:
    """The task that keeps convictions in the table service.

    Parameters
    ----------
    table : TableService
    dispatcher : Mailbox
        Gets `Convicted`.
    clock : Clock
    """

    def __init__(self, table, dispatcher: Mailbox, clock):
        self.mailbox = Mailbox()
        self._table = table
        self._dispatcher = dispatcher
        self._clock = clock
        self._unwritten = []

    async def run(self) -> None:
        """Write what this entry convicts, read what others did."""
        read_at_ms = 0
        while True:
            for convictions in await self.mailbox.take(READ_MS):
                self._unwritten += convictions
            await self._write()
            now = self._clock.now_ms()
            if now >= read_at_ms:
                read_at_ms = now + READ_MS
                await self._read()

    async def _write(self):
        while self._unwritten:
            conviction = self._unwritten[0]
            until_ms = self._clock.wall_ms() + conviction.for_ms
            value = json.dumps({"until_wall_ms": until_ms})
            write = Write(PREFIX + conviction.fingerprint, value)
            try:
                await self._table.transact((write,))
            except PlatformError:
                # Links have told the others; the row is written when the
                # table is back. To write it twice changes nothing.
                return
            self._unwritten.pop(0)

    async def _read(self):
        try:
            rows = await self._table.read_range(PREFIX, END, MAX_ROWS)
        except PlatformError:
            return
        wall_ms = self._clock.wall_ms()
        held = []
        for row in rows:
            left_ms = json.loads(row.value)["until_wall_ms"] - wall_ms
            if left_ms > 0:
                fingerprint = row.key.removeprefix(PREFIX)
                held.append(Conviction(fingerprint, left_ms))
            else:
                await self._forget(row)
        if held:
            self._dispatcher.put(Convicted(tuple(held)))

    async def _forget(self, row):
        try:
            await self._table.transact((Write(row.key, None, row.version),))
        except PlatformError:
            return
