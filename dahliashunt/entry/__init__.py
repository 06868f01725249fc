"""The process that callers and operators reach: `dahliashunt-entry`."""

from dahliashunt.entry.dispatcher import Dispatcher
from dahliashunt.entry.serve import Entry
from dahliashunt.entry.serve import serve
from dahliashunt.entry.settings import EntrySettings

__all__ = ["Dispatcher", "Entry", "EntrySettings", "serve"]
