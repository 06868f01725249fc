"""Adapters to the platform's table service, and its HTTP client."""

from dahliashunt.adapters.table.calls import HttpReply
from dahliashunt.adapters.table.calls import PlatformCalls
from dahliashunt.adapters.table.http import HttpTableService
from dahliashunt.adapters.table.memory import MemoryTableService
from dahliashunt.adapters.table.rows import TableRows
from dahliashunt.adapters.table.sessions import HttpLimits
from dahliashunt.adapters.table.sessions import HttpSessions

__all__ = [
    "HttpLimits",
    "HttpReply",
    "HttpSessions",
    "HttpTableService",
    "MemoryTableService",
    "PlatformCalls",
    "TableRows",
]
