"""Registry of the adapters to back ends, by API dialect."""

from dataclasses import replace
import ssl

from dahliashunt.adapters.table.sessions import HttpLimits
from dahliashunt.decisions.registry import Registry
from dahliashunt.ports.engine import Engine

__all__ = [
    "DIALECTS",
    "ENGINE_LIMITS",
    "SERVICE_LIMITS",
    "create_engine_adapter",
]

DIALECTS = Registry("engine dialect")
"""Classes that take a base URL, limits and a TLS context."""

ENGINE_LIMITS = HttpLimits(
    connect_ms=1000,
    idle_ms=10_000,
    total_ms=5000,
    keep_ms=4000,
    connections=0,
)
"""Defaults for a model engine. A limit on connections would delay cancels,
and a queued request may send nothing for long, hence `idle_ms`. `total_ms` is
for management calls; a call of a model or service brings its own limit."""

SERVICE_LIMITS = replace(ENGINE_LIMITS, idle_ms=60_000)
"""Defaults for a plain service, which sends nothing while it works on a call
that cannot be resumed."""


def create_engine_adapter(
    dialect: str,
    base_url: str,
    limits: HttpLimits | None = None,
    tls: ssl.SSLContext | None = None,
) -> Engine:
    """Return an adapter for a back end with the API `dialect`."""
    return DIALECTS.get(dialect)(base_url, limits, tls)
