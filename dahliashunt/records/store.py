"""Reading and writing the sequence of records through the table service.

Notes
-----
The letter's 17,000 changes a day are one in five seconds, so changes
contend rarely: a plan is made from a head, and when another change was
first, a new plan is made from the new head after a jittered wait. Only
the head's conflict is repeated so. A record that is not at the revision
which the writer read is the writer's to look at.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from dataclasses import dataclass
import json
from random import Random

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ids import Revision
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.table import TableService
from dahliashunt.records.log import ChangeLog
from dahliashunt.records.planner import Planned
from dahliashunt.records.planner import Planner
from dahliashunt.records.record import Action
from dahliashunt.records.record import Change
from dahliashunt.records.record import change_from_json
from dahliashunt.records.record import Head
from dahliashunt.records.record import Record
from dahliashunt.records.record import RecordKey
from dahliashunt.records.schemas import Schemas
from dahliashunt.records.sequence import change_key
from dahliashunt.records.sequence import change_of
from dahliashunt.records.sequence import Conflict
from dahliashunt.records.sequence import documents_digest
from dahliashunt.records.sequence import head_from_row
from dahliashunt.records.sequence import HEAD_KEY
from dahliashunt.records.sequence import id_key
from dahliashunt.records.sequence import Proposal
from dahliashunt.records.sequence import RecordConflict
from dahliashunt.records.sequence import transaction

__all__ = ["Outcome", "RecordStore"]

MAX_TRIES = 8
"""Plans made for one change: at one change in five seconds, losing even
twice in a row is rare; more means that the table is in trouble."""

BACKOFF_MS = 20
MAX_BACKOFF_MS = 1_000


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a change.

    Attributes
    ----------
    change : Change or None
        None if nothing differs from what is in force.
    revision : Revision
        Of the change, or the head if nothing changed.
    replayed : bool
        Whether an earlier send of the same change had been accepted.
    dry_run : bool
        Whether nothing was written, by wish.
    """

    change: Change | None
    revision: Revision
    replayed: bool = False
    dry_run: bool = False


@dataclass(frozen=True, slots=True)
class _Asked:
    """What stays the same over all plans for one change."""

    change_id: str
    who: str
    action: Action
    note: str
    digest: str
    dry_run: bool


_Plan = Callable[[Head], Awaitable[Planned]]


