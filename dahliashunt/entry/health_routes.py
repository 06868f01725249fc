"""Health and metrics: alive, ready, and what was measured."""

from blacksheep import Content
from blacksheep import Response

from dahliashunt.entry.answers import json_response

__all__ = ["add_health_routes"]

METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


def add_health_routes(app, context) -> None:
    """Add ``/healthz``, ``/readyz`` and ``/metrics``."""

    async def healthz():
        return json_response({"status": "alive"})

    async def readyz():
        """Answer 503 without a configuration or when leaving.

        The platform's balancer stops sending on it, so that a shutdown
        refuses nobody.
        """
        ready = context.records.revision > 0 and not context.leaving
        status = "ready" if ready else "not ready"
        body = {"status": status, "revision": context.records.revision}
        return json_response(body, 200 if ready else 503)

    async def metrics():
        gauges = context.measures.metrics
        gauges.gauge("in_flight", context.dispatcher.in_flight)
        gauges.gauge("records_revision", context.records.revision)
        if context.held is not None:
            gauges.gauge("held_bytes", context.held.total_bytes)
            gauges.gauge("caller_connections", len(context.held))
        text = gauges.text().encode()
        return Response(200, None, Content(METRICS_TYPE, text))

    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/metrics", metrics)
