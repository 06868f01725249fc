"""Readiness over HTTP."""

from dahliashunt.forwarding.node import Node
from dahliashunt.platform.plain_text import send_text

__all__ = ["Health"]


class Health:
    """ASGI application of the readiness address.

    200 while new connections should come; the path does not matter.
    """

    def __init__(self, node: Node):
        self._node = node

    async def __call__(self, scope, receive, send) -> None:
        """Answer one question."""
        await send_text(send, 200 if self._node.ready else 503, b"")
