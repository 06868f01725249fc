"""Readiness and metrics over HTTP."""

from dahliashunt.adapters.http_server import HttpServer
from dahliashunt.forwarding.node import Node
from dahliashunt.metrics import Metrics

__all__ = ["Health", "MetricsPage", "serve_metrics"]

METRICS_PATH = "/metrics"


class MetricsPage:
    """ASGI application that shows `metrics` as text."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    async def __call__(self, scope, receive, send) -> None:
        """Answer one question."""
        if scope["path"] == METRICS_PATH:
            await _answer(send, 200, self._metrics.text().encode())
        else:
            await _answer(send, 404, b"")


class Health:
    """ASGI application of the readiness address.

    200 while new connections should come; the path does not matter.
    """

    def __init__(self, node: Node):
        self._node = node

    async def __call__(self, scope, receive, send) -> None:
        """Answer one question."""
        await _answer(send, 200 if self._node.ready else 503, b"")


async def serve_metrics(metrics: Metrics, host: str, port: int):
    """Serve metrics on `port`; return the server, or None for port 0."""
    if not port:
        return None
    server = HttpServer(MetricsPage(metrics), host, port, lifespan=False)
    await server.start()
    return server


async def _answer(send, status, body):
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", str(len(body)).encode()),
    ]
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": headers})
    await send({"type": "http.response.body", "body": body})
