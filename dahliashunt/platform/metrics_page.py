"""Metrics and inspection pages over HTTP."""

import structlog

from dahliashunt.adapters.held_memory import HeldMemory
from dahliashunt.adapters.http_server import HttpBounds
from dahliashunt.adapters.http_server import HttpServer
from dahliashunt.forwarding.explain import Explainer
from dahliashunt.forwarding.explain_workspaces import WorkspaceExplainer
from dahliashunt.metrics import Metrics
from dahliashunt.platform.inspect_page import InspectPage
from dahliashunt.platform.plain_text import send_text
from dahliashunt.process_shares import SIDE_BYTES
from dahliashunt.process_shares import SIDE_CONNECTIONS
from dahliashunt.recent_lines import RecentLines

__all__ = ["MetricsPage", "serve_metrics", "side_bounds"]

METRICS_PATH = "/metrics"


class MetricsPage:
    """ASGI application that serves `metrics` in the text format."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    async def __call__(self, scope, receive, send) -> None:
        """Respond to one request."""
        if scope["path"] == METRICS_PATH:
            await send_text(send, 200, self._metrics.text().encode())
        else:
            await send_text(send, 404, b"")


def side_bounds(metrics: Metrics) -> HttpBounds:
    """Return the bounds of a listener that is not for callers."""

    def count(count_by_stage, _):
        for stage, number in count_by_stage.items():
            metrics.count("side_connections_ended", number, stage=stage.value)
        structlog.get_logger().warning(
            "side_connections_ended", ended=sum(count_by_stage.values())
        )

    return HttpBounds(
        memory=HeldMemory(SIDE_BYTES, SIDE_CONNECTIONS, on_ended=count)
    )


async def serve_metrics(
    metrics: Metrics,
    host: str,
    port: int,
    recent: RecentLines,
    explainer: Explainer | None = None,
    workspaces: WorkspaceExplainer | None = None,
):
    """Serve metrics and inspection; return the server, or None for port 0.

    Parameters
    ----------
    metrics : Metrics
    host : str
    port : int
    recent : RecentLines
        The program's last log lines, searchable by request id.
    explainer : Explainer, optional
        Explains routes; omitted for a program without routes.
    workspaces : WorkspaceExplainer, optional
        Explains workspaces; omitted for a program without them.
    """
    if not port:
        return None
    fallback = MetricsPage(metrics)
    page = InspectPage(explainer, recent, fallback, workspaces)
    bounds = side_bounds(metrics)
    server = HttpServer(page, host, port, lifespan=False, bounds=bounds)
    await server.start()
    return server
