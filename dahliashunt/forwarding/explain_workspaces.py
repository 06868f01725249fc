"""Describe the workspaces known to a node, for operators.

Read-only and bounded. Keys are shown by the start of their digests only.
"""

from collections import Counter

__all__ = ["MAX_WORKSPACES", "WorkspaceExplainer"]

MAX_WORKSPACES = 500
"""Workspaces in one response, those with the most recent requests first."""

DIGEST_SHOWN_BYTES = 4
"""Bytes shown of a key's digest, to tell a workspace's keys apart."""


class WorkspaceExplainer:
    """Describes the workspaces known to one node.

    Parameters
    ----------
    node : Node
    view : JobView
        Jobs known to this node.
    """

    def __init__(self, node, view):
        self._node = node
        self._view = view

    def workspaces(self) -> dict:
        """Return the workspaces, those with the most requests first."""
        found = self._workspaces()
        rows = (
            [self._row(each) for each in found.by_id.values()] if found else []
        )
        rows.sort(
            key=lambda row: (-row["admitted"] - row["refused"], row["name"])
        )
        return {
            **self._version(),
            "keys_wanted": found is not None,
            "total": len(rows),
            "workspaces": rows[:MAX_WORKSPACES],
            "broken": [
                {"name": each.name, "reason": each.reason}
                for each in (found.broken if found else ())
            ],
        }

    def explain(self, name: str) -> dict:
        """Return the state of one workspace."""
        found = self._workspaces()
        workspace = found.by_id.get(name) if found else None
        if workspace is None:
            return {
                **self._version(),
                "workspace": None,
                "why": _unknown_reason(found),
            }
        use = self._node.caps.view(workspace)
        return {
            **self._version(),
            "workspace": self._row(workspace),
            "keys": [d[:DIGEST_SHOWN_BYTES].hex() for d in workspace.digests],
            "level": round(use.level, 2),
            "metered": use.metered,
            "entries": use.entries,
            "meters": [
                {
                    "host": each.host,
                    "level": round(each.level, 2),
                    "age_ms": each.heard_ms,
                    "mature": each.mature,
                    "silent": each.silent,
                }
                for each in use.meters
            ],
            "open_tokens_by_route": self._open_tokens(workspace),
        }

    def _workspaces(self):
        catalog = self._node.catalog
        return catalog.workspaces if catalog is not None else None

    def _version(self):
        catalog = self._node.catalog
        return {
            "node": self._node.metrics.node_id,
            "version": catalog.revision if catalog is not None else None,
        }

    def _row(self, workspace):
        recent = self._node.caps.recent(workspace)
        return {
            "name": workspace.workspace_id,
            "rate": workspace.rate,
            "burst": workspace.burst,
            "rank": workspace.rank,
            "admitted": recent.admitted,
            "refused": recent.refused,
        }

    def _open_tokens(self, workspace):
        by_route = Counter()
        for job in self._view.open_jobs():
            if job.workspace == workspace.workspace_id:
                listed = self._view.progress(job).indices
                by_route[job.route] += sum(
                    item.tokens
                    for index, item in enumerate(job.items)
                    if index not in listed
                )
        return dict(by_route)


def _most_used(row):
    return (-row["admitted"] - row["refused"], row["name"])


def _unknown_reason(found):
    if found is None:
        return "callers need no keys by the version in force"
    return "the version in force has no such workspace"
