"""Adapters to model engines and to services without an engine's API."""

from dahliashunt.adapters.engine.dialects import create_engine_adapter
from dahliashunt.adapters.engine.dialects import DIALECTS
from dahliashunt.adapters.engine.dialects import ENGINE_LIMITS
from dahliashunt.adapters.engine.dialects import SERVICE_LIMITS
from dahliashunt.adapters.engine.http_engine import HttpEngine
from dahliashunt.adapters.engine.plain_service import PlainService
from dahliashunt.adapters.engine.prefixes import prefix_blocks

__all__ = [
    "DIALECTS",
    "ENGINE_LIMITS",
    "SERVICE_LIMITS",
    "HttpEngine",
    "PlainService",
    "create_engine_adapter",
    "prefix_blocks",
]
