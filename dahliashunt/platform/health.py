"""Readiness endpoint over HTTP."""

from dahliashunt.forwarding.node import Node
from dahliashunt.platform.plain_text import send_text

__all__ = ["Health"]


class Health:
    """ASGI application that reports readiness.

    Responds to any path with 200 if the node accepts new connections, and
    with 503 otherwise.
    """

    def __init__(self, node: Node):
        self._node = node

    async def __call__(self, scope, receive, send) -> None:
        """Respond to one request."""
        await send_text(send, 200 if self._node.ready else 503, b"")
