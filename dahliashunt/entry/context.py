"""What the entry's HTTP routes need, in one place."""

from dataclasses import dataclass

from blacksheep import Request

from dahliashunt.batch import BatchService
from dahliashunt.decisions.client_memory import ClientMemory
from dahliashunt.entry.access import Access
from dahliashunt.entry.dispatcher import Dispatcher
from dahliashunt.entry.measures import Measures
from dahliashunt.entry.records_node import RecordsNode
from dahliashunt.entry.settings import EntrySettings
from dahliashunt.ids import CallerId
from dahliashunt.ids import ModelId
from dahliashunt.ids import Revision
from dahliashunt.ports.clock import Clock

__all__ = ["EntryContext"]


@dataclass(slots=True)
class EntryContext:
    """Shared parts of one entry.

    Attributes
    ----------
    once : OnceRunner or None
        Runs claimed calls at most once; None without a table service.
    leaving : bool
        Whether a shutdown has begun.
    held : ClientMemory or None
        What callers hold, once the listener has started.
    """

    settings: EntrySettings
    clock: Clock
    access: Access
    dispatcher: Dispatcher
    measures: Measures
    records: RecordsNode
    batch: BatchService | None = None
    once: object = None
    leaving: bool = False
    held: ClientMemory | None = None

    async def authenticate(self, request: Request) -> CallerId:
        """Return who sent a request of files and batches."""
        return self.access.caller(request).caller_id

    async def accepts(self, caller: CallerId, model: ModelId) -> Revision:
        """Raise `RequestError` unless the caller may run such a job.

        Returns the revision of the records that permit it.
        """
        self.access.accepts_batch(caller, model)
        return self.access.revision
