"""Checkpoints of unfinished items for the next owner of their job.

A replica can resume an item after any event. Without checkpoints all work
on a lost node's unfinished items would be repeated, and an item that fails
at each run would be run anew by each owner.

A row holds an item's whole text up to an event. A row that is outdated, or
written late by a former owner, is therefore consistent: the item resumes
after that event. Without a row the item starts from the beginning; an owner
that can't read the rows waits, since it would forget the failures.

A row also holds the origin of its text, which only replicas of that origin
may continue. A text from an earlier release has none, and its item starts
from the beginning. What is 0 at the end of a row is left out, so that nodes
of an earlier release can read a row that holds failures alone.
"""

from dataclasses import dataclass
from dataclasses import replace
import json

from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ids import JobId
from dahliashunt.jobs.keys import partial_index
from dahliashunt.jobs.keys import partial_key
from dahliashunt.jobs.keys import partials_range
from dahliashunt.jobs.keys import shard_of
from dahliashunt.ports import TableService
from dahliashunt.ports.table import Write
from dahliashunt.row_fields import FIELD_ERRORS
from dahliashunt.row_fields import list_field
from dahliashunt.row_fields import MAX_WHOLE
from dahliashunt.row_fields import parse_json
from dahliashunt.row_fields import text_field
from dahliashunt.row_fields import whole_field

__all__ = ["Partial", "PartialTexts", "fits_row", "without_text"]

MAX_ROW_BYTES = 60_000
"""Longest text that is saved; the store's limit is 64 KB per row."""

MAX_TRANSACTION_BYTES = 600_000
MAX_TRANSACTION_ROWS = 90
"""Limits of a transaction, below the store's 1 MB and hundred rows."""


@dataclass(frozen=True, slots=True)
class Partial:
    """An unfinished item's text.

    Attributes
    ----------
    job_id : JobId
    index : int
        Index of the item in its job.
    last_event : int
        The text holds the data of the events up to this one.
    text : str
    failures : int
        Number of error answers that the item got from replicas.
    origin : int
        Digest of the service and software version that wrote the text; 0 if
        unknown.
    """

    job_id: JobId
    index: int
    last_event: int
    text: str
    failures: int = 0
    origin: int = 0


class PartialTexts:
    """Saves and loads partial texts.

    Parameters
    ----------
    table : TableService
    log : structlog logger
    """

    def __init__(self, table: TableService, log):
        self._table = table
        self._log = log

    async def save(self, partials: list[Partial]) -> list[Partial]:
        """Save `partials`; return those that were saved.

        Takes one or more transactions per shard. The first that fails is
        logged and ends the save.
        """
        saved = []
        for group in _grouped(partials):
            writes = tuple(write for _, write in group)
            try:
                await self._table.transact(writes)
            except (PlatformUnavailable, WriteOutcomeUnknown) as error:
                self._log.warning(
                    "partial_save_failed", items=len(group), reason=str(error)
                )
                return saved
            saved += [partial for partial, _ in group]
        return saved

    async def load(
        self, job_id: JobId, max_items: int
    ) -> dict[int, Partial] | None:
        """Return a job's partial texts by the index of their items.

        Parameters
        ----------
        job_id : JobId
        max_items : int
            Most rows to read, of which there is one an item.

        Returns
        -------
        dict or None
            None if the store is unavailable.
        """
        start, end = partials_range(job_id)
        try:
            rows = await self._table.read_range(start, end, max_items)
        except PlatformUnavailable as error:
            self._log.warning(
                "partial_read_failed", job_id=job_id, reason=str(error)
            )
            return None
        found = [self._decoded(job_id, row) for row in rows]
        return {each.index: each for each in found if each is not None}

    def _decoded(self, job_id, row):
        try:
            last_event, text, *numbers = list_field(parse_json(row.value))
            failures, origin = (*numbers, 0, 0)[: max(2, len(numbers))]
            return Partial(
                job_id,
                partial_index(row.key),
                whole_field(last_event),
                text_field(text),
                whole_field(failures),
                whole_field(origin, -MAX_WHOLE),
            )
        except FIELD_ERRORS:
            self._log.error("partial_unreadable", key=row.key)
            return None


def fits_row(partial: Partial) -> bool:
    """Tell whether `partial` is small enough for a row."""
    return len(_encoded(partial).encode()) <= MAX_ROW_BYTES


def without_text(partial: Partial) -> Partial:
    """Return `partial` with its failures only."""
    return replace(partial, last_event=0, text="", origin=0)


def _encoded(partial):
    content = [
        partial.last_event,
        partial.text,
        partial.failures,
        partial.origin,
    ]
    while content[-1] == 0:
        content.pop()
    return json.dumps(content, ensure_ascii=False)


def _grouped(partials):
    """Yield groups of one shard each that fit into a transaction."""
    writes_by_shard = {}
    for partial in partials:
        value = _encoded(partial)
        key = partial_key(partial.job_id, partial.index)
        shard = shard_of(partial.job_id)
        entry = (len(value.encode()), partial, Write(key, value))
        writes_by_shard.setdefault(shard, []).append(entry)
    for entries in writes_by_shard.values():
        group, total = [], 0
        for size, partial, write in entries:
            if group and (
                total + size > MAX_TRANSACTION_BYTES
                or len(group) >= MAX_TRANSACTION_ROWS
            ):
                yield group
                group, total = [], 0
            group.append((partial, write))
            total += size
        yield group
