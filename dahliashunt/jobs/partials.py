"""Texts of unfinished items, kept for whoever takes their job over.

The failure it is for: a node dies, or all do, and each item that it ran
begins anew, though replicas go on from any event. On a fleet without spare
slots what was done of all open items is a second or two of everything,
which nothing makes up.

A row holds an item's whole text up to an event, so that it stands by
itself: it may be older than what its owner has, or come late from an owner
that was replaced, and the item still goes on from that event with just
that text. It is no condition of anything; without it an item begins anew.
"""

from dataclasses import dataclass
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

__all__ = ["Partial", "PartialTexts", "fits_row"]

MAX_ROW_BYTES = 60_000
"""A longer text is not kept: a row takes 64 KB."""

MAX_TRANSACTION_BYTES = 600_000
MAX_TRANSACTION_ROWS = 90
"""Of one transaction, which takes 1 MB as the store writes bytes, and a
hundred rows."""

MAX_ITEMS = 1_000
"""Rows of one job that are read: several times the items of a job."""


@dataclass(frozen=True, slots=True)
class Partial:
    """An unfinished item's text.

    Attributes
    ----------
    job_id : JobId
    index : int
        Of the item in its job.
    last_event : int
        The text holds the data of the events up to this one.
    text : str
    """

    job_id: JobId
    index: int
    last_event: int
    text: str


class PartialTexts:
    """Keeps and finds partial texts.

    Parameters
    ----------
    table : TableService
    log : structlog logger
    """

    def __init__(self, table: TableService, log):
        self._table = table
        self._log = log

    async def save(self, partials: list[Partial]) -> list[Partial]:
        """Keep `partials`; return those that the store has taken.

        One call a part of the table, more where they are large. A call
        that fails is logged, and its texts are saved at the next time.
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

    async def load(self, job_id: JobId) -> dict[int, Partial]:
        """Return a job's partial texts by the index of their items.

        None are returned where the store does not answer: the items
        begin anew.
        """
        start, end = partials_range(job_id)
        try:
            rows = await self._table.read_range(start, end, MAX_ITEMS)
        except PlatformUnavailable as error:
            self._log.warning(
                "partial_read_failed", job_id=job_id, reason=str(error)
            )
            return {}
        found = [self._decoded(job_id, row) for row in rows]
        return {each.index: each for each in found if each is not None}

    def _decoded(self, job_id, row):
        try:
            last_event, text = json.loads(row.value)
            index = partial_index(row.key)
            if type(last_event) is int and isinstance(text, str):
                return Partial(job_id, index, last_event, text)
        except (TypeError, ValueError):
            pass
        self._log.error("partial_unreadable", key=row.key)
        return None


def fits_row(partial: Partial) -> bool:
    """Tell whether `partial` is small enough to be kept."""
    return len(_encoded(partial).encode()) <= MAX_ROW_BYTES


def _encoded(partial):
    content = [partial.last_event, partial.text]
    return json.dumps(content, ensure_ascii=False)


def _grouped(partials):
    """Yield groups that fit one transaction each, of one part each."""
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