class RecordStore:
    """The sequence of serving records.

    Parameters
    ----------
    table : TableService
    clock : Clock
    rng : random.Random
        For the jitter of waits.
    schemas : Schemas, optional
        What this program knows; everything registered by default.
    accepted : callable, optional
        Called with the revision of each change that was accepted, so
        that the node that wrote it need not wait to hear of it.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        rng: Random,
        schemas: Schemas | None = None,
        accepted: Callable[[Revision], None] | None = None,
    ):
        self._accepted = accepted or (lambda revision: None)
        self._table = table
        self._clock = clock
        self._rng = rng
        self.schemas = schemas or Schemas()
        self.log = ChangeLog(table)
        self._planner = Planner(table, self.log, self.schemas)

    async def head(self) -> Head:
        """Return the end of the sequence: one read."""
        return head_from_row(await self._table.read(HEAD_KEY))

    async def get(
        self, key: RecordKey, at: Revision | None = None
    ) -> Record | None:
        """Return a record as it is, or as it was at revision `at`."""
        stored = await self._planner.stored(key)
        if at is None:
            return stored.record
        return await self.log.record_at(stored.record, at)

    async def apply(
        self, proposal: Proposal, dry_run: bool = False
    ) -> Outcome:
        """Bring a file of records in force, all of it or none.

        Parameters
        ----------
        proposal : Proposal
        dry_run : bool
            Plan and check only.

        Returns
        -------
        Outcome
            Of the first send, if this is a repeat of an accepted change.

        Raises
        ------
        RecordConflict
            A record is not at the revision that the writer read.
        RequestError
            ``STORE_UNAVAILABLE`` if nothing was written,
            ``OUTCOME_UNKNOWN`` if that is not known: the same change may
            be sent again with its id.
        """
        asked = _Asked(
            proposal.change_id,
            proposal.who,
            Action.APPLY,
            proposal.note,
            documents_digest(proposal),
            dry_run,
        )

        async def plan(head):
            return await self._planner.apply(proposal)

        return await self._commit(asked, plan)

    async def restore(
        self,
        revision: Revision,
        change_id: str,
        who: str,
        keys: tuple[RecordKey, ...] = (),
        note: str = "",
        dry_run: bool = False,
    ) -> Outcome:
        """Put records back to what they were, as a new change.

        Parameters
        ----------
        revision : Revision
            Whose state is wanted again.
        change_id, who, note
            As in `Proposal`.
        keys : tuple of RecordKey
            Which records; all by default.
        dry_run : bool
        """
        names = ",".join(sorted(map(str, keys)))
        digest = f"restore {revision} {names}"
        asked = _Asked(change_id, who, Action.RESTORE, note, digest, dry_run)

        async def plan(head):
            return await self._planner.restore(revision, head, keys)

        return await self._commit(asked, plan)

    async def _commit(self, asked: _Asked, plan: _Plan) -> Outcome:
        sent = contended = False
        for attempt in range(MAX_TRIES):
            if attempt:
                await self._back_off(attempt)
            try:
                outcome = await self._try(asked, plan)
            except WriteOutcomeUnknown:
                # Failure: the answer to the write is lost although it
                # took effect; repeating it blindly would undo what came
                # after it. It shows as a change in the history twice.
                # The next round reads the change id first, and the
                # repeat is conditional on that id being absent.
                sent = True
            except TransactionConflict:
                contended = True
            except PlatformUnavailable:
                contended = False
                if not sent and attempt + 1 >= MAX_TRIES // 2:
                    break
            else:
                if outcome.change is not None and not outcome.dry_run:
                    self._accepted(outcome.revision)
                return outcome
        raise _gave_up(sent, contended)

    async def _try(self, asked, plan):
        first = await self._first_outcome(asked)
        if first is not None:
            return first
        head = await self.head()
        planned, stored_by_key, conflict = await self._planned(plan, head)
        if not planned:
            # Failure: the records moved by this very change, whose answer
            # was lost or is still on its way at another entry; the writer
            # would be told of a conflict with itself, or that nothing
            # changed. The row of the id is written together with the
            # records, so it is there if they moved by this change.
            first = await self._first_outcome(asked)
            if first is not None:
                return first
            if conflict is not None:
                raise await self._with_authors(conflict)
            return Outcome(None, head.revision, dry_run=asked.dry_run)
        change = change_of(
            asked.change_id,
            head,
            planned,
            asked.who,
            self._clock.wall_ms(),
            asked.action,
            asked.note,
            asked.digest,
        )
        if asked.dry_run:
            return Outcome(change, change.revision, dry_run=True)
        writes = transaction(change, head, stored_by_key)
        await self._table.transact(writes)
        return Outcome(change, change.revision)

    async def _planned(self, plan, head):
        try:
            planned, stored_by_key = await plan(head)
        except RecordConflict as conflict:
            return [], {}, conflict
        return planned, stored_by_key, None

    async def _first_outcome(self, asked):
        row = await self._table.read(id_key(asked.change_id))
        if row is None:
            return None
        plain = json.loads(row.value)
        if plain["digest"] != asked.digest:
            raise RequestError(
                ErrorKind.KEY_REUSED,
                f"change id {asked.change_id} was used for another change",
                param="change_id",
            )
        revision = Revision(plain["revision"])
        change = await self._table.read(change_key(revision))
        return Outcome(change_from_json(change.value), revision, replayed=True)

    async def _with_authors(self, error):
        conflicts = []
        for conflict in error.conflicts:
            conflicts.append(await self._with_author(conflict))
        return RecordConflict(tuple(conflicts))

    async def _with_author(self, conflict: Conflict) -> Conflict:
        if not conflict.current:
            return conflict
        change = await self.log.change(conflict.current)
        return dataclasses.replace(
            conflict, who=change.who, wall_ms=change.wall_ms
        )

    async def _back_off(self, attempt):
        most = min(MAX_BACKOFF_MS, BACKOFF_MS * 2**attempt)
        await self._clock.sleep_ms(self._rng.randint(most // 2, most))


def _gave_up(sent, contended):
    if sent:
        return RequestError(
            ErrorKind.OUTCOME_UNKNOWN,
            "the change was sent and its answer lost; send it again with "
            "the same change id to learn what became of it",
            Ran.UNKNOWN,
        )
    if contended:
        return RequestError(
            ErrorKind.OVERLOADED,
            f"other changes were first {MAX_TRIES} times; nothing was written",
            retry_after_ms=MAX_BACKOFF_MS,
        )
    return RequestError(
        ErrorKind.STORE_UNAVAILABLE,
        "the table service is not available; nothing was written",
        retry_after_ms=MAX_BACKOFF_MS,
    )
