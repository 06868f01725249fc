"""The readiness address: 200 while new connections should come."""

from dahliashunt.forwarding.node import Node

__all__ = ["Health"]

METRICS_PATH = "/metrics"


class Health:
    """ASGI application of the readiness address; also serves metrics."""

    def __init__(self, node: Node):
        self._node = node

    async def __call__(self, scope, receive, send) -> None:
        """Answer one question."""
        if scope["path"] == METRICS_PATH:
            status, body = 200, self._node.metrics.text().encode()
        else:
            status, body = (200 if self._node.ready else 503), b""
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": body})
