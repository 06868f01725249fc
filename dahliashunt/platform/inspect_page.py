"""Inspection of routes, workspaces and log lines on the metrics port."""

import json
from urllib.parse import parse_qs

from dahliashunt.forwarding.explain import Explainer
from dahliashunt.forwarding.explain_workspaces import WorkspaceExplainer
from dahliashunt.platform.plain_text import send_text
from dahliashunt.recent_lines import RecentLines

__all__ = ["InspectPage"]

MAX_ID_LENGTH = 200
"""Maximum number of characters in a searched id."""


class InspectPage:
    """ASGI application for inspection; passes other paths to `fallback`.

    Parameters
    ----------
    explainer : Explainer or None
        None for a program without routes.
    recent : RecentLines
    fallback : ASGI application
    workspaces : WorkspaceExplainer, optional
    """

    def __init__(
        self,
        explainer: Explainer | None,
        recent: RecentLines,
        fallback,
        workspaces: WorkspaceExplainer | None = None,
    ):
        self._explainer = explainer
        self._recent = recent
        self._fallback = fallback
        self._handler_by_path = {"/lines": self._lines}
        if explainer is not None:
            self._handler_by_path |= {
                "/routes/explain": self._explain,
                "/routes": self._routes,
                "/routes/changes": lambda fields: explainer.changes(),
            }
        if workspaces is not None:
            self._handler_by_path |= {
                "/workspaces": lambda fields: workspaces.workspaces(),
                "/workspaces/explain": lambda fields: workspaces.explain(
                    fields["name"]
                ),
            }

    async def __call__(self, scope, receive, send) -> None:
        """Respond to one request with JSON."""
        handler = self._handler_by_path.get(scope["path"])
        if handler is None:
            await self._fallback(scope, receive, send)
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        fields = {name: values[0] for name, values in query.items()}
        try:
            result = handler(fields)
        except (KeyError, ValueError) as error:
            await send_text(send, 400, f"invalid query: {error!r}".encode())
            return
        await send_text(send, 200, json.dumps(result).encode())

    def _explain(self, fields):
        return self._explainer.explain(fields["host"], fields["path"])

    def _routes(self, fields):
        return self._explainer.routes(max(0, int(fields.get("after", "0"))))

    def _lines(self, fields):
        wanted = fields["id"]
        if not wanted or len(wanted) > MAX_ID_LENGTH:
            raise ValueError("expected an id that is not empty or too long")
        found = self._recent.find(json.dumps(wanted)[1:-1])
        return {
            "lines": found,
            "dropped": self._recent.dropped,
            "oldest": self._recent.oldest(),
        }
