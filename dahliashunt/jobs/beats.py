"""Failure detection of job owners by heartbeat rows.

An owner renews its row every period while it owns jobs. An observer
considers it gone once the row was unchanged for the timeout on the
observer's own clock, less the time around polls that failed; clocks of nodes
are not compared. A row of another incarnation ends the former one at once.
"""

from dataclasses import dataclass
import json

from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ids import NodeId
from dahliashunt.jobs.model import Owner
from dahliashunt.ports import Clock
from dahliashunt.ports import TableService
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Write
from dahliashunt.row_fields import FIELD_ERRORS
from dahliashunt.row_fields import list_field
from dahliashunt.row_fields import parse_json
from dahliashunt.row_fields import text_field

__all__ = ["HEARTBEAT_MS", "BeatReader", "BeatWriter", "period_ms"]

HEARTBEAT_MS = 1_000
"""Shortest time between renewals of a heartbeat row. Finding a dead owner
takes the timeout out of the 18 s or so in which a job's results are due."""

SILENCE_TIMEOUT_MS = 3_500
"""Time without a renewal, at the shortest period, until an owner is gone."""

MS_PER_OWNER = 15
"""Shortest period per owner: keeps all owners' renewals under 70 writes a
second, of the 150 that a part takes."""

MAX_ROWS = 2_000

NO_INCARNATION = ""
"""In the row of a node that has left: none of its incarnations owns jobs."""


def period_ms(owners: int) -> int:
    """Return the time between renewals for a number of owners."""
    return max(HEARTBEAT_MS, owners * MS_PER_OWNER)


def _key(node_id):
    return f"beats//{node_id}"


class BeatWriter:
    """Renews this node's heartbeat row.

    Parameters
    ----------
    table : TableService
    owner : Owner
        This node.
    log : structlog logger
    """

    def __init__(self, table: TableService, owner: Owner, log):
        self._table = table
        self._owner = owner
        self._log = log
        self._count = 0
        self._version = None

    async def renew_row(self) -> bool:
        """Renew the row once; return whether the write succeeded."""
        return await self._write(self._owner.incarnation)

    async def leave(self) -> bool:
        """Mark this node as gone; return whether the write succeeded.

        Call it only once no item runs here any more.
        """
        return await self._write(NO_INCARNATION)

    async def _write(self, incarnation):
        key = _key(self._owner.node_id)
        try:
            if self._version is None:
                row = await self._table.read(key)
                self._version = row.version if row else MustBe.ABSENT
            self._count += 1
            value = json.dumps([incarnation, self._count])
            write = Write(key, value, self._version)
            (self._version,) = await self._table.transact((write,))
        except (
            PlatformUnavailable,
            TransactionConflict,
            WriteOutcomeUnknown,
        ) as error:
            self._log.warning("heartbeat_failed", reason=str(error))
            self._version = None
            return False
        return True


@dataclass(slots=True)
class _Observation:
    value: str
    incarnation: str
    since_ms: int


class BeatReader:
    """Watches the heartbeat rows of other nodes.

    Parameters
    ----------
    table : TableService
    own : Owner
        This node.
    clock : Clock
    log : structlog logger

    Attributes
    ----------
    owners : int
        Number of rows at the last poll that could be decoded.
    """

    def __init__(self, table: TableService, own: Owner, clock: Clock, log):
        self._table = table
        self._own = own
        self._clock = clock
        self._log = log
        self._observation_by_node: dict[NodeId, _Observation] = {}
        self._unreadable_by_key: dict[str, int] = {}
        self._watched_since_ms_by_owner: dict[Owner, int] = {}
        self._polled_ms: int | None = None
        self._has_failed = True
        self.owners = 0

    async def poll(self, owners) -> None:
        """Read all rows once; `owners` are those of open jobs.

        An owner's timeout starts when it is first seen to own a job, since
        it doesn't renew its row without one.
        """
        try:
            rows = await self._table.read_range(
                "beats//", "beats//~", MAX_ROWS
            )
        except PlatformUnavailable as error:
            self._log.warning("heartbeat_read_failed", reason=str(error))
            self._has_failed = True
            return
        now_ms = self._clock.now_ms()
        if self._has_failed and self._polled_ms is not None:
            # Owners may not have been able to renew their rows either.
            self._postpone_timeouts(now_ms - self._polled_ms)
        self._polled_ms = now_ms
        self._has_failed = False
        watched = self._watched_since_ms_by_owner
        self._watched_since_ms_by_owner = {
            owner: watched.get(owner, now_ms) for owner in owners
        }
        self.owners = sum(self._observe(row, now_ms) for row in rows)

    def _postpone_timeouts(self, delay_ms):
        watched = self._watched_since_ms_by_owner
        for owner in watched:
            watched[owner] += delay_ms
        for observation in self._observation_by_node.values():
            observation.since_ms += delay_ms

    def _observe(self, row, now_ms):
        """Note the row's change; return whether it could be decoded.

        A row that can't be decoded renews nothing and ends nothing: its
        owner's timeout goes on.
        """
        try:
            incarnation = _incarnation(row.value)
        except FIELD_ERRORS as error:
            if self._unreadable_by_key.get(row.key) != row.version:
                self._unreadable_by_key[row.key] = row.version
                self._log.error(
                    "row_unreadable", key=row.key, reason=repr(error)
                )
            return False
        node_id = NodeId(row.key.removeprefix("beats//"))
        seen = self._observation_by_node.get(node_id)
        if seen is None or seen.value != row.value:
            self._observation_by_node[node_id] = _Observation(
                row.value, incarnation, now_ms
            )
        return True

    def is_gone(self, owner: Owner) -> bool:
        """Tell whether that incarnation of the node has ended."""
        if owner.node_id == self._own.node_id and owner != self._own:
            return True
        since_ms = self._watched_since_ms_by_owner.get(owner)
        if since_ms is None or self._has_failed:
            return False
        seen = self._observation_by_node.get(owner.node_id)
        if seen is not None:
            if seen.incarnation != owner.incarnation:
                return True
            since_ms = max(since_ms, seen.since_ms)
        term_ms = SILENCE_TIMEOUT_MS * period_ms(self.owners) // HEARTBEAT_MS
        return self._clock.now_ms() - since_ms > term_ms


def _incarnation(value):
    """Return the incarnation in a row's text, beside its count."""
    incarnation, _ = list_field(parse_json(value))
    return text_field(incarnation)
